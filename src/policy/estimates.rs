//! Estimates used by the other modules: run times, accuracy of cost hints, and caller abandonment.

use super::averages::{moving_average, EWMA_WEIGHT, FAST_EWMA_WEIGHT};
use super::timing::RATE_TIME_CONSTANT_S;
use crate::{Idempotency, RequestClass};

/// Number of runs over which a baseline is averaged; enough that a transient fault hardly changes it.
pub(super) const BASELINE_SAMPLES: f64 = 200.0;
/// Number of runs before a baseline is valid; the first runs to end are the short ones.
const MIN_BASELINE_SAMPLES: f64 = 20.0;
/// Ratio of run time to baseline at which samples of the baseline are clipped, and above which the concurrency
/// limit may shrink; reading beside the runs alone raises it that far.
pub(super) const TOLERATED_RUN_TIME_RATIO: f64 = 1.3;
/// Largest reference run time, as a fraction of the latency objective.
const MAX_REFERENCE_RUN_FRACTION: f64 = 0.33;
/// Wait threshold of a class, as a fraction of its timeout: the fifth that the mechanism states.
const WAIT_THRESHOLD_FRACTION: f64 = 0.2;
/// Wait threshold of a class of low weight, as a fraction of its timeout: tighter, yet over a tenth, so that
/// its requests queue before they are rejected.
const LOW_WEIGHT_WAIT_THRESHOLD_FRACTION: f64 = 0.12;
/// Fraction of the highest class weight up to which a class is of low weight.
const LOW_WEIGHT_FRACTION: f64 = 0.5;
/// Largest ratio of relative run time to relative hint that a sample contributes; limits the effect of
/// outliers.
const MAX_TIME_TO_HINT_RATIO: f64 = 3.0;
/// Least expected work of a request, relative to the mean of its class; a hint must not make a request free.
const MIN_RELATIVE_WORK: f64 = 0.05;
/// Weight of a new sample in the fraction of callers that abandon; a small server sees one in a second or so.
const ABANDONMENT_EWMA_WEIGHT: f64 = 0.2;
/// Fraction of abandoning callers above which their mean age limits the run.
const ABANDONMENT_THRESHOLD_FRACTION: f64 = 0.5;

/// Settings of a class and the statistics of its runs.
#[derive(Default)]
pub(super) struct ClassState {
    pub settings: RequestClass,
    /// Longest wait of a first attempt for a run slot, in seconds.
    pub wait_threshold: f64,
    /// Moving average of run time without calls, for a request of mean size, in seconds.
    pub run_time: f64,
    /// Baseline of `run_time`, in seconds.
    pub base_run_time: f64,
    /// Moving average of the time that a run spends at its calls, in seconds.
    pub call_time: f64,
    runs: f64,
    /// Mean cost hint of the requests that ran; arrivals may claim any hint.
    pub mean_hint: f64,
    /// When one of its runs was last open.
    pub last_open_at: f64,
}

/// Returns the initial state of each class.
pub(super) fn class_states(classes: &[RequestClass]) -> Vec<ClassState> {
    let highest_weight = classes.iter().map(|class| class.priority_weight).max_by(f64::total_cmp);
    let highest_weight = highest_weight.expect("validated settings have a request class");
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
    /// Returns whether requests of the class may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.settings.idempotency == Idempotency::Idempotent
    }

    /// Returns whether an answer without the downstream call has a weight.
    pub fn has_degraded_answer(&self) -> bool {
        self.settings.degraded_weight_fraction > 0.0
    }

    /// Records a run time, in seconds, divided by the relative work of the request.
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

    /// Returns the reference for the slowdown of finished runs: the baseline, bounded by the latency
    /// objective.
    pub fn reference_run_time(&self) -> f64 {
        self.base_run_time.min(MAX_REFERENCE_RUN_FRACTION * self.settings.latency_objective)
    }

    /// Returns the reference for the age of open runs. Without a valid baseline it derives from the latency
    /// objective, so that a machine that is slow from its first run is detected.
    pub fn expected_run_time(&self) -> f64 {
        let baseline = if self.runs < MIN_BASELINE_SAMPLES { f64::MAX } else { self.base_run_time };
        baseline.min(MAX_REFERENCE_RUN_FRACTION * self.settings.latency_objective)
    }

    /// Decays the run time of a class without open runs to its baseline, so that a class rejected as too
    /// slow is tried again.
    pub fn decay_stale_run_time(&mut self, now: f64, decay: f64) {
        if now - self.last_open_at > RATE_TIME_CONSTANT_S && self.run_time > self.base_run_time {
            self.run_time = self.base_run_time + decay * (self.run_time - self.base_run_time);
        }
    }
}

/// Regression of relative run time on relative cost hint.
#[derive(Default)]
pub(super) struct HintRegression {
    covariance: f64,
    variance: f64,
}

impl HintRegression {
    /// Returns the expected work relative to the mean of the class. The slope discounts hints that do not
    /// predict run time.
    pub fn relative_work(&self, relative_hint: f64) -> f64 {
        let slope = ((self.covariance + EWMA_WEIGHT) / (self.variance + EWMA_WEIGHT)).clamp(0.0, 1.0);
        (1.0 + slope * (relative_hint - 1.0)).max(MIN_RELATIVE_WORK)
    }

    /// Records a run with its run time relative to the mean of its class.
    pub fn record(&mut self, relative_hint: f64, relative_time: f64) {
        let hint_deviation = relative_hint - 1.0;
        let time_deviation = relative_time.min(MAX_TIME_TO_HINT_RATIO * relative_hint) - 1.0;
        self.covariance += EWMA_WEIGHT * (hint_deviation * time_deviation - self.covariance);
        self.variance += EWMA_WEIGHT * (hint_deviation * hint_deviation - self.variance);
    }
}

/// Estimate of when callers abandon requests without announcing a deadline.
#[derive(Default)]
pub(super) struct CallerAbandonment {
    /// Mean age of abandoned requests, in seconds.
    mean_age: f64,
    /// Fraction of callers that abandon by that age.
    abandoned_fraction: f64,
}

impl CallerAbandonment {
    /// Records a request abandoned at `age` seconds.
    pub fn record_abandoned(&mut self, age: f64) {
        self.mean_age = moving_average(self.mean_age, age, FAST_EWMA_WEIGHT);
        self.abandoned_fraction += ABANDONMENT_EWMA_WEIGHT * (1.0 - self.abandoned_fraction);
    }

    /// Records a run that ended at `age` seconds while its caller still waited.
    pub fn record_completed(&mut self, age: f64) {
        if age > self.mean_age {
            self.abandoned_fraction -= ABANDONMENT_EWMA_WEIGHT * self.abandoned_fraction;
        }
    }

    /// Returns the age in seconds by which a run must end, if most callers abandon by then.
    pub fn age_limit(&self) -> Option<f64> {
        (self.abandoned_fraction > ABANDONMENT_THRESHOLD_FRACTION).then_some(self.mean_age)
    }
}
