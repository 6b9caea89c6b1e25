//! The intervals that several modules share.

/// Seconds between looks at the queue: well under any latency objective, yet few timers.
pub(super) const TICK_INTERVAL_S: f64 = 0.02;
/// Seconds between steps of limit, signal and health: some runs end in it.
pub(super) const CONTROL_INTERVAL_S: f64 = 0.1;
/// Seconds before its deadline at which an answer is forced: two ticks and a round.
pub(super) const DEADLINE_MARGIN_S: f64 = 0.05;
/// Seconds over which rates are taken, and after which what no run confirms fades.
pub(super) const RATE_TIME_CONSTANT_S: f64 = 3.0;
