//! The pressure behind the load signal: it rises while requests wait near their thresholds.

use crate::PolicySettings;

/// Share of its threshold waited from which the signal tightens; under half of it the signal loosens.
const HIGH_WAIT_RATIO: f64 = 0.6;
/// Pressure gained a step, full in three seconds: callers hear late.
pub(super) const PRESSURE_INCREMENT: f64 = 0.03;
/// Parts of that step that are lost: half while the server is busy; at once while cores are free, since free
/// cores are lost at once and callers that heard of a full server come back late.
const BUSY_DECAY_FACTOR: f64 = 0.5;
/// Decay of the pressure per control step while cores are free, in increments; idle cores are wasted at once,
/// and callers return late.
const IDLE_DECAY_FACTOR: f64 = 2.0;
/// Change of the signal that is worth sending.
const MIN_SIGNAL_CHANGE: f64 = 1e-3;

/// How hard the server is pressed, and what of it was sent.
pub(super) struct Pressure {
    /// From 0 to 1.
    value: f64,
    /// The highest minimum rank: it never cuts the class of the highest weight.
    max_minimum_rank: f64,
    /// The longest wait of this step, over its class's threshold.
    max_wait_ratio: f64,
    last_sent: f64,
}

impl Pressure {
    /// No pressure; the settings say how many weights a minimum rank can cut.
    pub fn new(settings: &PolicySettings) -> Pressure {
        let mut weights: Vec<f64> = settings.classes.iter().map(|class| class.priority_weight).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        let max_minimum_rank = 1.0 - 1.0 / weights.len() as f64;
        Pressure { value: 0.0, max_minimum_rank, max_wait_ratio: 0.0, last_sent: 0.0 }
    }

    /// The pressure, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes in the wait of a first attempt within its quota, over its class's threshold.
    pub fn record_wait(&mut self, wait_ratio: f64) {
        self.max_wait_ratio = self.max_wait_ratio.max(wait_ratio);
    }

    /// Forgets the waits of the step that ends.
    pub fn begin_step(&mut self) {
        self.max_wait_ratio = 0.0;
    }

    /// The minimum rank at this pressure.
    pub fn minimum_rank(&self, pressure: f64) -> f64 {
        self.max_minimum_rank * pressure
    }

    /// Whether an amount differs enough from the one sent last; then it counts as sent.
    pub fn should_send(&mut self, signal: f64) -> bool {
        let differs = (signal - self.last_sent).abs() > MIN_SIGNAL_CHANGE;
        if differs {
            self.last_sent = signal;
        }
        differs
    }

    /// Whether no request of this step waited for long.
    pub fn are_waits_short(&self) -> bool {
        self.max_wait_ratio < HIGH_WAIT_RATIO / 2.0
    }

    /// Adapts to the waits of this step; `is_idle` says that cores are free and nothing is queued.
    pub fn step(&mut self, is_idle: bool) {
        if self.max_wait_ratio > HIGH_WAIT_RATIO {
            self.value = (self.value + PRESSURE_INCREMENT).min(1.0);
        } else if self.are_waits_short() {
            let decay_factor = if is_idle { IDLE_DECAY_FACTOR } else { BUSY_DECAY_FACTOR };
            self.value = (self.value - PRESSURE_INCREMENT * decay_factor).max(0.0);
        }
    }
}
