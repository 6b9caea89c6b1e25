//! What a holder tells its host.

use crate::{Epoch, Task};

/// How far a lease may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Steps may begin.
    Active,
    /// The term is nearly over: the running step may end, no new one begins.
    Expiring,
    /// Revoked, or the instance drains: the lease is released as soon as no step is running.
    Releasing,
    /// Not held; an effect that is still on its way is rejected by its fence.
    Ended,
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The term passed without a response, or this process was paused.
    TermExpired,
    /// Released as asked.
    Released,
    /// The lease store no longer lists it: it expired there.
    NotListed,
    /// A later incarnation has spoken.
    Superseded,
    /// A fence has seen a later epoch.
    Fenced,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// Start a task under this epoch.
    Start(Task, Epoch),
    /// End the running step, begin none, then call [`LeaseHolder::release`](super::LeaseHolder::release).
    Release(Task, Epoch),
    /// Stop the task at once.
    Stop(Task, Epoch, EndReason),
}

/// Permission to run one step of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepPermit {
    /// The lease's fencing token, which goes with every effect.
    pub epoch: Epoch,
    /// Until when the lease may be relied on, s by the instance's clock.
    pub valid_until: f64,
}
