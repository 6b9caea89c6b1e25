//! Rejections: the Retry-After that goes with them, whether another server is worth a try, and the log of
//! them.

use super::state::AdmissionPolicy;
use crate::{Decisions, Reason};

/// Rise of run time up to which a crowded machine counts as sound.
const HEALTHY_RUN_TIME_RATIO: f64 = 2.5;
/// Requests of its caller that a rejection may keep away: a few, since it is one of many.
const MAX_DEFERRED_REQUESTS: f64 = 4.0;
/// Runs a second that count as finished at least: the advice is divided by them.
const MIN_COMPLETION_RATE: f64 = 0.1;

impl AdmissionPolicy {
    /// Rejects a queued request, which never ran here, with advice to keep off.
    pub(super) fn reject(&mut self, index: usize, reason: Reason, decisions: &mut impl Decisions) {
        let request = self.remove(index, decisions);
        // Where retries are frequent the others are full too: to forward it would only cost reading.
        let is_fleet_overloaded = request.input.is_retry || self.retry_advice.is_fleet_overloaded();
        let do_not_forward = reason != Reason::Draining && is_fleet_overloaded;
        let retry_after = self.retry_after();
        decisions.reject(request.input.id, retry_after, do_not_forward, reason);
        self.rejections.add(request.input.class, reason);
    }

    /// Logs what was rejected, once an interval.
    pub(super) fn log_rejections(&mut self, now: f64, decisions: &mut impl Decisions) {
        if let Some(counts) = self.rejections.take_text(now) {
            let (runs, calls) = (self.concurrency_limit.runs(), self.call_window.window());
            decisions.log(&format!("rejected:{counts} limit {runs:.1}, calls {calls:.1}"));
        }
    }

    fn retry_after(&mut self) -> f64 {
        let is_healthy = self.slowdown.run_time_ratio() < HEALTHY_RUN_TIME_RATIO && self.drain.is_none();
        let delay = self.retry_advice.random_retry_after(is_healthy);
        // Where callers are few each brings much: kept off for long they would leave the cores idle in turns.
        let bounded =
            delay.min(MAX_DEFERRED_REQUESTS * self.callers / self.completion_rate.max(MIN_COMPLETION_RATE));
        if self.in_flight_headroom(self.last_round) >= 1.0 {
            return bounded;
        }
        // While it is cold and its ramp is used up, all callers together come back no faster than its crowd
        // is renewed.
        let sustainable_concurrency = self.warm_up.sustainable_concurrency(self.last_round);
        let renewal_time = self.callers * self.settings.overload_window / sustainable_concurrency;
        bounded.max(renewal_time.min(self.retry_advice.max_retry_after()))
    }
}
