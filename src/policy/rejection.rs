//! Rejections: the Retry-After that goes with them, whether another server is worth a try, and the log of
//! them.

use super::state::AdmissionPolicy;
use crate::{Decisions, Reason};

/// Rise of run time up to which a crowded machine counts as sound.
const SOUND_RISE: f64 = 2.5;
/// Requests of its caller that a rejection may keep away: a few, since it is one of many.
const KEPT_AWAY: f64 = 4.0;
/// Runs a second that count as finished at least: the advice is divided by them.
const LEAST_RATE: f64 = 0.1;

impl AdmissionPolicy {
    /// Rejects a queued request, which never ran here, with advice to keep off.
    pub(super) fn reject(&mut self, at: usize, reason: Reason, out: &mut impl Decisions) {
        let request = self.remove(at, out);
        // Where retries are frequent the others are full too: to forward it would only cost reading.
        let is_full_everywhere = request.input.is_retry || self.retry_advice.is_full_everywhere();
        let last = reason != Reason::Draining && is_full_everywhere;
        let retry_after = self.retry_after();
        out.reject(request.input.id, retry_after, last, reason);
        self.rejections.add(request.input.class, reason);
    }

    /// Logs what was rejected, once an interval.
    pub(super) fn log_rejections(&mut self, now: f64, out: &mut impl Decisions) {
        if let Some(counts) = self.rejections.take_text(now) {
            let (runs, calls) = (self.limit.runs(), self.calls.window());
            out.log(&format!("rejected:{counts} limit {runs:.1}, calls {calls:.1}"));
        }
    }

    fn retry_after(&mut self) -> f64 {
        let is_sound = self.slowdown.rise() < SOUND_RISE && self.drain.is_none();
        let drawn = self.retry_advice.draw_retry_after(is_sound);
        // Where callers are few each brings much: kept off for long they would leave the cores idle in turns.
        let bounded = drawn.min(KEPT_AWAY * self.callers / self.completion_rate.max(LEAST_RATE));
        if self.ramp_left(self.last_round) >= 1.0 {
            return bounded;
        }
        // While it is cold and its ramp is used up, all callers together come back no faster than its crowd
        // is renewed.
        let crowd = self.warm_up.crowd(self.last_round);
        let turn = self.callers * self.settings.overload_window / crowd;
        bounded.max(turn.min(self.retry_advice.longest()))
    }
}
