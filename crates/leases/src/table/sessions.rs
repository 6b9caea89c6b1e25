//! Renewal and expiry of sessions.

use super::limits::{MAX_INCARNATIONS, MIN_HISTORY_RETENTION};
use super::state::Session;
use super::{Cause, LeaseRequest, LeaseResponse, LeaseTable, Outcome, Progress, Rejection, MAX_INSTANCES};
use crate::{HolderId, Task};
use std::collections::{BTreeMap, BTreeSet};

impl LeaseTable {
    /// Applies requests. Returns the version of the list of leases that each holder with a new request has.
    pub(super) fn receive_all(
        &mut self,
        requests: &[LeaseRequest],
        outcome: &mut Outcome,
    ) -> BTreeMap<HolderId, u64> {
        let mut known_versions = BTreeMap::new();
        for request in requests {
            match self.receive(request, outcome) {
                Ok(true) => {
                    known_versions.insert(request.holder.clone(), request.known_version);
                }
                Ok(false) => {}
                Err(rejection) => outcome.responses.push(LeaseResponse {
                    holder: request.holder.clone(),
                    serial: request.serial,
                    rejection: Some(rejection),
                    ..LeaseResponse::default()
                }),
            }
        }
        known_versions
    }

    /// Applies a request, unless it is older than the last of its session. Returns whether it was applied.
    fn receive(&mut self, request: &LeaseRequest, outcome: &mut Outcome) -> Result<bool, Rejection> {
        if !request.is_valid() {
            return Err(Rejection::Invalid);
        }
        self.record_incarnation(&request.holder)?;
        let Some(expired_at) = self.renew_session(request)? else { return Ok(false) };
        for released in &request.released {
            if self.lease_held_by(&request.holder, &released.task, released.epoch).is_some() {
                self.end(&released.task, Cause::Released, outcome);
            }
        }
        for progress in &request.progress {
            self.record_progress(&request.holder, progress);
        }
        self.revoke_unwanted(&request.holder, expired_at, outcome);
        Ok(true)
    }

    fn record_incarnation(&mut self, holder: &HolderId) -> Result<(), Rejection> {
        if !self.instances.contains_key(&holder.instance) && self.instances.len() >= MAX_INSTANCES {
            return Err(Rejection::CapacityExceeded);
        }
        let history = self.instances.entry(holder.instance.clone()).or_default();
        if holder.incarnation < history.incarnation {
            return Err(Rejection::Superseded);
        }
        history.incarnation = holder.incarnation;
        history.last_request_at = self.now;
        Ok(())
    }

    /// Renews or opens a session. Returns when it would have expired without this request, or `None` if the request is
    /// not new.
    fn renew_session(&mut self, request: &LeaseRequest) -> Result<Option<f64>, Rejection> {
        let expires_at = self.now + self.rules.session_duration();
        let Some(session) = self.sessions.get_mut(&request.holder) else {
            self.open_session(request, expires_at)?;
            return Ok(Some(self.now));
        };
        if request.serial <= session.serial {
            return Ok(None);
        }
        let expired_at = session.expires_at;
        if session.tasks != request.tasks || session.draining != request.draining {
            self.assignment_due = true;
        }
        session.serial = request.serial;
        session.term = self.rules.term;
        session.expires_at = expires_at;
        session.tasks = request.tasks.clone();
        session.draining |= request.draining;
        Ok(Some(expired_at))
    }

    fn open_session(&mut self, request: &LeaseRequest, expires_at: f64) -> Result<(), Rejection> {
        let instance = &request.holder.instance;
        let incarnations = self.sessions.keys().filter(|holder| holder.instance == *instance).count();
        if incarnations >= MAX_INCARNATIONS {
            return Err(Rejection::CapacityExceeded);
        }
        self.last_version += 1;
        let session = Session {
            zone: request.zone.clone(),
            serial: request.serial,
            term: self.rules.term,
            expires_at,
            tasks: request.tasks.clone(),
            draining: request.draining,
            version: self.last_version,
            leases: BTreeSet::new(),
        };
        self.sessions.insert(request.holder.clone(), session);
        self.membership_changed_at = self.now;
        self.assignment_due = true;
        Ok(())
    }

    fn record_progress(&mut self, holder: &HolderId, progress: &Progress) {
        let now = self.now;
        let Some(lease) = self.lease_held_by(holder, &progress.task, progress.epoch) else { return };
        let advanced = progress.steps_done > lease.steps_done;
        lease.steps_done = lease.steps_done.max(progress.steps_done);
        lease.stalled_since = match lease.stalled_since {
            _ if !progress.has_work => None,
            Some(since) if !advanced => Some(since),
            _ => Some(now),
        };
    }

    /// Revokes all leases of a draining holder, and those of tasks that it no longer runs, at the latest from `until`
    /// (s) on, when the session would have expired without this request.
    fn revoke_unwanted(&mut self, holder: &HolderId, until: f64, outcome: &mut Outcome) {
        let Some(session) = self.sessions.get(holder) else { return };
        let wanted = |task: &Task| !session.draining && session.tasks.contains(&task.name);
        let unwanted: Vec<Task> = session.leases.iter().filter(|task| !wanted(task)).cloned().collect();
        for task in unwanted {
            self.revoke(&task, until, Cause::Draining, outcome);
        }
    }

    /// Ends expired sessions with all their leases, and revoked leases that were not released in time.
    pub(super) fn expire(&mut self, outcome: &mut Outcome) {
        self.expire_sessions(outcome);
        self.expire_revoked(outcome);
        self.remove_undeclared_parts();
        self.remove_old_instances();
    }

    fn expire_sessions(&mut self, outcome: &mut Outcome) {
        let now = self.now;
        let expired = self.sessions.iter().filter(|(_, session)| session.expires_at <= now);
        let expired: Vec<HolderId> = expired.map(|(holder, _)| holder.clone()).collect();
        // If most sessions expire at once, the lease store was unreachable and the instances are not flapping.
        let store_unreachable = 2 * expired.len() > self.sessions.len();
        for holder in expired {
            self.expire_session(&holder, store_unreachable, outcome);
        }
    }

    fn expire_session(&mut self, holder: &HolderId, store_unreachable: bool, outcome: &mut Outcome) {
        let Some(session) = self.sessions.remove(holder) else { return };
        for task in &session.leases {
            self.end(task, Cause::Expired, outcome);
        }
        self.membership_changed_at = self.now;
        self.assignment_due = true;
        if session.draining {
            return;
        }
        let Some(history) = self.instances.get_mut(&holder.instance) else { return };
        history.session_expired_at = Some(self.now);
        if !store_unreachable {
            history.record_flap(self.now, &self.rules);
        }
    }

    fn expire_revoked(&mut self, outcome: &mut Outcome) {
        let until = |task: &Task| self.lease(task)?.revoked_until;
        let has_expired = |task: &&Task| until(task).is_none_or(|until| until <= self.now);
        let expired: Vec<Task> = self.revoked.iter().filter(has_expired).cloned().collect();
        for task in expired {
            self.end(&task, Cause::ReleaseTimeout, outcome);
        }
    }

    /// Removes instances without a session whose history no longer affects any rule.
    fn remove_old_instances(&mut self) {
        let now = self.now;
        let retention = self.rules.flap_window.max(self.rules.flap_penalty).max(MIN_HISTORY_RETENTION);
        let connected: BTreeSet<&str> = self.sessions.keys().map(|holder| holder.instance.as_str()).collect();
        self.instances.retain(|name, history| {
            now - history.last_request_at <= retention || connected.contains(name.as_str())
        });
    }
}
