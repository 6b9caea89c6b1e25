//! Downstream calls: who may call and for how long; failed calls are retried where that is safe, or left out.

use super::averages::{moving_average, NEW_SAMPLE};
use super::in_flight::{InFlight, Stage};
use super::state::AdmissionPolicy;
use super::timing::MARGIN;
use crate::{Completion, Decisions, Outcome, Reason};

/// Seconds before a call is retried, doubled each time: a full tier has moved on by then.
const CALL_RETRY_BACKOFF: f64 = 0.025;
/// Failures up to which that backoff doubles.
const MOST_DOUBLINGS: u8 = 6;
/// Share of the time left to the latency objective that a dispensable call gets.
const CALL_LIMIT_SHARE: f64 = 0.5;
/// Share of the latency objective to wait for a call before it is left out.
const CALL_WAIT_SHARE: f64 = 0.25;

/// The time-out of a call. A hung call must hold neither its request till the end nor its place in the
/// window: it is left out in good time, where it may, else given up with the latency objective.
fn call_limit(now: f64, request: &InFlight, is_dispensable: bool) -> f64 {
    let left = request.arrived + request.objective - now;
    let limit =
        if is_dispensable { CALL_LIMIT_SHARE * left } else { left.max(CALL_LIMIT_SHARE * request.objective) };
    limit.min(request.deadline - now - MARGIN).max(MARGIN)
}

impl AdmissionPolicy {
    /// A run has reached its downstream call.
    pub(super) fn call_reached(&mut self, now: f64, id: u32) {
        let Some(&at) = self.places.get(&id) else { return };
        let request = &mut self.requests[at];
        request.stage = Stage::AwaitingCall;
        request.reached_call = now;
        request.call_failures = 0;
        request.call_at = now;
    }

    /// The end of a call. What can't have run may be retried; an idempotent request's call always may.
    pub(super) fn call_finished(&mut self, now: f64, completion: &Completion, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&completion.id) else { return };
        if self.requests[at].stage != Stage::Calling {
            return;
        }
        let outcome = completion.outcome;
        if outcome == Outcome::Completed {
            self.calls.learn_time(completion.duration);
            self.go_on_after_call(now, at);
        } else {
            self.call_failed(now, at, outcome);
        }
        self.calls.adapt(now, outcome);
        if outcome != Outcome::Completed && self.is_call_hopeless(at, outcome) {
            self.give_up_call(now, at, out);
        }
    }

    fn go_on_after_call(&mut self, now: f64, at: usize) {
        let request = &mut self.requests[at];
        let class = &mut self.classes[request.input.class];
        class.call_time = moving_average(class.call_time, now - request.reached_call, NEW_SAMPLE);
        request.resume(now);
    }

    fn call_failed(&mut self, now: f64, at: usize, outcome: Outcome) {
        self.calls.add_failure(now, outcome);
        let request = &mut self.requests[at];
        request.stage = Stage::AwaitingCall;
        request.call_failures = (request.call_failures + 1).min(MOST_DOUBLINGS);
        request.call_at = now + CALL_RETRY_BACKOFF * f64::from(1 << request.call_failures);
    }

    /// Whether a failed call is not to be retried.
    fn is_call_hopeless(&self, at: usize, outcome: Outcome) -> bool {
        let request = &self.requests[at];
        let class = &self.classes[request.input.class];
        let may_retry = outcome.never_ran() || class.is_idempotent();
        // A broken connection says nothing of the next one: once more before a degraded answer.
        let is_first_break =
            matches!(outcome, Outcome::ConnectionLost | Outcome::Unreachable) && request.call_failures == 1;
        !request.answered && (class.has_degraded_answer() && !is_first_break || !may_retry)
    }

    /// A request whose call can't be had: a degraded answer where one is worth something, else an error.
    pub(super) fn give_up_call(&mut self, now: f64, at: usize, out: &mut impl Decisions) {
        let request = &mut self.requests[at];
        if self.classes[request.input.class].has_degraded_answer() {
            out.skip_call(request.input.id);
            request.resume(now);
            request.call_skipped = true;
        } else {
            out.fail(request.input.id, Reason::DownstreamUnavailable);
            request.answered = true;
        }
    }

    /// The wait threshold at the second queue: whether a request waited so long for a call that it leaves it
    /// out.
    pub(super) fn has_waited_too_long_for_call(&self, now: f64, request: &InFlight) -> bool {
        request.stage == Stage::AwaitingCall
            && now - request.reached_call > CALL_WAIT_SHARE * request.objective
            && self.classes[request.input.class].has_degraded_answer()
            && self.crowd_room(now) > 0.0
    }

    /// Lets the best of those that wait for a call make it.
    pub(super) fn open_calls(&mut self, now: f64, out: &mut impl Decisions) {
        let mut room = self.calls.room(now, self.calling);
        // As much of the crowd as a run needs to start, or with a small crowd new runs take every place that
        // frees and those that wait for a call stay there, their memory held, until nobody wants them any
        // more.
        while room >= 1.0 && self.crowd_room(now) > 0.0 && self.calls.mean_allows_more() {
            let Some(at) = self.next_to_call(now) else { return };
            let request = &mut self.requests[at];
            let is_dispensable = self.classes[request.input.class].has_degraded_answer();
            out.allow_call(request.input.id, call_limit(now, request, is_dispensable));
            request.stage = Stage::Calling;
            self.calling += 1;
            room -= 1.0;
        }
    }

    fn next_to_call(&self, now: f64) -> Option<usize> {
        let is_ready = |request: &InFlight| {
            request.stage == Stage::AwaitingCall && !request.answered && request.call_at <= now
        };
        let ready = self.requests.iter().filter(|(_, request)| is_ready(request));
        let ranks = ready.map(|(at, _)| (at, self.rank(at)));
        ranks.max_by(|a, b| a.1.compare(b.1)).map(|(at, _)| at)
    }
}
