//! The requests in flight, by the number that the policy knows and by the attempt id that agent and store know.

use super::identifiers::{AttemptId, IdempotencyKey};
use super::mailbox::Mailbox;
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
        self.by_id.insert(self.last_id, InFlightRequest { attempt, key, mailbox, running: false });
        Some(self.last_id)
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

    /// Where the request of this attempt id waits for events.
    pub fn mailbox_of(&self, attempt: &AttemptId) -> Option<&Arc<Mailbox>> {
        self.by_id.get(self.by_attempt.get(attempt)?).map(|request| &request.mailbox)
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
