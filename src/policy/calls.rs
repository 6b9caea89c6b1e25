//! Downstream calls: a window bounds how many are open; failed ones are retried where that is safe, or left out.

use super::in_flight::{InFlight, Stage};
use super::run_times::{moving_average, BASE_RUNS, NEW_SAMPLE};
use super::{AdmissionPolicy, MARGIN};
use crate::{Completion, Decisions, Downstream, Outcome, PolicySettings, Reason};
use std::collections::VecDeque;

/// Share of this server's part of what the dependency survives that the window may reach.
const SHARED_TOP: f64 = 0.8;
/// The same at the start: the dependency slows down long before it falls.
const SHARED_START: f64 = 0.25;
/// Calls a core to a next tier: it decides for itself, this bounds a stuck one.
const NEXT_TIER_PER_CORE: f64 = 8.0;
/// Share of those always open: hung calls must not close the way to sound servers.
const NEXT_TIER_LEAST: f64 = 0.5;
/// Share of the dependency's averaging window over which the mean of open calls is taken: it must not lag.
const MEAN_SHARE: f64 = 0.3;
/// Seconds over which that mean is taken at least.
const SHORTEST_MEAN: f64 = 0.1;
/// Share to which a failed or slow call cuts the window: a usual step.
const CUT: f64 = 0.7;
/// Rise of a call's time over its base that counts as slow: past mere chance.
const SLOW_RISE: f64 = 2.5;
/// Seconds before a call is retried, doubled each time: a full tier has moved on by then.
const RETRY_BACKOFF: f64 = 0.025;
/// Failures up to which that backoff doubles.
const MOST_DOUBLINGS: u8 = 6;
/// Share of the time left to the latency objective that a dispensable call gets.
const LIMIT_SHARE: f64 = 0.5;
/// Share of the latency objective to wait for a call before it is left out.
const WAIT_SHARE: f64 = 0.25;

/// How many calls may be open, and what is known of those that were.
pub(super) struct CallWindow {
    window: f64,
    most: f64,
    least: f64,
    cut_at: f64,
    /// Seconds that a call takes of late, and at its best.
    time: f64,
    base_time: f64,
    mean_open: f64,
    averaging: f64,
    linger: f64,
    /// When calls that were given up leave the dependency.
    lingering: VecDeque<f64>,
}

impl CallWindow {
    pub fn new(settings: &PolicySettings) -> CallWindow {
        let share = settings.call_concurrency_share;
        let (window, most, least) = if settings.downstream == Downstream::SharedDependency {
            let (start, most) = (SHARED_START * share, SHARED_TOP * share);
            (start, most, if most < 1.0 { start } else { 1.0 })
        } else {
            let most = NEXT_TIER_PER_CORE * settings.cores;
            (most, most, NEXT_TIER_LEAST * most)
        };
        CallWindow {
            window,
            most,
            least,
            cut_at: 0.0,
            time: 0.0,
            base_time: 0.0,
            mean_open: 0.0,
            averaging: (MEAN_SHARE * settings.call_averaging_window).max(SHORTEST_MEAN),
            linger: settings.abandoned_call_linger,
            lingering: VecDeque::new(),
        }
    }

    pub fn window(&self) -> f64 {
        self.window
    }

    /// Calls that occupy the dependency: those open, and those given up that linger.
    fn occupied(&self, open: usize) -> f64 {
        (open + self.lingering.len()) as f64
    }

    pub fn update_mean(&mut self, elapsed: f64, open: usize) {
        let occupied = self.occupied(open);
        self.mean_open += (occupied - self.mean_open) * (elapsed / self.averaging).min(1.0);
    }

    /// A call was given up at this end.
    pub fn abandon(&mut self, now: f64) {
        self.lingering.push_back(now + self.linger);
    }

    fn learn_time(&mut self, duration: f64) {
        let weight = if duration < self.base_time { NEW_SAMPLE } else { 1.0 / BASE_RUNS };
        self.base_time = moving_average(self.base_time, duration, weight);
        self.time = moving_average(self.time, duration, NEW_SAMPLE);
    }

