//! Warming up: what a server that may have started cold can bear, and the ramp that bounds what it has in
//! flight.

use crate::PolicySettings;

/// Standard deviations, and whole requests, over the crowd borne while cold: the operators' ramp.
const WARM_UP_HEADROOM: f64 = 2.0;
/// Seconds that a warm-up takes at least: its rate is divided by it.
const MIN_WARM_UP_S: f64 = 1e-3;

/// How far the process has warmed up, at the least.
pub(super) struct WarmUp {
    started_at: Option<f64>,
    /// Share of its speed at the start.
    cold_fraction: f64,
    duration: f64,
    cores: f64,
    /// Running requests a core that a warm server survives, beside the one that has the core.
    extra_per_core: f64,
    /// Share of its speed that the server is taken to lack.
    capacity_deficit: f64,
}

impl WarmUp {
    /// A process that has yet to begin its first round.
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

    /// The first round begins now.
    pub fn start(&mut self, now: f64) {
        self.started_at = Some(now);
    }

    /// Whether the first round has begun.
    pub fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether the settings let the process start cold.
    pub fn may_be_cold(&self) -> bool {
        self.cold_fraction < 1.0
    }

    /// Seconds since the first round.
    pub fn uptime(&self, now: f64) -> f64 {
        now - self.started_at.unwrap_or(now)
    }

    /// The share of its speed that the server has reached at the least.
    fn capacity_fraction(&self, now: f64) -> f64 {
        let progress = self.uptime(now) / self.duration;
        (self.cold_fraction + (1.0 - self.cold_fraction) * progress).min(1.0)
    }

    /// The crowd of running requests that the server survives, with the warmth it has at the least.
    pub fn sustainable_concurrency(&self, now: f64) -> f64 {
        self.cores * (1.0 + self.extra_per_core * self.capacity_fraction(now))
    }

    /// Guards against a full share for a cold server: it asks for no more than the share of its speed, until
    /// work that leaves cores free shows that it has more than the settings promise. `eased` is what that
    /// takes off now.
    pub fn update_capacity_deficit(&mut self, now: f64, decay: Option<f64>) -> f64 {
        self.capacity_deficit = self.capacity_deficit.min(1.0 - self.capacity_fraction(now));
        if let Some(decay) = decay {
            self.capacity_deficit = (self.capacity_deficit - decay).max(0.0);
        }
        self.capacity_deficit
    }

    /// Requests in flight that its ramp bears; no bound once it is warm.
    pub fn in_flight_limit(&self, now: f64) -> f64 {
        let sustainable_concurrency = self.sustainable_concurrency(now);
        if self.capacity_fraction(now) < 1.0 {
            sustainable_concurrency + WARM_UP_HEADROOM * sustainable_concurrency.sqrt() + WARM_UP_HEADROOM
        } else {
            f64::MAX
        }
    }
}
