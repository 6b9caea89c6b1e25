//! Synthetic traces, deterministic for a seed: daily traffic with periodic overload, during which requests are declined
//! and retried and downstream calls fail.

use crate::row::*;
use puffinladder::{Outcome, Reason};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

/// Parameters of a synthetic trace.
#[derive(Clone, Debug)]
pub struct SynthConfig {
    pub seed: u64,
    /// Length in s.
    pub span: f64,
    /// Mean requests per second.
    pub rate: f64,
    pub node: String,
    /// Time of the first request, in us.
    pub from: i64,
    pub customers: usize,
    pub callers: u32,
    /// Share of the time under overload.
    pub overload_share: f64,
}

impl Default for SynthConfig {
    fn default() -> SynthConfig {
        SynthConfig {
            seed: 1,
            span: 3600.0,
            rate: 230.0,
            node: "n1".into(),
            from: 1_767_225_600_000_000,
            customers: 24,
            callers: 40,
            overload_share: 0.2,
        }
    }
}

/// Product: name, value, SLA time (s), expiry (s), share of requests, core time (s), has keys, makes calls.
type ProductSpec = (&'static str, f64, f64, f64, f64, f64, bool, bool);

const PRODUCTS: [ProductSpec; 4] = [
    ("bid-submit", 3.0, 0.4, 2.0, 0.22, 0.012, true, true),
    ("bid-status", 1.0, 0.3, 1.5, 0.48, 0.003, false, false),
    ("catalogue", 1.0, 0.8, 4.0, 0.24, 0.008, false, true),
    ("report", 0.5, 4.0, 20.0, 0.06, 0.045, false, false),
];

/// Seconds from one overload to the next.
const OVERLOAD_PERIOD_SECONDS: f64 = 300.0;

/// Generator of a trace's records in time order.
pub struct Generator {
    config: SynthConfig,
    rng: ChaCha8Rng,
    at: f64,
    products: Vec<u32>,
    customers: Vec<u32>,
    node: u32,
    /// Recent keys, which retries reuse.
    keys: Vec<u64>,
    limit: f32,
    last_note_at: f64,
}

/// A record of a trace.
pub enum Record {
    Row(Row),
    Note(Note),
}

impl Generator {
    /// Creates a generator and interns its products, customers and node.
    pub fn new(config: &SynthConfig, names: &mut Names) -> Generator {
        let product = |p: &ProductSpec, names: &mut Names| {
            names.intern_product(&Product {
                name: p.0.into(),
                value: p.1,
                sla: p.2,
                expiry: p.3,
                by_work: false,
            })
        };
        Generator {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            at: 0.0,
            products: PRODUCTS.iter().map(|p| product(p, names)).collect(),
            customers: (0..config.customers.max(1)).map(|at| names.intern(&format!("k{at:03}"))).collect(),
            node: names.intern(&config.node),
            keys: Vec::new(),
            limit: 4.0,
            last_note_at: 0.0,
            config: config.clone(),
        }
    }

    /// Returns the next record, or `None` at the end of the trace.
    pub fn next(&mut self, names: &mut Names) -> Option<Record> {
        // The offset puts normal load and overload into traces of one minute.
        let phase = (self.at / OVERLOAD_PERIOD_SECONDS + 0.67).fract();
        let overloaded = phase > 1.0 - self.config.overload_share;
        if self.at - self.last_note_at > 1.0 {
            self.last_note_at = self.at;
            let limit = if overloaded { self.rng.random_range(6..10) } else { 4 } as f32;
            if limit != self.limit {
                self.limit = limit;
                let at = self.config.from + (self.at * 1e6) as i64;
                return Some(Record::Note(Note { at, node: self.node, topic: Topic::LIMIT, value: limit }));
            }
        }
        let normal_share = 1.0 / (1.0 + 0.6 * self.config.overload_share);
        let rate = self.config.rate * normal_share * if overloaded { 1.6 } else { 1.0 };
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.at += gap / rate;
        if self.at >= self.config.span {
            return None;
        }
        Some(Record::Row(self.row(names, overloaded)))
    }

    /// Draws a log-normal duration in us with a median in seconds.
    fn draw(&mut self, median: f64, spread: f64) -> u32 {
        let drawn = LogNormal::new((median * 1e6).ln(), spread).map_or(0.0, |d| d.sample(&mut self.rng));
        drawn.clamp(1.0, 4e9) as u32
    }

    fn row(&mut self, names: &mut Names, overloaded: bool) -> Row {
        let mut draw = self.rng.random::<f64>();
        let index = PRODUCTS.iter().position(|p| {
            draw -= p.4;
            draw < 0.0
        });
        let index = index.unwrap_or(1);
        let (_, _, sla, expiry, _, work, keyed, calls) = PRODUCTS[index];
        let customer = Zipf::new(self.customers.len() as f64, 1.1).map_or(1.0, |z| z.sample(&mut self.rng));
        let repeat = self.rng.random_bool(if overloaded { 0.22 } else { 0.01 });
        let mut row = Row {
            read: self.config.from + (self.at * 1e6) as i64,
            unread: self.draw(if overloaded { 0.006 } else { 0.0004 }, 0.8),
            node: self.node,
            product: self.products[index],
            customer: self.customers[(customer as usize).clamp(1, self.customers.len()) - 1],
            caller: self.rng.random_range(0..self.config.callers.max(1)),
            rank: self.rng.random_range(0..64),
            hint: self.draw(work, 0.5),
            memory: 512 * self.rng.random_range(4..64u32),
            flags: if repeat { REPEAT } else { 0 },
            name: self.rng.random(),
            ..Row::default()
        };
        if keyed {
            row.key = match self.keys.len() {
                0 => 0,
                known if repeat => self.keys[self.rng.random_range(0..known)],
                _ => 0,
            };
            if row.key == 0 {
                row.key = self.rng.random::<u64>() >> 16 | 1;
                if self.keys.len() >= 64 {
                    let at = self.rng.random_range(0..64);
                    self.keys.swap_remove(at);
                }
                self.keys.push(row.key);
            }
        }
        self.add_steps(names, &mut row, sla, expiry, calls && self.rng.clone().random_bool(0.5), overloaded);
        row
    }

    fn add_steps(
        &mut self,
        names: &mut Names,
        row: &mut Row,
        sla: f64,
        expiry: f64,
        calls: bool,
        overloaded: bool,
    ) {
        let mut steps = Vec::new();
        let mut step = |row: &mut Row, step: Step, span: u32| {
            steps.push(step.0);
            row.spans.push(span);
        };
        let hint = f64::from(row.hint) / 1e6;
        let wait = self.draw(if overloaded { 0.05 } else { 0.0006 }, 1.1);
        let threshold = expiry * if row.repeat() { 0.04 } else { 0.12 };
        let chance = self.rng.random::<f64>();
        if overloaded && f64::from(wait) / 1e6 > threshold {
            let reason = if chance < 0.8 { Reason::WaitedTooLong } else { Reason::InsufficientTime };
            let over = self.draw(0.008, 0.7);
            step(row, Step::declined(reason), (threshold * 1e6) as u32 + over);
            row.keep_off = self.rng.random_range(1..500);
            row.flags |= if self.rng.random_bool(0.4) { LAST } else { 0 };
        } else if chance < 0.0006 {
            step(row, Step::declined(Reason::MemoryPressure), wait);
        } else if chance < 0.0012 {
            step(row, Step::voided(Reason::DuplicateName), 20);
        } else if row.key != 0 && row.repeat() {
            step(row, Step::REPLAYED, 40);
            let reply_span = self.draw(0.004, 1.0);
            step(row, Step::SETTLED, reply_span);
        } else if chance < 0.003 {
            step(row, Step::GONE, wait);
        } else {
            step(row, Step::RUN, wait);
            let (slow, spread) = if overloaded { (2.0, 0.8) } else { (1.0, 0.25) };
            let mut run = self.draw(hint * slow, spread);
            if calls {
                step(row, Step::AT_CALL, run / 2);
                run /= 2;
                let opened = self.draw(0.00005, 0.5);
                step(row, Step::CALL, opened);
                let away = self.draw(0.006, 0.5);
                if overloaded && chance < 0.05 {
                    step(row, Step::returned(Outcome::TimedOut), away * 4);
                    step(row, Step::CALL_SKIPPED, 15);
                } else {
                    step(row, Step::returned(Outcome::Completed), away);
                }
            }
            if chance > 0.9985 {
                step(row, Step::ended(Outcome::Failed), run);
                step(row, Step::voided(Reason::RunFailed), 10);
            } else if chance > 0.998 {
                step(row, Step::voided(Reason::DeadlineReached), (expiry * 1e6) as u32);
                step(row, Step::ended(Outcome::Completed), run);
            } else {
                step(row, Step::ended(Outcome::Completed), run);
                let late = row.spans.iter().map(|s| f64::from(*s) / 1e6).sum::<f64>() > sla;
                let reply_span = self.draw(0.00002, 0.4);
                step(row, if late { Step::SETTLED_LATE } else { Step::SETTLED }, reply_span);
            }
        }
        row.path = names.intern_path(&steps);
    }
}
