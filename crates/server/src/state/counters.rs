//! Load figures reported to the control service: counts by class and tenant since the last report, and current
//! policy values.

use puffinladder_trace::row::Step;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// Bound on a counted run time, s.
const MAX_RUN_TIME: f64 = 3600.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// `f64` with relaxed atomic access.
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

/// Counts of one class for one tenant.
#[derive(Default)]
struct Cell {
    received: AtomicU32,
    rejected: AtomicU32,
}

/// Counts since the last report, and current policy values.
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
    /// Time at which the process is killed, s of its own clock; 0 if it is not draining.
    kill_time: AtomicF64,
}

/// Rates of one class for one tenant, 1/s.
pub struct ClassRates {
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// Requests received.
    pub received: f64,
    /// Requests rejected.
    pub rejected: f64,
}

/// Counts since the last report as rates, and current policy values.
pub struct CounterSnapshot {
    /// Requests completed within their latency objective, 1/s.
    pub completed: f64,
    /// Mean run time, s; 0 if no run completed.
    pub run_time: f64,
    /// Limit on concurrent runs.
    pub run_limit: f64,
    /// Pressure that the load signal is derived from, 0 to 1.
    pub pressure: f64,
    /// Retry-After of the last rejection that had one, s.
    pub retry_after: f64,
    /// Health of this server as decided by the policy.
    pub healthy: bool,
    /// Time at which the process is killed, s of its own clock; `None` if it is not draining.
    pub kill_time: Option<f64>,
    /// Rates by class and tenant; entries without any request are omitted.
    pub classes: Vec<ClassRates>,
}

impl Counters {
    /// Returns zeroed counters for this number of classes and tenants.
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

    /// Counts a received request. Returns its cell for [`Counters::count_step`].
    pub fn count_received(&self, class: usize, tenant: usize) -> usize {
        let cell = class * self.tenants + tenant.min(self.tenants - 1);
        self.cells[cell].received.fetch_add(1, Ordering::Relaxed);
        cell
    }

    /// Counts a step of a request of this cell, if it is a rejection or a completion in time.
    pub fn count_step(&self, cell: usize, step: Step) {
        if step.is_declined() {
            self.cells[cell].rejected.fetch_add(1, Ordering::Relaxed);
        } else if step == Step::SETTLED {
            self.completed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a completed run that took `duration` seconds.
    pub fn count_run(&self, duration: f64) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let microseconds = (duration.clamp(0.0, MAX_RUN_TIME) * MICROSECONDS_PER_SECOND) as u64;
        self.run_microseconds.fetch_add(microseconds, Ordering::Relaxed);
    }

    /// Sets the limit on concurrent runs and the pressure of the policy.
    pub fn set_limits(&self, run_limit: f64, pressure: f64) {
        self.run_limit.set(run_limit);
        self.pressure.set(pressure.clamp(0.0, 1.0));
    }

    /// Sets the Retry-After of the last rejection, s.
    pub fn set_retry_after(&self, retry_after: f64) {
        self.retry_after.set(retry_after);
    }

    /// Sets the health of this server as decided by the policy.
    pub fn set_health(&self, healthy: bool) {
        self.unhealthy.store(!healthy, Ordering::Relaxed);
    }

    /// Sets the time at which the process is killed, s of its own clock.
    pub fn set_kill_time(&self, kill_time: f64) {
        self.kill_time.set(kill_time);
    }

    /// Returns the counts of the last `interval` seconds and resets them.
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
