//! The load signal on answers, as a minimum rank, as tokens or as a bias.

use super::concurrency::SATURATED_BUSY_FRACTION;
use super::pressure::PRESSURE_INCREMENT;
use super::state::AdmissionPolicy;
use super::timing::RATE_TIME_CONSTANT_S;
use crate::{Decisions, LoadSignal};

/// Steps of pressure by which a cold server's caution goes while cores are free.
const DEFICIT_DECAY_INCREMENTS: f64 = 2.0;
/// Share of its callers that a full server may have pass it over: some must test it.
const MAX_BIAS_REDUCTION: f64 = 0.9;
/// Share of the shortest wait for whose work tokens are given: the rest is unread.
const TOKEN_WAIT_FRACTION: f64 = 0.5;
/// Share of the rate's span that counts as seen at least: the rate of a new process is divided by it.
const MIN_OBSERVED_FRACTION: f64 = 0.1;
/// Times the room of a full server that idle ones offer: a burst must fit.
const IDLE_TOKEN_MULTIPLE: f64 = 3.0;

impl AdmissionPolicy {
    /// `busy` is the share of the cores that is busy.
    pub(super) fn step_signal(&mut self, now: f64, busy: f64, decisions: &mut impl Decisions) {
        let is_idle = self.queue.is_empty() && busy < SATURATED_BUSY_FRACTION;
        self.pressure.step(is_idle);
        self.send_signal(now, busy, decisions);
    }

    /// Sends the signal if it has changed.
    pub(super) fn send_signal(&mut self, now: f64, busy: f64, decisions: &mut impl Decisions) {
        let has_spare_cores = self.running > 0 && self.queue.is_empty() && busy < SATURATED_BUSY_FRACTION;
        let decay = has_spare_cores.then_some(DEFICIT_DECAY_INCREMENTS * PRESSURE_INCREMENT);
        let capacity_deficit = self.warm_up.update_capacity_deficit(now, decay);
        let pressure = self.pressure.value().max(capacity_deficit);
        let bias = 1.0 - MAX_BIAS_REDUCTION * pressure;
        let signal = match self.settings.load_signal {
            LoadSignal::None => return,
            LoadSignal::MinimumRank => self.pressure.minimum_rank(pressure),
            LoadSignal::SelectionBias => bias,
            LoadSignal::Tokens => self.tokens(now, busy, bias),
        };
        if self.pressure.should_send(signal) {
            decisions.set_load_signal(signal);
        }
    }

    /// Tokens for each caller: what can be finished within the shortest wait, beside what runs; far more
    /// while nothing waits. Never under the bias, since a caller takes a small fraction for a chance.
    fn tokens(&self, now: f64, busy: f64, bias: f64) -> f64 {
        let shortest_threshold =
            self.classes.iter().map(|class| class.wait_threshold).fold(f64::MAX, f64::min);
        let observed_fraction = 1.0 - (-self.warm_up.uptime(now) / RATE_TIME_CONSTANT_S).exp();
        let capacity = self.concurrency_limit.runs()
            + TOKEN_WAIT_FRACTION * self.completion_rate / observed_fraction.max(MIN_OBSERVED_FRACTION)
                * shortest_threshold;
        let is_idle = self.pressure.are_waits_short() && busy < SATURATED_BUSY_FRACTION;
        let tokens = (capacity * if is_idle { IDLE_TOKEN_MULTIPLE } else { 1.0 } / self.callers).max(bias);
        // What all callers may have here together, whichever of them came unprompted.
        tokens.min(self.in_flight_headroom(now).max(0.0) / self.callers)
    }
}