    /// Grows by one in a turn of calls while they are quick, is cut once in a turn when they are slow or rejected.
    fn adapt(&mut self, now: f64, outcome: Outcome) {
        if outcome == Outcome::Completed && self.time <= SLOW_RISE * self.base_time {
            self.window += (1.0 / self.window).min(self.window);
        } else if !matches!(outcome, Outcome::Failed | Outcome::ConnectionLost)
            && now - self.cut_at > self.time
        {
            self.window *= CUT;
            self.cut_at = now;
        }
    }

    /// How many more calls the dependency bears now.
    fn room(&mut self, now: f64, open: usize) -> f64 {
        while self.lingering.front().is_some_and(|&end| end <= now) {
            self.lingering.pop_front();
        }
        self.window = self.window.clamp(self.least, self.most);
        self.window.max(1.0) - self.occupied(open)
    }

    /// A share under one call is kept as a mean, or a whole fleet's single calls would fell what is below.
    fn mean_allows_more(&self) -> bool {
        self.mean_open < self.window
    }
}

/// The time-out of a call. A hung call must hold neither its request till the end nor its place in the window: it
/// is left out in good time, where it may, else given up with the latency objective.
fn call_limit(now: f64, request: &InFlight, is_dispensable: bool) -> f64 {
    let left = request.arrived + request.objective - now;
    let limit = if is_dispensable { LIMIT_SHARE * left } else { left.max(LIMIT_SHARE * request.objective) };
    limit.min(request.deadline - now - MARGIN).max(MARGIN)
}

impl AdmissionPolicy {
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
        let class = &mut self.classes[request.told.class];
        class.call_time = moving_average(class.call_time, now - request.reached_call, NEW_SAMPLE);
        request.resume(now);
    }

    fn call_failed(&mut self, now: f64, at: usize, outcome: Outcome) {
        let linger = if outcome == Outcome::TimedOut { self.calls.linger } else { 0.0 };
        self.calls.lingering.push_back(now + linger);
        let request = &mut self.requests[at];
        request.stage = Stage::AwaitingCall;
        request.call_failures = (request.call_failures + 1).min(MOST_DOUBLINGS);
        request.call_at = now + RETRY_BACKOFF * f64::from(1 << request.call_failures);
    }

    /// Whether a failed call is not to be retried.
    fn is_call_hopeless(&self, at: usize, outcome: Outcome) -> bool {
        let request = &self.requests[at];
        let class = &self.classes[request.told.class];
        let may_retry = outcome.never_ran() || class.is_idempotent();
        // A broken connection says nothing of the next one: once more before a degraded answer.
        let is_first_break =
            matches!(outcome, Outcome::ConnectionLost | Outcome::Unreachable) && request.call_failures == 1;
        !request.answered && (class.has_degraded_answer() && !is_first_break || !may_retry)
    }

    /// A request whose call can't be had: a degraded answer where one is worth something, else an error.
    pub(super) fn give_up_call(&mut self, now: f64, at: usize, out: &mut impl Decisions) {
        let request = &mut self.requests[at];
        if self.classes[request.told.class].has_degraded_answer() {
            out.skip_call(request.told.id);
            request.resume(now);
            request.call_skipped = true;
        } else {
            out.fail(request.told.id, Reason::DownstreamUnavailable);
            request.answered = true;
        }
    }

    /// The wait threshold at the second queue: whether a request waited so long for a call that it leaves it out.
    pub(super) fn has_waited_too_long_for_call(&self, now: f64, request: &InFlight) -> bool {
        request.stage == Stage::AwaitingCall
            && now - request.reached_call > WAIT_SHARE * request.objective
            && self.classes[request.told.class].has_degraded_answer()
            && self.crowd_room(now) > 0.0
    }

    /// Lets the best of those that wait for a call make it.
    pub(super) fn open_calls(&mut self, now: f64, out: &mut impl Decisions) {
        let mut room = self.calls.room(now, self.calling);
        // As much of the crowd as a run needs to start, or with a small crowd new runs take every place that frees
        // and those that wait for a call stay there, their memory held, until nobody wants them any more.
        while room >= 1.0 && self.crowd_room(now) > 0.0 && self.calls.mean_allows_more() {
            let Some(at) = self.next_to_call(now) else { return };
            let request = &mut self.requests[at];
            let is_dispensable = self.classes[request.told.class].has_degraded_answer();
            out.allow_call(request.told.id, call_limit(now, request, is_dispensable));
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
