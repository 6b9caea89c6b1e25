//! The requests in flight, by the number that the policy knows and by the attempt id that agent and store know.

use super::identifiers::{AttemptId, IdempotencyKey};
use super::mailbox::{Event, Mailbox};
use std::collections::HashMap;
use std::sync::Arc;

/// One request in flight.
pub struct InFlightRequest {
    /// The name under which agent and store know it.
    pub attempt: AttemptId,
    /// Its idempotency key, if its product has them.
    pub key: Option<IdempotencyKey>,
    /// Where its coroutine waits for events.
    pub mailbox: Arc<Mailbox>,
    /// The policy has let it run.
    pub running: bool,
    /// When it got its final answer while its run went on, s.
    pub answered_at: Option<f64>,
    /// Where the request that came second under the same attempt id waits: it is offered again if this one never ran.
    pub duplicate: Option<Arc<Mailbox>>,
    /// Since when the outcome of its run may be one that the agent has dropped, s; none once its run is heard of again.
    pub outcome_uncertain_since: Option<f64>,
}

impl InFlightRequest {
    /// Tells the second request under its attempt id, if there is one, that this one is over.
    pub fn notify_duplicate(&self, ran: bool) {
        if let Some(duplicate) = &self.duplicate {
            duplicate.send(if ran { Event::AttemptTaken } else { Event::AttemptReleased });
        }
    }
}

/// All requests in flight.
#[derive(Default)]
pub struct InFlightRequests {
    by_id: HashMap<u32, InFlightRequest>,
    by_attempt: HashMap<AttemptId, u32>,
    last_id: u32,
}

impl InFlightRequests {
    /// Enters a new request under the next number; `None` if its attempt id is in flight already.
    pub fn insert(
        &mut self,
        attempt: AttemptId,
        key: Option<IdempotencyKey>,
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
            mailbox,
            running: false,
            answered_at: None,
            duplicate: None,
            outcome_uncertain_since: None,
        };
        self.by_id.insert(self.last_id, request);
        Some(self.last_id)
    }

    /// Has a request wait for the end of the one in flight under its attempt id; `false` where another waits already.
    pub fn await_end(&mut self, attempt: &AttemptId, mailbox: &Arc<Mailbox>) -> bool {
        let first = self.by_attempt.get(attempt).and_then(|id| self.by_id.get_mut(id));
        let Some(first) = first.filter(|first| first.duplicate.is_none()) else { return false };
        first.duplicate = Some(mailbox.clone());
        true
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: u32) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.by_attempt.remove(&request.attempt);
        Some(request)
    }

    /// The request of this number.
    pub fn get_mut(&mut self, id: u32) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// The agent has said something of this attempt's run; where its request waits for events.
    pub fn record_run_notice(&mut self, attempt: &AttemptId) -> Option<&Arc<Mailbox>> {
        let request = self.by_id.get_mut(self.by_attempt.get(attempt)?)?;
        request.outcome_uncertain_since = None;
        Some(&request.mailbox)
    }

    /// Notices are missing: any of the runs may have ended unheard.
    pub fn mark_outcomes_uncertain(&mut self, now: f64) {
        for request in self.by_id.values_mut().filter(|request| request.running) {
            request.outcome_uncertain_since = Some(now);
        }
    }

    /// Requests whose run may have ended unheard, once both that and their answer are `span` seconds past. Each is given once.
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

    /// How many of them run.
    pub fn running(&self) -> usize {
        self.by_id.values().filter(|request| request.running).count()
    }

    /// The mailboxes of all.
    pub fn mailboxes(&self) -> impl Iterator<Item = &Arc<Mailbox>> {
        self.by_id.values().map(|request| &request.mailbox)
    }
}
