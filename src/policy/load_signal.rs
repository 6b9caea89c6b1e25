//! Load signal on answers, as a minimum rank, tokens or a selection bias.

use super::concurrency::SATURATED_BUSY_FRACTION;
use super::pressure::PRESSURE_INCREMENT;
use super::state::AdmissionPolicy;
use super::timing::RATE_TIME_CONSTANT_S;
use crate::{Decisions, LoadSignal};

/// Decay of a cold server's capacity deficit per control step while cores are free, in pressure increments.
const DEFICIT_DECAY_INCREMENTS: f64 = 2.0;
/// Largest reduction of the selection bias; some callers must still probe a full server.
const MAX_BIAS_REDUCTION: f64 = 0.9;
/// Fraction of the shortest wait threshold that tokens may fill with work; the rest allows for unread
/// requests.
const TOKEN_WAIT_FRACTION: f64 = 0.5;
/// Lower bound of the divisor that corrects the completion rate of a new process for its short observation.
const MIN_OBSERVED_FRACTION: f64 = 0.1;
/// Factor on the tokens of an idle server, which must absorb a burst.
const IDLE_TOKEN_MULTIPLE: f64 = 3.0;

impl AdmissionPolicy {
    /// Updates the pressure and the load signal. `busy` is the busy fraction of the cores.
    pub(super) fn step_signal(&mut self, now: f64, busy: f64, decisions: &mut impl Decisions) {
        let is_idle = self.queue.is_empty() && busy < SATURATED_BUSY_FRACTION;
        self.pressure.step(is_idle);
        self.send_signal(now, busy, decisions);
    }

    /// Sends the load signal if it has changed.
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

    /// Returns the tokens for each caller: the work that completes within the shortest wait threshold, in
    /// addition to the running requests, and a multiple of that while the server is idle. Not below `bias`,
    /// since callers treat a fraction of a token as a probability.
    fn tokens(&self, now: f64, busy: f64, bias: f64) -> f64 {
        let shortest_threshold =
            self.classes.iter().map(|class| class.wait_threshold).fold(f64::MAX, f64::min);
        let observed_fraction = 1.0 - (-self.warm_up.uptime(now) / RATE_TIME_CONSTANT_S).exp();
        let capacity = self.concurrency_limit.runs()
            + TOKEN_WAIT_FRACTION * self.completion_rate / observed_fraction.max(MIN_OBSERVED_FRACTION)
                * shortest_threshold;
        let is_idle = self.pressure.are_waits_short() && busy < SATURATED_BUSY_FRACTION;
        let tokens = (capacity * if is_idle { IDLE_TOKEN_MULTIPLE } else { 1.0 } / self.callers).max(bias);
        // While warming up, the tokens of all callers together stay within the in-flight headroom.
        tokens.min(self.in_flight_headroom(now).max(0.0) / self.callers)
    }
}
