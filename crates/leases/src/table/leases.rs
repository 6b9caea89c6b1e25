//! Grant, revocation and end of leases.

use super::state::{ActiveLease, PartState};
use super::{Cause, Change, ChangeKind, LeaseTable, Outcome};
use crate::{HolderId, Task};

impl LeaseTable {
    pub(super) fn part_mut(&mut self, task: &Task) -> Option<&mut PartState> {
        self.tasks.get_mut(&task.name)?.parts.get_mut(task.part as usize)
    }

    fn lease_mut(&mut self, task: &Task) -> Option<&mut ActiveLease> {
        self.part_mut(task)?.lease.as_mut()
    }

    /// Returns the lease of a task, if this holder holds it under this epoch.
    pub(super) fn lease_held_by(
        &mut self,
        holder: &HolderId,
        task: &Task,
        epoch: u64,
    ) -> Option<&mut ActiveLease> {
        self.lease_mut(task).filter(|lease| lease.is_held_by(holder, epoch))
    }

    /// Gives the holder's list of leases a new version, so that it is sent again.
    fn bump_version(&mut self, holder: &HolderId) {
        self.last_version += 1;
        if let Some(session) = self.sessions.get_mut(holder) {
            session.version = self.last_version;
        }
    }

    /// Grants a vacant part under a new epoch.
    pub(super) fn grant(&mut self, task: Task, holder: HolderId, outcome: &mut Outcome) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let now = self.now;
        let Some(part) = self.part_mut(&task) else { return };
        part.lease = Some(ActiveLease::new(holder.clone(), epoch, now));
        part.next_holder = None;
        if let Some(session) = self.sessions.get_mut(&holder) {
            session.leases.insert(task.clone());
        }
        self.bump_version(&holder);
        let (kind, cause) = (ChangeKind::Granted, Cause::Vacant);
        outcome.changes.push(Change { at: now, task, holder, epoch, kind, cause });
    }

    /// Ends a lease, which leaves the part vacant.
    pub(super) fn end(&mut self, task: &Task, cause: Cause, outcome: &mut Outcome) {
        self.revoked.remove(task);
        let Some(lease) = self.part_mut(task).and_then(|part| part.lease.take()) else { return };
        self.assignment_due = true;
        if let Some(session) = self.sessions.get_mut(&lease.holder) {
            session.leases.remove(task);
        }
        self.bump_version(&lease.holder);
        let ActiveLease { holder, epoch, .. } = lease;
        let kind = ChangeKind::Ended;
        outcome.changes.push(Change { at: self.now, task: task.clone(), holder, epoch, kind, cause });
    }

    /// Revokes a lease, which ends when it is released, at the latest at `until` (s).
    pub(super) fn revoke(&mut self, task: &Task, until: f64, cause: Cause, outcome: &mut Outcome) {
        let Some(lease) = self.lease_mut(task).filter(|lease| !lease.is_revoked()) else { return };
        lease.revoked_until = Some(until);
        let (holder, epoch) = (lease.holder.clone(), lease.epoch);
        self.revoked.insert(task.clone());
        self.bump_version(&holder);
        let kind = ChangeKind::Revoked;
        outcome.changes.push(Change { at: self.now, task: task.clone(), holder, epoch, kind, cause });
    }

    /// Revokes a lease, which ends at the latest when its holder's session expires as of now.
    pub(super) fn revoke_now(&mut self, task: &Task, cause: Cause, outcome: &mut Outcome) {
        let holder = self.holder(task).map(|(holder, _)| holder);
        let session = holder.and_then(|holder| self.sessions.get(holder));
        let until = session.map_or(self.now, |session| session.expires_at);
        self.revoke(task, until, cause, outcome);
    }
}
