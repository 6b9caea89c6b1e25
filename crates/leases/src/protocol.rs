//! Messages between instances, operators and replicas of the lease store, as lines of JSON. One connection may carry
//! all of them.

use crate::fence::Verdict;
use crate::table::{Change, Command, InstanceRow, LeaseRequest, LeaseResponse, LeaseRow};
use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Longest line, in bytes; fits a list of tens of thousands of leases.
pub const MAX_LINE_BYTES: usize = 16 << 20;

/// A message to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaRequest {
    /// Renews an instance's session and reports its progress.
    #[serde(rename = "say")]
    Renew(LeaseRequest),
    /// A message of the consensus library from another replica, base64.
    #[serde(rename = "peer")]
    PeerMessage(String),
    /// Requests the status of this replica.
    Status,
    /// Requests all leases and instances from the leader.
    #[serde(rename = "duties")]
    Tasks,
    /// A command of an operator.
    Command(Command),
    /// Adds a replica under a number that was never used.
    #[serde(rename = "add")]
    AddReplica {
        /// The replica's number.
        number: u64,
        /// Its address, as host and port.
        address: String,
    },
    /// Removes a replica; its number cannot be used again.
    #[serde(rename = "remove")]
    RemoveReplica {
        /// The replica's number.
        number: u64,
    },
}

/// A message from a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaReply {
    /// A response to an instance.
    #[serde(rename = "told")]
    Lease(LeaseResponse),
    /// This replica is not the leader.
    #[serde(rename = "elsewhere")]
    NotLeader {
        /// The number of the probable leader.
        leader: Option<u64>,
        /// Its address, as host and port.
        address: Option<String>,
    },
    /// The reply to [`ReplicaRequest::Status`].
    Status(Box<ReplicaStatus>),
    /// The reply to [`ReplicaRequest::Tasks`].
    #[serde(rename = "duties")]
    Tasks {
        /// All parts of all tasks.
        #[serde(rename = "rows")]
        leases: Vec<LeaseRow>,
        /// All instances with a session.
        #[serde(rename = "seats")]
        instances: Vec<InstanceRow>,
        /// The table's time, s.
        at: f64,
    },
    /// The command was carried out.
    #[serde(rename = "done")]
    CommandApplied,
    /// The command was not carried out, for this reason.
    #[serde(rename = "failed")]
    CommandFailed(String),
}

/// The status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's number.
    pub number: u64,
    /// The number of the leader, if this replica knows it.
    pub leader: Option<u64>,
    /// Whether it is the leader and has applied all entries committed before.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The consensus term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Number of log entries after the last snapshot.
    pub log_entries: usize,
    /// Replicas with a vote.
    pub voters: Vec<u64>,
    /// Replicas without a vote, which replicate the log.
    pub learners: Vec<u64>,
    /// Replicas that were removed.
    pub retired: Vec<u64>,
    /// The latest epoch issued.
    pub last_epoch: u64,
    /// Number of sessions in the table.
    pub instances: usize,
    /// Whether its disk is too slow for a leader.
    #[serde(rename = "slow")]
    pub slow_disk: bool,
    /// Time since the process started, s.
    #[serde(rename = "up")]
    pub uptime: f64,
    /// Counters since the process started, by name.
    pub counts: BTreeMap<String, u64>,
}

/// An event for checkers that collect the history of many processes, written as a line of JSON to standard output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The process accepts connections.
    Ready {
        /// Its address, as host and port.
        listen: String,
    },
    /// A replica applied a change of the table.
    Change(Change),
    /// A replica became the leader.
    #[serde(rename = "leads")]
    BecameLeader {
        /// The replica's number.
        #[serde(rename = "keeper")]
        replica: u64,
        /// The consensus term.
        term: u64,
    },
    /// An instance started a task.
    #[serde(rename = "begin")]
    LeaseStarted {
        /// The instance.
        #[serde(rename = "owner")]
        holder: HolderId,
        /// The task.
        #[serde(rename = "duty")]
        task: Task,
        /// The lease's fencing token.
        epoch: Epoch,
    },
    /// An instance stopped a task.
    #[serde(rename = "down")]
    LeaseEnded {
        /// The instance.
        #[serde(rename = "owner")]
        holder: HolderId,
        /// The task.
        #[serde(rename = "duty")]
        task: Task,
        /// The lease's fencing token.
        epoch: Epoch,
        /// Why the lease ended, for readers.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A server applies a rate for a tenant from `at` on. From `valid_until` on it applies at most the lower of this
    /// rate and the equal share. Both times are seconds of the machine's monotonic clock.
    #[serde(rename = "goes")]
    QuotaApplied {
        /// The tenant's name.
        #[serde(rename = "customer")]
        tenant: String,
        /// Requests per second.
        rate: f64,
        /// The equal share, requests per second.
        #[serde(rename = "equal")]
        equal_share: f64,
        /// Time since which the rate applies, s.
        at: f64,
        /// Expiry of the allocation, s, if the server has one.
        #[serde(rename = "until")]
        valid_until: Option<f64>,
    },
    /// A server starts to drain.
    #[serde(rename = "leaves")]
    ServerDraining {
        /// The server's zone.
        zone: String,
        /// The epoch of its drain slot, if it has one.
        #[serde(rename = "by")]
        slot_epoch: Option<Epoch>,
    },
    /// A fence checked an effect or, without a block, the announcement of a new holder.
    #[serde(rename = "judged")]
    EffectChecked {
        /// The task.
        #[serde(rename = "duty")]
        task: Task,
        /// The epoch of the effect.
        epoch: Epoch,
        /// The number of the effect; for an announcement, the last recorded number.
        number: u64,
        /// The trace block that is the effect.
        #[serde(rename = "piece")]
        block: Option<String>,
        /// The result of the check.
        verdict: Verdict,
    },
}

/// Writes events to standard output, or drops them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSink {
    /// Whether events are written.
    pub enabled: bool,
}

impl EventSink {
    /// Writes an event, if events are enabled.
    pub fn emit(self, event: &Event) {
        if !self.enabled {
            return;
        }
        // A write fails once the reader has closed the pipe; the event is dropped.
        if let Ok(mut line) = serde_json::to_string(event) {
            line.push('\n');
            let _ = std::io::Write::write_all(&mut std::io::stdout().lock(), line.as_bytes());
        }
    }
}
