//! Messages between an instance and the lease store. The log encodes the fields of requests by position: their order is
//! part of the format.

use super::{MAX_NAMES, MAX_NAME_BYTES};
use crate::{Epoch, HolderId, LeaseId, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// An instance's request, which renews its session and all its leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The instance and its incarnation.
    #[serde(rename = "owner")]
    pub holder: HolderId,
    /// The instance's zone.
    #[serde(default)]
    pub zone: String,
    /// The number of the request, which rises within an incarnation over all replicas.
    pub serial: u64,
    /// Names of the tasks that the instance can run.
    #[serde(default, rename = "wants")]
    pub tasks: BTreeSet<String>,
    /// Whether the instance drains: it releases all leases and accepts none.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Progress that changed, including whether a part has work.
    #[serde(default, rename = "marks")]
    pub progress: Vec<Progress>,
    /// Released leases, with no effect in flight.
    #[serde(default, rename = "given")]
    pub released: Vec<LeaseId>,
    /// The version of the list of leases that it has, see [`LeaseResponse::version`].
    #[serde(default, rename = "knows")]
    pub known_version: u64,
}

impl LeaseRequest {
    /// Returns whether the length and number of names are within limits.
    pub(super) fn is_valid(&self) -> bool {
        let names = [&self.holder.instance, &self.zone].into_iter().chain(&self.tasks);
        let too_long = names.into_iter().any(|name| name.len() > MAX_NAME_BYTES);
        !self.holder.instance.is_empty() && !too_long && self.tasks.len() <= MAX_NAMES
    }
}

/// A holder's progress on a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The task.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// Number of steps that made progress under this lease.
    #[serde(rename = "done")]
    pub steps_done: u64,
    /// Whether the task has work to do.
    #[serde(rename = "work")]
    pub has_work: bool,
}

/// The lease store's message to an instance, in response to a request and whenever its leases change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The instance and its incarnation.
    #[serde(rename = "owner")]
    pub holder: HolderId,
    /// The serial number of its last applied request. The term counts from when that request was sent.
    pub serial: u64,
    /// The term of all its leases, s.
    pub term: f64,
    /// The version of the list of leases, which rises with every change.
    pub version: u64,
    /// All its leases, unless the instance has this version of the list.
    #[serde(default, rename = "grants")]
    pub leases: Option<Vec<Lease>>,
    /// The reason why it has no session, if it has none.
    #[serde(default, rename = "refused")]
    pub rejection: Option<Rejection>,
}

/// A lease in the list sent to its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The leased task.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The fencing token.
    pub epoch: Epoch,
    /// Whether it is revoked: no new step may begin, and it must be released when the running step has ended.
    #[serde(rename = "back")]
    pub revoked: bool,
}

/// The reason why an instance gets no session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A later incarnation of the instance has sent a request.
    Superseded,
    /// The table has no capacity for another instance or session.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// The instance has no name, a name is too long, or there are too many tasks.
    #[serde(rename = "Unfit")]
    Invalid,
}
