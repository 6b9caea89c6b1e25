//! Test host: passes rounds to a policy, one event at a time, and records its decisions.

use puffinladder::*;

pub struct Host {
    pub policy: AdmissionPolicy,
    pub now: f64,
    /// Gauges of each tick.
    pub gauges: Gauges,
    /// All decisions, as a verb, the id and the arguments.
    pub log: DecisionLog,
}

#[derive(Default)]
pub struct DecisionLog {
    pub lines: Vec<String>,
}

impl Decisions for DecisionLog {
    fn run(&mut self, id: u32) {
        self.lines.push(format!("run {id}"));
    }
    fn reject(&mut self, id: u32, retry_after: f64, do_not_forward: bool, _reason: Reason) {
        self.lines.push(format!("reject {id} {retry_after} {do_not_forward}"));
    }
    fn fail(&mut self, id: u32, _reason: Reason) {
        self.lines.push(format!("fail {id}"));
    }
    fn preempt(&mut self, id: u32) {
        self.lines.push(format!("preempt {id}"));
    }
    fn allow_call(&mut self, id: u32, timeout: f64) {
        self.lines.push(format!("call {id} {timeout:.3}"));
    }
    fn skip_call(&mut self, id: u32) {
        self.lines.push(format!("skip {id}"));
    }
    fn remember_key(&mut self, id: u32, duration: f64) {
        self.lines.push(format!("remember {id} {duration:.3}"));
    }
    fn forget_key(&mut self, id: u32) {
        self.lines.push(format!("forget {id}"));
    }
    fn replay_result(&mut self, id: u32) {
        self.lines.push(format!("replay {id}"));
    }
    fn set_health(&mut self, is_healthy: bool, _is_cacheable: bool) {
        self.lines.push(format!("health {is_healthy}"));
    }
    fn set_load_signal(&mut self, signal: f64) {
        self.lines.push(format!("signal {signal:.2}"));
    }
    fn set_keepalive(&mut self, timeout: f64) {
        self.lines.push(format!("keepalive {timeout:.1}"));
    }
    fn schedule_tick(&mut self, _delay: f64) {}
    fn log(&mut self, text: &str) {
        self.lines.push(format!("log {text}"));
    }
}

/// Returns settings of a server of two cores. Class 0 is idempotent with a high weight, class 1 idempotent
/// with a low weight, class 2 keyed and class 3 not idempotent.
pub fn settings() -> PolicySettings {
    let class = |priority_weight, idempotency, degraded_weight_fraction| RequestClass {
        latency_objective: 4.0,
        objective_stretch: 0.0,
        timeout: 10.0,
        priority_weight,
        late_weight_fraction: 0.0,
        idempotency,
        dedup_window: 30.0,
        makes_calls: true,
        degraded_weight_fraction,
    };
    PolicySettings {
        servers: 4.0,
        callers: 2.0,
        cores: 2.0,
        memory: 10_000.0,
        running_memory_factor: 4.0,
        key_memory: 10.0,
        classes: vec![
            class(4.0, Idempotency::Idempotent, 0.5),
            class(1.0, Idempotency::Idempotent, 0.5),
            class(4.0, Idempotency::Keyed, 0.0),
            class(4.0, Idempotency::NonIdempotent, 0.0),
        ],
        tenants: vec![],
        over_quota_fraction: 0.1,
        weight_per_work: true,
        downstream: Downstream::SharedDependency,
        call_concurrency_share: 10.0,
        call_averaging_window: 5.0,
        abandoned_call_linger: 0.2,
        preemption: Preemption::Never,
        load_signal: LoadSignal::None,
        endpoints_follow_health: false,
        starts_cold: false,
        cold_capacity_fraction: 0.2,
        warm_up_duration: 10.0,
        overload_multiple: 5.0,
        overload_window: 1.5,
        drain_grace: 2.0,
        max_retry_after: 1.0,
        idle_timeout: 30.0,
    }
}

pub fn request(id: u32, class: usize) -> Request {
    Request { id, class, memory: 10.0, ..Request::default() }
}

pub fn completion(id: u32, outcome: Outcome, duration: f64) -> Completion {
    Completion { id, outcome, duration }
}

impl Host {
    pub fn new(settings: &PolicySettings) -> Host {
        let gauges = Gauges { busy: Some(1.0), runnable: Some(9.0), ..Gauges::default() };
        let (policy, log) = (AdmissionPolicy::new(settings, 1), DecisionLog::default());
        let mut host = Host { policy, now: 100.0, gauges, log };
        host.play(Round::default());
        host
    }
    /// Plays one round at the present time and returns its decisions.
    pub fn play(&mut self, round: Round) -> Vec<String> {
        let from = self.log.lines.len();
        self.policy.decide(&Round { now: self.now, ..round }, &mut self.log);
        self.log.lines[from..].to_vec()
    }
    pub fn arrive(&mut self, requests: &[Request]) -> Vec<String> {
        self.play(Round { arrivals: requests, ..Round::default() })
    }
    pub fn finish(&mut self, id: u32) -> Vec<String> {
        self.play(Round { finished_runs: &[completion(id, Outcome::Completed, 1.0)], ..Round::default() })
    }
    pub fn reach_call(&mut self, id: u32) -> Vec<String> {
        self.play(Round { awaiting_call: &[id], ..Round::default() })
    }
    pub fn end_call(&mut self, id: u32, outcome: Outcome, duration: f64) -> Vec<String> {
        self.play(Round { finished_calls: &[completion(id, outcome, duration)], ..Round::default() })
    }
    /// Advances time in ticks and returns the decisions.
    pub fn advance(&mut self, seconds: f64) -> Vec<String> {
        let from = self.log.lines.len();
        for _ in 0..(seconds / 0.02).round() as u32 {
            self.now += 0.02;
            self.play(Round { tick: Some(self.gauges), ..Round::default() });
        }
        self.log.lines[from..].to_vec()
    }
    /// Returns the number of decisions that start with `start`.
    pub fn count(&self, start: &str) -> usize {
        count(&self.log.lines, start)
    }
}

pub fn count(lines: &[String], start: &str) -> usize {
    lines.iter().filter(|line| line.starts_with(start)).count()
}
