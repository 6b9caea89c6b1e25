//! Actions, stages and permits that a holder returns to its host.

use crate::{Epoch, Task};

/// Whether a lease is valid and steps may begin under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Valid; steps may begin.
    Active,
    /// The term is about to end: the running step may finish, no new one may begin.
    Expiring,
    /// Revoked, or the instance drains: to be released as soon as no step is running.
    Releasing,
    /// Not held; once there is a new holder, the fence rejects effects in flight.
    Ended,
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The term passed without a response, or this process was paused.
    TermExpired,
    /// Released by the host.
    Released,
    /// Expired in the lease store, which no longer lists it.
    NotListed,
    /// A later incarnation of the instance has a session.
    Superseded,
    /// A fence has recorded a later epoch.
    Fenced,
}

/// An action that the host must take.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// Start a task under this epoch.
    Start(Task, Epoch),
    /// Finish the running step without beginning another, then call
    /// [`LeaseHolder::release`](super::LeaseHolder::release).
    Release(Task, Epoch),
    /// Stop the task at once.
    Stop(Task, Epoch, EndReason),
}

/// Permission to run one step of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepPermit {
    /// The lease's fencing token, to be sent with every effect.
    pub epoch: Epoch,
    /// End of the lease, s by the instance's clock.
    pub valid_until: f64,
}
