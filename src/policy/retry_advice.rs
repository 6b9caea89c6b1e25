//! What rejected callers are told, and the counts of them for the log.

use crate::{PolicySettings, Reason};
use std::collections::BTreeMap;

/// Seconds of Retry-After at the most, as in the design; latency objectives bound it too.
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// Mean share of it drawn by a sound server: callers neither go nor return together.
const MEAN_RETRY_AFTER_FRACTION: f64 = 0.25;
/// Share of retries among arrivals from which the other servers count as full too.
const FLEET_OVERLOAD_RETRY_FRACTION: f64 = 0.1;
/// Of the multiply-with-carry generator: a multiplier of full period, and the half that is drawn.
const MWC_MULTIPLIER: u64 = 0xffff_da61;
/// Mask of the low word of the generator state, which is the random number.
const LOW_WORD_MASK: u64 = 0xffff_ffff;
/// Seconds between log lines of what was rejected.
const LOG_INTERVAL_S: f64 = 10.0;

/// What rejected callers are told.
pub(super) struct RetryAdvice {
    /// Seconds of Retry-After at the most.
    max_retry_after: f64,
    /// Share of retries among arrivals.
    retry_fraction: f64,
    random_state: u64,
}

impl RetryAdvice {
    /// Advice within the settings' longest Retry-After and latency objectives.
    pub fn new(settings: &PolicySettings, seed: u64) -> RetryAdvice {
        let max_retry_after = settings.max_retry_after.min(MAX_RETRY_AFTER_S);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        RetryAdvice {
            max_retry_after: objectives.fold(max_retry_after, f64::min),
            retry_fraction: 0.0,
            random_state: seed >> 1 | 1,
        }
    }

    /// Takes in whether an arrival is a retry.
    pub fn record_arrival(&mut self, is_retry: bool, weight: f64) {
        self.retry_fraction += weight * (f64::from(u8::from(is_retry)) - self.retry_fraction);
    }

    /// A random number from 0 to under 1: multiply with carry, from the wire's seed.
    fn next_random(&mut self) -> f64 {
        self.random_state = MWC_MULTIPLIER * (self.random_state & LOW_WORD_MASK) + (self.random_state >> 32);
        (self.random_state & LOW_WORD_MASK) as f64 / (LOW_WORD_MASK + 1) as f64
    }

    /// Seconds of Retry-After at the most.
    pub fn max_retry_after(&self) -> f64 {
        self.max_retry_after
    }

    /// Whether retries are so frequent that the other servers are full too.
    pub fn is_fleet_overloaded(&self) -> bool {
        self.retry_fraction > FLEET_OVERLOAD_RETRY_FRACTION
    }

    /// Seconds to keep off a server in this state.
    pub fn random_retry_after(&mut self, is_healthy: bool) -> f64 {
        self.max_retry_after
            * if is_healthy { 2.0 * MEAN_RETRY_AFTER_FRACTION * self.next_random() } else { 1.0 }
    }
}

/// What the log counts together.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    class: usize,
    reason: Reason,
}

/// What was rejected since the last log line.
#[derive(Default)]
pub(super) struct RejectionLog {
    counts: BTreeMap<RejectionKey, u32>,
    logged_at: f64,
}

impl RejectionLog {
    /// The first interval begins now.
    pub fn start(&mut self, now: f64) {
        self.logged_at = now;
    }

    /// Counts a rejection.
    pub fn add(&mut self, class: usize, reason: Reason) {
        *self.counts.entry(RejectionKey { class, reason }).or_default() += 1;
    }

    /// Takes the counts out as text, once an interval: a line each would fill the log in a flood.
    pub fn take_text(&mut self, now: f64) -> Option<String> {
        if now - self.logged_at <= LOG_INTERVAL_S || self.counts.is_empty() {
            return None;
        }
        self.logged_at = now;
        let counts = std::mem::take(&mut self.counts).into_iter();
        let text = |(key, count): (RejectionKey, u32)| {
            format!(" class {} {} {count},", key.class, key.reason.text())
        };
        Some(counts.map(text).collect())
    }
}
