//! Estimates that the other modules judge by: what runs take, how much cost hints tell, when callers give up.

use super::averages::{moving_average, EWMA_WEIGHT, FAST_EWMA_WEIGHT};
use super::timing::RATE_TIME_CONSTANT_S;
use crate::{Idempotency, RequestClass};

/// Runs over which a base is taken: longer than a fault should count.
pub(super) const BASELINE_SAMPLES: f64 = 200.0;
/// Runs before a base says anything: the first to end are the short ones.
const MIN_BASELINE_SAMPLES: f64 = 20.0;
/// Rise of run time over its base that the base follows, and that the limit bears: reading beside runs makes
/// as much.
pub(super) const TOLERATED_RUN_TIME_RATIO: f64 = 1.3;
/// Share of its latency objective that a run on a sound machine takes at most.
const MAX_REFERENCE_RUN_FRACTION: f64 = 0.33;
/// Share of the timeout that a request may wait for a slot: the design page's fifth.
const WAIT_THRESHOLD_FRACTION: f64 = 0.2;
/// The same for classes of low weight: tighter, yet over a tenth, so that they queue first.
const LOW_WEIGHT_WAIT_THRESHOLD_FRACTION: f64 = 0.12;
/// Share of the dearest class's weight up to which a class is of low weight.
const LOW_WEIGHT_FRACTION: f64 = 0.5;
/// Times its relative hint that one run's time may count for in the trust in hints: one outlier must not
/// decide.
const MAX_TIME_TO_HINT_RATIO: f64 = 3.0;
/// The least work that a request counts for, over the mean of its class: hints can't make it free.
const MIN_RELATIVE_WORK: f64 = 0.05;
/// Weight of a caller in the share of those that gave up: a small server sees one in a second or so.
const ABANDONMENT_EWMA_WEIGHT: f64 = 0.2;
/// Share of callers that gave up by their usual age, at which that age is a limit: most do.
const ABANDONMENT_THRESHOLD_FRACTION: f64 = 0.5;

/// Terms of a class, and what its runs have shown.
#[derive(Default)]
pub(super) struct ClassState {
    /// As the settings give it.
    pub settings: RequestClass,
    /// Seconds that a first attempt may wait for a slot.
    pub wait_threshold: f64,
    /// Seconds that a run of mean size takes outside its calls, of late.
    pub run_time: f64,
    /// The same at its best.
    pub base_run_time: f64,
    /// Seconds that a run spends at its calls.
    pub call_time: f64,
    runs: f64,
    /// Mean cost hint of what ran, not of what came: callers may claim what they like.
    pub mean_hint: f64,
    /// When one of its runs was last open.
    pub last_open_at: f64,
}

/// The classes before any run.
pub(super) fn class_states(classes: &[RequestClass]) -> Vec<ClassState> {
    let highest_weight = classes.iter().map(|class| class.priority_weight).max_by(f64::total_cmp);
    let highest_weight = highest_weight.expect("settings that pass validation hold a class");
    let state = |class: &RequestClass| {
        let is_low_weight = class.priority_weight <= LOW_WEIGHT_FRACTION * highest_weight;
        let fraction =
            if is_low_weight { LOW_WEIGHT_WAIT_THRESHOLD_FRACTION } else { WAIT_THRESHOLD_FRACTION };
        ClassState {
            settings: class.clone(),
            wait_threshold: fraction * class.timeout,
            ..ClassState::default()
        }
    };
    classes.iter().map(state).collect()
}

impl ClassState {
    /// Whether its requests may run any number of times.
    pub fn is_idempotent(&self) -> bool {
        self.settings.idempotency == Idempotency::Idempotent
    }

    /// Whether an answer without the downstream call is worth something.
    pub fn has_degraded_answer(&self) -> bool {
        self.settings.degraded_weight_fraction > 0.0
    }

