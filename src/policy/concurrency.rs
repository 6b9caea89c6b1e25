//! Concurrency limit: the number of requests that run at once, adapted to the ratio of run time to its
//! baseline.

use super::estimates::TOLERATED_RUN_TIME_RATIO;
use crate::{Gauges, PolicySettings};

/// Busy fraction of the cores from which they count as saturated; the gauge lags and is rounded.
pub(super) const SATURATED_BUSY_FRACTION: f64 = 0.92;
/// Fraction by which the limit shrinks per control step; it halves in a second or two.
const LIMIT_DECREASE_FRACTION: f64 = 0.05;
/// Runs added to the limit per control step while cores are free; whole ones, since slots are few.
const LIMIT_INCREASE_RUNS: f64 = 1.0;
/// Largest limit, as a fraction of the sustainable concurrency; runs that wait for the disk count too.
const MAX_RUNS_FRACTION: f64 = 0.75;
/// Most running and calling requests together, as a fraction of the sustainable concurrency.
const MAX_RUNS_AND_CALLS_FRACTION: f64 = 0.8;

/// Returns how many more requests may run or call. Calling requests count because all calls may return at
/// once.
pub(super) fn headroom_with_calls(sustainable_concurrency: f64, running_or_calling: usize) -> f64 {
    MAX_RUNS_AND_CALLS_FRACTION * sustainable_concurrency - running_or_calling as f64
}

/// Adaptive limit on running requests.
pub(super) struct ConcurrencyLimit {
    runs: f64,
    cores: f64,
    max_runs: f64,
}

impl ConcurrencyLimit {
    /// Creates the initial limit of one run per core.
    pub fn new(settings: &PolicySettings) -> ConcurrencyLimit {
        let sustainable_per_core = 1.0 + (settings.overload_multiple - 1.0).max(0.0);
        let max_runs = MAX_RUNS_FRACTION * settings.cores * sustainable_per_core;
        ConcurrencyLimit { runs: settings.cores, cores: settings.cores, max_runs }
    }

    /// Returns the limit, before the sustainable concurrency bounds it.
    pub fn runs(&self) -> f64 {
        self.runs
    }

    /// Returns the number of run slots at the given sustainable concurrency.
    pub fn slots(&self, sustainable_concurrency: f64) -> usize {
        self.runs.min(MAX_RUNS_FRACTION * sustainable_concurrency).max(1.0).floor() as usize
    }

    /// Adapts the limit to the gauges of a control step: grows while cores are free and requests are
    /// queued, shrinks while the cores are saturated and runs are slow. Free cores with requests queued take
    /// precedence over run time.
    pub fn step(&mut self, gauges: &Gauges, running: usize, is_queue_empty: bool, run_time_ratio: f64) {
        let busy = gauges.busy.unwrap_or(running as f64 / self.runs);
        // A slot freed in this round does not count as free: it is assigned at the end of the round.
        let is_limit_reached = running >= self.runs as usize && !is_queue_empty;
        if is_limit_reached && gauges.runnable.is_none_or(|runnable| runnable < self.cores) {
            self.runs += LIMIT_INCREASE_RUNS;
        } else if busy >= SATURATED_BUSY_FRACTION && run_time_ratio > TOLERATED_RUN_TIME_RATIO {
            self.runs *= 1.0 - LIMIT_DECREASE_FRACTION;
        }
        self.runs = self.runs.clamp(self.cores, self.max_runs).max(1.0);
    }
}
