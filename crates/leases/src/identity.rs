//! The names of tasks, holders and leases, which every other module refers to.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The fencing token of a lease: a later lease of a task has a higher one, and none is issued twice.
pub type Epoch = u64;

/// One incarnation of an instance. A restart under the same name is another holder and inherits no lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The instance's name.
    pub instance: String,
    /// Rises with every start of the instance.
    pub incarnation: u64,
}

/// One part of a task; a task that can't be partitioned has part 0 alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The task's name, as the settings declare it.
    pub name: String,
    /// The part's number, from 0.
    pub part: u32,
}

/// One lease: a task under one epoch. Written as the pair `[task, epoch]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Task, Epoch)", into = "(Task, Epoch)")]
pub struct LeaseId {
    /// The leased task.
    pub task: Task,
    /// The lease's fencing token.
    pub epoch: Epoch,
}

impl Task {
    /// Part `part` of the task `name`.
    pub fn new(name: &str, part: u32) -> Task {
        Task { name: name.into(), part }
    }
}

impl HolderId {
    /// Incarnation `incarnation` of `instance`.
    pub fn new(instance: &str, incarnation: u64) -> HolderId {
        HolderId { instance: instance.into(), incarnation }
    }
}

impl LeaseId {
    /// The lease of `task` under `epoch`.
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
