//! What an instance knows of its own leases. Its host sends what [`LeaseHolder::next_request`] gives, passes in the
//! responses, and asks [`LeaseHolder::begin_step`] before every step of a task. Times are seconds by the instance's own
//! monotonic clock.
//!
//! The term counts from when a request was sent: whatever the network did to it, the lease store counts from later. A
//! process that was stopped finds out at its first check, since every check compares the clock with what the last
//! answered request allows.

mod action;
mod held_lease;
#[cfg(test)]
mod tests;

pub use action::{EndReason, HolderAction, LeaseStage, StepPermit};

use crate::sent_times::SentTimes;
use crate::table::{Lease, LeaseRequest, LeaseResponse, Progress, Rejection};
use crate::{Epoch, HolderId, LeaseId, Task};
use held_lease::HeldLease;
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the term after which a request is due; four may fail before a lease expires.
pub const RENEWAL_FRACTION: f64 = 0.2;
/// Fraction of the term left below which no new step begins.
pub const EXPIRY_MARGIN_FRACTION: f64 = 0.25;
/// Requests whose send times are kept until they are answered; older responses come too late to matter.
const MAX_PENDING_REQUESTS: usize = 64;

/// The latest response that was accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Acknowledged {
    /// The serial number of the request that it answered.
    serial: u64,
    /// The version of the list of leases.
    version: u64,
}

/// One incarnation of an instance with its leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseHolder {
    id: HolderId,
    zone: String,
    /// Names of the tasks that it can run.
    tasks: BTreeSet<String>,
    draining: bool,
    requests: SentTimes,
    /// Until when the last answered request allows to rely on leases.
    valid_until: f64,
    term: f64,
    acknowledged: Acknowledged,
    held: BTreeMap<Task, HeldLease>,
    /// Ended here; reported until the lease store no longer lists them.
    released: Vec<LeaseId>,
    /// Dropped in the middle of a step: not released before the step has ended, since an effect may be on its way.
    dropped_mid_step: BTreeSet<LeaseId>,
    last_request_at: Option<f64>,
    renewal_due: bool,
    rejection: Option<Rejection>,
}

impl LeaseHolder {
    /// A holder without a lease that can run the tasks of these names. `term` (s) is a guess until a response gives it;
    /// it only paces the first requests.
    pub fn new(id: HolderId, zone: &str, tasks: impl IntoIterator<Item = String>, term: f64) -> LeaseHolder {
        LeaseHolder {
            id,
            zone: zone.into(),
            tasks: tasks.into_iter().collect(),
            draining: false,
            requests: SentTimes::new(0, MAX_PENDING_REQUESTS),
            valid_until: f64::MIN,
            term,
            acknowledged: Acknowledged::default(),
            held: BTreeMap::new(),
            released: Vec::new(),
            dropped_mid_step: BTreeSet::new(),
            last_request_at: None,
            renewal_due: true,
            rejection: None,
        }
    }

    /// The instance and its incarnation.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Why the lease store rejects this incarnation, if it does.
    pub fn rejection(&self) -> Option<Rejection> {
        self.rejection
    }

    /// Whether it releases all its leases to shut down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The leases that it holds, by task. Whether one is still valid is for [`LeaseHolder::stage`] to say.
    pub fn leases(&self) -> impl Iterator<Item = (&Task, Epoch)> {
        self.held.iter().map(|(task, lease)| (task, lease.epoch))
    }

    /// The instance shuts down: all leases are to be released.
    pub fn start_draining(&mut self) {
        self.renewal_due |= !self.draining;
        self.draining = true;
    }

    /// The next request is due at once: a replica that may have received none is connected.
    pub fn renew_now(&mut self) {
        self.renewal_due = true;
    }

    /// Whether any lease was released without the lease store having confirmed it.
    pub fn has_pending_releases(&self) -> bool {
        !self.released.is_empty() || !self.dropped_mid_step.is_empty()
    }

    /// When the next request is due (s); at once after something to report.
    pub fn next_renewal(&self) -> f64 {
        match self.last_request_at {
            Some(last_request_at) if !self.renewal_due => last_request_at + RENEWAL_FRACTION * self.term,
            _ => f64::MIN,
        }
    }

