//! What rejected callers are told, and the counts of them for the log.

use crate::{PolicySettings, Reason};
use std::collections::BTreeMap;

/// Seconds of Retry-After at the most, as in the design; latency objectives bound it too.
const LONGEST_RETRY_AFTER: f64 = 1.0;
/// Mean share of it drawn by a sound server: callers neither go nor return together.
const SOUND_RETRY_AFTER: f64 = 0.25;
/// Share of retries among arrivals from which the other servers count as full too.
const RETRIES_EVERYWHERE: f64 = 0.1;
/// Of the multiply-with-carry generator: a multiplier of full period, and the half that is drawn.
const MULTIPLIER: u64 = 0xffff_da61;
const LOW_WORD: u64 = 0xffff_ffff;
/// Seconds between log lines of what was rejected.
const LOG_INTERVAL: f64 = 10.0;

/// What rejected callers are told.
pub(super) struct RetryAdvice {
    /// Seconds of Retry-After at the most.
    longest: f64,
    /// Share of retries among arrivals.
    retries: f64,
    random: u64,
}

impl RetryAdvice {
    /// Advice within the settings' longest Retry-After and latency objectives.
    pub fn new(settings: &PolicySettings, seed: u64) -> RetryAdvice {
        let longest = settings.max_retry_after.min(LONGEST_RETRY_AFTER);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        RetryAdvice { longest: objectives.fold(longest, f64::min), retries: 0.0, random: seed >> 1 | 1 }
    }

    /// Takes in whether an arrival is a retry.
    pub fn learn_arrival(&mut self, is_retry: bool, weight: f64) {
        self.retries += weight * (f64::from(u8::from(is_retry)) - self.retries);
    }

    /// A random number from 0 to under 1: multiply with carry, from the wire's seed.
    fn draw(&mut self) -> f64 {
        self.random = MULTIPLIER * (self.random & LOW_WORD) + (self.random >> 32);
        (self.random & LOW_WORD) as f64 / (LOW_WORD + 1) as f64
    }

    /// Seconds of Retry-After at the most.
    pub fn longest(&self) -> f64 {
        self.longest
    }

    /// Whether retries are so frequent that the other servers are full too.
    pub fn is_full_everywhere(&self) -> bool {
        self.retries > RETRIES_EVERYWHERE
    }

    /// Seconds to keep off a server in this state.
    pub fn draw_retry_after(&mut self, is_sound: bool) -> f64 {
        self.longest * if is_sound { 2.0 * SOUND_RETRY_AFTER * self.draw() } else { 1.0 }
    }
}

/// What the log counts together.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKind {
    class: usize,
    reason: Reason,
}

/// What was rejected since the last log line.
#[derive(Default)]
pub(super) struct RejectionLog {
    counts: BTreeMap<RejectionKind, u32>,
    logged_at: f64,
}

impl RejectionLog {
    /// The first interval begins now.
    pub fn start(&mut self, now: f64) {
        self.logged_at = now;
    }

    /// Counts a rejection.
    pub fn add(&mut self, class: usize, reason: Reason) {
        *self.counts.entry(RejectionKind { class, reason }).or_default() += 1;
    }

    /// Takes the counts out as text, once an interval: a line each would fill the log in a flood.
    pub fn take_text(&mut self, now: f64) -> Option<String> {
        if now - self.logged_at <= LOG_INTERVAL || self.counts.is_empty() {
            return None;
        }
        self.logged_at = now;
        let counts = std::mem::take(&mut self.counts).into_iter();
        let text = |(kind, count): (RejectionKind, u32)| {
            format!(" class {} {} {count},", kind.class, kind.reason.text())
        };
        Some(counts.map(text).collect())
    }
}
