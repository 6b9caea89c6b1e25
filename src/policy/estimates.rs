//! Estimates that the other modules judge by: what runs take, how much cost hints tell, when callers give up.

use super::averages::{moving_average, NEW_SAMPLE, NEW_SAMPLE_QUICK};
use super::timing::RATE_SPAN;
use crate::{Idempotency, RequestClass};

/// Runs over which a base is taken: longer than a fault should count.
pub(super) const BASE_RUNS: f64 = 200.0;
/// Runs before a base says anything: the first to end are the short ones.
const FIRST_RUNS: f64 = 20.0;
/// Rise of run time over its base that the base follows, and that the limit bears: reading beside runs makes
/// as much.
pub(super) const RUN_TIME_RISE: f64 = 1.3;
/// Share of its latency objective that a run on a sound machine takes at most.
const USUAL_SHARE: f64 = 0.33;
/// Share of the timeout that a request may wait for a slot: the design page's fifth.
const WAIT_SHARE: f64 = 0.2;
/// The same for classes of low weight: tighter, yet over a tenth, so that they queue first.
const WAIT_SHARE_LOW: f64 = 0.12;
/// Share of the dearest class's weight up to which a class is of low weight.
const LOW_WEIGHT: f64 = 0.5;
/// Times its relative hint that one run's time may count for in the trust in hints: one outlier must not
/// decide.
const LONGEST_COUNTED: f64 = 3.0;
/// The least work that a request counts for, over the mean of its class: hints can't make it free.
const LEAST_RELATIVE_WORK: f64 = 0.05;
/// Weight of a caller in the share of those that gave up: a small server sees one in a second or so.
const NEW_CALLER: f64 = 0.2;
/// Share of callers that gave up by their usual age, at which that age is a limit: most do.
const MOST_GIVE_UP: f64 = 0.5;

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
    pub last_open: f64,
}

/// The classes before any run.
pub(super) fn class_states(classes: &[RequestClass]) -> Vec<ClassState> {
    let dearest = classes.iter().map(|class| class.priority_weight).max_by(f64::total_cmp);
    let dearest = dearest.expect("settings that pass validation hold a class");
    let state = |class: &RequestClass| {
        let low = class.priority_weight <= LOW_WEIGHT * dearest;
        let share = if low { WAIT_SHARE_LOW } else { WAIT_SHARE };
        ClassState { settings: class.clone(), wait_threshold: share * class.timeout, ..ClassState::default() }
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
    pub fn learn(&mut self, run_time: f64) {
        self.run_time = moving_average(self.run_time, run_time, NEW_SAMPLE);
        self.runs += 1.0;
        let most = if self.runs < FIRST_RUNS { f64::MAX } else { RUN_TIME_RISE * self.base_run_time };
        let weight = 1.0 / self.runs.min(BASE_RUNS);
        self.base_run_time = moving_average(self.base_run_time, run_time.min(most), weight);
    }

    /// What a run of mean size takes at most on a sound machine, by what ran so far.
    pub fn sound_run_time(&self) -> f64 {
        self.base_run_time.min(USUAL_SHARE * self.settings.latency_objective)
    }

    /// The same where nothing may have run yet. One that was slow from its first run has no base to tell
    /// by: runs that outlast their latency objective tell.
    pub fn usual_run_time(&self) -> f64 {
        let known = if self.runs < FIRST_RUNS { f64::MAX } else { self.base_run_time };
        known.min(USUAL_SHARE * self.settings.latency_objective)
    }

    /// Guards against a class once found too slow and never tried again: what no run confirms fades.
    pub fn fade_unconfirmed(&mut self, now: f64, fade: f64) {
        if now - self.last_open > RATE_SPAN && self.run_time > self.base_run_time {
            self.run_time = self.base_run_time + fade * (self.run_time - self.base_run_time);
        }
    }
}

/// How far cost hints have told the times of runs so far: the slope of one over the other.
#[derive(Default)]
pub(super) struct HintTrust {
    covariance: f64,
    variance: f64,
}

impl HintTrust {
    /// Expected work over the class's mean. Guards against stale or lying hints, by which large requests
    /// would be given up.
    pub fn relative_work(&self, relative_hint: f64) -> f64 {
        let trust = ((self.covariance + NEW_SAMPLE) / (self.variance + NEW_SAMPLE)).clamp(0.0, 1.0);
        (1.0 + trust * (relative_hint - 1.0)).max(LEAST_RELATIVE_WORK)
    }

    /// Takes in a run whose time was so many times the class's mean.
    pub fn learn(&mut self, relative_hint: f64, relative_time: f64) {
        let hint = relative_hint - 1.0;
        let time = relative_time.min(LONGEST_COUNTED * relative_hint) - 1.0;
        self.covariance += NEW_SAMPLE * (hint * time - self.covariance);
        self.variance += NEW_SAMPLE * (hint * hint - self.variance);
    }
}

/// When callers give up without saying so beforehand.
#[derive(Default)]
pub(super) struct CallerPatience {
    /// Mean age of a request when its caller gave it up, in seconds.
    age: f64,
    /// Share of callers that gave up by that age.
    share: f64,
}

impl CallerPatience {
    /// A caller gave its request up at this age, in seconds.
    pub fn gave_up(&mut self, age: f64) {
        self.age = moving_average(self.age, age, NEW_SAMPLE_QUICK);
        self.share += NEW_CALLER * (1.0 - self.share);
    }

    /// A run ended for a caller that was still there, at this age of its request.
    pub fn waited_to_the_end(&mut self, age: f64) {
        if age > self.age {
            self.share -= NEW_CALLER * self.share;
        }
    }

    /// The age past which a run is in vain, if most callers are gone by then.
    pub fn limit(&self) -> Option<f64> {
        (self.share > MOST_GIVE_UP).then_some(self.age)
    }
}
