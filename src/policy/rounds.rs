//! Decision rounds: the order in which the policy processes events, and the control steps.

use super::averages::{moving_average, EWMA_WEIGHT};
use super::health::RunAges;
use super::in_flight::Stage;
use super::state::{AdmissionPolicy, Drain};
use super::timing::{CONTROL_INTERVAL_S, DEADLINE_MARGIN_S, RATE_TIME_CONSTANT_S, TICK_INTERVAL_S};
use crate::{Completion, Decisions, Gauges, Outcome, Round};

impl AdmissionPolicy {
    /// Processes all events since the last round and writes the decisions.
    pub fn decide(&mut self, round: &Round, decisions: &mut impl Decisions) {
        let now = round.now;
        if !self.warm_up.has_started() {
            self.start(now, decisions);
        }
        round
            .finished_calls
            .iter()
            .for_each(|completion| self.handle_call_finished(now, completion, decisions));
        round.in_doubt.iter().for_each(|id| self.handle_run_in_doubt(now, *id));
        round.awaiting_call.iter().for_each(|id| self.handle_call_reached(now, *id));
        round
            .finished_runs
            .iter()
            .for_each(|completion| self.handle_run_finished(now, completion, decisions));
        let is_single = round.abandoned.len() == 1;
        round.abandoned.iter().for_each(|id| self.handle_abandonment(now, *id, is_single, decisions));
        if let Some(kill_at) = round.drain_deadline {
            self.begin_drain(now, kill_at, decisions);
        }
        self.update_usage(now);
        if let Some(fraction) = round.tick.and_then(|gauges| gauges.memory) {
            self.memory.read_gauge(now, fraction);
        }
        round.arrivals.iter().for_each(|request| self.handle_arrival(now, request, decisions));
        if let Some(gauges) = round.tick {
            self.tick(now, &gauges, decisions);
        }
        self.open_calls(now, decisions);
        self.start_runs(now, decisions);
    }

    /// Initializes the process in its first round.
    fn start(&mut self, now: f64, decisions: &mut impl Decisions) {
        self.warm_up.start(now);
        self.rejections.start(now);
        (self.last_round, self.last_control_step) = (now, now);
        decisions.set_health(true, true);
        decisions.schedule_tick(TICK_INTERVAL_S);
        if self.warm_up.may_be_cold() {
            // Callers send to a new server at once, so its first answer must carry the signal.
            self.step_signal(now, 0.0, decisions);
        }
    }

    /// Starts the drain: admits arrivals within the grace, and answers every request before `kill_at`.
    fn begin_drain(&mut self, now: f64, kill_at: f64, decisions: &mut impl Decisions) {
        let answer_by = kill_at - DEADLINE_MARGIN_S;
        self.drain = Some(Drain { admit_until: now + self.settings.drain_grace, answer_by });
        decisions.set_health(false, true);
        for (_, request) in &mut self.requests {
            request.deadline = request.deadline.min(answer_by);
        }
    }

    fn handle_run_finished(&mut self, now: f64, completion: &Completion, decisions: &mut impl Decisions) {
        let Some(&index) = self.index_by_id.get(&completion.id) else { return };
        let request = &self.requests[index];
        if request.stage == Stage::Queued {
            return;
        }
        self.completion_rate += 1.0 / RATE_TIME_CONSTANT_S;
        if !request.answered {
            self.abandonment.record_completed(now - request.arrived);
        }
        if completion.outcome == Outcome::Completed
            && request.stage == Stage::Running
            && !request.call_skipped
        {
            self.record_run_time(now, index);
        }
        if self.requests[index].stage == Stage::Calling {
            self.call_window.abandon(now);
        }
        self.remove(index, decisions);
    }

