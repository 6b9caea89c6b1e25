//! What an emulated server reports of its load, drawn from a seed: no I/O, no clock.

use puffinladder_leases::SeededRandom;
use puffinladder_reports::{ClassLoad, LoadSample};
use std::collections::BTreeMap;

/// Share of the requests that is rejected.
const REJECTED_SHARE: f64 = 0.02;
/// The concurrency limit that a server begins with, and the bounds between which it walks.
const FIRST_LIMIT: f64 = 4.0;
const LIMIT_RANGE: (f64, f64) = (2.0, 16.0);
/// A step of the limit multiplies it by a factor from the first number up to the sum of both.
const LIMIT_STEP: (f64, f64) = (0.97, 0.06);

/// How servers are loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Number of products.
    pub products: usize,
    /// Number of customers.
    pub customers: usize,
    /// Requests a second to one server.
    pub rate: f64,
    /// Whether all reports repeat the first, so that nothing has to be decided anew.
    pub calm: bool,
}

/// One server's load, from one report to the next.
#[derive(Clone, Debug)]
pub struct Traffic {
    load: Load,
    random: SeededRandom,
    /// Fraction of a request that the spans so far left over.
    remainder: f64,
    limit: f64,
    /// The report that a calm server repeats.
    repeated: Option<LoadSample>,
}

/// Requests of one product and customer.
#[derive(Clone, Copy, Default)]
struct RequestCount {
    received: u32,
    rejected: u32,
}

/// A product and a customer, by their numbers.
type ClassKey = (usize, usize);

impl Traffic {
    /// The load of a server with this seed.
    pub fn new(load: Load, seed: u64) -> Traffic {
        Traffic { load, random: SeededRandom::new(seed), remainder: 0.0, limit: FIRST_LIMIT, repeated: None }
    }

    /// What happened in the `span` seconds since the last report. Customers with low numbers make most of the requests.
    pub fn state(&mut self, span: f64) -> LoadSample {
        if let Some(state) = &self.repeated {
            return state.clone();
        }
        let drawn = self.draw(span);
        if !self.load.calm {
            return drawn;
        }
        self.repeated.insert(calmed(drawn)).clone()
    }

    fn draw(&mut self, span: f64) -> LoadSample {
        let requests = self.due_requests(span);
        let counts = self.draw_requests(requests);
        let completed: u32 = counts.values().map(|count| count.received - count.rejected).sum();
        let random = &mut self.random;
        self.limit = (self.limit * (LIMIT_STEP.0 + LIMIT_STEP.1 * random.next_f64()))
            .clamp(LIMIT_RANGE.0, LIMIT_RANGE.1);
        let class = |(&(product, customer), count): (&ClassKey, &RequestCount)| ClassLoad {
            product,
            customer,
            offered: f64::from(count.received) / span,
            rejected: f64::from(count.rejected) / span,
        };
        LoadSample {
            concurrency_limit: self.limit,
            in_flight: random.next_index(self.limit as usize + 1),
            service_time: if completed > 0 { 0.008 + 0.01 * random.next_f64() } else { 0.0 },
            pressure: 0.3 * random.next_f64(),
            retry_after: 0.25 + 0.5 * random.next_f64(),
            healthy: true,
            terminates_in: None,
            goodput: f64::from(completed) / span,
            classes: counts.iter().map(class).collect(),
        }
    }

    /// Whole requests of a span, with what the spans before it left over.
    fn due_requests(&mut self, span: f64) -> usize {
        let due = self.load.rate * span + self.remainder;
        self.remainder = due.fract();
        if self.load.products * self.load.customers == 0 {
            return 0;
        }
        due as usize
    }

    fn draw_requests(&mut self, requests: usize) -> BTreeMap<ClassKey, RequestCount> {
        let random = &mut self.random;
        let customers = self.load.customers;
        let mut counts: BTreeMap<ClassKey, RequestCount> = BTreeMap::new();
        for _ in 0..requests {
            // The product of two uniform draws is mostly small.
            let skewed = random.next_f64() * random.next_f64();
            let customer = ((skewed * customers as f64) as usize).min(customers - 1);
            let count = counts.entry((random.next_index(self.load.products), customer)).or_default();
            count.received += 1;
            count.rejected += u32::from(random.next_f64() < REJECTED_SHARE);
        }
        counts
    }
}

/// The state of a calm server: all are alike in what shares are calculated by, and nothing is rejected that proxies would drop.
fn calmed(state: LoadSample) -> LoadSample {
    let classes = state.classes.iter().map(|class| ClassLoad { rejected: 0.0, ..*class }).collect();
    LoadSample {
        concurrency_limit: FIRST_LIMIT,
        in_flight: 2,
        service_time: 0.01,
        pressure: 0.0,
        retry_after: 0.25,
        classes,
        ..state
    }
}
