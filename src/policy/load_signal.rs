//! The load signal on answers, as a minimum rank, as tokens or as a bias.

use super::concurrency::CORES_FULL;
use super::pressure::PRESSURE_STEP;
use super::state::AdmissionPolicy;
use super::timing::RATE_SPAN;
use crate::{Decisions, LoadSignal};

/// Steps of pressure by which a cold server's caution goes while cores are free.
const EASE_CAUTION: f64 = 2.0;
/// Share of its callers that a full server may have pass it over: some must test it.
const BIAS_CUT: f64 = 0.9;
/// Share of the shortest wait for whose work tokens are given: the rest is unread.
const TOKEN_WAIT: f64 = 0.5;
/// Share of the rate's span that counts as seen at least: the rate of a new process is divided by it.
const LEAST_SEEN: f64 = 0.1;
/// Times the room of a full server that idle ones offer: a burst must fit.
const IDLE_ROOM: f64 = 3.0;

impl AdmissionPolicy {
    /// `busy` is the share of the cores that is busy.
    pub(super) fn step_signal(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        let is_idle = self.queue.is_empty() && busy < CORES_FULL;
        self.pressure.step(is_idle);
        self.send_signal(now, busy, out);
    }

    /// Sends the signal if it has changed.
    pub(super) fn send_signal(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        let has_spare_cores = self.running > 0 && self.queue.is_empty() && busy < CORES_FULL;
        let eased = has_spare_cores.then_some(EASE_CAUTION * PRESSURE_STEP);
        let caution = self.warm_up.update_caution(now, eased);
        let pressure = self.pressure.value().max(caution);
        let bias = 1.0 - BIAS_CUT * pressure;
        let amount = match self.settings.load_signal {
            LoadSignal::None => return,
            LoadSignal::MinimumRank => self.pressure.minimum_rank(pressure),
            LoadSignal::SelectionBias => bias,
            LoadSignal::Tokens => self.tokens(now, busy, bias),
        };
        if self.pressure.should_send(amount) {
            out.set_load_signal(amount);
        }
    }

    /// Tokens for each caller: what can be finished within the shortest wait, beside what runs; far more
    /// while nothing waits. Never under the bias, since a caller takes a small fraction for a chance.
    fn tokens(&self, now: f64, busy: f64, bias: f64) -> f64 {
        let wait = self.classes.iter().map(|class| class.wait_threshold).fold(f64::MAX, f64::min);
        let seen = 1.0 - (-self.warm_up.uptime(now) / RATE_SPAN).exp();
        let room = self.limit.runs() + TOKEN_WAIT * self.completion_rate / seen.max(LEAST_SEEN) * wait;
        let is_idle = self.pressure.are_waits_short() && busy < CORES_FULL;
        let usual = (room * if is_idle { IDLE_ROOM } else { 1.0 } / self.callers).max(bias);
        // What all callers may have here together, whichever of them came unprompted.
        usual.min(self.ramp_left(now).max(0.0) / self.callers)
    }
}
