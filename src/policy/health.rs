//! Health: slowdown of this machine, the health-check answer and the keepalive timeout.

use super::averages::{moving_average, FAST_EWMA_WEIGHT};
use super::timing::CONTROL_INTERVAL_S;
use crate::{Decisions, PolicySettings};

/// Ratio of run time to its reference from which the machine counts as slow; overload alone does not reach
/// it.
const SLOW_RUN_TIME_RATIO: f64 = 4.0;
/// Time for which the machine must look slow before it turns unhealthy, in seconds; longer than one control
/// step.
const SLOW_CONFIRMATION_S: f64 = 0.15;
/// Time for which a slow server reports unhealthy, in seconds; endpoint lists lag by seconds.
const UNHEALTHY_DURATION_S: f64 = 8.0;
/// Open connections per sustainable request above which the keepalive timeout shrinks; no more are ever at
/// work.
const CONNECTIONS_PER_REQUEST: f64 = 1.0;
/// Fraction by which the keepalive timeout changes per control step; a tenfold change takes two seconds.
const KEEPALIVE_STEP_FRACTION: f64 = 0.1;

/// Ages of the open runs, in seconds.
#[derive(Default)]
pub(super) struct RunAges {
    total_age: f64,
    /// Sum of their reference run times.
    total_expected: f64,
    /// Number of runs older than `SLOW_RUN_TIME_RATIO` times their reference.
    overdue: usize,
}

impl RunAges {
    /// Adds an open run with its reference run time in seconds.
    pub fn add(&mut self, now: f64, started_at: f64, expected: f64) {
        self.total_age = self.total_age + now - started_at;
        self.total_expected += expected;
        self.overdue += usize::from(now - started_at > SLOW_RUN_TIME_RATIO * expected);
    }
}

/// Ratio of run time to its reference, by finished and by open runs.
pub(super) struct Slowdown {
    finished_run_ratio: f64,
    open_run_ratio: f64,
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { finished_run_ratio: 1.0, open_run_ratio: 0.0 }
    }
}

impl Slowdown {
    /// Returns the moving average over finished runs.
    pub fn finished_run_ratio(&self) -> f64 {
        self.finished_run_ratio
    }

    /// Returns the ratio by the age of open runs.
    pub fn open_run_ratio(&self) -> f64 {
        self.open_run_ratio
    }

    /// Returns the larger of the two ratios.
    pub fn run_time_ratio(&self) -> f64 {
        self.finished_run_ratio.max(self.open_run_ratio)
    }

    /// Records the ratio of a finished run.
    pub fn record_run(&mut self, run_time_ratio: f64) {
        self.finished_run_ratio = moving_average(self.finished_run_ratio, run_time_ratio, FAST_EWMA_WEIGHT);
    }

    /// Updates the ratio of the open runs. Their mean age normally equals the run time; if most are far
    /// older and all cores are in use, the machine has slowed down or hangs. A few long runs are ignored.
    pub fn update_open_runs(&mut self, run_ages: &RunAges, running: usize, cores: f64) {
        let is_slow = 2 * run_ages.overdue > running && running as f64 >= cores;
        self.open_run_ratio = if is_slow { run_ages.total_age / run_ages.total_expected } else { 1.0 };
    }
}

/// State of the health-check answer.
#[derive(Default)]
pub(super) struct Health {
    /// When the server turned unhealthy, if it is.
    unhealthy_since: Option<f64>,
    /// When the machine was last not slow.
    last_healthy_at: f64,
}

impl Health {
    /// Records the state of the machine; `waits_are_short` overrides a high run time ratio.
    pub fn observe(&mut self, now: f64, run_time_ratio: f64, waits_are_short: bool) {
        if run_time_ratio < SLOW_RUN_TIME_RATIO || waits_are_short {
            self.last_healthy_at = now;
        }
    }

    /// Reports a slow machine as unhealthy for `UNHEALTHY_DURATION_S`, then as healthy again. Depends on
    /// run time relative to its reference, not on load: an overloaded fleet must not remove all its servers
    /// from the endpoint list.
    pub fn step(&mut self, now: f64, run_time_ratio: f64, decisions: &mut impl Decisions) {
        match self.unhealthy_since {
            None if now - self.last_healthy_at > SLOW_CONFIRMATION_S => {
                self.unhealthy_since = Some(now);
                decisions.set_health(false, true);
                decisions.log(&format!("unhealthy: runs take {run_time_ratio:.1} times their base"));
            }
            Some(since) if now - since > UNHEALTHY_DURATION_S => {
                self.unhealthy_since = None;
                decisions.set_health(true, true);
            }
            _ => {}
        }
    }
}

/// Adaptive keepalive timeout of unused connections.
pub(super) struct Keepalive {
    timeout: f64,
    max_timeout: f64,
    /// Number of open connections above which the timeout shrinks.
    connection_threshold: f64,
}

impl Keepalive {
    /// Creates the keepalive with the idle timeout of `settings`.
    pub fn new(settings: &PolicySettings) -> Keepalive {
        let connection_threshold = CONNECTIONS_PER_REQUEST * settings.cores * settings.overload_multiple;
        Keepalive { timeout: settings.idle_timeout, max_timeout: settings.idle_timeout, connection_threshold }
    }

    /// Returns the timeout, in seconds.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    /// Adapts the timeout to the number of open connections, so that idle ones cannot fill the connection
    /// table.
    pub fn step(&mut self, connections: f64) {
        let step = if connections > self.connection_threshold {
            -KEEPALIVE_STEP_FRACTION
        } else {
            KEEPALIVE_STEP_FRACTION
        };
        self.timeout =
            (self.timeout * (1.0 + step)).clamp(CONTROL_INTERVAL_S.min(self.max_timeout), self.max_timeout);
    }
}
