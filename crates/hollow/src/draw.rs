//! What hollow servers are called and what they say, by a seed: no I/O, no clock.

use puffinladder_leases::SeededRandom;
use puffinladder_reports::{Class, State};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

const FIRST: [&str; 16] = [
    "amber", "basalt", "cobalt", "delta", "ember", "fathom", "granite", "harbor", "indigo", "juniper",
    "kelp", "lantern", "meridian", "northern", "opal", "pelican",
];
const SECOND: [&str; 12] = [
    "books",
    "clinics",
    "freight",
    "grocers",
    "hotels",
    "logistics",
    "markets",
    "payments",
    "rentals",
    "studios",
    "tickets",
    "utilities",
];
const DOES: [&str; 10] = [
    "authorize",
    "availability",
    "booking",
    "checkout",
    "invoice",
    "lookup",
    "pricing",
    "quote",
    "search",
    "settlement",
];

/// A customer's name by its number, the same whatever the seed: settings of stewards name it too.
pub fn customer(at: usize) -> String {
    format!("{}-{}-{at:05}", FIRST[at % 16], SECOND[at / 16 % 12])
}

/// A product's name by its number.
pub fn product(at: usize) -> String {
    format!("{}-{}-v{}", SECOND[at / 10 % 12], DOES[at % 10], 1 + at / 120)
}

/// A server's name by its number, and where it would listen; nobody does.
pub fn server(at: usize) -> (String, SocketAddr) {
    let [_, a, b, c] = (at as u32).to_be_bytes();
    (format!("n{at:05}"), SocketAddr::from((Ipv4Addr::new(10, a, b, c), 4100)))
}

/// Its zone, of so many.
pub fn zone(at: usize, zones: usize) -> String {
    format!("zone-{}", 1 + at % zones.max(1))
}

/// A service that callers belong to.
pub fn service(at: usize, services: usize) -> String {
    let at = at % services.max(1);
    format!("{}-{}-{at:03}", FIRST[at % 16], DOES[at / 16 % 10])
}

/// How servers are loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub products: usize,
    pub customers: usize,
    /// Requests a second to one server.
    pub rate: f64,
    /// What the first report says is said by all: nothing is to be decided anew.
    pub calm: bool,
}

/// One server's load, from one report to the next.
#[derive(Clone, Debug)]
pub struct Traffic {
    load: Load,
    chance: SeededRandom,
    /// Part of a request that the spans so far left over.
    left: f64,
    limit: f64,
    /// What is said again and again.
    said: Option<State>,
}

/// Share of the requests that is declined.
const DECLINED: f64 = 0.02;

impl Traffic {
    pub fn new(load: Load, seed: u64) -> Traffic {
        Traffic { load, chance: SeededRandom::new(seed), left: 0.0, limit: 4.0, said: None }
    }

    /// What happened in the `span` seconds since the last report. Few customers ask for most: those with low numbers.
    pub fn state(&mut self, span: f64) -> State {
        if let Some(said) = &self.said {
            return said.clone();
        }
        let drawn = self.draw(span);
        if !self.load.calm {
            return drawn;
        }
        // All servers alike in what shares go by, and nothing declined that proxies would drop.
        let classes = drawn.classes.iter().map(|class| Class { declined: 0.0, ..*class }).collect();
        let fixed = State { limit: 4.0, running: 2, takes: 0.01, pressure: 0.0, retry_after: 0.25, ..drawn };
        let calm = State { classes, ..fixed };
        self.said.insert(calm).clone()
    }

    fn draw(&mut self, span: f64) -> State {
        let chance = &mut self.chance;
        let due = self.load.rate * span + self.left;
        let requests = if self.load.products * self.load.customers == 0 { 0 } else { due as usize };
        self.left = due.fract();
        let mut pairs: BTreeMap<(usize, usize), (u32, u32)> = BTreeMap::new();
        let mut settled = 0u32;
        for _ in 0..requests {
            let skewed = chance.next_unit() * chance.next_unit();
            let customer = ((skewed * self.load.customers as f64) as usize).min(self.load.customers - 1);
            let pair = pairs.entry((chance.next_index(self.load.products), customer)).or_default();
            let declined = chance.next_unit() < DECLINED;
            pair.0 += 1;
            pair.1 += u32::from(declined);
            settled += u32::from(!declined);
        }
        self.limit = (self.limit * (0.97 + 0.06 * chance.next_unit())).clamp(2.0, 16.0);
        let class = |(&(product, customer), &(asked, declined)): (&(usize, usize), &(u32, u32))| Class {
            product,
            customer,
            asked: f64::from(asked) / span,
            declined: f64::from(declined) / span,
        };
        State {
            limit: self.limit,
            running: chance.next_index(self.limit as usize + 1),
            takes: if settled > 0 { 0.008 + 0.01 * chance.next_unit() } else { 0.0 },
            pressure: 0.3 * chance.next_unit(),
            retry_after: 0.25 + 0.5 * chance.next_unit(),
            healthy: true,
            leaving: None,
            settled: f64::from(settled) / span,
            classes: pairs.iter().map(class).collect(),
        }
    }
}
