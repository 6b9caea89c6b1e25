//! Table of the requests in flight, by the id that the policy uses and by attempt id.

use super::identifiers::{AttemptId, IdempotencyKey};
use super::mailbox::{Event, Mailbox};
use std::collections::HashMap;
use std::sync::Arc;

/// Request in flight.
pub struct InFlightRequest {
    /// Attempt id, used towards the agent and the store.
    pub attempt: AttemptId,
    /// Idempotency key, if its class uses them.
    pub key: Option<IdempotencyKey>,
    /// Whether its attempt id may run again once its run has ended.
    pub may_repeat_attempt: bool,
    /// Mailbox of its coroutine.
    pub mailbox: Arc<Mailbox>,
    /// Whether the policy started its run.
    pub running: bool,
    /// Time since which it needs no further answer although its run continues, s.
    pub answered_at: Option<f64>,
    /// Mailbox of a second request with the same attempt id, which is submitted again if this one never ran.
    pub duplicate: Option<Arc<Mailbox>>,
    /// Time since which it may be that no notice on its run will come, s: one went missing, or its launch was lost.
    /// Cleared by the next notice on its run.
    pub outcome_uncertain_since: Option<f64>,
}

impl InFlightRequest {
    /// Notifies the second request with the same attempt id, if there is one, that this one ended.
    pub fn notify_duplicate(&self, ran: bool) {
        if let Some(duplicate) = &self.duplicate {
            duplicate.send(if ran { Event::AttemptTaken } else { Event::AttemptReleased });
        }
    }
}

/// Table of all requests in flight.
#[derive(Default)]
pub struct InFlightRequests {
    by_id: HashMap<u32, InFlightRequest>,
    by_attempt: HashMap<AttemptId, u32>,
    last_id: u32,
}

impl InFlightRequests {
    /// Inserts a request and returns its new id, or `None` if its attempt id is already in flight.
    pub fn insert(
        &mut self,
        attempt: AttemptId,
        key: Option<IdempotencyKey>,
        may_repeat_attempt: bool,
        mailbox: Arc<Mailbox>,
    ) -> Option<u32> {
        if self.by_attempt.contains_key(&attempt) {
            return None;
        }
        self.last_id = self.last_id.checked_add(1)?;
        self.by_attempt.insert(attempt, self.last_id);
        let request = InFlightRequest {
            attempt,
            key,
            may_repeat_attempt,
            mailbox,
            running: false,
            answered_at: None,
            duplicate: None,
            outcome_uncertain_since: None,
        };
        self.by_id.insert(self.last_id, request);
        Some(self.last_id)
    }

    /// Registers `mailbox` to be notified when the request in flight under `attempt` ends. Returns `false` if
    /// another request is already registered.
    pub fn await_end(&mut self, attempt: &AttemptId, mailbox: &Arc<Mailbox>) -> bool {
        let first = self.by_attempt.get(attempt).and_then(|id| self.by_id.get_mut(id));
        let Some(first) = first.filter(|first| first.duplicate.is_none()) else { return false };
        first.duplicate = Some(mailbox.clone());
        true
    }

    /// Removes and returns the request with this id.
    pub fn remove(&mut self, id: u32) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.by_attempt.remove(&request.attempt);
        Some(request)
    }

    /// Returns the request with this id.
    pub fn get_mut(&mut self, id: u32) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// Records that a notice on this attempt was received. Returns the mailbox of its request.
    pub fn record_run_notice(&mut self, attempt: &AttemptId) -> Option<&Arc<Mailbox>> {
        let request = self.by_id.get_mut(self.by_attempt.get(attempt)?)?;
        request.outcome_uncertain_since = None;
        Some(&request.mailbox)
    }

    /// Marks the outcome of a run as uncertain, after its launch may have been lost. Later reconnects do not postpone
    /// its removal.
    pub fn mark_outcome_uncertain(&mut self, id: u32, now: f64) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outcome_uncertain_since.get_or_insert(now);
        }
    }

    /// Marks the outcome of each run as uncertain, after notices went missing.
    pub fn mark_outcomes_uncertain(&mut self, now: f64) {
        for request in self.by_id.values_mut().filter(|request| request.running) {
            request.outcome_uncertain_since = Some(now);
        }
    }

    /// Returns the mailboxes of requests that were answered, and whose outcome became uncertain, at least
    /// `span` seconds ago. Each is returned once.
    pub fn take_lost_runs(&mut self, now: f64, span: f64) -> Vec<Arc<Mailbox>> {
        let mut lost = Vec::new();
        for request in self.by_id.values_mut() {
            let (Some(since), Some(answered_at)) = (request.outcome_uncertain_since, request.answered_at)
            else {
                continue;
            };
            if now - since.max(answered_at) >= span {
                request.outcome_uncertain_since = None;
                lost.push(request.mailbox.clone());
            }
        }
        lost
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.by_id.values().filter(|request| request.running).count()
    }

    /// Returns the mailboxes of all requests.
    pub fn mailboxes(&self) -> impl Iterator<Item = &Arc<Mailbox>> {
        self.by_id.values().map(|request| &request.mailbox)
    }
}

#[cfg(test)]
mod tests;
