//! Changes of leases, for logs, metrics and checkers.

use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The grant, revocation or end of a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The table's time, s.
    pub at: f64,
    /// The leased task.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The holder of the lease.
    #[serde(rename = "owner")]
    pub holder: HolderId,
    /// The fencing token.
    pub epoch: Epoch,
    /// The kind of change.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
    /// The cause of the change.
    pub cause: Cause,
}

/// The kinds of changes of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The lease was granted.
    #[serde(rename = "Given")]
    Granted,
    /// The lease is to be released.
    #[serde(rename = "TakenBack")]
    Revoked,
    /// The lease ended; the part is vacant.
    Ended,
}

/// The cause of a change of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The part was vacant.
    Vacant,
    /// The holder's session expired.
    Expired,
    /// The holder released the lease.
    #[serde(rename = "HandedOver")]
    Released,
    /// The holder did not release the revoked lease in time.
    #[serde(rename = "NotHandedOver")]
    ReleaseTimeout,
    /// The holder drains.
    Draining,
    /// The holder had work and made no progress.
    Stalled,
    /// The part moves to an instance with fewer parts.
    #[serde(rename = "Levelled")]
    Rebalanced,
    /// An operator moved the part.
    Moved,
    /// An operator paused the task.
    Paused,
    /// The task, or this part of it, is no longer declared.
    #[serde(rename = "Dropped")]
    Undeclared,
}

impl Cause {
    /// Returns a description for logs and operators.
    pub fn text(self) -> &'static str {
        match self {
            Cause::Vacant => "the part was vacant",
            Cause::Expired => "the holder sent no request for a term",
            Cause::Released => "released by the holder",
            Cause::ReleaseTimeout => "not released in time",
            Cause::Draining => "the holder drains",
            Cause::Stalled => "the holder made no progress",
            Cause::Rebalanced => "moved to balance loads",
            Cause::Moved => "moved by an operator",
            Cause::Paused => "paused by an operator",
            Cause::Undeclared => "no longer declared",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.text())
    }
}
