//! One replica without I/O or clock.
//!
//! The host passes in ticks, peer messages, instance requests and operator commands, then calls [`Replica::process`]
//! and performs the returned output: writes, messages and replies. Messages that depend on a write are held back until
//! [`Replica::persisted`] confirms it.

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

/// Fraction of the lease term that a disk write may take before responses are too late to renew leases.
const MAX_WRITE_TERM_FRACTION: f64 = 0.2;

/// Replica of the lease store.
pub struct Replica {
    id: u64,
    config: ReplicaConfig,
    node: RawNode<ReplicaLog>,
    table: LeaseTable,
    members: Members,
    /// Index of the last entry applied to `table` and `members`.
    applied: u64,
    /// Set while the replica leads and has applied all entries of earlier terms.
    leadership: Option<Leadership>,
    /// Latest request of each instance that is not proposed yet.
    lease_requests: BTreeMap<HolderId, LeaseRequest>,
    /// Writes handed to the host and not yet reported as persisted, in order.
    unpersisted: VecDeque<UnpersistedWrite>,
    pending_commands: Vec<PendingCommand>,
    pending_reads: Vec<PendingRead>,
    /// Whether the members changed since the last snapshot. A replica that joins needs a snapshot that lists it.
    snapshot_due: bool,
    /// Ticks since a snapshot was sent, by follower.
    snapshots_in_flight: BTreeMap<u64, usize>,
    output: Output,
}

impl Replica {
    /// Creates a replica from its durable state. `id` must never have been used with another disk.
    ///
    /// # Errors
    /// Returns an error if the durable state is corrupt or raft rejects it.
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

    /// Returns the replica number.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the lease table as of the last applied entry.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the current raft term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Returns the leader, if it is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// Returns whether the replica leads and has applied all entries of earlier terms.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the addresses of the replicas added after the bootstrap, and the retired numbers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the numbers of the voting replicas.
    pub fn voters(&self) -> Vec<u64> {
        self.node.store().conf_state().voters.clone()
    }

    /// Returns the numbers of the replicas that receive the log but do not vote.
    pub fn learners(&self) -> Vec<u64> {
        self.node.store().conf_state().learners.clone()
    }

    /// Returns the numbers of all other replicas.
    pub fn peers(&self) -> Vec<u64> {
        let conf_state = self.node.store().conf_state();
        let members = conf_state.voters.iter().chain(&conf_state.learners);
        members.copied().filter(|peer| *peer != self.id).collect()
    }

    /// Returns the number of log entries after the last snapshot.
    pub fn log_len(&self) -> usize {
        self.node.store().len()
    }

    /// Returns the status, without the uptime and the counters, which the host adds. `now` is the host's clock (s).
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

    /// Returns whether a pending write has taken too long for responses to renew leases. `now` is the host's clock (s).
    pub fn has_slow_disk(&self, now: f64) -> bool {
        let limit = MAX_WRITE_TERM_FRACTION * self.config.rules.term;
        self.unpersisted.front().is_some_and(|write| now - write.handed_out_at > limit)
    }

    /// Returns all replicas as seen by the leader, sorted by number.
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

    /// Proposes the waiting requests, and returns the output that the host must perform. `now` is the host's clock (s).
    ///
    /// # Errors
    /// Returns an error if a snapshot or a membership change can't be applied. The replica must stop then.
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
