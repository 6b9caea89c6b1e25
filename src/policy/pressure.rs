//! The pressure behind the load signal: it rises while requests wait near their thresholds.

use crate::PolicySettings;

/// Share of its threshold waited from which the signal tightens; under half of it the signal loosens.
const TIGHT: f64 = 0.6;
/// Pressure gained a step, full in three seconds: callers hear late.
pub(super) const PRESSURE_STEP: f64 = 0.03;
/// Parts of that step that are lost: half while the server is busy; at once while cores are free, since free
/// cores are lost at once and callers that heard of a full server come back late.
const EASE_BUSY: f64 = 0.5;
const EASE_IDLE: f64 = 2.0;
/// Change of the signal that is worth sending.
const LEAST_CHANGE: f64 = 1e-3;

/// How hard the server is pressed, and what of it was sent.
pub(super) struct Pressure {
    /// From 0 to 1.
    value: f64,
    /// The highest minimum rank: it never cuts the class of the highest weight.
    top_rank: f64,
    /// The longest wait of this step, over its class's threshold.
    longest_wait: f64,
    sent: f64,
}

impl Pressure {
    /// No pressure; the settings say how many weights a minimum rank can cut.
    pub fn new(settings: &PolicySettings) -> Pressure {
        let mut weights: Vec<f64> = settings.classes.iter().map(|class| class.priority_weight).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        let top_rank = 1.0 - 1.0 / weights.len() as f64;
        Pressure { value: 0.0, top_rank, longest_wait: 0.0, sent: 0.0 }
    }

    /// The pressure, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes in the wait of a first attempt within its quota, over its class's threshold.
    pub fn learn_wait(&mut self, share_of_threshold: f64) {
        self.longest_wait = self.longest_wait.max(share_of_threshold);
    }

    /// Forgets the waits of the step that ends.
    pub fn begin_step(&mut self) {
        self.longest_wait = 0.0;
    }

    /// The minimum rank at this pressure.
    pub fn minimum_rank(&self, pressure: f64) -> f64 {
        self.top_rank * pressure
    }

    /// Whether an amount differs enough from the one sent last; then it counts as sent.
    pub fn should_send(&mut self, amount: f64) -> bool {
        let differs = (amount - self.sent).abs() > LEAST_CHANGE;
        if differs {
            self.sent = amount;
        }
        differs
    }

    /// Whether no request of this step waited for long.
    pub fn are_waits_short(&self) -> bool {
        self.longest_wait < TIGHT / 2.0
    }

    /// Adapts to the waits of this step; `is_idle` says that cores are free and nothing is queued.
    pub fn step(&mut self, is_idle: bool) {
        if self.longest_wait > TIGHT {
            self.value = (self.value + PRESSURE_STEP).min(1.0);
        } else if self.are_waits_short() {
            let ease = if is_idle { EASE_IDLE } else { EASE_BUSY };
            self.value = (self.value - PRESSURE_STEP * ease).max(0.0);
        }
    }
}