    /// The request to send now, if one is due. It is to be sent at once, since the term counts from `now`. Releases and
    /// progress are repeated until a response shows that they arrived.
    pub fn next_request(&mut self, now: f64) -> Option<LeaseRequest> {
        if now < self.next_renewal() || self.rejection == Some(Rejection::Superseded) {
            return None;
        }
        self.last_request_at = Some(now);
        self.renewal_due = false;
        let serial = self.requests.record(now);
        Some(LeaseRequest {
            holder: self.id.clone(),
            zone: self.zone.clone(),
            serial,
            tasks: self.tasks.clone(),
            draining: self.draining,
            progress: self.report_progress(serial),
            released: self.released.clone(),
            known_version: self.acknowledged.version,
        })
    }

    /// The progress that goes into the request of this serial number.
    fn report_progress(&mut self, serial: u64) -> Vec<Progress> {
        let mut progress = Vec::new();
        for (task, lease) in &mut self.held {
            if !lease.report_progress_with(serial) {
                continue;
            }
            progress.push(Progress {
                task: task.clone(),
                epoch: lease.epoch,
                steps_done: lease.steps_done,
                has_work: lease.has_work,
            });
        }
        progress
    }

    /// Takes a response of the lease store, however late or often it arrives, and returns what the host is to do.
    pub fn handle_response(&mut self, now: f64, response: &LeaseResponse) -> Vec<HolderAction> {
        let mut actions = self.expire(now);
        if response.holder != self.id {
            return actions;
        }
        if let Some(rejection) = response.rejection {
            self.rejection = Some(rejection);
            if rejection == Rejection::Superseded {
                actions.extend(self.drop_all(EndReason::Superseded));
            }
            return actions;
        }
        let received = Acknowledged { serial: response.serial, version: response.version };
        // A response to a request that was never sent, or older than what is known, says nothing.
        if response.serial > self.requests.last_number() || received < self.acknowledged {
            return actions;
        }
        self.rejection = None;
        // Without the list it is complete only if nothing changed since the version that came along.
        let complete = response.leases.is_some() || response.version == self.acknowledged.version;
        if !complete {
            self.renewal_due = true;
            return actions;
        }
        let previous_valid_until = self.valid_until;
        self.extend_validity(response);
        self.acknowledge_progress(response.serial);
        self.acknowledged = received;
        if let Some(leases) = &response.leases {
            actions.extend(self.apply_lease_list(now, previous_valid_until, leases));
        }
        actions
    }

    /// The term counts from when the answered request was sent.
    fn extend_validity(&mut self, response: &LeaseResponse) {
        let valid_term = response.term.is_finite() && response.term > 0.0;
        if let Some(sent_at) = self.requests.sent_at(response.serial).filter(|_| valid_term) {
            self.term = response.term;
            self.valid_until = self.valid_until.max(sent_at + response.term);
        }
    }

    /// The request of this serial number arrived with all the progress in it.
    fn acknowledge_progress(&mut self, answered: u64) {
        if answered <= self.acknowledged.serial {
            return;
        }
        for lease in self.held.values_mut() {
            lease.acknowledge_progress(answered);
        }
    }

    /// Takes the lease store's list: what is missing there has ended, what is new starts. Revoked leases are valid until
    /// `previous_valid_until`, the end of validity before this response.
    fn apply_lease_list(
        &mut self,
        now: f64,
        previous_valid_until: f64,
        leases: &[Lease],
    ) -> Vec<HolderAction> {
        let mut actions = Vec::new();
        let listed: BTreeMap<&Task, &Lease> = leases.iter().map(|lease| (&lease.task, lease)).collect();
        let is_listed =
            |task: &Task, epoch: Epoch| listed.get(task).is_some_and(|lease| lease.epoch == epoch);
        let unlisted = self.held.iter().filter(|(task, held)| !is_listed(task, held.epoch));
        let unlisted: Vec<Task> = unlisted.map(|(task, _)| task.clone()).collect();
        for task in unlisted {
            actions.extend(self.drop_lease(&task, EndReason::NotListed));
        }
        self.released.retain(|lease| is_listed(&lease.task, lease.epoch));
        for lease in listed.into_values() {
            actions.extend(self.apply_lease(now, previous_valid_until, lease));
        }
        actions
    }

