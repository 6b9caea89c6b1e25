//! What instances, operators and replicas of the lease store exchange: one line of JSON for each message. One connection
//! may carry all kinds.

use crate::fence::Verdict;
use crate::table::{Change, Command, InstanceRow, LeaseRequest, LeaseResponse, LeaseRow};
use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Longest line, in bytes: a list of leases of tens of thousands of parts.
pub const MAX_LINE_BYTES: usize = 16 << 20;

/// A message to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaRequest {
    /// An instance renews its session and reports.
    #[serde(rename = "say")]
    Renew(LeaseRequest),
    /// From another replica: a message of the consensus library, base64.
    #[serde(rename = "peer")]
    PeerMessage(String),
    /// How this replica is, by itself alone.
    Status,
    /// All leases and instances as of now; the leader answers.
    #[serde(rename = "duties")]
    Tasks,
    /// An operator's command.
    Command(Command),
    /// A replica under a number that was never used, reached at the address.
    #[serde(rename = "add")]
    AddReplica {
        /// The replica's number.
        number: u64,
        /// Its address, as host and port.
        address: String,
    },
    /// Removes a replica for good.
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
    /// To an instance.
    #[serde(rename = "told")]
    Lease(LeaseResponse),
    /// This replica does not lead.
    #[serde(rename = "elsewhere")]
    NotLeader {
        /// The replica that may lead.
        leader: Option<u64>,
        /// Its address, as host and port.
        address: Option<String>,
    },
    /// In reply to [`ReplicaRequest::Status`].
    Status(Box<ReplicaStatus>),
    /// In reply to [`ReplicaRequest::Tasks`].
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
    /// The command was not carried out, and why.
    #[serde(rename = "failed")]
    CommandFailed(String),
}

/// How a replica is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's number.
    pub number: u64,
    /// The replica that leads, as far as it knows.
    pub leader: Option<u64>,
    /// It leads, and has applied all that was committed before.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The consensus term.
    pub term: u64,
    /// Index of the last entry that was applied.
    pub applied: u64,
    /// Entries after the last snapshot.
    pub log_entries: usize,
    /// Replicas with a vote.
    pub voters: Vec<u64>,
    /// Replicas that catch up before they get a vote.
    pub learners: Vec<u64>,
    /// Replicas that were removed.
    pub retired: Vec<u64>,
    /// The latest epoch that was issued.
    pub last_epoch: u64,
    /// Sessions in the table.
    pub instances: usize,
    /// Its disk takes longer than a leader's may.
    #[serde(rename = "slow")]
    pub slow_disk: bool,
    /// Time since it started, s by its clock.
    #[serde(rename = "up")]
    pub uptime: f64,
    /// Counters since it started, by name.
    pub counts: BTreeMap<String, u64>,
}

/// What a process did, for whoever collects the history of many: one line of JSON each on standard output, where that is
/// asked for.
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
    /// A server applies a rate for a tenant from `at` on, and no more than the lower of it and the equal share from
    /// `valid_until` on if nothing else is allocated. Both are seconds of the machine's monotonic clock.
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
        /// Since when it applies, s.
        at: f64,
        /// When the allocation expires, s; none if the server has none.
        #[serde(rename = "until")]
        valid_until: Option<f64>,
    },
    /// A server drains.
    #[serde(rename = "leaves")]
    ServerDraining {
        /// The server's zone.
        zone: String,
        /// The epoch of its drain slot; none if it drains without one.
        #[serde(rename = "by")]
        slot_epoch: Option<Epoch>,
    },
    /// A fence checked an effect or, without a block, the announcement of a holder.
    #[serde(rename = "judged")]
    EffectChecked {
        /// The task.
        #[serde(rename = "duty")]
        task: Task,
        /// The epoch of the effect.
        epoch: Epoch,
        /// The number of the effect; of an announcement the last number that is recorded.
        number: u64,
        /// The block of a trace that is the effect.
        #[serde(rename = "piece")]
        block: Option<String>,
        /// What becomes of it.
        verdict: Verdict,
    },
}

/// Where events go: to standard output, or nowhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSink {
    /// Whether events are written.
    pub enabled: bool,
}

impl EventSink {
    /// Writes an event, if events are asked for.
    pub fn emit(self, event: &Event) {
        if !self.enabled {
            return;
        }
        // A write fails when nobody reads any more: then the event is dropped.
        if let Ok(mut line) = serde_json::to_string(event) {
            line.push('\n');
            let _ = std::io::Write::write_all(&mut std::io::stdout().lock(), line.as_bytes());
        }
    }
}
