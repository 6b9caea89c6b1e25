//! Every decision of one server: what it admits, runs and rejects, and what it tells its callers.
//!
//! A host makes `AdmissionPolicy::new(&settings, seed)` when its process starts and calls
//! `policy.decide(&round, &mut decisions)` once a round with all that happened since the last one. The types that
//! go in and out are in the parent module; `docs/design.md` tells where the mechanism comes from and what each
//! constant rests on.
//!
//! A request is stamped with its arrival (the time it lay unread counts) and queued until a run slot frees. Then
//! its wait is judged against its class's threshold, and it runs or is rejected ([`queue`]). The rest guards the
//! rules, one concern a module:
//!
//! | module | decides |
//! | --- | --- |
//! | [`arrivals`] | what is queued, replayed or rejected on arrival; which idempotency keys are remembered |
//! | [`queue`] | order of the queue, wait thresholds, which request takes a freed slot |
//! | [`concurrency`] | how many requests run at once |
//! | [`calls`] | downstream calls: how many are open, their time-outs, their retries, degraded answers |
//! | [`quota`] | which requests are beyond their tenant's quota |
//! | [`deadlines`] | the error that is sent before a deadline passes unanswered |
//! | [`memory`] | what starts, queues and is remembered within the machine's memory |
//! | [`rejection`] | Retry-After, whether to forward elsewhere, and the log of what was shed |
//! | [`load_signal`] | the load signal that answers carry |
//! | [`warm_up`] | what a server that started cold can bear |
//! | [`health`] | whether this machine is slow, and its health and keepalive because of it |
//! | [`run_times`] | estimates: what runs take, what cost hints are worth, when callers give up |

mod arrivals;
mod calls;
mod concurrency;
mod deadlines;
mod health;
mod in_flight;
mod load_signal;
mod memory;
mod queue;
mod quota;
mod rejection;
mod run_times;
mod warm_up;

use crate::{Completion, Decisions, Gauges, Outcome, PolicySettings, Preemption, Round};
use calls::CallWindow;
use concurrency::ConcurrencyLimit;
use health::{Health, Keepalive, Slowdown};
use in_flight::{InFlight, Stage};
use load_signal::SignalState;
use memory::MemoryBudget;
use quota::QuotaBucket;
use rejection::{RejectionLog, RetryAdvice};
use run_times::{CallerPatience, ClassState, HintTrust};
use slab::Slab;
use std::collections::HashMap;
use warm_up::WarmUp;

/// Seconds between looks at the queue: well under any latency objective, yet few timers.
const TICK: f64 = 0.02;
/// Seconds between steps of limit, signal and health: some runs end in it.
const STEP: f64 = 0.1;
/// Seconds before its deadline at which an answer is forced: two ticks and a round.
const MARGIN: f64 = 0.05;
/// Seconds over which rates are taken, and after which what no run confirms fades.
const RATE_SPAN: f64 = 3.0;

/// After the notice to drain.
#[derive(Clone, Copy)]
struct Drain {
    /// Requests that arrive later must not run.
    last_arrival: f64,
    /// All requests are answered by then.
    last_answer: f64,
}

/// The policy of one server, for as long as its process lives.
pub struct AdmissionPolicy {
    settings: PolicySettings,
    /// Callers that send here, at least one.
    callers: f64,
    classes: Vec<ClassState>,
    quotas: Vec<QuotaBucket>,

    /// Requests in flight, by place.
    requests: Slab<InFlight>,
    places: HashMap<u32, usize>,
    /// Places of those that are queued.
    queue: Vec<usize>,
    /// Requests on the cores, and those with a downstream call open.
    running: usize,
    calling: usize,

    memory: MemoryBudget,
    hints: HintTrust,
    patience: CallerPatience,
    limit: ConcurrencyLimit,
    calls: CallWindow,
    warm_up: WarmUp,
    signal: SignalState,
    slowdown: Slowdown,
    health: Health,
    keepalive: Keepalive,
    retry_advice: RetryAdvice,
    rejections: RejectionLog,

    drain: Option<Drain>,
    last_round: f64,
    last_step: f64,
    /// Runs that end, a second.
    completion_rate: f64,
}

impl AdmissionPolicy {
    /// A policy for a process that has just started. `seed` feeds what the policy draws at random.
    ///
    /// # Panics
    ///
    /// If the settings hold no request class, which [`PolicySettings::validate`] excludes.
    pub fn new(settings: &PolicySettings, seed: u64) -> AdmissionPolicy {
        AdmissionPolicy {
            settings: settings.clone(),
            callers: settings.callers.max(1.0),
            classes: run_times::class_states(&settings.classes),
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| QuotaBucket::new(tenant, settings.servers))
                .collect(),
            requests: Slab::new(),
            places: HashMap::new(),
            queue: Vec::new(),
            running: 0,
            calling: 0,
            memory: MemoryBudget::new(settings),
            hints: HintTrust::default(),
            patience: CallerPatience::default(),
            limit: ConcurrencyLimit::new(settings),
            calls: CallWindow::new(settings),
            warm_up: WarmUp::new(settings),
            signal: SignalState::new(settings),
            slowdown: Slowdown::default(),
            health: Health::default(),
            keepalive: Keepalive::new(settings),
            retry_advice: RetryAdvice::new(settings, seed),
            rejections: RejectionLog::default(),
            drain: None,
            last_round: 0.0,
            last_step: 0.0,
            completion_rate: 0.0,
        }
    }

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

    /// A caller gave its request up. Those that go together went with their connection or gateway; one that goes
    /// `alone` has lost patience.
    fn abandoned(&mut self, now: f64, id: u32, alone: bool, out: &mut impl Decisions) {
        let Some(&at) = self.places.get(&id) else { return };
        let is_preemptible = self.is_preemptible();
        let request = &mut self.requests[at];
        request.answered = true;
        let class = &self.classes[request.told.class];
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

    fn is_preemptible(&self) -> bool {
        self.settings.preemption != Preemption::Never
    }

    /// Counts what runs, what calls and the memory in use, and how old the open runs are.
    fn take_stock(&mut self, now: f64) {
        self.calls.update_mean(now - self.last_round, self.calling);
        self.last_round = now;
        self.memory.begin_count(now);
        (self.running, self.calling) = (0, 0);
        let mut ages = health::RunAges::default();
        for (_, request) in &self.requests {
            self.memory.count(request);
            self.calling += usize::from(request.stage == Stage::Calling);
            if request.stage == Stage::Running {
                self.running += 1;
                let class = &mut self.classes[request.told.class];
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
        self.step_limit(gauges);
        self.step_signal(now, gauges.busy.unwrap_or(0.0), out);
        self.step_health(now, out);
        self.keepalive.step(gauges.sockets.unwrap_or(0.0));
        out.set_keepalive(self.keepalive.span());
        out.record_limits(self.limit.runs(), self.calls.window(), self.signal.pressure());
        self.signal.begin_step();
        self.log_rejections(now, out);
    }

    /// Drops a request that is no longer in flight. One that never ran leaves no idempotency key behind.
    fn remove(&mut self, at: usize, out: &mut impl Decisions) -> InFlight {
        let request = self.requests.remove(at);
        self.places.remove(&request.told.id);
        if request.stage == Stage::Queued {
            self.memory.release_queued(&request);
            self.queue.retain(|queued| *queued != at);
            if request.key_until.is_some() {
                out.forget_key(request.told.id);
            }
        }
        request
    }
}
