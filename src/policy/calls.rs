//! Downstream calls: which requests may make one, call timeouts, retries of failed calls, and degraded answers.

use super::averages::{moving_average, EWMA_WEIGHT};
use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::DEADLINE_MARGIN_S;
use crate::{Completion, Decisions, Outcome, Reason};

/// Backoff before a call is retried, in seconds, doubled with each failure; a full tier has moved on by then.
const CALL_RETRY_BACKOFF_S: f64 = 0.025;
/// Number of failures up to which the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u8 = 6;
/// Timeout of an optional call, as a fraction of the time left to the latency objective.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;
/// Longest wait for an optional call, as a fraction of the latency objective.
const CALL_WAIT_FRACTION: f64 = 0.25;

/// Returns the timeout of a call, in seconds. A hung call must hold neither its request until the deadline nor
/// its place in the call window: an optional call leaves time for a degraded answer, a required one may take
/// the time left to the latency objective.
fn call_timeout(now: f64, request: &InFlight, is_optional: bool) -> f64 {
    let remaining = request.arrived + request.objective - now;
    let timeout = if is_optional {
        CALL_TIMEOUT_FRACTION * remaining
    } else {
        remaining.max(CALL_TIMEOUT_FRACTION * request.objective)
    };
    timeout.min(request.deadline - now - DEADLINE_MARGIN_S).max(DEADLINE_MARGIN_S)
}

impl AdmissionPolicy {
    /// Records that a run has reached its downstream call. Ignores requests that do not run.
    pub(super) fn handle_call_reached(&mut self, now: f64, id: u32) {
        let Some(&index) = self.index_by_id.get(&id) else { return };
        let request = &mut self.requests[index];
        if !matches!(request.stage, Stage::Running | Stage::InDoubt) {
            return;
        }
        request.stage = Stage::AwaitingCall;
        request.call_reached_at = now;
        request.failed_calls = 0;
        request.next_call_at = now;
    }

    /// Handles the end of a call. A failed call is retried if it cannot have run, or if its request is
    /// idempotent.
    pub(super) fn handle_call_finished(
        &mut self,
        now: f64,
        completion: &Completion,
        decisions: &mut impl Decisions,
    ) {
        let Some(&index) = self.index_by_id.get(&completion.id) else { return };
        if self.requests[index].stage != Stage::Calling {
            return;
        }
        let outcome = completion.outcome;
        if outcome == Outcome::Completed {
            self.call_window.record_time(now, completion.duration);
            self.resume_after_call(now, index);
        } else {
            self.handle_call_failed(now, index, outcome);
        }
        self.call_window.adapt(now, outcome);
        if outcome != Outcome::Completed && self.should_give_up_call(index, outcome) {
            self.give_up_call(now, index, decisions);
        }
    }

    fn resume_after_call(&mut self, now: f64, index: usize) {
        let request = &mut self.requests[index];
        let class = &mut self.classes[request.input.class];
        class.call_time = moving_average(class.call_time, now - request.call_reached_at, EWMA_WEIGHT);
        request.resume(now);
    }

    fn handle_call_failed(&mut self, now: f64, index: usize, outcome: Outcome) {
        self.call_window.add_failure(now, outcome);
        let request = &mut self.requests[index];
        request.stage = Stage::AwaitingCall;
        request.failed_calls = (request.failed_calls + 1).min(MAX_BACKOFF_DOUBLINGS);
        request.next_call_at = now + CALL_RETRY_BACKOFF_S * f64::from(1 << request.failed_calls);
    }

    /// Returns whether a failed call must not be retried.
    fn should_give_up_call(&self, index: usize, outcome: Outcome) -> bool {
        let request = &self.requests[index];
        let class = &self.classes[request.input.class];
        let may_retry = outcome.never_ran() || class.is_idempotent();
        // A broken connection does not predict the next attempt: retry once before a degraded answer.
        let is_first_break =
            matches!(outcome, Outcome::ConnectionLost | Outcome::Unreachable) && request.failed_calls == 1;
        !request.answered && (class.has_degraded_answer() && !is_first_break || !may_retry)
    }

    /// Resumes a request without its call if it has a degraded answer, and fails it otherwise.
    pub(super) fn give_up_call(&mut self, now: f64, index: usize, decisions: &mut impl Decisions) {
        let request = &mut self.requests[index];
        if self.classes[request.input.class].has_degraded_answer() {
            decisions.skip_call(request.input.id);
            request.resume(now);
            request.call_skipped = true;
        } else {
            decisions.fail(request.input.id, Reason::DownstreamUnavailable);
            request.answered = true;
        }
    }

    /// Returns whether a request has waited so long for its call that it continues without it.
    pub(super) fn is_call_wait_exceeded(&self, now: f64, request: &InFlight) -> bool {
        request.stage == Stage::AwaitingCall
            && now - request.call_reached_at > CALL_WAIT_FRACTION * request.objective
            && self.classes[request.input.class].has_degraded_answer()
            && self.concurrency_headroom(now) > 0.0
    }

    /// Opens calls for the waiting requests with the highest priority, up to the call window.
    pub(super) fn open_calls(&mut self, now: f64, decisions: &mut impl Decisions) {
        let mut headroom = self.call_window.headroom(now, self.calling);
        // Calls need the same concurrency headroom as new runs; otherwise new runs would take each freed
        // place and waiting requests would hold their memory until they expire.
        while headroom >= 1.0 && self.concurrency_headroom(now) > 0.0 && self.call_window.mean_allows_more() {
            let Some(index) = self.next_call(now) else { return };
            let request = &mut self.requests[index];
            let is_optional = self.classes[request.input.class].has_degraded_answer();
            decisions.allow_call(request.input.id, call_timeout(now, request, is_optional));
            request.stage = Stage::Calling;
            self.calling += 1;
            headroom -= 1.0;
        }
    }

    fn next_call(&self, now: f64) -> Option<usize> {
        let is_ready = |request: &InFlight| {
            request.stage == Stage::AwaitingCall && !request.answered && request.next_call_at <= now
        };
        let ready = self.requests.iter().filter(|(_, request)| is_ready(request));
        let priorities = ready.map(|(index, _)| (index, self.priority(index)));
        priorities.max_by(|a, b| a.1.compare(b.1)).map(|(index, _)| index)
    }
}
