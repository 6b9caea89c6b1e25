//! Arrivals: what is queued, replayed from an earlier attempt, or rejected at once.

use super::averages::NEW_SAMPLE;
use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::MARGIN;
use crate::{Decisions, Idempotency, Reason, Request};

impl AdmissionPolicy {
    /// Queues a request that was read, or replays or rejects it at once.
    pub(super) fn arrived(&mut self, now: f64, request: &Request, out: &mut impl Decisions) {
        let request = self.stamp(now, request);
        let input = request.input;
        let class = &self.classes[input.class];
        let is_keyed = class.settings.idempotency == Idempotency::Keyed;
        self.retry_advice.learn_arrival(input.is_retry, NEW_SAMPLE);
        if now < request.deadline && !request.over_quota {
            self.pressure.learn_wait(input.time_unread / class.wait_threshold);
        }
        let arrived = request.arrived;
        let at = self.requests.insert(request);
        self.places.insert(input.id, at);
        self.memory.add(input.memory);
        // A retry of a request that is in flight or has run gets that one's result, never a run of its own.
        if input.earlier_attempt != 0 && is_keyed {
            self.requests[at].stage = Stage::Replaying;
            out.replay_result(input.id);
            return;
        }
        self.queue.push(at);
        if self.drain.is_some_and(|drain| arrived > drain.last_arrival - MARGIN) {
            return self.reject(at, Reason::Draining, out);
        }
        if is_keyed {
            self.remember_key(now, at, out);
        }
    }

    /// Remembers the key of a queued request, or rejects it: without the memory of its key a retry could run.
    fn remember_key(&mut self, now: f64, at: usize, out: &mut impl Decisions) {
        if !self.memory.has_room_for_key() {
            return self.reject(at, Reason::KeyMemoryFull, out);
        }
        let request = &mut self.requests[at];
        let dedup_window = self.classes[request.input.class].settings.dedup_window;
        let span = (dedup_window - request.input.time_unread).max(MARGIN) + MARGIN;
        out.remember_key(request.input.id, span);
        request.key_until = Some(now + span);
        self.memory.add_key();
    }

    /// What holds for a request for as long as it is in flight.
    fn stamp(&mut self, now: f64, request: &Request) -> InFlight {
        let input = Request { class: request.class.min(self.classes.len() - 1), ..*request };
        let class = &self.classes[input.class];
        let arrived = now - input.time_unread;
        let given_up = if input.deadline > 0.0 { input.deadline } else { arrived + class.settings.timeout };
        let deadline = self.drain.map_or(given_up, |drain| given_up.min(drain.last_answer));
        let objective = class.settings.latency_objective + class.settings.objective_stretch * input.cost_hint;
        let is_hinted = input.cost_hint > 0.0 && class.mean_hint > 0.0;
        let relative_hint = if is_hinted { input.cost_hint / class.mean_hint } else { 1.0 };
        let quota = self.quotas.get_mut(input.tenant);
        let over_quota = quota.is_some_and(|quota| quota.is_over(now, !input.is_retry));
        InFlight { input, arrived, objective, deadline, relative_hint, over_quota, ..InFlight::default() }
    }
}
