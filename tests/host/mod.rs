//! A tiny host: it tells the brain what a story needs and writes down what the brain says.

use puffinladder::*;

pub struct Host {
    pub brain: AdmissionPolicy,
    pub now: f64,
    /// Gauges shown at each beat.
    pub gauges: Gauges,
    /// All that was said, as "verb id" with figures behind.
    pub said: Said,
    heard: usize,
}

#[derive(Default)]
pub struct Said(pub Vec<String>);

impl Decisions for Said {
    fn run(&mut self, id: u32) {
        self.0.push(format!("run {id}"));
    }
    fn reject(&mut self, id: u32, retry_after: f64, last: bool, _reason: Reason) {
        self.0.push(format!("decline {id} {retry_after} {last}"));
    }
    fn fail(&mut self, id: u32, _reason: Reason) {
        self.0.push(format!("void {id}"));
    }
    fn preempt(&mut self, id: u32) {
        self.0.push(format!("pause {id}"));
    }
    fn allow_call(&mut self, id: u32, limit: f64) {
        self.0.push(format!("call {id} {limit:.3}"));
    }
    fn skip_call(&mut self, id: u32) {
        self.0.push(format!("skip {id}"));
    }
    fn remember_key(&mut self, id: u32, span: f64) {
        self.0.push(format!("remember {id} {span:.3}"));
    }
    fn forget_key(&mut self, id: u32) {
        self.0.push(format!("forget {id}"));
    }
    fn replay_result(&mut self, id: u32) {
        self.0.push(format!("replay {id}"));
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.0.push(format!("health {good}"));
    }
    fn set_load_signal(&mut self, amount: f64) {
        self.0.push(format!("signal {amount:.2}"));
    }
    fn set_keepalive(&mut self, span: f64) {
        self.0.push(format!("keepalive {span:.1}"));
    }
    fn schedule_tick(&mut self, _after: f64) {}
    fn log(&mut self, text: &str) {
        self.0.push(format!("note {text}"));
    }
}

/// A server of two cores: product 0 is dear and inquiry-like, 1 cheap, 2 referenced, 3 once-only.
pub fn charter() -> PolicySettings {
    let product = |value, effect, skip_share| RequestClass {
        latency_objective: 4.0,
        objective_stretch: 0.0,
        timeout: 10.0,
        priority_weight: value,
        late_weight_fraction: 0.0,
        idempotency: effect,
        dedup_window: 30.0,
        makes_calls: true,
        degraded_weight_fraction: skip_share,
    };
    PolicySettings {
        servers: 4.0,
        callers: 2.0,
        cores: 2.0,
        memory: 10_000.0,
        running_memory_factor: 4.0,
        key_memory: 10.0,
        classes: vec![
            product(4.0, Idempotency::Idempotent, 0.5),
            product(1.0, Idempotency::Idempotent, 0.5),
            product(4.0, Idempotency::Keyed, 0.0),
            product(4.0, Idempotency::NonIdempotent, 0.0),
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

pub fn txn(id: u32, product: usize) -> Request {
    Request { id, class: product, memory: 10.0, ..Request::default() }
}

pub fn end(id: u32, outcome: Outcome, took: f64) -> Completion {
    Completion { id, outcome, duration: took }
}

impl Host {
    pub fn new(charter: &PolicySettings) -> Host {
        let gauges = Gauges { busy: Some(1.0), runnable: Some(9.0), ..Gauges::default() };
        let (brain, said) = (AdmissionPolicy::new(charter, 1), Said::default());
        let mut host = Host { brain, now: 100.0, gauges, said, heard: 0 };
        host.tell(Round::default());
        host
    }
    /// One round now; returns what it brought.
    pub fn tell(&mut self, round: Round) -> Vec<String> {
        self.heard = self.said.0.len();
        self.brain.decide(&Round { now: self.now, ..round }, &mut self.said);
        self.said.0[self.heard..].to_vec()
    }
    pub fn arrive(&mut self, txns: &[Request]) -> Vec<String> {
        self.tell(Round { arrivals: txns, ..Round::default() })
    }
    pub fn done(&mut self, id: u32) -> Vec<String> {
        self.tell(Round { finished_runs: &[end(id, Outcome::Completed, 1.0)], ..Round::default() })
    }
    pub fn at_call(&mut self, id: u32) -> Vec<String> {
        self.tell(Round { awaiting_call: &[id], ..Round::default() })
    }
    pub fn returned(&mut self, id: u32, outcome: Outcome, took: f64) -> Vec<String> {
        self.tell(Round { finished_calls: &[end(id, outcome, took)], ..Round::default() })
    }
    /// Lets time pass in beats and returns all that was said meanwhile.
    pub fn pass(&mut self, span: f64) -> Vec<String> {
        let from = self.said.0.len();
        for _ in 0..(span / 0.02).round() as u32 {
            self.now += 0.02;
            self.tell(Round { tick: Some(self.gauges), ..Round::default() });
        }
        self.said.0[from..].to_vec()
    }
    /// How often a line that begins like this was said.
    pub fn count(&self, start: &str) -> usize {
        count(&self.said.0, start)
    }
}

pub fn count(said: &[String], start: &str) -> usize {
    said.iter().filter(|line| line.starts_with(start)).count()
}
