//! Pressure behind the load signal: rises while requests wait close to their thresholds.

use crate::PolicySettings;

/// Ratio of wait to threshold above which the pressure rises; below half of it the pressure decays.
const HIGH_WAIT_RATIO: f64 = 0.6;
/// Increase of the pressure per control step: full in three seconds, since callers hear of it late.
pub(super) const PRESSURE_INCREMENT: f64 = 0.03;
/// Decay of the pressure per control step while the server is busy, in increments.
const BUSY_DECAY_FACTOR: f64 = 0.5;
/// Decay of the pressure per control step while cores are free, in increments; faster than when busy,
/// since callers return with a delay and the cores stay idle meanwhile.
const IDLE_DECAY_FACTOR: f64 = 2.0;
/// Smallest change of the load signal that is sent.
const MIN_SIGNAL_CHANGE: f64 = 1e-3;

/// Pressure of the server and the load signal last sent.
pub(super) struct Pressure {
    /// From 0 to 1.
    value: f64,
    /// Highest minimum rank; it never drops the class of the highest weight.
    max_minimum_rank: f64,
    /// Longest wait in this control step, as a ratio to its class's threshold.
    max_wait_ratio: f64,
    last_sent: f64,
}

impl Pressure {
    /// Creates the state without pressure for the class weights of `settings`.
    pub fn new(settings: &PolicySettings) -> Pressure {
        let mut weights: Vec<f64> = settings.classes.iter().map(|class| class.priority_weight).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        let max_minimum_rank = 1.0 - 1.0 / weights.len() as f64;
        Pressure { value: 0.0, max_minimum_rank, max_wait_ratio: 0.0, last_sent: 0.0 }
    }

    /// Returns the pressure, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Records the wait of a first attempt within its quota, as a ratio to its class's threshold.
    pub fn record_wait(&mut self, wait_ratio: f64) {
        self.max_wait_ratio = self.max_wait_ratio.max(wait_ratio);
    }

    /// Clears the recorded waits for the next control step.
    pub fn begin_step(&mut self) {
        self.max_wait_ratio = 0.0;
    }

    /// Returns the minimum rank at the given pressure.
    pub fn minimum_rank(&self, pressure: f64) -> f64 {
        self.max_minimum_rank * pressure
    }

    /// Returns whether the signal differs enough from the last one sent, and records it as sent if so.
    pub fn should_send(&mut self, signal: f64) -> bool {
        let differs = (signal - self.last_sent).abs() > MIN_SIGNAL_CHANGE;
        if differs {
            self.last_sent = signal;
        }
        differs
    }

    /// Returns whether all waits of this control step were short.
    pub fn are_waits_short(&self) -> bool {
        self.max_wait_ratio < HIGH_WAIT_RATIO / 2.0
    }

    /// Adapts the pressure to the waits of this control step; `is_idle` means free cores and an empty
    /// queue.
    pub fn step(&mut self, is_idle: bool) {
        if self.max_wait_ratio > HIGH_WAIT_RATIO {
            self.value = (self.value + PRESSURE_INCREMENT).min(1.0);
        } else if self.are_waits_short() {
            let decay_factor = if is_idle { IDLE_DECAY_FACTOR } else { BUSY_DECAY_FACTOR };
            self.value = (self.value - PRESSURE_INCREMENT * decay_factor).max(0.0);
        }
    }
}
