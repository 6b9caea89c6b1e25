//! What a control service is told: counts by class and tenant since the last report, and the policy's present figures.

use puffinladder_trace::row::Step;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// The longest run time that is counted, s.
const MAX_RUN_TIME: f64 = 3600.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A number that one thread writes and another reads.
#[derive(Default)]
struct AtomicF64(AtomicU64);

impl AtomicF64 {
    fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }
    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// Counts of one class of one tenant.
#[derive(Default)]
struct Cell {
    received: AtomicU32,
    rejected: AtomicU32,
}

/// Counts since the last report, and present figures.
pub struct Counters {
    tenants: usize,
    cells: Vec<Cell>,
    completed: AtomicU32,
    runs: AtomicU32,
    run_microseconds: AtomicU64,
    run_limit: AtomicF64,
    pressure: AtomicF64,
    retry_after: AtomicF64,
    unhealthy: AtomicBool,
    /// When the process is killed, by its own clock; 0 while it is not draining.
    kill_time: AtomicF64,
}

/// Rates of one class of one tenant, 1/s.
pub struct ClassRates {
    /// Place of the class in the settings.
    pub class: usize,
    /// Place of the tenant in the settings.
    pub tenant: usize,
    /// Requests received.
    pub received: f64,
    /// Requests rejected.
    pub rejected: f64,
}

/// What was counted since the last report, and the present figures.
pub struct CounterSnapshot {
    /// Requests completed within their latency objective, 1/s.
    pub completed: f64,
    /// Mean run time, s; 0 where nothing ran.
    pub run_time: f64,
    /// Runs that the policy allows at once.
    pub run_limit: f64,
    /// The pressure behind the load signal, from 0 to 1.
    pub pressure: f64,
    /// The last Retry-After that was given, s.
    pub retry_after: f64,
    /// What the policy says of this server.
    pub healthy: bool,
    /// When the process is killed, by its own clock, if it drains.
    pub kill_time: Option<f64>,
    /// Those that received nothing and rejected nothing are left out.
    pub classes: Vec<ClassRates>,
}

impl Counters {
    /// Counters for so many classes and tenants.
    pub fn new(classes: usize, tenants: usize) -> Counters {
        let tenants = tenants.max(1);
        Counters {
            tenants,
            cells: (0..classes * tenants).map(|_| Cell::default()).collect(),
            completed: AtomicU32::new(0),
            runs: AtomicU32::new(0),
            run_microseconds: AtomicU64::new(0),
            run_limit: AtomicF64::default(),
            pressure: AtomicF64::default(),
            retry_after: AtomicF64::default(),
            unhealthy: AtomicBool::new(false),
            kill_time: AtomicF64::default(),
        }
    }

    /// Counts a request that was read, and returns its cell.
    pub fn count_received(&self, class: usize, tenant: usize) -> usize {
        let cell = class * self.tenants + tenant.min(self.tenants - 1);
        self.cells[cell].received.fetch_add(1, Ordering::Relaxed);
        cell
    }

    /// Counts a request of this cell that was answered.
    pub fn count_step(&self, cell: usize, step: Step) {
        if step.is_declined() {
            self.cells[cell].rejected.fetch_add(1, Ordering::Relaxed);
        } else if step == Step::SETTLED {
            self.completed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a run that ended after so many seconds.
    pub fn count_run(&self, duration: f64) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let microseconds = (duration.clamp(0.0, MAX_RUN_TIME) * MICROSECONDS_PER_SECOND) as u64;
        self.run_microseconds.fetch_add(microseconds, Ordering::Relaxed);
    }

    /// Sets the policy's limit on runs and its pressure.
    pub fn set_limits(&self, run_limit: f64, pressure: f64) {
        self.run_limit.set(run_limit);
        self.pressure.set(pressure.clamp(0.0, 1.0));
    }

    /// Sets the last Retry-After, s.
    pub fn set_retry_after(&self, retry_after: f64) {
        self.retry_after.set(retry_after);
    }

    /// Sets what the policy says of this server's health.
    pub fn set_health(&self, healthy: bool) {
        self.unhealthy.store(!healthy, Ordering::Relaxed);
    }

    /// Sets when the process is killed, by its own clock.
    pub fn set_kill_time(&self, kill_time: f64) {
        self.kill_time.set(kill_time);
    }

    /// Takes all that was counted since the last time, `interval` seconds ago.
    pub fn take(&self, interval: f64) -> CounterSnapshot {
        let rate = |counter: &AtomicU32| f64::from(counter.swap(0, Ordering::Relaxed)) / interval;
        let runs = self.runs.swap(0, Ordering::Relaxed);
        let microseconds = self.run_microseconds.swap(0, Ordering::Relaxed);
        let run_seconds = microseconds as f64 / MICROSECONDS_PER_SECOND;
        let kill_time = self.kill_time.get();
        let rates = |(index, cell): (usize, &Cell)| ClassRates {
            class: index / self.tenants,
            tenant: index % self.tenants,
            received: rate(&cell.received),
            rejected: rate(&cell.rejected),
        };
        let classes = self.cells.iter().enumerate().map(rates);
        CounterSnapshot {
            completed: rate(&self.completed),
            run_time: if runs > 0 { run_seconds / f64::from(runs) } else { 0.0 },
            run_limit: self.run_limit.get(),
            pressure: self.pressure.get(),
            retry_after: self.retry_after.get(),
            healthy: !self.unhealthy.load(Ordering::Relaxed),
            kill_time: (kill_time > 0.0).then_some(kill_time),
            classes: classes.filter(|class| class.received > 0.0 || class.rejected > 0.0).collect(),
        }
    }
}
