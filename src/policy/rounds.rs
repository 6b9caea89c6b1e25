//! A round: the order in which the policy reads what happened, and the steps of what adapts slowly.

use super::averages::{moving_average, NEW_SAMPLE};
use super::health::RunAges;
use super::in_flight::Stage;
use super::state::{AdmissionPolicy, Drain};
use super::timing::{MARGIN, RATE_SPAN, STEP, TICK};
use crate::{Completion, Decisions, Gauges, Outcome, Round};

impl AdmissionPolicy {
    /// Takes in all that happened since the last round and writes what is decided.
    pub fn decide(&mut self, round: &Round, out: &mut impl Decisions) {
        let now = round.now;
        if !self.warm_up.has_started() {
            self.begin(now, out);
        }
        round.finished_calls.iter().for_each(|completion| self.call_finished(now, completion, out));
        round.awaiting_call.iter().for_each(|id| self.call_reached(now, *id));
        round.finished_runs.iter().for_each(|completion| self.run_finished(now, completion, out));
        let alone = round.abandoned.len() == 1;
        round.abandoned.iter().for_each(|id| self.abandoned(now, *id, alone, out));
        if let Some(kill) = round.drain_deadline {
            self.begin_drain(now, kill, out);
        }
        self.take_stock(now);
        round.arrivals.iter().for_each(|request| self.arrived(now, request, out));
        if let Some(gauges) = round.tick {
            self.tick(now, &gauges, out);
        }
        self.open_calls(now, out);
        self.start_runs(now, out);
    }

    /// The first round of the process.
    fn begin(&mut self, now: f64, out: &mut impl Decisions) {
        self.warm_up.start(now);
        self.rejections.start(now);
        (self.last_round, self.last_step) = (now, now);
        out.set_health(true, true);
        out.schedule_tick(TICK);
        if self.warm_up.may_be_cold() {
            self.step_signal(now, 0.0, out); // the first answer carries it: callers come unprompted
        }
    }

    /// Serves what arrives within the grace, and answers all before the kill.
    fn begin_drain(&mut self, now: f64, kill: f64, out: &mut impl Decisions) {
        let last_answer = kill - MARGIN;
        self.drain = Some(Drain { last_arrival: now + self.settings.drain_grace, last_answer });
        out.set_health(false, true);
        for (_, request) in &mut self.requests {
            request.deadline = request.deadline.min(last_answer);
        }
    }

    fn run_finished(&mut self, now: f64, completion: &Completion, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&completion.id) else { return };
        let request = &self.requests[at];
        if request.stage == Stage::Queued {
            return;
        }
        self.completion_rate += 1.0 / RATE_SPAN;
        if !request.answered {
            self.patience.waited_to_the_end(now - request.arrived);
        }
        if completion.outcome == Outcome::Completed
            && request.stage == Stage::Running
            && !request.call_skipped
        {
            self.learn_run_time(now, at);
        }
        if self.requests[at].stage == Stage::Calling {
            self.calls.abandon(now);
        }
        self.remove(at, out);
    }

    /// A caller gave its request up. Those that go together went with their connection or gateway; one that
    /// goes `alone` has lost patience.
    fn abandoned(&mut self, now: f64, id: u32, alone: bool, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&id) else { return };
        let is_preemptible = self.is_preemptible();
        let request = &mut self.requests[at];
        request.answered = true;
        let class = &self.classes[request.input.class];
        // One that goes before any run could have ended is not waiting for one.
        if alone && now - request.arrived > class.base_run_time {
            self.patience.gave_up(now - request.arrived);
        }
        match request.stage {
            Stage::Queued | Stage::Replaying => drop(self.remove(at, out)),
            // Nobody waits: free the core. A keyed run goes on, since a retry may want its result.
            Stage::Running if is_preemptible && class.is_idempotent() => out.preempt(id),
            _ => {}
        }
    }

    /// Counts what runs, what calls and the memory in use, and how old the open runs are.
    fn take_stock(&mut self, now: f64) {
        self.calls.update_mean(now - self.last_round, self.calling);
        self.last_round = now;
        self.memory.begin_count(now);
        (self.running, self.calling) = (0, 0);
        let mut ages = RunAges::default();
        for (_, request) in &self.requests {
            self.memory.count(request);
            self.calling += usize::from(request.stage == Stage::Calling);
            if request.stage == Stage::Running {
                self.running += 1;
                let class = &mut self.classes[request.input.class];
                class.last_open = now;
                let usual = class.usual_run_time() * self.hints.relative_work(request.relative_hint);
                ages.add(now, request.run_began, usual);
            }
        }
        self.slowdown.compare_ages(&ages, self.running, self.settings.cores);
    }

    /// The work of a scheduled tick; once a step, of all that adapts slowly.
    fn tick(&mut self, now: f64, gauges: &Gauges, out: &mut impl Decisions) {
        out.schedule_tick(TICK);
        self.answer_due(now, out);
        self.judge_queue(now, out);
        self.cut_queue(now, out);
        if now - self.last_step < STEP {
            return;
        }
        let fade = (-(now - self.last_step) / RATE_SPAN).exp();
        self.last_step = now;
        self.completion_rate *= fade;
        self.classes.iter_mut().for_each(|class| class.fade_unconfirmed(now, fade));
        let rise = self.slowdown.by_finished_runs();
        self.limit.step(gauges, self.running, self.queue.is_empty(), rise);
        self.step_signal(now, gauges.busy.unwrap_or(0.0), out);
        self.step_health(now, out);
        self.keepalive.step(gauges.sockets.unwrap_or(0.0));
        out.set_keepalive(self.keepalive.span());
        out.record_limits(self.limit.runs(), self.calls.window(), self.pressure.value());
        self.pressure.begin_step();
        self.log_rejections(now, out);
    }

    /// Takes in the time of a run that completed with all its calls.
    fn learn_run_time(&mut self, now: f64, at: usize) {
        let request = &self.requests[at];
        let span = now - request.run_began;
        let on_cores = span / self.hints.relative_work(request.relative_hint);
        let class = &mut self.classes[request.input.class];
        if request.input.cost_hint > 0.0 {
            class.mean_hint = moving_average(class.mean_hint, request.input.cost_hint, NEW_SAMPLE);
        }
        self.hints.learn(request.relative_hint, span / class.run_time);
        class.learn(on_cores);
        self.slowdown.learn_run(on_cores / class.sound_run_time());
    }

    fn step_health(&mut self, now: f64, out: &mut impl Decisions) {
        let rise = self.slowdown.rise();
        self.health.observe(now, rise, self.pressure.are_waits_short());
        if self.settings.endpoints_follow_health && self.drain.is_none() {
            self.health.step(now, rise, out);
        }
    }
}