    /// Takes in a run's time on the cores, over its relative work.
    pub fn record(&mut self, run_time: f64) {
        self.run_time = moving_average(self.run_time, run_time, EWMA_WEIGHT);
        self.runs += 1.0;
        let max_run_time = if self.runs < MIN_BASELINE_SAMPLES {
            f64::MAX
        } else {
            TOLERATED_RUN_TIME_RATIO * self.base_run_time
        };
        let weight = 1.0 / self.runs.min(BASELINE_SAMPLES);
        self.base_run_time = moving_average(self.base_run_time, run_time.min(max_run_time), weight);
    }

    /// What a run of mean size takes at most on a sound machine, by what ran so far.
    pub fn reference_run_time(&self) -> f64 {
        self.base_run_time.min(MAX_REFERENCE_RUN_FRACTION * self.settings.latency_objective)
    }

    /// The same where nothing may have run yet. One that was slow from its first run has no base to tell
    /// by: runs that outlast their latency objective tell.
    pub fn expected_run_time(&self) -> f64 {
        let baseline = if self.runs < MIN_BASELINE_SAMPLES { f64::MAX } else { self.base_run_time };
        baseline.min(MAX_REFERENCE_RUN_FRACTION * self.settings.latency_objective)
    }

    /// Guards against a class once found too slow and never tried again: what no run confirms fades.
    pub fn decay_stale_run_time(&mut self, now: f64, decay: f64) {
        if now - self.last_open_at > RATE_TIME_CONSTANT_S && self.run_time > self.base_run_time {
            self.run_time = self.base_run_time + decay * (self.run_time - self.base_run_time);
        }
    }
}

/// How far cost hints have told the times of runs so far: the slope of one over the other.
#[derive(Default)]
pub(super) struct HintRegression {
    covariance: f64,
    variance: f64,
}

impl HintRegression {
    /// Expected work over the class's mean. Guards against stale or lying hints, by which large requests
    /// would be given up.
    pub fn relative_work(&self, relative_hint: f64) -> f64 {
        let slope = ((self.covariance + EWMA_WEIGHT) / (self.variance + EWMA_WEIGHT)).clamp(0.0, 1.0);
        (1.0 + slope * (relative_hint - 1.0)).max(MIN_RELATIVE_WORK)
    }

    /// Takes in a run whose time was so many times the class's mean.
    pub fn record(&mut self, relative_hint: f64, relative_time: f64) {
        let hint_deviation = relative_hint - 1.0;
        let time_deviation = relative_time.min(MAX_TIME_TO_HINT_RATIO * relative_hint) - 1.0;
        self.covariance += EWMA_WEIGHT * (hint_deviation * time_deviation - self.covariance);
        self.variance += EWMA_WEIGHT * (hint_deviation * hint_deviation - self.variance);
    }
}

/// When callers give up without saying so beforehand.
#[derive(Default)]
pub(super) struct CallerAbandonment {
    /// Mean age of a request when its caller gave it up, in seconds.
    mean_age: f64,
    /// Share of callers that gave up by that age.
    abandoned_fraction: f64,
}

impl CallerAbandonment {
    /// A caller gave its request up at this age, in seconds.
    pub fn record_abandoned(&mut self, age: f64) {
        self.mean_age = moving_average(self.mean_age, age, FAST_EWMA_WEIGHT);
        self.abandoned_fraction += ABANDONMENT_EWMA_WEIGHT * (1.0 - self.abandoned_fraction);
    }

    /// A run ended for a caller that was still there, at this age of its request.
    pub fn record_completed(&mut self, age: f64) {
        if age > self.mean_age {
            self.abandoned_fraction -= ABANDONMENT_EWMA_WEIGHT * self.abandoned_fraction;
        }
    }

    /// The age past which a run is in vain, if most callers are gone by then.
    pub fn age_limit(&self) -> Option<f64> {
        (self.abandoned_fraction > ABANDONMENT_THRESHOLD_FRACTION).then_some(self.mean_age)
    }
}
