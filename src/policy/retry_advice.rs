//! Retry-After of rejected requests and rejection counts for the log.

use crate::{PolicySettings, Reason};
use std::collections::BTreeMap;

/// Longest Retry-After, in seconds; latency objectives bound it too.
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// Mean Retry-After of a healthy server, as a fraction of the longest; drawn at random to spread callers.
const MEAN_RETRY_AFTER_FRACTION: f64 = 0.25;
/// Fraction of retries among arrivals above which the whole fleet counts as overloaded.
const FLEET_OVERLOAD_RETRY_FRACTION: f64 = 0.1;
/// Multiplier of the multiply-with-carry generator; gives the full period.
const MWC_MULTIPLIER: u64 = 0xffff_da61;
/// Mask of the low word of the generator state, which is the random number.
const LOW_WORD_MASK: u64 = 0xffff_ffff;
/// Time between log lines with rejection counts, in seconds.
const LOG_INTERVAL_S: f64 = 10.0;

/// State from which the Retry-After of rejections is drawn.
pub(super) struct RetryAdvice {
    /// Longest Retry-After, in seconds.
    max_retry_after: f64,
    /// Moving average of the fraction of retries among arrivals.
    retry_fraction: f64,
    random_state: u64,
}

impl RetryAdvice {
    /// Creates the state within the Retry-After limit and the latency objectives of `settings`.
    pub fn new(settings: &PolicySettings, seed: u64) -> RetryAdvice {
        let max_retry_after = settings.max_retry_after.min(MAX_RETRY_AFTER_S);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        RetryAdvice {
            max_retry_after: objectives.fold(max_retry_after, f64::min),
            retry_fraction: 0.0,
            random_state: seed >> 1 | 1,
        }
    }

    /// Records whether an arrival is a retry.
    pub fn record_arrival(&mut self, is_retry: bool, weight: f64) {
        self.retry_fraction += weight * (f64::from(u8::from(is_retry)) - self.retry_fraction);
    }

    /// Returns a random number in [0, 1) from the multiply-with-carry generator.
    fn next_random(&mut self) -> f64 {
        self.random_state = MWC_MULTIPLIER * (self.random_state & LOW_WORD_MASK) + (self.random_state >> 32);
        (self.random_state & LOW_WORD_MASK) as f64 / (LOW_WORD_MASK + 1) as f64
    }

    /// Returns the longest Retry-After, in seconds.
    pub fn max_retry_after(&self) -> f64 {
        self.max_retry_after
    }

    /// Returns whether retries are so frequent that the other servers are overloaded too.
    pub fn is_fleet_overloaded(&self) -> bool {
        self.retry_fraction > FLEET_OVERLOAD_RETRY_FRACTION
    }

    /// Returns a Retry-After in seconds: random on a healthy server, else the longest.
    pub fn random_retry_after(&mut self, is_healthy: bool) -> f64 {
        self.max_retry_after
            * if is_healthy { 2.0 * MEAN_RETRY_AFTER_FRACTION * self.next_random() } else { 1.0 }
    }
}

/// Key under which rejections are counted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    class: usize,
    reason: Reason,
}

/// Rejections since the last log line.
#[derive(Default)]
pub(super) struct RejectionLog {
    counts: BTreeMap<RejectionKey, u32>,
    logged_at: f64,
}

impl RejectionLog {
    /// Starts the first log interval.
    pub fn start(&mut self, now: f64) {
        self.logged_at = now;
    }

    /// Counts a rejection.
    pub fn add(&mut self, class: usize, reason: Reason) {
        *self.counts.entry(RejectionKey { class, reason }).or_default() += 1;
    }

    /// Returns the counts as text and resets them, at most once per log interval.
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
