//! What a control service is told: counts by product and customer since the last time, and the module's present figures.

use puffinladder_trace::row::Step;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// A number that one thread writes and another reads.
#[derive(Default)]
struct Real(AtomicU64);

impl Real {
    fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }
    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// One product of one customer.
#[derive(Default)]
struct Cell {
    asked: AtomicU32,
    declined: AtomicU32,
}

pub struct Counts {
    customers: usize,
    cells: Vec<Cell>,
    settled: AtomicU32,
    runs: AtomicU32,
    run_us: AtomicU64,
    limit: Real,
    pressure: Real,
    retry_after: Real,
    unwell: AtomicBool,
    /// By the clock of the process; 0 while it stays.
    kill: Real,
}

/// What was taken: rates are a second.
pub struct Taken {
    pub settled: f64,
    /// s, 0 where nothing ran.
    pub takes: f64,
    pub limit: f64,
    pub pressure: f64,
    pub retry_after: f64,
    pub healthy: bool,
    pub kill: Option<f64>,
    /// Product, customer, asked, declined; those that nobody asked for are left out.
    pub classes: Vec<(usize, usize, f64, f64)>,
}

impl Counts {
    pub fn new(products: usize, customers: usize) -> Counts {
        let customers = customers.max(1);
        Counts {
            customers,
            cells: (0..products * customers).map(|_| Cell::default()).collect(),
            settled: AtomicU32::new(0),
            runs: AtomicU32::new(0),
            run_us: AtomicU64::new(0),
            limit: Real::default(),
            pressure: Real::default(),
            retry_after: Real::default(),
            unwell: AtomicBool::new(false),
            kill: Real::default(),
        }
    }

    /// A txn was read; where it counts.
    pub fn asked(&self, product: usize, customer: usize) -> usize {
        let at = product * self.customers + customer.min(self.customers - 1);
        self.cells[at].asked.fetch_add(1, Ordering::Relaxed);
        at
    }
    /// It was answered, or its run ended after so many seconds.
    pub fn step(&self, at: usize, step: Step) {
        if step.is_declined() {
            self.cells[at].declined.fetch_add(1, Ordering::Relaxed);
        } else if step == Step::SETTLED {
            self.settled.fetch_add(1, Ordering::Relaxed);
        }
    }
    pub fn ran(&self, took: f64) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.run_us.fetch_add((took.clamp(0.0, 3600.0) * 1e6) as u64, Ordering::Relaxed);
    }
    pub fn limits(&self, limit: f64, pressure: f64) {
        self.limit.set(limit);
        self.pressure.set(pressure.clamp(0.0, 1.0));
    }
    pub fn keep_off(&self, retry_after: f64) {
        self.retry_after.set(retry_after);
    }
    pub fn health(&self, good: bool) {
        self.unwell.store(!good, Ordering::Relaxed);
    }
    pub fn leave(&self, kill: f64) {
        self.kill.set(kill);
    }

    /// All since the last time, which was `span` seconds ago.
    pub fn take(&self, span: f64) -> Taken {
        let rate = |counter: &AtomicU32| f64::from(counter.swap(0, Ordering::Relaxed)) / span;
        let runs = self.runs.swap(0, Ordering::Relaxed);
        let run_us = self.run_us.swap(0, Ordering::Relaxed);
        let kill = self.kill.get();
        let cells = self.cells.iter().enumerate();
        let classes = cells
            .map(|(at, cell)| {
                (at / self.customers, at % self.customers, rate(&cell.asked), rate(&cell.declined))
            })
            .filter(|(.., asked, declined)| *asked > 0.0 || *declined > 0.0);
        Taken {
            settled: rate(&self.settled),
            takes: if runs > 0 { run_us as f64 / 1e6 / f64::from(runs) } else { 0.0 },
            limit: self.limit.get(),
            pressure: self.pressure.get(),
            retry_after: self.retry_after.get(),
            healthy: !self.unwell.load(Ordering::Relaxed),
            kill: (kill > 0.0).then_some(kill),
            classes: classes.collect(),
        }
    }
}
