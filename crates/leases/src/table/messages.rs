//! What an instance and the lease store exchange. Requests are stored in the log by position: the order of the fields is
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
    /// Rises with every request of this incarnation, whichever replica it goes to.
    pub serial: u64,
    /// Names of the tasks that it can run.
    #[serde(default, rename = "wants")]
    pub tasks: BTreeSet<String>,
    /// It drains: it releases all leases and takes none.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Progress that changed, also of parts that have work again or no more.
    #[serde(default, rename = "marks")]
    pub progress: Vec<Progress>,
    /// Leases that it has ended: no effect of them is on its way from here.
    #[serde(default, rename = "given")]
    pub released: Vec<LeaseId>,
    /// The list of leases that it knows, see [`LeaseResponse::version`].
    #[serde(default, rename = "knows")]
    pub known_version: u64,
}

impl LeaseRequest {
    /// Whether the names are of allowed length and number.
    pub(super) fn is_valid(&self) -> bool {
        let names = [&self.holder.instance, &self.zone].into_iter().chain(&self.tasks);
        let too_long = names.into_iter().any(|name| name.len() > MAX_NAME_BYTES);
        !self.holder.instance.is_empty() && !too_long && self.tasks.len() <= MAX_NAMES
    }
}

/// How far a holder got with a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The task.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The epoch of the lease.
    pub epoch: Epoch,
    /// Rises whenever a step got something done.
    #[serde(rename = "done")]
    pub steps_done: u64,
    /// Whether there is something to do.
    #[serde(rename = "work")]
    pub has_work: bool,
}

/// What the lease store sends to an instance, in response to a request and whenever its leases change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The instance and its incarnation.
    #[serde(rename = "owner")]
    pub holder: HolderId,
    /// The last of its requests that was applied: the term counts from when that one was sent.
    pub serial: u64,
    /// How long leases are valid from then on, s.
    pub term: f64,
    /// Rises with every change of its leases.
    pub version: u64,
    /// All its leases, unless the instance knows this version of the list.
    #[serde(default, rename = "grants")]
    pub leases: Option<Vec<Lease>>,
    /// Why it has no session, if it has none.
    #[serde(default, rename = "refused")]
    pub rejection: Option<Rejection>,
}

/// A lease as its holder learns of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The leased task.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The fencing token.
    pub epoch: Epoch,
    /// No new step may begin, and the lease is to be released when the running one has ended.
    #[serde(rename = "back")]
    pub revoked: bool,
}

/// Why an instance gets no session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A later incarnation of it has spoken.
    Superseded,
    /// The table has no capacity for one more.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// A name is too long, or the request names too many tasks.
    #[serde(rename = "Unfit")]
    Invalid,
}
