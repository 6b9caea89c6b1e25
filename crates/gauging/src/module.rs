//! The decision module alone: [`Brain::round`] over customers, products and requests, in this process, with a host that draws requests on a clock of its
//! own. What counts is the processor time inside the rounds, by the thread's own clock, so that neither the host's work nor what runs beside is in it.
//!
//! `cpu` is s of it for each s of the drawn clock, at `requests` a second; `round_p99` is of single rounds. A request takes three rounds or so (it
//! comes, it ends, a beat), each with all that came at that moment. Memory is not measured here: it would be this process's.

use crate::{count, size, Gauge, Sizes, Taken};
use puffinladder::{
    Below, Brain, Charter, Customer, Effect, End, Gauges, Halt, Outcome, Product, Reason, Round, Signal, Txn,
    Writer,
};
use puffinladder_proving::measure::quantile;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use rustix::time::{clock_gettime, ClockId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Cores of the drawn server, and mean s of a run: three quarters of the cores are busy at 300 requests a second.
const CORES: f64 = 4.0;
const RUN: f64 = 0.01;
/// Drawn s before anything is counted, so that rates and buckets stand.
const WARM: f64 = 1.0;
/// Most drawn s that a point is measured for.
const MOST: f64 = 20.0;

/// What happens next, in ns of the drawn clock, with a number that keeps equals in order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives,
    Ends(u32),
    Beat,
}

#[derive(Default)]
struct Said {
    runs: Vec<u32>,
    over: Vec<u32>,
    wake: Option<f64>,
}

impl Writer for Said {
    fn run(&mut self, id: u32) {
        self.runs.push(id);
    }
    fn decline(&mut self, id: u32, _: f64, _: bool, _: Reason) {
        self.over.push(id);
    }
    fn void(&mut self, id: u32, _: Reason) {
        self.over.push(id);
    }
    fn pause(&mut self, _: u32) {}
    fn call(&mut self, _: u32, _: f64) {}
    fn skip_call(&mut self, _: u32) {}
    fn remember(&mut self, _: u32, _: f64) {}
    fn forget(&mut self, _: u32) {}
    fn replay(&mut self, _: u32) {}
    fn health(&mut self, _: bool, _: bool) {}
    fn signal(&mut self, _: f64) {}
    fn keepalive(&mut self, _: f64) {}
    fn wake(&mut self, after: f64) {
        self.wake = Some(after);
    }
    fn note(&mut self, _: &str) {}
}

/// So many products and customers, none of which asks for more than it may.
fn charter(products: usize, customers: usize) -> Charter {
    let product = |at: usize| Product {
        sla: 4.0,
        expiry: 8.0,
        value: 1.0 + (at % 3) as f64,
        effect: if at % 4 == 3 { Effect::Referenced } else { Effect::Inquiry },
        window: 20.0,
        ..Product::default()
    };
    Charter {
        servers: 1.0,
        callers: 16.0,
        cores: CORES,
        ram: 1e6,
        run_factor: 4.0,
        key_memory: 1.0,
        products: (0..products).map(product).collect(),
        customers: vec![Customer { quota: 1e6 }; customers],
        over_quota: 0.1,
        by_work: true,
        below: Below::Nothing,
        calls_span: 5.0,
        halt: Halt::Never,
        signal: Signal::Level,
        cold_share: 1.0,
        cold_span: 1.0,
        fall_multiple: 5.0,
        fall_span: 1.5,
        grace: 1.0,
        retry_after: 1.0,
        idle: 30.0,
        ..Charter::default()
    }
}

/// s of processor time of this thread.
fn spent() -> f64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

pub async fn point(gauge: &Gauge, sizes: &Sizes) -> Result<Vec<Taken>, String> {
    let (products, customers) = (count(sizes, "routes")?, count(sizes, "customers")?);
    let (rate, seed, span) = (size(sizes, "requests")?, gauge.seed, gauge.span);
    let played = tokio::task::spawn_blocking(move || play(products, customers, rate, seed, span)).await;
    Ok(vec![played.map_err(|e| e.to_string())??])
}

/// Plays until so much time of the machine has gone by, or [`MOST`] of the drawn clock.
fn play(products: usize, customers: usize, rate: f64, seed: u64, span: f64) -> Result<Taken, String> {
    if products == 0 || customers == 0 || rate <= 0.0 {
        return Err("customers, routes and requests should be above 0".into());
    }
    let charter = charter(products, customers);
    charter.check()?;
    let mut brain = Brain::new(&charter, seed);
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let exp = |mean: f64| Exp::new(1.0 / mean).map_err(|e| e.to_string());
    let (between, run) = (exp(1.0 / rate)?, exp(RUN)?);
    let mut said = Said::default();
    let mut due = BinaryHeap::new();
    let ns = |s: f64| (s * 1e9) as u64;
    due.push(Reverse((0, What::Beat)));
    due.push(Reverse((ns(between.sample(&mut chance)), What::Arrives)));
    let (mut next, mut open, mut settled) = (1u32, 0u32, 0u64);
    let (mut rounds, mut begun) = (Vec::new(), None);
    let (mut now, start) = (0.0, Instant::now());
    while now < WARM + MOST && start.elapsed() < Duration::from_secs_f64(span) {
        let Some(Reverse((at, what))) = due.pop() else { break };
        now = at as f64 / 1e9;
        let (mut arrived, mut ended, mut wake) = (None, None, None);
        match what {
            What::Arrives => {
                let (product, customer) =
                    (chance.random_range(0..products), chance.random_range(0..customers));
                arrived = Some(Txn {
                    id: next,
                    product,
                    customer,
                    memory: 10.0,
                    caller: next % 16,
                    ..Txn::default()
                });
                next = next.wrapping_add(1).max(1);
                due.push(Reverse((at + ns(between.sample(&mut chance)), What::Arrives)));
            }
            What::Ends(id) => {
                open = open.saturating_sub(1);
                settled += 1;
                ended = Some(End { id, outcome: Outcome::Done, took: 0.0 });
            }
            What::Beat => {
                let busy = Some((f64::from(open) / CORES).min(1.0));
                wake = Some(Gauges { busy, runnable: Some(f64::from(open)), ..Gauges::default() });
            }
        }
        let round =
            Round { now, arrived: arrived.as_slice(), ended: ended.as_slice(), wake, ..Round::default() };
        let before = spent();
        brain.round(&round, &mut said);
        let took = spent() - before;
        if now >= WARM {
            begun.get_or_insert((now, settled));
            rounds.push(took);
        }
        for id in said.runs.drain(..) {
            open += 1;
            due.push(Reverse((at + ns(run.sample(&mut chance)), What::Ends(id))));
        }
        said.over.clear();
        if let Some(after) = said.wake.take() {
            due.push(Reverse((at + ns(after).max(1), What::Beat)));
        }
    }
    let Some((from, before)) = begun.filter(|(from, _)| now - from > 0.5) else {
        return Err(format!("{now:.2} s of its clock in {span} s: too few rounds to say anything"));
    };
    if settled == before {
        return Err("no request was settled".into());
    }
    let mut taken = Taken::of("module", now - from);
    taken.put("cpu", rounds.iter().sum::<f64>() / (now - from));
    rounds.sort_by(f64::total_cmp);
    taken.put_known("round_p99", Some(quantile(&rounds, 0.99)));
    Ok(taken)
}

#[cfg(test)]
mod tests;
