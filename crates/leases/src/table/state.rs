//! What the table keeps of tasks, leases and instances. Stored in snapshots by position: the order of the fields is part
//! of the format.

use super::TaskDeclaration;
use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// A lease that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ActiveLease {
    pub(super) holder: HolderId,
    pub(super) epoch: Epoch,
    /// When it began.
    pub(super) since: f64,
    pub(super) steps_done: u64,
    /// Since when there has been work and no progress.
    pub(super) stalled_since: Option<f64>,
    /// Revoked, and ended at that time at the latest.
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

/// An instance that stalled on a part and is not assigned it for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Exclusion {
    pub(super) instance: String,
    pub(super) until: f64,
}

/// One part of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PartState {
    pub(super) lease: Option<ActiveLease>,
    pub(super) exclusions: Vec<Exclusion>,
    /// The instance that it is to be assigned to next, if possible.
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
    /// Also parts that are no longer declared, until their leases have ended.
    pub(super) parts: Vec<PartState>,
}

impl TaskState {
    pub(super) fn new(declaration: TaskDeclaration) -> TaskState {
        TaskState { declaration, paused: false, parts: Vec::new() }
    }

    /// Parts that are still declared.
    pub(super) fn declared_parts(&self) -> impl Iterator<Item = &PartState> {
        self.parts.iter().take(self.declaration.parts as usize)
    }

    /// Numbers of the declared parts without a lease.
    pub(super) fn vacant_parts(&self) -> Vec<u32> {
        let vacant = self.declared_parts().zip(0..).filter(|(part, _)| part.lease.is_none());
        vacant.map(|(_, number)| number).collect()
    }
}

/// An instance that is heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Session {
    pub(super) zone: String,
    /// The serial number of its last request.
    pub(super) serial: u64,
    /// The term that the last request was granted, whatever the rules say by now.
    pub(super) term: f64,
    pub(super) expires_at: f64,
    /// Names of the tasks that it can run.
    pub(super) tasks: BTreeSet<String>,
    pub(super) draining: bool,
    /// The version of its list of leases.
    pub(super) version: u64,
    pub(super) leases: BTreeSet<Task>,
}

/// What is remembered of an instance between its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct InstanceHistory {
    /// The latest that has spoken.
    pub(super) incarnation: u64,
    /// When its last session expired.
    pub(super) session_expired_at: Option<f64>,
    /// When those sessions expired that count as flapping.
    pub(super) flaps: VecDeque<f64>,
    /// It is assigned nothing before then.
    pub(super) excluded_until: f64,
    pub(super) last_request_at: f64,
}

impl InstanceHistory {
    /// Counts an expired session; too many within the window exclude the instance for a while.
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
