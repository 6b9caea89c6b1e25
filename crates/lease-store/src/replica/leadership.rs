//! Periodic work of the leader: advancing the table's time, maintaining followers, and transferring the leadership
//! when its disk is slow.

use super::{CommandFailure, CommandOutcome, Replica};
use puffinladder_leases::table::Command;
use puffinladder_leases::table_clock::TableClock;
use raft::{ProgressState, SnapshotStatus, StateRole};

/// Maximum number of unapplied entries proposed by the leader; beyond it, requests wait and are batched.
pub(super) const MAX_INFLIGHT_PROPOSALS: usize = 8;
/// Ticks after which an unacknowledged snapshot counts as lost, about 2 s at the default tick interval.
const SNAPSHOT_TIMEOUT_TICKS: usize = 66;

/// State of a leader that has applied all entries of earlier terms.
pub(super) struct Leadership {
    /// Raft term of the leadership.
    pub term: u64,
    /// Clock of the lease table.
    pub clock: TableClock,
    /// Time on the host's clock at which the next entry that only advances the table's time is due (s).
    pub next_time_entry: f64,
    /// Number of entries proposed in this leadership and not yet applied.
    pub inflight_proposals: usize,
}

impl Replica {
    /// Advances raft's timers by one tick. The host calls it at even intervals; `now` is its clock (s). A replica with
    /// a slow disk transfers its leadership and does not stand for election, since its responses would be too late.
    pub fn tick(&mut self, now: f64) {
        let has_slow_disk = self.has_slow_disk(now);
        if has_slow_disk && self.node.raft.state == StateRole::Leader {
            self.transfer_leadership();
        }
        if !has_slow_disk || self.node.raft.state == StateRole::Leader {
            self.node.tick();
        }
        self.check_leadership();
        self.maintain_followers();
        self.propose_time(now);
    }

    /// Transfers the leadership, preferably to the active follower with the longest matching log.
    fn transfer_leadership(&mut self) {
        if self.node.raft.lead_transferee.is_some() {
            return;
        }
        let id = self.id;
        let followers = self.node.raft.prs().iter().filter(|(peer, _)| **peer != id);
        let best =
            followers.max_by_key(|(peer, progress)| (progress.recent_active, progress.matched, **peer));
        if let Some(peer) = best.map(|(peer, _)| *peer) {
            self.node.transfer_leader(peer);
        }
    }

    /// Discards the requests and fails the commands of a leadership that was lost.
    pub(super) fn check_leadership(&mut self) {
        let is_raft_leader = self.node.raft.state == StateRole::Leader;
        let term = self.term();
        if self.leadership.as_ref().is_some_and(|leadership| !is_raft_leader || leadership.term != term) {
            self.leadership = None;
            self.lease_requests.clear();
        }
        let lost_commands =
            self.pending_commands.extract_if(.., |command| !is_raft_leader || command.term != term);
        let unknown_outcome = |token| CommandOutcome { token, result: Err(CommandFailure::OutcomeUnknown) };
        self.output.outcomes.extend(lost_commands.map(|command| unknown_outcome(command.token)));
    }

    /// Resends lost snapshots and promotes learners that have caught up.
    fn maintain_followers(&mut self) {
        if self.leadership.is_none() {
            return self.snapshots_in_flight.clear();
        }
        self.expire_snapshots();
        self.promote_learner();
    }

    fn expire_snapshots(&mut self) {
        let awaits_snapshot = |(peer, progress): (&u64, &raft::Progress)| {
            (progress.state == ProgressState::Snapshot).then_some(*peer)
        };
        let waiting: Vec<u64> = self.node.raft.prs().iter().filter_map(awaits_snapshot).collect();
        self.snapshots_in_flight.retain(|peer, _| waiting.contains(peer));
        for peer in waiting {
            let ticks = self.snapshots_in_flight.entry(peer).or_default();
            *ticks += 1;
            if *ticks >= SNAPSHOT_TIMEOUT_TICKS {
                self.snapshots_in_flight.remove(&peer);
                self.node.report_snapshot(peer, SnapshotStatus::Failure);
            }
        }
    }

    fn promote_learner(&mut self) {
        if self.node.raft.has_pending_conf() {
            return;
        }
        let last_index = self.node.raft.raft_log.last_index();
        if let Some(change) = self.members.next_promotion(&self.member_progress(), last_index) {
            self.propose_membership(Self::NO_TOKEN, change);
        }
    }

    /// Proposes an entry that only advances the table's time, so that leases expire.
    fn propose_time(&mut self, now: f64) {
        let has_waiting_requests = !self.lease_requests.is_empty();
        let Some(leadership) = &mut self.leadership else { return };
        // Requests that arrived during a pause of this process are handled before leases expire.
        let may_advance = leadership.clock.may_advance(now, has_waiting_requests);
        let is_due = now >= leadership.next_time_entry;
        if may_advance && is_due && leadership.inflight_proposals < MAX_INFLIGHT_PROPOSALS {
            leadership.next_time_entry = now + self.config.time_interval;
            self.propose(now, Command::AdvanceTime, Vec::new());
        }
    }
}
