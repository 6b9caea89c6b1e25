//! The load signal on answers: pressure rises while requests wait near their thresholds, and goes out as a minimum
//! rank, as tokens or as a bias.

use super::concurrency::CORES_FULL;
use super::{AdmissionPolicy, RATE_SPAN, STEP};
use crate::{Decisions, LoadSignal, PolicySettings};

/// Share of its threshold waited from which the signal tightens; under half of it the signal loosens.
pub(super) const TIGHT: f64 = 0.6;
/// Pressure gained a step, full in three seconds: callers hear late.
const PRESSURE_STEP: f64 = 0.03;
/// Parts of that step that are lost: half while the server is busy; at once while cores are free, since free cores
/// are lost at once and callers that heard of a full server come back late.
const EASE_BUSY: f64 = 0.5;
const EASE_IDLE: f64 = 2.0;
/// Parts of that step by which a cold server's caution goes while cores are free.
const EASE_CAUTION: f64 = 2.0;
/// Share of its callers that a full server may have pass it over: some must test it.
const BIAS_CUT: f64 = 0.9;
/// Share of the shortest wait for whose work tokens are given: the rest is unread.
const TOKEN_WAIT: f64 = 0.5;
/// Times the room of a full server that idle ones offer: a burst must fit.
const IDLE_ROOM: f64 = 3.0;
/// Change of the signal that is worth sending.
const LEAST_CHANGE: f64 = 1e-3;

/// The signal, and what it follows.
pub(super) struct SignalState {
    /// From 0 to 1.
    pressure: f64,
    /// The highest minimum rank: it never cuts the class of the highest weight.
    top_rank: f64,
    /// The longest wait of this step, over its class's threshold.
    longest_wait: f64,
    sent: f64,
}

impl SignalState {
    pub fn new(settings: &PolicySettings) -> SignalState {
        let mut weights: Vec<f64> = settings.classes.iter().map(|class| class.priority_weight).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        let top_rank = 1.0 - 1.0 / weights.len() as f64;
        SignalState { pressure: 0.0, top_rank, longest_wait: 0.0, sent: 0.0 }
    }

    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Takes in the wait of a first attempt within its quota, over its class's threshold.
    pub fn learn_wait(&mut self, share_of_threshold: f64) {
        self.longest_wait = self.longest_wait.max(share_of_threshold);
    }

    pub fn begin_step(&mut self) {
        self.longest_wait = 0.0;
    }

    /// Whether no request of this step waited for long.
    pub fn are_waits_short(&self) -> bool {
        self.longest_wait < TIGHT / 2.0
    }

    fn step_pressure(&mut self, is_idle: bool) {
        if self.longest_wait > TIGHT {
            self.pressure = (self.pressure + PRESSURE_STEP).min(1.0);
        } else if self.are_waits_short() {
            let ease = if is_idle { EASE_IDLE } else { EASE_BUSY };
            self.pressure = (self.pressure - PRESSURE_STEP * ease).max(0.0);
        }
    }
}

impl AdmissionPolicy {
    /// `busy` is the share of the cores that is busy.
    pub(super) fn step_signal(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        let is_idle = self.queue.is_empty() && busy < CORES_FULL;
        self.signal.step_pressure(is_idle);
        self.send_signal(now, busy, out);
    }

    /// Sends the signal if it has changed.
    pub(super) fn send_signal(&mut self, now: f64, busy: f64, out: &mut impl Decisions) {
        let has_spare_cores = self.running > 0 && self.queue.is_empty() && busy < CORES_FULL;
        let eased = has_spare_cores.then_some(EASE_CAUTION * PRESSURE_STEP);
        let caution = self.warm_up.update_caution(now, eased);
        let pressure = self.signal.pressure.max(caution);
        let bias = 1.0 - BIAS_CUT * pressure;
        let amount = match self.settings.load_signal {
            LoadSignal::None => return,
            LoadSignal::MinimumRank => self.signal.top_rank * pressure,
            LoadSignal::SelectionBias => bias,
            LoadSignal::Tokens => self.tokens(now, busy, bias),
        };
        if (amount - self.signal.sent).abs() > LEAST_CHANGE {
            self.signal.sent = amount;
            out.set_load_signal(amount);
        }
    }

    /// Tokens for each caller: what can be finished within the shortest wait, beside what runs; far more while
    /// nothing waits. Never under the bias, since a caller takes a small fraction for a chance.
    fn tokens(&self, now: f64, busy: f64, bias: f64) -> f64 {
        let wait = self.classes.iter().map(|class| class.wait_threshold).fold(f64::MAX, f64::min);
        let seen = 1.0 - (-self.warm_up.uptime(now) / RATE_SPAN).exp();
        let room = self.limit.runs() + TOKEN_WAIT * self.completion_rate / seen.max(STEP) * wait;
        let is_idle = self.signal.are_waits_short() && busy < CORES_FULL;
        let usual = (room * if is_idle { IDLE_ROOM } else { 1.0 } / self.callers).max(bias);
        // What all callers may have here together, whichever of them came unprompted.
        usual.min(self.ramp_left(now).max(0.0) / self.callers)
    }
}
