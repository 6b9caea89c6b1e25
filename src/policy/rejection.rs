//! Rejections: the Retry-After that goes with them, whether another server is worth a try, and the log of them.

use super::{AdmissionPolicy, STEP};
use crate::{Decisions, PolicySettings, Reason};
use std::collections::BTreeMap;

/// Seconds of Retry-After at the most, as in the design; latency objectives bound it too.
const LONGEST: f64 = 1.0;
/// Mean share of it drawn by a sound server: callers neither go nor return together.
const SOUND_MEAN: f64 = 0.25;
/// Rise of run time up to which a crowded machine counts as sound.
const SOUND_RISE: f64 = 2.5;
/// Requests of its caller that a rejection may keep away: a few, since it is one of many.
const KEPT_AWAY: f64 = 4.0;
/// Share of retries among arrivals from which the other servers count as full too.
const RETRIES_EVERYWHERE: f64 = 0.1;
/// Seconds between log lines of what was rejected.
const LOG_INTERVAL: f64 = 10.0;

/// What rejected callers are told.
pub(super) struct RetryAdvice {
    longest: f64,
    /// Share of retries among arrivals.
    retries: f64,
    random: u64,
}

impl RetryAdvice {
    pub fn new(settings: &PolicySettings, seed: u64) -> RetryAdvice {
        let longest = settings.max_retry_after.min(LONGEST);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        RetryAdvice { longest: objectives.fold(longest, f64::min), retries: 0.0, random: seed >> 1 | 1 }
    }

    pub fn learn_arrival(&mut self, is_retry: bool, weight: f64) {
        self.retries += weight * (f64::from(u8::from(is_retry)) - self.retries);
    }

    /// A random number from 0 to under 1: multiply with carry, from the wire's seed.
    fn draw(&mut self) -> f64 {
        self.random = 0xffff_da61 * (self.random & 0xffff_ffff) + (self.random >> 32);
        (self.random & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// Seconds to keep off a server in this state.
    fn retry_after(&mut self, is_sound: bool) -> f64 {
        self.longest * if is_sound { 2.0 * SOUND_MEAN * self.draw() } else { 1.0 }
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
    pub fn start(&mut self, now: f64) {
        self.logged_at = now;
    }

    fn add(&mut self, class: usize, reason: Reason) {
        *self.counts.entry(RejectionKind { class, reason }).or_default() += 1;
    }

    /// Takes the counts out as text, once an interval: a line each would fill the log in a flood.
    fn take_text(&mut self, now: f64) -> Option<String> {
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

impl AdmissionPolicy {
    /// Rejects a queued request, which never ran here, with advice to keep off.
    pub(super) fn reject(&mut self, at: usize, reason: Reason, out: &mut impl Decisions) {
        let request = self.remove(at, out);
        // Where retries are frequent the others are full too: to forward it would only cost reading.
        let is_full_everywhere = request.told.is_retry || self.retry_advice.retries > RETRIES_EVERYWHERE;
        let last = reason != Reason::Draining && is_full_everywhere;
        let retry_after = self.retry_after();
        out.reject(request.told.id, retry_after, last, reason);
        self.rejections.add(request.told.class, reason);
    }

    pub(super) fn log_rejections(&mut self, now: f64, out: &mut impl Decisions) {
        if let Some(counts) = self.rejections.take_text(now) {
            let (runs, calls) = (self.limit.runs(), self.calls.window());
            out.log(&format!("rejected:{counts} limit {runs:.1}, calls {calls:.1}"));
        }
    }

    fn retry_after(&mut self) -> f64 {
        let is_sound = self.slowdown.rise() < SOUND_RISE && self.drain.is_none();
        let drawn = self.retry_advice.retry_after(is_sound);
        // Where callers are few each brings much: kept off for long they would leave the cores idle in turns.
        let bounded = drawn.min(KEPT_AWAY * self.callers / self.completion_rate.max(STEP));
        if self.ramp_left(self.last_round) >= 1.0 {
            return bounded;
        }
        // While it is cold and its ramp is used up, all callers together come back no faster than its crowd is
        // renewed.
        let crowd = self.warm_up.crowd(self.last_round);
        let turn = self.callers * self.settings.overload_window / crowd;
        bounded.max(turn.min(self.retry_advice.longest))
    }
}
