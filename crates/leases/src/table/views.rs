//! Read access to the table for operators and replicas.

use super::state::{ActiveLease, PartState, Session};
use super::{Lease, LeaseRules, LeaseTable, TaskDeclaration};
use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};

/// A part in the lists for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The part.
    #[serde(rename = "duty")]
    pub task: Task,
    /// The holder, if the part is leased.
    #[serde(rename = "owner")]
    pub holder: Option<HolderId>,
    /// The fencing token; 0 if the part is vacant.
    pub epoch: Epoch,
    /// Time at which the lease was granted, s by the table's time; 0 if the part is vacant.
    pub since: f64,
    /// Whether the lease is revoked.
    #[serde(rename = "back")]
    pub revoked: bool,
    /// Whether the task is paused.
    pub paused: bool,
}

/// An instance in the lists for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The instance and its incarnation.
    #[serde(rename = "owner")]
    pub holder: HolderId,
    /// The instance's zone.
    pub zone: String,
    /// Number of held leases.
    #[serde(rename = "has")]
    pub parts: usize,
    /// Whether the instance releases all its leases to shut down.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Time until its session expires, s.
    #[serde(rename = "left")]
    pub session_remaining: f64,
    /// Remaining time for which the instance is assigned nothing because of flapping, s.
    #[serde(rename = "rests")]
    pub penalty_remaining: f64,
}

impl LeaseTable {
    /// Returns the table's time, s.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &LeaseRules {
        &self.rules
    }

    /// Returns the latest epoch issued.
    pub fn last_epoch(&self) -> Epoch {
        self.last_epoch
    }

    /// Returns the declared tasks, ordered by name.
    pub fn declarations(&self) -> Vec<TaskDeclaration> {
        self.tasks.values().map(|task| task.declaration.clone()).collect()
    }

    /// Returns the number of sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the holder and epoch of a part. For the holder itself the lease may have expired already.
    pub fn holder(&self, task: &Task) -> Option<(&HolderId, Epoch)> {
        self.lease(task).map(|lease| (&lease.holder, lease.epoch))
    }

    /// Returns all parts with their leases.
    pub fn lease_rows(&self) -> Vec<LeaseRow> {
        let mut rows = Vec::new();
        for (name, task) in &self.tasks {
            for (number, part) in task.parts.iter().enumerate() {
                rows.push(lease_row(Task::new(name, number as u32), part, task.paused));
            }
        }
        rows
    }

    /// Returns all instances with a session.
    pub fn instance_rows(&self) -> Vec<InstanceRow> {
        self.sessions.iter().map(|(holder, session)| self.instance_row(holder, session)).collect()
    }

    fn instance_row(&self, holder: &HolderId, session: &Session) -> InstanceRow {
        let excluded_until = self.instances.get(&holder.instance).map(|history| history.excluded_until);
        InstanceRow {
            holder: holder.clone(),
            zone: session.zone.clone(),
            parts: session.leases.len(),
            draining: session.draining,
            session_remaining: (session.expires_at - self.now).max(0.0),
            penalty_remaining: excluded_until.map_or(0.0, |until| (until - self.now).max(0.0)),
        }
    }

    /// Returns the list of a session's leases for its holder.
    pub(super) fn leases_of(&self, session: &Session) -> Vec<Lease> {
        let lease = |task: &Task| {
            let lease = self.lease(task)?;
            Some(Lease { task: task.clone(), epoch: lease.epoch, revoked: lease.is_revoked() })
        };
        session.leases.iter().filter_map(lease).collect()
    }

    pub(super) fn lease(&self, task: &Task) -> Option<&ActiveLease> {
        self.tasks.get(&task.name)?.parts.get(task.part as usize)?.lease.as_ref()
    }
}

fn lease_row(task: Task, part: &PartState, paused: bool) -> LeaseRow {
    let lease = part.lease.as_ref();
    LeaseRow {
        task,
        holder: lease.map(|lease| lease.holder.clone()),
        epoch: lease.map_or(0, |lease| lease.epoch),
        since: lease.map_or(0.0, |lease| lease.since),
        revoked: lease.is_some_and(ActiveLease::is_revoked),
        paused,
    }
}
