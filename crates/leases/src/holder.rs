//! The leases of one instance. The host sends the requests of [`LeaseHolder::next_request`], passes in the responses,
//! and calls [`LeaseHolder::begin_step`] before every step of a task. Times are seconds by the instance's monotonic
//! clock.
//!
//! A term counts from when the request was sent, so that it ends here before the lease store considers it expired.
//! Every check compares the clock with the end of the term, so that a process that was paused does not continue under
//! an expired lease.

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

/// Interval of requests as a fraction of the term; four may fail in a row before a lease expires.
pub const RENEWAL_FRACTION: f64 = 0.2;
/// Fraction of the term before its end in which no new step begins.
pub const EXPIRY_MARGIN_FRACTION: f64 = 0.25;
/// Maximum number of requests whose send times are kept; responses to older ones are too late to extend a lease.
const MAX_PENDING_REQUESTS: usize = 64;

/// The latest accepted response.
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
    /// Names of the tasks that the instance can run.
    tasks: BTreeSet<String>,
    draining: bool,
    requests: SentTimes,
    /// End of the term that the last answered request allows.
    valid_until: f64,
    term: f64,
    acknowledged: Acknowledged,
    held: BTreeMap<Task, HeldLease>,
    /// Leases that ended here, reported until the lease store no longer lists them.
    released: Vec<LeaseId>,
    /// Leases that ended during a step. They are released once the step has ended, since an effect may be in flight.
    dropped_mid_step: BTreeSet<LeaseId>,
    last_request_at: Option<f64>,
    renewal_due: bool,
    rejection: Option<Rejection>,
}

impl LeaseHolder {
    /// Creates a holder without leases that can run the tasks of these names. `term` (s) paces the requests until a
    /// response contains the term in force.
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

    /// Returns the instance and its incarnation.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns why the lease store rejects this incarnation, if it does.
    pub fn rejection(&self) -> Option<Rejection> {
        self.rejection
    }

    /// Returns whether the instance releases all its leases to shut down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the held leases, by task. [`LeaseHolder::stage`] returns whether one is still valid.
    pub fn leases(&self) -> impl Iterator<Item = (&Task, Epoch)> {
        self.held.iter().map(|(task, lease)| (task, lease.epoch))
    }

    /// Starts to release all leases, to shut down.
    pub fn start_draining(&mut self) {
        self.renewal_due |= !self.draining;
        self.draining = true;
    }

    /// Makes the next request due at once, for a newly connected replica.
    pub fn renew_now(&mut self) {
        self.renewal_due = true;
    }

    /// Returns whether the lease store has yet to confirm the release of a lease.
    pub fn has_pending_releases(&self) -> bool {
        !self.released.is_empty() || !self.dropped_mid_step.is_empty()
    }

    /// Returns when the next request is due (s).
    pub fn next_renewal(&self) -> f64 {
        match self.last_request_at {
            Some(last_request_at) if !self.renewal_due => last_request_at + RENEWAL_FRACTION * self.term,
            _ => f64::MIN,
        }
    }

    /// Returns the request to send, if one is due. It must be sent at once, since the term counts from `now` (s).
    /// Releases and progress are repeated until a response acknowledges them.
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

    /// Returns the progress for the request of this serial number.
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

    /// Handles a response that arrived at `now` (s), possibly late or duplicated, and returns the actions for the host.
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
        // Ignore a response to a request that was never sent, or older than the last accepted one.
        if response.serial > self.requests.last_number() || received < self.acknowledged {
            return actions;
        }
        self.rejection = None;
        // A response without the list is usable only if the list has not changed since the acknowledged version.
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

    /// Extends the validity by a term from when the answered request was sent.
    fn extend_validity(&mut self, response: &LeaseResponse) {
        let valid_term = response.term.is_finite() && response.term > 0.0;
        if let Some(sent_at) = self.requests.sent_at(response.serial).filter(|_| valid_term) {
            self.term = response.term;
            self.valid_until = self.valid_until.max(sent_at + response.term);
        }
    }

    /// Marks the progress in requests up to this serial number as acknowledged.
    fn acknowledge_progress(&mut self, answered: u64) {
        if answered <= self.acknowledged.serial {
            return;
        }
        for lease in self.held.values_mut() {
            lease.acknowledge_progress(answered);
        }
    }

    /// Applies the lease store's list: stops leases that are not in it and starts new ones. Newly revoked leases are
    /// valid until `previous_valid_until`, the end of the term before this response.
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
            // The lease has ended here or never started: release it with the next request.
            if !released {
                self.released.push(id);
                self.renewal_due = true;
            }
            return None;
        }
        self.held.insert(id.task.clone(), HeldLease::new(id.epoch));
        Some(HolderAction::Start(id.task, id.epoch))
    }

    /// Drops the leases that have expired at `now` (s).
    pub fn expire(&mut self, now: f64) -> Vec<HolderAction> {
        let expired = self.held.iter().filter(|(_, lease)| now >= self.lease_end(lease));
        let expired: Vec<Task> = expired.map(|(task, _)| task.clone()).collect();
        expired.iter().filter_map(|task| self.drop_lease(task, EndReason::TermExpired)).collect()
    }

    /// Returns when a lease ends (s).
    fn lease_end(&self, lease: &HeldLease) -> f64 {
        lease.revoked_until.map_or(self.valid_until, |revoked_until| revoked_until.min(self.valid_until))
    }

    /// Returns the stage of a task's lease at `now` (s).
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

    /// Begins a step, if one may begin at `now` (s). The host must not begin a step that would outlast the permit.
    pub fn begin_step(&mut self, now: f64, task: &Task) -> Option<StepPermit> {
        if self.stage(now, task) != LeaseStage::Active {
            return None;
        }
        let lease = self.held.get_mut(task).filter(|lease| !lease.step_running)?;
        lease.step_running = true;
        Some(StepPermit { epoch: lease.epoch, valid_until: self.valid_until })
    }

    /// Ends a step: `progress` is whether it made progress, `has_work` whether there is more to do. Returns the
    /// actions due by now.
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

    /// Releases a lease whose task the host has stopped, with no effect in flight. The next request, which is due at
    /// once, reports it.
    pub fn release(&mut self, task: &Task, epoch: Epoch) -> Option<HolderAction> {
        self.held.get(task).filter(|lease| lease.epoch == epoch && !lease.step_running)?;
        self.drop_lease(task, EndReason::Released)
    }

    /// Drops a lease whose epoch a fence rejected, since another instance holds the task.
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
            // Keeps the lease from starting again if the lease store still lists it.
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
