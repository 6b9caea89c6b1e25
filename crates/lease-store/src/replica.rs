//! One replica without I/O and clock. Its host hands in ticks, messages of peers, requests of instances and commands of operators, then calls
//! [`Replica::process`] and carries out what comes: write, send, reply. Messages that depend on a write go out with [`Replica::persisted`],
//! so that a slow disk delays answers and never makes them untrue.

mod apply;
mod config;
mod error;
mod leadership;
mod output;
mod persistence;
mod requests;
mod snapshot;

pub use config::ReplicaConfig;
pub use error::{CommandFailure, MessageError, ReplicaError, RequestError};
pub use output::{CommandOutcome, Output, PeerMessage};

use crate::durable::DurableState;
use crate::log::ReplicaLog;
use crate::membership::{MemberProgress, Members};
use leadership::Leadership;
use persistence::UnpersistedWrite;
use puffinladder_leases::protocol::ReplicaStatus;
use puffinladder_leases::table::{LeaseRequest, LeaseTable};
use puffinladder_leases::HolderId;
use raft::RawNode;
use requests::{PendingCommand, PendingRead};
use snapshot::ReplicatedState;
use std::collections::{BTreeMap, VecDeque};

/// Share of the lease term that a write to disk may take. With slower ones a leader's answers come too late for the leases.
const MAX_WRITE_TERM_FRACTION: f64 = 0.2;

/// A replica of the lease store.
pub struct Replica {
    id: u64,
    config: ReplicaConfig,
    node: RawNode<ReplicaLog>,
    table: LeaseTable,
    members: Members,
    /// Index of the last entry that `table` and `members` contain.
    applied: u64,
    /// While it leads and has applied all that was committed before.
    leadership: Option<Leadership>,
    /// Requests of instances that are not proposed yet; the latest of each.
    lease_requests: BTreeMap<HolderId, LeaseRequest>,
    /// Writes that were handed out and not yet reported as persisted, in order.
    unpersisted: VecDeque<UnpersistedWrite>,
    pending_commands: Vec<PendingCommand>,
    pending_reads: Vec<PendingRead>,
    /// The members changed: the log's snapshot must name them, or whoever joins could not take it.
    snapshot_due: bool,
    /// Followers that a snapshot is on its way to, and ticks since.
    snapshots_in_flight: BTreeMap<u64, usize>,
    output: Output,
}

impl Replica {
    /// A replica from what its disk holds. `id` must never have voted with another disk.
    ///
    /// # Errors
    /// The durable state is corrupt, or raft rejects it.
    pub fn new(id: u64, config: ReplicaConfig, durable: &DurableState) -> Result<Replica, ReplicaError> {
        let log = ReplicaLog::new(durable)?;
        let ReplicatedState { table, members } = snapshot::decode(&durable.snapshot)?;
        let raft_config = config.raft_config(id, &durable.snapshot);
        let silent_logger = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Replica {
            id,
            config,
            node: RawNode::new(&raft_config, log, &silent_logger)?,
            table,
            members,
            applied: durable.snapshot.index,
            leadership: None,
            lease_requests: BTreeMap::new(),
            unpersisted: VecDeque::new(),
            pending_commands: Vec::new(),
            pending_reads: Vec::new(),
            snapshot_due: false,
            snapshots_in_flight: BTreeMap::new(),
            output: Output::default(),
        })
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The lease table as of the last applied entry.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current raft term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The leader, as far as it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// Whether it leads and has applied all that was committed before.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Addresses of the members that were added, and numbers that are retired.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Numbers of the replicas that vote.
    pub fn voters(&self) -> Vec<u64> {
        self.node.store().conf_state().voters.clone()
    }

    /// Numbers of the replicas that receive the log without a vote.
    pub fn learners(&self) -> Vec<u64> {
        self.node.store().conf_state().learners.clone()
    }

    /// Numbers of all replicas that it sends to.
    pub fn peers(&self) -> Vec<u64> {
        let conf_state = self.node.store().conf_state();
        let members = conf_state.voters.iter().chain(&conf_state.learners);
        members.copied().filter(|peer| *peer != self.id).collect()
    }

    /// Number of log entries after the last snapshot.
    pub fn log_len(&self) -> usize {
        self.node.store().len()
    }

    /// Its status, without the uptime and the counters that only its host knows. `now` is the host's clock, s.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        ReplicaStatus {
            number: self.id,
            leader: self.leader(),
            is_leader: self.is_leader(),
            term: self.term(),
            applied: self.applied,
            log_entries: self.log_len(),
            voters: self.voters(),
            learners: self.learners(),
            retired: self.members.retired.iter().copied().collect(),
            last_epoch: self.table.last_epoch(),
            instances: self.table.session_count(),
            slow_disk: self.has_slow_disk(now),
            ..ReplicaStatus::default()
        }
    }

    /// Whether a write takes so long that a leader's answers from here would come too late for the lease term.
    pub fn has_slow_disk(&self, now: f64) -> bool {
        let limit = MAX_WRITE_TERM_FRACTION * self.config.rules.term;
        self.unpersisted.front().is_some_and(|write| now - write.handed_out_at > limit)
    }

    /// All replicas as the leader sees them, by number.
    fn member_progress(&self) -> Vec<MemberProgress> {
        let voters = self.voters();
        let progress = |(number, progress): (&u64, &raft::Progress)| MemberProgress {
            number: *number,
            is_voter: voters.contains(number),
            is_active: *number == self.id || progress.recent_active,
            matched_index: progress.matched,
        };
        let mut all: Vec<MemberProgress> = self.node.raft.prs().iter().map(progress).collect();
        all.sort_by_key(|member| member.number);
        all
    }

    /// Proposes the requests that wait, and hands out what is to be done. `now` is the host's clock, s.
    ///
    /// # Errors
    /// A snapshot or a change of the members can't be applied. The replica must stop then.
    pub fn process(&mut self, now: f64) -> Result<Output, ReplicaError> {
        self.check_leadership();
        self.propose_lease_requests(now);
        while self.node.has_ready() {
            self.handle_ready(now)?;
        }
        self.compact_log();
        self.complete_reads();
        Ok(std::mem::take(&mut self.output))
    }
}
