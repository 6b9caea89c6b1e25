//! A tiny host: it tells the brain what a story needs and writes down what the brain says.

use puffinladder::*;

pub struct Host {
    pub brain: Brain,
    pub now: f64,
    /// Gauges shown at each beat.
    pub gauges: Gauges,
    /// All that was said, as "verb id" with figures behind.
    pub said: Said,
    heard: usize,
}

#[derive(Default)]
pub struct Said(pub Vec<String>);

impl Writer for Said {
    fn run(&mut self, id: u32) {
        self.0.push(format!("run {id}"));
    }
    fn decline(&mut self, id: u32, retry_after: f64, last: bool, _reason: Reason) {
        self.0.push(format!("decline {id} {retry_after} {last}"));
    }
    fn void(&mut self, id: u32, _reason: Reason) {
        self.0.push(format!("void {id}"));
    }
    fn pause(&mut self, id: u32) {
        self.0.push(format!("pause {id}"));
    }
    fn call(&mut self, id: u32, limit: f64) {
        self.0.push(format!("call {id} {limit:.3}"));
    }
    fn skip_call(&mut self, id: u32) {
        self.0.push(format!("skip {id}"));
    }
    fn remember(&mut self, id: u32, span: f64) {
        self.0.push(format!("remember {id} {span:.3}"));
    }
    fn forget(&mut self, id: u32) {
        self.0.push(format!("forget {id}"));
    }
    fn replay(&mut self, id: u32) {
        self.0.push(format!("replay {id}"));
    }
    fn health(&mut self, good: bool, _stored: bool) {
        self.0.push(format!("health {good}"));
    }
    fn signal(&mut self, amount: f64) {
        self.0.push(format!("signal {amount:.2}"));
    }
    fn keepalive(&mut self, span: f64) {
        self.0.push(format!("keepalive {span:.1}"));
    }
    fn wake(&mut self, _after: f64) {}
    fn note(&mut self, text: &str) {
        self.0.push(format!("note {text}"));
    }
}

/// A server of two cores: product 0 is dear and inquiry-like, 1 cheap, 2 referenced, 3 once-only.
pub fn charter() -> Charter {
    let product = |value, effect, skip_share| Product {
        sla: 4.0,
        sla_stretch: 0.0,
        expiry: 10.0,
        value,
        late_share: 0.0,
        effect,
        window: 30.0,
        calls: true,
        skip_share,
    };
    Charter {
        servers: 4.0,
        callers: 2.0,
        cores: 2.0,
        ram: 10_000.0,
        run_factor: 4.0,
        key_memory: 10.0,
        products: vec![
            product(4.0, Effect::Inquiry, 0.5),
            product(1.0, Effect::Inquiry, 0.5),
            product(4.0, Effect::Referenced, 0.0),
            product(4.0, Effect::OnceOnly, 0.0),
        ],
        customers: vec![],
        over_quota: 0.1,
        by_work: true,
        below: Below::Common,
        calls_share: 10.0,
        calls_span: 5.0,
        lingers: 0.2,
        halt: Halt::Never,
        signal: Signal::Silent,
        list_follows: false,
        cold: false,
        cold_share: 0.2,
        cold_span: 10.0,
        fall_multiple: 5.0,
        fall_span: 1.5,
        grace: 2.0,
        retry_after: 1.0,
        idle: 30.0,
    }
}

pub fn txn(id: u32, product: usize) -> Txn {
    Txn { id, product, memory: 10.0, ..Txn::default() }
}

pub fn end(id: u32, outcome: Outcome, took: f64) -> End {
    End { id, outcome, took }
}

impl Host {
    pub fn new(charter: &Charter) -> Host {
        let gauges = Gauges { busy: Some(1.0), runnable: Some(9.0), ..Gauges::default() };
        let (brain, said) = (Brain::new(charter, 1), Said::default());
        let mut host = Host { brain, now: 100.0, gauges, said, heard: 0 };
        host.tell(Round::default());
        host
    }
    /// One round now; returns what it brought.
    pub fn tell(&mut self, round: Round) -> Vec<String> {
        self.heard = self.said.0.len();
        self.brain.round(&Round { now: self.now, ..round }, &mut self.said);
        self.said.0[self.heard..].to_vec()
    }
    pub fn arrive(&mut self, txns: &[Txn]) -> Vec<String> {
        self.tell(Round { arrived: txns, ..Round::default() })
    }
    pub fn done(&mut self, id: u32) -> Vec<String> {
        self.tell(Round { ended: &[end(id, Outcome::Done, 1.0)], ..Round::default() })
    }
    pub fn at_call(&mut self, id: u32) -> Vec<String> {
        self.tell(Round { at_call: &[id], ..Round::default() })
    }
    pub fn returned(&mut self, id: u32, outcome: Outcome, took: f64) -> Vec<String> {
        self.tell(Round { returned: &[end(id, outcome, took)], ..Round::default() })
    }
    /// Lets time pass in beats and returns all that was said meanwhile.
    pub fn pass(&mut self, span: f64) -> Vec<String> {
        let from = self.said.0.len();
        for _ in 0..(span / 0.02).round() as u32 {
            self.now += 0.02;
            self.tell(Round { wake: Some(self.gauges), ..Round::default() });
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
