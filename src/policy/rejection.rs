//! Rejections: Retry-After, whether to try another server, and the rejection log.

use super::in_flight::Stage;
use super::state::AdmissionPolicy;
use crate::{Decisions, Reason};

/// Run time ratio below which a loaded machine counts as healthy.
const HEALTHY_RUN_TIME_RATIO: f64 = 2.5;
/// Most requests of a caller that one rejection may defer; few, since it is one rejection of many.
const MAX_DEFERRED_REQUESTS: f64 = 4.0;
/// Least completion rate assumed for the Retry-After bound, in runs per second.
const MIN_COMPLETION_RATE: f64 = 0.1;

impl AdmissionPolicy {
    /// Rejects a queued request, which never ran here, with a Retry-After.
    pub(super) fn reject(&mut self, index: usize, reason: Reason, decisions: &mut impl Decisions) {
        let request = self.remove(index, decisions);
        // Frequent retries mean that the other servers are overloaded too, and forwarding would only add
        // load: each server must read what it then rejects.
        let is_fleet_overloaded = request.input.is_retry || self.retry_advice.is_fleet_overloaded();
        let do_not_forward = reason != Reason::Draining && is_fleet_overloaded;
        let retry_after = self.retry_after();
        decisions.reject(request.input.id, retry_after, do_not_forward, reason);
        self.rejections.add(request.input.class, reason);
    }

    /// Logs the rejections once per log interval; a line for each would fill the log in a flood.
    pub(super) fn log_rejections(&mut self, now: f64, decisions: &mut impl Decisions) {
        if let Some(counts) = self.rejections.take_text(now) {
            let (runs, calls) = (self.concurrency_limit.runs(), self.call_window.window());
            let stages = self.stage_counts();
            let memory = self.memory.usage_text();
            decisions
                .log(&format!("rejected:{counts} limit {runs:.1}, calls {calls:.1}; {stages}; {memory}"));
        }
    }

    /// Returns the numbers of requests in flight by stage, as text.
    fn stage_counts(&self) -> String {
        let count = |stage| self.requests.iter().filter(|(_, request)| request.stage == stage).count();
        format!(
            "{} queued, {} running, {} in doubt, {} waiting for a call, {} calling, {} waiting for a result",
            count(Stage::Queued),
            count(Stage::Running),
            count(Stage::InDoubt),
            count(Stage::AwaitingCall),
            count(Stage::Calling),
            count(Stage::Replaying)
        )
    }

    fn retry_after(&mut self) -> f64 {
        let is_healthy = self.slowdown.run_time_ratio() < HEALTHY_RUN_TIME_RATIO && self.drain.is_none();
        let delay = self.retry_advice.random_retry_after(is_healthy);
        // With few callers each sends many requests; a long Retry-After would leave the cores idle.
        let bounded =
            delay.min(MAX_DEFERRED_REQUESTS * self.callers / self.completion_rate.max(MIN_COMPLETION_RATE));
        if self.in_flight_headroom(self.last_round) >= 1.0 {
            return bounded;
        }
        // A cold server without headroom spreads the returns of its callers over the time in which its
        // running requests are replaced.
        let sustainable_concurrency = self.warm_up.sustainable_concurrency(self.last_round);
        let renewal_time = self.callers * self.settings.overload_window / sustainable_concurrency;
        bounded.max(renewal_time.min(self.retry_advice.max_retry_after()))
    }
}