    /// Handles an abandoned request. Several at once point to a lost connection or gateway; only a single
    /// one counts as a caller that stopped waiting.
    fn handle_abandonment(&mut self, now: f64, id: u32, is_single: bool, decisions: &mut impl Decisions) {
        let Some(&index) = self.index_by_id.get(&id) else { return };
        let is_preemptible = self.is_preemptible();
        let request = &mut self.requests[index];
        request.answered = true;
        let class = &self.classes[request.input.class];
        // A request abandoned sooner than a run takes was not waiting for its result.
        if is_single && now - request.arrived > class.base_run_time {
            self.abandonment.record_abandoned(now - request.arrived);
        }
        match request.stage {
            Stage::Queued | Stage::Replaying => drop(self.remove(index, decisions)),
            // Free the core. A keyed run continues, since a retry may need its result.
            Stage::Running if is_preemptible && class.is_idempotent() => decisions.preempt(id),
            _ => {}
        }
    }

    /// Recounts running and calling requests, used memory and the age of open runs.
    fn update_usage(&mut self, now: f64) {
        let elapsed = now - self.last_round;
        self.call_window.update_mean(elapsed, self.calling);
        self.memory.observe_round(now, elapsed);
        self.last_round = now;
        self.memory.begin_count(now);
        (self.running, self.calling) = (0, 0);
        let mut run_ages = RunAges::default();
        for (_, request) in &self.requests {
            self.memory.count(request);
            self.calling += usize::from(request.stage == Stage::Calling);
            if request.stage == Stage::Running {
                self.running += 1;
                let class = &mut self.classes[request.input.class];
                class.last_open_at = now;
                let expected =
                    class.expected_run_time() * self.hint_regression.relative_work(request.relative_hint);
                run_ages.add(now, request.run_started_at, expected);
            }
        }
        self.slowdown.update_open_runs(&run_ages, self.running, self.settings.cores);
        if self.memory.runs() == self.running {
            self.call_window.record_idle(now);
        }
        self.memory.update_reserve(now, self.call_window.is_out_of_reach(now));
    }

    /// Handles a scheduled tick, with a control step if one is due.
    fn tick(&mut self, now: f64, gauges: &Gauges, decisions: &mut impl Decisions) {
        decisions.schedule_tick(TICK_INTERVAL_S);
        self.handle_due_requests(now, decisions);
        self.reject_overdue(now, decisions);
        self.shed_queue(now, decisions);
        self.shed_waiting_requests(decisions);
        if now - self.last_control_step < CONTROL_INTERVAL_S {
            return;
        }
        let decay = (-(now - self.last_control_step) / RATE_TIME_CONSTANT_S).exp();
        self.last_control_step = now;
        self.completion_rate *= decay;
        self.memory.update_arrival_rate(decay);
        self.classes.iter_mut().for_each(|class| class.decay_stale_run_time(now, decay));
        let run_time_ratio = self.slowdown.finished_run_ratio();
        self.concurrency_limit.step(gauges, self.running, self.queue.is_empty(), run_time_ratio);
        self.step_signal(now, gauges.busy.unwrap_or(0.0), decisions);
        self.step_health(now, decisions);
        self.keepalive.step(gauges.sockets.unwrap_or(0.0));
        decisions.set_keepalive(self.keepalive.timeout());
        decisions.record_limits(
            self.concurrency_limit.runs(),
            self.call_window.window(),
            self.pressure.value(),
        );
        self.pressure.begin_step();
        self.log_rejections(now, decisions);
    }

    /// Records the run time of a run that completed with its call.
    fn record_run_time(&mut self, now: f64, index: usize) {
        let request = &self.requests[index];
        let run_time = now - request.run_started_at;
        let normalized_run_time = run_time / self.hint_regression.relative_work(request.relative_hint);
        let class = &mut self.classes[request.input.class];
        if request.input.cost_hint > 0.0 {
            class.mean_hint = moving_average(class.mean_hint, request.input.cost_hint, EWMA_WEIGHT);
        }
        self.hint_regression.record(request.relative_hint, run_time / class.run_time);
        class.record(normalized_run_time);
        self.slowdown.record_run(normalized_run_time / class.reference_run_time());
    }

    fn step_health(&mut self, now: f64, decisions: &mut impl Decisions) {
        let run_time_ratio = self.slowdown.run_time_ratio();
        self.health.observe(now, run_time_ratio, self.pressure.are_waits_short());
        if self.settings.endpoints_follow_health && self.drain.is_none() {
            self.health.step(now, run_time_ratio, decisions);
        }
    }
}