    fn apply_lease(&mut self, now: f64, previous_valid_until: f64, lease: &Lease) -> Option<HolderAction> {
        let id = LeaseId::new(lease.task.clone(), lease.epoch);
        if self.dropped_mid_step.contains(&id) {
            return None;
        }
        if let Some(held) = self.held.get_mut(&lease.task) {
            if !lease.revoked || held.revoked_until.is_some() {
                return None;
            }
            held.revoked_until = Some(previous_valid_until);
            return Some(HolderAction::Release(id.task, id.epoch));
        }
        let released = self.released.contains(&id);
        if released || lease.revoked || now >= self.valid_until {
            // Known to be over, or never started: released with the next request.
            if !released {
                self.released.push(id);
                self.renewal_due = true;
            }
            return None;
        }
        self.held.insert(id.task.clone(), HeldLease::new(id.epoch));
        Some(HolderAction::Start(id.task, id.epoch))
    }

    /// Drops the leases that have expired at `now`.
    pub fn expire(&mut self, now: f64) -> Vec<HolderAction> {
        let expired = self.held.iter().filter(|(_, lease)| now >= self.lease_end(lease));
        let expired: Vec<Task> = expired.map(|(task, _)| task.clone()).collect();
        expired.iter().filter_map(|task| self.drop_lease(task, EndReason::TermExpired)).collect()
    }

    /// Until when a lease may be relied on.
    fn lease_end(&self, lease: &HeldLease) -> f64 {
        lease.revoked_until.map_or(self.valid_until, |revoked_until| revoked_until.min(self.valid_until))
    }

    /// How far a lease may be relied on at `now`.
    pub fn stage(&self, now: f64, task: &Task) -> LeaseStage {
        let Some(lease) = self.held.get(task) else { return LeaseStage::Ended };
        let remaining = self.lease_end(lease) - now;
        if remaining <= 0.0 {
            LeaseStage::Ended
        } else if lease.revoked_until.is_some() || self.draining {
            LeaseStage::Releasing
        } else if remaining < EXPIRY_MARGIN_FRACTION * self.term {
            LeaseStage::Expiring
        } else {
            LeaseStage::Active
        }
    }

    /// Begins a step, if one may begin now. A step that would last longer than the lease is valid must not begin.
    pub fn begin_step(&mut self, now: f64, task: &Task) -> Option<StepPermit> {
        if self.stage(now, task) != LeaseStage::Active {
            return None;
        }
        let lease = self.held.get_mut(task).filter(|lease| !lease.step_running)?;
        lease.step_running = true;
        Some(StepPermit { epoch: lease.epoch, valid_until: self.valid_until })
    }

    /// A step is over; `progress` says whether it got anything done, `has_work` whether there is more. Returns what
    /// became due meanwhile.
    pub fn finish_step(
        &mut self,
        now: f64,
        task: &Task,
        epoch: Epoch,
        progress: bool,
        has_work: bool,
    ) -> Vec<HolderAction> {
        let actions = self.expire(now);
        let id = LeaseId::new(task.clone(), epoch);
        if let Some(lease) = self.held.get_mut(task).filter(|lease| lease.epoch == epoch) {
            lease.finish_step(progress, has_work);
        } else if self.dropped_mid_step.remove(&id) {
            self.released.push(id);
            self.renewal_due = true;
        }
        actions
    }

    /// The host has stopped a task as asked: no effect of it is on its way. The lease is released with the next request,
    /// which is due at once.
    pub fn release(&mut self, task: &Task, epoch: Epoch) -> Option<HolderAction> {
        self.held.get(task).filter(|lease| lease.epoch == epoch && !lease.step_running)?;
        self.drop_lease(task, EndReason::Released)
    }

    /// A fence rejected this epoch: another instance holds the task, whatever is known here.
    pub fn handle_fenced(&mut self, task: &Task, epoch: Epoch) -> Option<HolderAction> {
        self.held.get(task).filter(|lease| lease.epoch == epoch)?;
        self.drop_lease(task, EndReason::Fenced)
    }

    fn drop_lease(&mut self, task: &Task, reason: EndReason) -> Option<HolderAction> {
        let lease = self.held.remove(task)?;
        let id = LeaseId::new(task.clone(), lease.epoch);
        if lease.step_running {
            self.dropped_mid_step.insert(id);
        } else if reason != EndReason::NotListed {
            // Should the lease store still list it later, it is not started again under the old epoch.
            self.released.push(id);
            self.renewal_due = true;
        }
        Some(HolderAction::Stop(task.clone(), lease.epoch, reason))
    }

    fn drop_all(&mut self, reason: EndReason) -> Vec<HolderAction> {
        let tasks: Vec<Task> = self.held.keys().cloned().collect();
        tasks.iter().filter_map(|task| self.drop_lease(task, reason)).collect()
    }
}
