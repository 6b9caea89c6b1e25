//! Settings of a replica, and raft's settings that follow from them.

use crate::durable::StoredSnapshot;
use puffinladder_leases::table::{LeaseRules, TaskDeclaration};
use raft::Config;

/// Largest message between replicas, in bytes, unless a single entry is larger.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Appends to one follower that may be unanswered.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Ticks by which the election timeouts of neighbouring positions differ, so that two replicas seldom stand at once.
const POSITION_TICKS: usize = 3;
/// Positions that replicas which joined later are spread over.
const POSITIONS: u64 = 9;
/// Fewest ticks of an election timeout: raft needs it longer than a heartbeat.
const MIN_ELECTION_TICKS: usize = 4;
/// Heartbeats within one election timeout, so that a few lost ones do not start an election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: usize = 5;

/// Settings that are the same at all replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaConfig {
    /// Times and limits of the leases.
    pub rules: LeaseRules,
    /// The tasks that leases are granted for.
    pub tasks: Vec<TaskDeclaration>,
    /// Shortest election timeout, in ticks. Each replica adds three ticks for its position.
    pub election_ticks: usize,
    /// s between entries that only advance the table's time.
    pub time_interval: f64,
    /// Entries in the log after which a snapshot replaces them.
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
    /// Raft's settings for replica `id`, which starts from this snapshot.
    pub(super) fn raft_config(&self, id: u64, snapshot: &StoredSnapshot) -> Config {
        let election_tick = self.election_ticks.max(MIN_ELECTION_TICKS);
        let election_timeout = election_tick + POSITION_TICKS * position(id, &snapshot.voters);
        Config {
            id,
            election_tick,
            heartbeat_tick: (election_tick / HEARTBEATS_PER_ELECTION_TIMEOUT).max(1),
            // A range of one value each, so that the same schedule gives the same elections.
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

/// The replica's position among the voters, by which its election timeout differs from the others'.
fn position(id: u64, voters: &[u64]) -> usize {
    let mut sorted = voters.to_vec();
    sorted.sort_unstable();
    let among_voters = sorted.iter().position(|voter| *voter == id);
    among_voters.unwrap_or((id % POSITIONS) as usize)
}
