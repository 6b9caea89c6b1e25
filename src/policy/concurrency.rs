//! The concurrency limit: how many requests run at once, by the gradient of run time over its base.

use super::estimates::TOLERATED_RUN_TIME_RATIO;
use crate::{Gauges, PolicySettings};

/// Share of the cores busy from which they count as full: the gauge lags and rounds.
pub(super) const SATURATED_BUSY_FRACTION: f64 = 0.92;
/// Share of the limit taken off a step: halved in a second or two.
const LIMIT_DECREASE_FRACTION: f64 = 0.05;
/// Runs added a step while cores are free: whole ones, since slots are few.
const LIMIT_INCREASE_RUNS: f64 = 1.0;
/// Share of the crowd survived that the limit may reach, waits for disk counted.
const MAX_RUNS_FRACTION: f64 = 0.75;
/// The same for all that runs or may return from a call at any time.
const MAX_RUNS_AND_CALLS_FRACTION: f64 = 0.8;

/// How many more may run or call: what returns goes on at once, so the crowd must bear all calls ending.
pub(super) fn headroom_with_calls(sustainable_concurrency: f64, running_or_calling: usize) -> f64 {
    MAX_RUNS_AND_CALLS_FRACTION * sustainable_concurrency - running_or_calling as f64
}

/// How many requests may run.
pub(super) struct ConcurrencyLimit {
    runs: f64,
    cores: f64,
    max_runs: f64,
}

impl ConcurrencyLimit {
    /// The limit at the start: a run for each core.
    pub fn new(settings: &PolicySettings) -> ConcurrencyLimit {
        let sustainable_per_core = 1.0 + (settings.overload_multiple - 1.0).max(0.0);
        let max_runs = MAX_RUNS_FRACTION * settings.cores * sustainable_per_core;
        ConcurrencyLimit { runs: settings.cores, cores: settings.cores, max_runs }
    }

    /// The limit, before what is survived now bounds it.
    pub fn runs(&self) -> f64 {
        self.runs
    }

    /// Run slots under the limit, with this crowd survived now.
    pub fn slots(&self, sustainable_concurrency: f64) -> usize {
        self.runs.min(MAX_RUNS_FRACTION * sustainable_concurrency).max(1.0).floor() as usize
    }

    /// Free cores with work queued win over latency.
    pub fn step(&mut self, gauges: &Gauges, running: usize, is_queue_empty: bool, run_time_ratio: f64) {
        let busy = gauges.busy.unwrap_or(running as f64 / self.runs);
        // A slot freed just now is no reason: it is given away in this round.
        let is_limit_reached = running >= self.runs as usize && !is_queue_empty;
        if is_limit_reached && gauges.runnable.is_none_or(|runnable| runnable < self.cores) {
            self.runs += LIMIT_INCREASE_RUNS;
        } else if busy >= SATURATED_BUSY_FRACTION && run_time_ratio > TOLERATED_RUN_TIME_RATIO {
            self.runs *= 1.0 - LIMIT_DECREASE_FRACTION;
        }
        self.runs = self.runs.clamp(self.cores, self.max_runs).max(1.0);
    }
}
