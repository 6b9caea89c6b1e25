//! Arrivals: queues a request, replays an earlier attempt's result, or rejects the request immediately.

use super::averages::EWMA_WEIGHT;
use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::DEADLINE_MARGIN_S;
use crate::{Decisions, Idempotency, Reason, Request};

impl AdmissionPolicy {
    /// Queues a request that was read, or replays or rejects it immediately.
    pub(super) fn handle_arrival(&mut self, now: f64, request: &Request, decisions: &mut impl Decisions) {
        let request = self.in_flight_request(now, request);
        let input = request.input;
        let class = &self.classes[input.class];
        let is_keyed = class.settings.idempotency == Idempotency::Keyed;
        self.retry_advice.record_arrival(input.is_retry, EWMA_WEIGHT);
        if now < request.deadline && !request.over_quota {
            self.pressure.record_wait(input.time_unread / class.wait_threshold);
        }
        let arrived = request.arrived;
        let index = self.requests.insert(request);
        self.index_by_id.insert(input.id, index);
        self.memory.add(input.memory);
        // A retry whose earlier attempt is in flight or has run receives that attempt's result and never
        // runs itself.
        if input.earlier_attempt != 0 && is_keyed {
            self.requests[index].stage = Stage::Replaying;
            decisions.replay_result(input.id);
            return;
        }
        self.queue.push(index);
        if self.drain.is_some_and(|drain| arrived > drain.admit_until - DEADLINE_MARGIN_S) {
            return self.reject(index, Reason::Draining, decisions);
        }
        if is_keyed {
            self.remember_key(now, index, decisions);
        }
    }

    /// Remembers the idempotency key of a queued request. Rejects the request if the key does not fit in
    /// memory, since a retry could then run a second time.
    fn remember_key(&mut self, now: f64, index: usize, decisions: &mut impl Decisions) {
        if !self.memory.has_room_for_key() {
            return self.reject(index, Reason::KeyMemoryFull, decisions);
        }
        let request = &mut self.requests[index];
        let dedup_window = self.classes[request.input.class].settings.dedup_window;
        let duration = (dedup_window - request.input.time_unread).max(DEADLINE_MARGIN_S) + DEADLINE_MARGIN_S;
        decisions.remember_key(request.input.id, duration);
        request.key_expires_at = Some(now + duration);
        self.memory.add_key();
    }

    /// Creates the in-flight state of a request: its deadline, latency objective, relative cost hint and
    /// quota status.
    fn in_flight_request(&mut self, now: f64, request: &Request) -> InFlight {
        let input = Request { class: request.class.min(self.classes.len() - 1), ..*request };
        let class = &self.classes[input.class];
        let arrived = now - input.time_unread;
        let caller_deadline =
            if input.deadline > 0.0 { input.deadline } else { arrived + class.settings.timeout };
        let deadline = self.drain.map_or(caller_deadline, |drain| caller_deadline.min(drain.answer_by));
        let objective = class.settings.latency_objective + class.settings.objective_stretch * input.cost_hint;
        let is_hinted = input.cost_hint > 0.0 && class.mean_hint > 0.0;
        let relative_hint = if is_hinted { input.cost_hint / class.mean_hint } else { 1.0 };
        let quota = self.quotas.get_mut(input.tenant);
        let over_quota = quota.is_some_and(|quota| quota.is_over(now, !input.is_retry));
        InFlight { input, arrived, objective, deadline, relative_hint, over_quota, ..InFlight::default() }
    }
}
