//! Time constants shared by several modules.

/// Time between ticks, in seconds; well below any latency objective.
pub(super) const TICK_INTERVAL_S: f64 = 0.02;
/// Time between control steps of limits, signal and health, in seconds.
pub(super) const CONTROL_INTERVAL_S: f64 = 0.1;
/// Time before its deadline at which a request is answered with an error, in seconds: two ticks and a
/// round.
pub(super) const DEADLINE_MARGIN_S: f64 = 0.05;
/// Time constant of rates and of the decay of unconfirmed run times, in seconds.
pub(super) const RATE_TIME_CONSTANT_S: f64 = 3.0;
