//! The concurrency limit: how many requests run at once, by the gradient of run time over its base.

use super::estimates::RUN_TIME_RISE;
use crate::{Gauges, PolicySettings};

/// Share of the cores busy from which they count as full: the gauge lags and rounds.
pub(super) const CORES_FULL: f64 = 0.92;
/// Share of the limit taken off a step: halved in a second or two.
const SHRINK: f64 = 0.05;
/// Runs added a step while cores are free: whole ones, since slots are few.
const GROW: f64 = 1.0;
/// Share of the crowd survived that the limit may reach, waits for disk counted.
const CEILING: f64 = 0.75;
/// The same for all that runs or may return from a call at any time.
const CEILING_WITH_CALLS: f64 = 0.8;

/// How many more may run or call: what returns goes on at once, so the crowd must bear all calls ending.
pub(super) fn room_with_calls(crowd: f64, running_or_calling: usize) -> f64 {
    CEILING_WITH_CALLS * crowd - running_or_calling as f64
}

/// How many requests may run.
pub(super) struct ConcurrencyLimit {
    runs: f64,
    cores: f64,
    most: f64,
}

impl ConcurrencyLimit {
    /// The limit at the start: a run for each core.
    pub fn new(settings: &PolicySettings) -> ConcurrencyLimit {
        let crowd_per_core = 1.0 + (settings.overload_multiple - 1.0).max(0.0);
        let most = CEILING * settings.cores * crowd_per_core;
        ConcurrencyLimit { runs: settings.cores, cores: settings.cores, most }
    }

    /// The limit, before what is survived now bounds it.
    pub fn runs(&self) -> f64 {
        self.runs
    }

    /// Run slots under the limit, with this crowd survived now.
    pub fn slots(&self, crowd: f64) -> usize {
        self.runs.min(CEILING * crowd).max(1.0).floor() as usize
    }

    /// Free cores with work queued win over latency.
    pub fn step(&mut self, gauges: &Gauges, running: usize, is_queue_empty: bool, run_time_rise: f64) {
        let busy = gauges.busy.unwrap_or(running as f64 / self.runs);
        // A slot freed just now is no reason: it is given away in this round.
        let is_used_up = running >= self.runs as usize && !is_queue_empty;
        if is_used_up && gauges.runnable.is_none_or(|runnable| runnable < self.cores) {
            self.runs += GROW;
        } else if busy >= CORES_FULL && run_time_rise > RUN_TIME_RISE {
            self.runs *= 1.0 - SHRINK;
        }
        self.runs = self.runs.clamp(self.cores, self.most).max(1.0);
    }
}
