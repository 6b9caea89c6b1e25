//! Configuration of a replica, and the raft configuration derived from it.

use crate::durable::StoredSnapshot;
use puffinladder_leases::table::{LeaseRules, TaskDeclaration};
use raft::Config;

/// Maximum size of a message between replicas, unless a single entry is larger.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Maximum number of unacknowledged append messages per follower.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Difference of the election timeouts of neighbouring positions (ticks), to avoid split votes.
const POSITION_TICKS: usize = 3;
/// Number of positions among which replicas that joined later are distributed.
const POSITIONS: u64 = 9;
/// Minimum election timeout (ticks); raft requires it to exceed the heartbeat interval.
const MIN_ELECTION_TICKS: usize = 4;
/// Heartbeats per election timeout, so that a few lost heartbeats do not start an election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: usize = 5;

/// Configuration shared by all replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaConfig {
    /// Timing and limits of leases.
    pub rules: LeaseRules,
    /// Tasks for which leases are granted.
    pub tasks: Vec<TaskDeclaration>,
    /// Shortest election timeout (ticks). Each replica adds three ticks per position.
    pub election_ticks: usize,
    /// Interval between entries that only advance the table's time (s).
    pub time_interval: f64,
    /// Number of log entries at which a snapshot replaces them.
    pub snapshot_entries: usize,
}

impl Default for ReplicaConfig {
    fn default() -> ReplicaConfig {
        ReplicaConfig {
            rules: LeaseRules::default(),
            tasks: Vec::new(),
            election_ticks: 10,
            time_interval: 0.1,
            snapshot_entries: 4096,
        }
    }
}

impl ReplicaConfig {
    /// Returns the raft configuration of replica `id`, which starts from this snapshot.
    pub(super) fn raft_config(&self, id: u64, snapshot: &StoredSnapshot) -> Config {
        let election_tick = self.election_ticks.max(MIN_ELECTION_TICKS);
        let election_timeout = election_tick + POSITION_TICKS * position(id, &snapshot.voters);
        Config {
            id,
            election_tick,
            heartbeat_tick: (election_tick / HEARTBEATS_PER_ELECTION_TIMEOUT).max(1),
            // A range of a single value keeps elections deterministic.
            min_election_tick: election_timeout,
            max_election_tick: election_timeout + 1,
            applied: snapshot.index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 * MAX_MESSAGE_BYTES,
            max_committed_size_per_ready: 4 * MAX_MESSAGE_BYTES,
            ..Config::default()
        }
    }
}

/// Returns the replica's position, which determines its election timeout.
fn position(id: u64, voters: &[u64]) -> usize {
    let mut sorted = voters.to_vec();
    sorted.sort_unstable();
    let among_voters = sorted.iter().position(|voter| *voter == id);
    among_voters.unwrap_or((id % POSITIONS) as usize)
}
