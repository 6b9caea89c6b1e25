//! The admission policy alone: [`AdmissionPolicy::decide`] over customers, products and requests, in this process, with a host that draws requests on a clock of its
//! own. What counts is the processor time inside the rounds, by the thread's own clock, so that neither the host's work nor what runs beside is in it.
//!
//! `cpu` is s of it for each s of the drawn clock, at `requests` a second; `round_p99` is of single rounds. A request takes three rounds or so (it
//! comes, it ends, a beat), each with all that came at that moment. Memory is not measured here: it would be this process's.

use crate::{count, size, Gauge, Sizes, Taken};
use puffinladder::{
    AdmissionPolicy, Completion, Decisions, Downstream, Gauges, Idempotency, LoadSignal, Outcome,
    PolicySettings, Preemption, Reason, Request, RequestClass, Round, Tenant,
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
struct Recorded {
    runs: Vec<u32>,
    over: Vec<u32>,
    wake: Option<f64>,
}

impl Decisions for Recorded {
    fn run(&mut self, id: u32) {
        self.runs.push(id);
    }
    fn reject(&mut self, id: u32, _: f64, _: bool, _: Reason) {
        self.over.push(id);
    }
    fn fail(&mut self, id: u32, _: Reason) {
        self.over.push(id);
    }
    fn preempt(&mut self, _: u32) {}
    fn allow_call(&mut self, _: u32, _: f64) {}
    fn skip_call(&mut self, _: u32) {}
    fn remember_key(&mut self, _: u32, _: f64) {}
    fn forget_key(&mut self, _: u32) {}
    fn replay_result(&mut self, _: u32) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn set_load_signal(&mut self, _: f64) {}
    fn set_keepalive(&mut self, _: f64) {}
    fn schedule_tick(&mut self, after: f64) {
        self.wake = Some(after);
    }
    fn log(&mut self, _: &str) {}
}

/// So many products and customers, none of which asks for more than it may.
fn settings(products: usize, customers: usize) -> PolicySettings {
    let product = |at: usize| RequestClass {
        latency_objective: 4.0,
        timeout: 8.0,
        priority_weight: 1.0 + (at % 3) as f64,
        idempotency: if at % 4 == 3 { Idempotency::Keyed } else { Idempotency::Idempotent },
        dedup_window: 20.0,
        ..RequestClass::default()
    };
    PolicySettings {
        servers: 1.0,
        callers: 16.0,
        cores: CORES,
        memory: 1e6,
        running_memory_factor: 4.0,
        key_memory: 1.0,
        classes: (0..products).map(product).collect(),
        tenants: vec![Tenant { quota: 1e6 }; customers],
        over_quota_fraction: 0.1,
        weight_per_work: true,
        downstream: Downstream::None,
        call_averaging_window: 5.0,
        preemption: Preemption::Never,
        load_signal: LoadSignal::MinimumRank,
        cold_capacity_fraction: 1.0,
        warm_up_duration: 1.0,
        overload_multiple: 5.0,
        overload_window: 1.5,
        drain_grace: 1.0,
        max_retry_after: 1.0,
        idle_timeout: 30.0,
        ..PolicySettings::default()
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
    let settings = settings(products, customers);
    settings.validate().map_err(|e| e.to_string())?;
    let mut policy = AdmissionPolicy::new(&settings, seed);
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let exp = |mean: f64| Exp::new(1.0 / mean).map_err(|e| e.to_string());
    let (between, run) = (exp(1.0 / rate)?, exp(RUN)?);
    let mut decisions = Recorded::default();
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
                arrived = Some(Request {
                    id: next,
                    class: product,
                    tenant: customer,
                    memory: 10.0,
                    caller: next % 16,
                    ..Request::default()
                });
                next = next.wrapping_add(1).max(1);
                due.push(Reverse((at + ns(between.sample(&mut chance)), What::Arrives)));
            }
            What::Ends(id) => {
                open = open.saturating_sub(1);
                settled += 1;
                ended = Some(Completion { id, outcome: Outcome::Completed, duration: 0.0 });
            }
            What::Beat => {
                let busy = Some((f64::from(open) / CORES).min(1.0));
                wake = Some(Gauges { busy, runnable: Some(f64::from(open)), ..Gauges::default() });
            }
        }
        let round = Round {
            now,
            arrivals: arrived.as_slice(),
            finished_runs: ended.as_slice(),
            tick: wake,
            ..Round::default()
        };
        let before = spent();
        policy.decide(&round, &mut decisions);
        let took = spent() - before;
        if now >= WARM {
            begun.get_or_insert((now, settled));
            rounds.push(took);
        }
        for id in decisions.runs.drain(..) {
            open += 1;
            due.push(Reverse((at + ns(run.sample(&mut chance)), What::Ends(id))));
        }
        decisions.over.clear();
        if let Some(after) = decisions.wake.take() {
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
