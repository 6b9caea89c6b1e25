//! What changes in the table, for logs, metrics and checkers.

use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A lease that began, was revoked or ended.
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
    /// What happened to the lease.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
    /// Why.
    pub cause: Cause,
}

/// What happened to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// It began.
    #[serde(rename = "Given")]
    Granted,
    /// It is to be released.
    #[serde(rename = "TakenBack")]
    Revoked,
    /// The part is vacant.
    Ended,
}

/// Why a lease began or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The part was vacant.
    Vacant,
    /// Its holder was silent for the term.
    Expired,
    /// Its holder released it.
    #[serde(rename = "HandedOver")]
    Released,
    /// Its holder did not release it in time.
    #[serde(rename = "NotHandedOver")]
    ReleaseTimeout,
    /// Revoked since its holder drains.
    Draining,
    /// Revoked since its holder had work and got nothing done.
    Stalled,
    /// Revoked since its holder has more parts than others.
    #[serde(rename = "Levelled")]
    Rebalanced,
    /// Revoked since an operator moved it.
    Moved,
    /// Revoked since an operator paused the task.
    Paused,
    /// The task, or this part of it, is no longer declared.
    #[serde(rename = "Dropped")]
    Undeclared,
}

impl Cause {
    /// The cause in words, for logs and operators.
    pub fn text(self) -> &'static str {
        match self {
            Cause::Vacant => "it was vacant",
            Cause::Expired => "its holder was silent for a term",
            Cause::Released => "released",
            Cause::ReleaseTimeout => "not released in time",
            Cause::Draining => "its holder drains",
            Cause::Stalled => "its holder got nothing done",
            Cause::Rebalanced => "its holder has more parts than others",
            Cause::Moved => "an operator moved it",
            Cause::Paused => "an operator paused it",
            Cause::Undeclared => "no longer declared",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.text())
    }
}
