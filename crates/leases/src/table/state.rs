//! The table's state of tasks, leases and instances. Snapshots encode fields by position: their order is part of the
//! format.

use super::TaskDeclaration;
use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// A lease that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ActiveLease {
    pub(super) holder: HolderId,
    pub(super) epoch: Epoch,
    /// Time at which it was granted.
    pub(super) since: f64,
    pub(super) steps_done: u64,
    /// Time since which there has been work without progress.
    pub(super) stalled_since: Option<f64>,
    /// Latest end, if the lease is revoked.
    pub(super) revoked_until: Option<f64>,
}

impl ActiveLease {
    pub(super) fn new(holder: HolderId, epoch: Epoch, since: f64) -> ActiveLease {
        ActiveLease { holder, epoch, since, steps_done: 0, stalled_since: None, revoked_until: None }
    }

    pub(super) fn is_revoked(&self) -> bool {
        self.revoked_until.is_some()
    }

    pub(super) fn is_held_by(&self, holder: &HolderId, epoch: Epoch) -> bool {
        self.holder == *holder && self.epoch == epoch
    }
}

/// The exclusion of an instance from a part that it stalled on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Exclusion {
    pub(super) instance: String,
    pub(super) until: f64,
}

/// The state of one part of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PartState {
    pub(super) lease: Option<ActiveLease>,
    pub(super) exclusions: Vec<Exclusion>,
    /// The instance to assign the part to next, if possible.
    pub(super) next_holder: Option<String>,
}

impl PartState {
    pub(super) fn excludes(&self, instance: &str, now: f64) -> bool {
        self.exclusions.iter().any(|exclusion| exclusion.instance == instance && exclusion.until > now)
    }
}

/// A task with its parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct TaskState {
    pub(super) declaration: TaskDeclaration,
    pub(super) paused: bool,
    /// All parts, including undeclared ones whose leases have not ended.
    pub(super) parts: Vec<PartState>,
}

impl TaskState {
    pub(super) fn new(declaration: TaskDeclaration) -> TaskState {
        TaskState { declaration, paused: false, parts: Vec::new() }
    }

    /// Returns the declared parts.
    pub(super) fn declared_parts(&self) -> impl Iterator<Item = &PartState> {
        self.parts.iter().take(self.declaration.parts as usize)
    }

    /// Returns the numbers of the declared parts without a lease.
    pub(super) fn vacant_parts(&self) -> Vec<u32> {
        let vacant = self.declared_parts().zip(0..).filter(|(part, _)| part.lease.is_none());
        vacant.map(|(_, number)| number).collect()
    }
}

/// The session of an incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Session {
    pub(super) zone: String,
    /// The serial number of the last request.
    pub(super) serial: u64,
    /// The term granted to the last request.
    pub(super) term: f64,
    pub(super) expires_at: f64,
    /// Names of the tasks that the instance can run.
    pub(super) tasks: BTreeSet<String>,
    pub(super) draining: bool,
    /// The version of the list of leases.
    pub(super) version: u64,
    pub(super) leases: BTreeSet<Task>,
}

/// The history of an instance over its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct InstanceHistory {
    /// The latest incarnation that sent a request.
    pub(super) incarnation: u64,
    /// Time at which the last session expired.
    pub(super) session_expired_at: Option<f64>,
    /// Times at which sessions expired, within the flap window.
    pub(super) flaps: VecDeque<f64>,
    /// Time until which the instance is assigned nothing.
    pub(super) excluded_until: f64,
    pub(super) last_request_at: f64,
}

impl InstanceHistory {
    /// Records an expired session. Too many within the window exclude the instance for a while.
    pub(super) fn record_flap(&mut self, now: f64, rules: &super::LeaseRules) {
        self.flaps.push_back(now);
        while self.flaps.front().is_some_and(|at| now - at > rules.flap_window)
            || self.flaps.len() > rules.max_flaps
        {
            self.flaps.pop_front();
        }
        if self.flaps.len() >= rules.max_flaps {
            self.excluded_until = now + rules.flap_penalty;
        }
    }
}
