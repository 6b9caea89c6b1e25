//! Warm-up: capacity of a server that may have started cold, and its limit on requests in flight.

use crate::PolicySettings;

/// Headroom of the in-flight limit above the sustainable concurrency: this many standard deviations, plus
/// the same number of requests.
const WARM_UP_HEADROOM: f64 = 2.0;
/// Shortest warm-up, in seconds, since the duration is a divisor.
const MIN_WARM_UP_S: f64 = 1e-3;

/// Lower bound on the warm-up progress of the process.
pub(super) struct WarmUp {
    started_at: Option<f64>,
    /// Fraction of full speed at the start.
    cold_fraction: f64,
    duration: f64,
    cores: f64,
    /// Sustainable runs per core of a warm server, less the one that occupies the core.
    extra_per_core: f64,
    /// Fraction of full speed that the server is assumed to lack.
    capacity_deficit: f64,
}

impl WarmUp {
    /// Creates the state before the first round.
    pub fn new(settings: &PolicySettings) -> WarmUp {
        let cold_fraction = if settings.starts_cold { settings.cold_capacity_fraction.min(1.0) } else { 1.0 };
        WarmUp {
            started_at: None,
            cold_fraction,
            duration: settings.warm_up_duration.max(MIN_WARM_UP_S),
            cores: settings.cores,
            extra_per_core: (settings.overload_multiple - 1.0).max(0.0),
            capacity_deficit: 1.0,
        }
    }

    /// Records the start of the first round.
    pub fn start(&mut self, now: f64) {
        self.started_at = Some(now);
    }

    /// Returns whether the first round has started.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns whether the settings allow a cold start.
    pub fn may_be_cold(&self) -> bool {
        self.cold_fraction < 1.0
    }

    /// Returns the seconds since the first round.
    pub fn uptime(&self, now: f64) -> f64 {
        now - self.started_at.unwrap_or(now)
    }

    /// Returns the lower bound of the present fraction of full speed.
    fn capacity_fraction(&self, now: f64) -> f64 {
        let progress = self.uptime(now) / self.duration;
        (self.cold_fraction + (1.0 - self.cold_fraction) * progress).min(1.0)
    }

    /// Returns the number of running requests that the server sustains at its present capacity.
    pub fn sustainable_concurrency(&self, now: f64) -> f64 {
        self.cores * (1.0 + self.extra_per_core * self.capacity_fraction(now))
    }

    /// Updates and returns the capacity deficit. It shrinks with the warm-up, and by `decay` when free
    /// cores show that the server is faster than the settings guarantee. Keeps a cold server from taking a
    /// full share of requests.
    pub fn update_capacity_deficit(&mut self, now: f64, decay: Option<f64>) -> f64 {
        self.capacity_deficit = self.capacity_deficit.min(1.0 - self.capacity_fraction(now));
        if let Some(decay) = decay {
            self.capacity_deficit = (self.capacity_deficit - decay).max(0.0);
        }
        self.capacity_deficit
    }

    /// Returns the limit on requests in flight; unbounded once the server is warm.
    pub fn in_flight_limit(&self, now: f64) -> f64 {
        let sustainable_concurrency = self.sustainable_concurrency(now);
        if self.capacity_fraction(now) < 1.0 {
            sustainable_concurrency + WARM_UP_HEADROOM * sustainable_concurrency.sqrt() + WARM_UP_HEADROOM
        } else {
            f64::MAX
        }
    }
}
