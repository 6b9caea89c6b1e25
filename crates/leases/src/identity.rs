//! Identifiers of tasks, holders and leases.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The fencing token of a lease. It rises with every lease of a task and is never reused.
pub type Epoch = u64;

/// An incarnation of an instance. A restarted instance is a new holder and inherits no lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The instance's name.
    pub instance: String,
    /// The incarnation, which rises with every start of the instance.
    pub incarnation: u64,
}

/// One part of a task; a task that cannot be partitioned has part 0 only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The task's name, as the settings declare it.
    pub name: String,
    /// The part's number, from 0.
    pub part: u32,
}

/// A lease, identified by its task and epoch. Serialized as the pair `[task, epoch]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Task, Epoch)", into = "(Task, Epoch)")]
pub struct LeaseId {
    /// The leased task.
    pub task: Task,
    /// The lease's fencing token.
    pub epoch: Epoch,
}

impl Task {
    /// Creates the identifier of one part of a task.
    pub fn new(name: &str, part: u32) -> Task {
        Task { name: name.into(), part }
    }
}

impl HolderId {
    /// Creates the identifier of one incarnation of an instance.
    pub fn new(instance: &str, incarnation: u64) -> HolderId {
        HolderId { instance: instance.into(), incarnation }
    }
}

impl LeaseId {
    /// Creates the identifier of a task's lease under an epoch.
    pub fn new(task: Task, epoch: Epoch) -> LeaseId {
        LeaseId { task, epoch }
    }
}

impl From<(Task, Epoch)> for LeaseId {
    fn from((task, epoch): (Task, Epoch)) -> LeaseId {
        LeaseId { task, epoch }
    }
}

impl From<LeaseId> for (Task, Epoch) {
    fn from(lease: LeaseId) -> (Task, Epoch) {
        (lease.task, lease.epoch)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}/{}", self.name, self.part)
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}#{}", self.instance, self.incarnation)
    }
}
