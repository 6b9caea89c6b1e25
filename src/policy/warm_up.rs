//! Warming up: what a server that may have started cold can bear, and the ramp that bounds what it has in
//! flight.

use crate::PolicySettings;

/// Standard deviations, and whole requests, over the crowd borne while cold: the operators' ramp.
const RAMP: f64 = 2.0;
/// Seconds that a warm-up takes at least: its rate is divided by it.
const SHORTEST_WARM_UP: f64 = 1e-3;

/// How far the process has warmed up, at the least.
pub(super) struct WarmUp {
    started: Option<f64>,
    /// Share of its speed at the start.
    cold_fraction: f64,
    duration: f64,
    cores: f64,
    /// Running requests a core that a warm server survives, beside the one that has the core.
    extra_per_core: f64,
    /// Share of its speed that the server is taken to lack.
    caution: f64,
}

impl WarmUp {
    /// A process that has yet to begin its first round.
    pub fn new(settings: &PolicySettings) -> WarmUp {
        let cold_fraction = if settings.starts_cold { settings.cold_capacity_fraction.min(1.0) } else { 1.0 };
        WarmUp {
            started: None,
            cold_fraction,
            duration: settings.warm_up_duration.max(SHORTEST_WARM_UP),
            cores: settings.cores,
            extra_per_core: (settings.overload_multiple - 1.0).max(0.0),
            caution: 1.0,
        }
    }

    /// The first round begins now.
    pub fn start(&mut self, now: f64) {
        self.started = Some(now);
    }

    /// Whether the first round has begun.
    pub fn has_started(&self) -> bool {
        self.started.is_some()
    }

    /// Whether the settings let the process start cold.
    pub fn may_be_cold(&self) -> bool {
        self.cold_fraction < 1.0
    }

    /// Seconds since the first round.
    pub fn uptime(&self, now: f64) -> f64 {
        now - self.started.unwrap_or(now)
    }

    /// The share of its speed that the server has reached at the least.
    fn warmth(&self, now: f64) -> f64 {
        let age = self.uptime(now) / self.duration;
        (self.cold_fraction + (1.0 - self.cold_fraction) * age).min(1.0)
    }

    /// The crowd of running requests that the server survives, with the warmth it has at the least.
    pub fn crowd(&self, now: f64) -> f64 {
        self.cores * (1.0 + self.extra_per_core * self.warmth(now))
    }

    /// Guards against a full share for a cold server: it asks for no more than the share of its speed, until
    /// work that leaves cores free shows that it has more than the settings promise. `eased` is what that
    /// takes off now.
    pub fn update_caution(&mut self, now: f64, eased: Option<f64>) -> f64 {
        self.caution = self.caution.min(1.0 - self.warmth(now));
        if let Some(eased) = eased {
            self.caution = (self.caution - eased).max(0.0);
        }
        self.caution
    }

    /// Requests in flight that its ramp bears; no bound once it is warm.
    pub fn ramp(&self, now: f64) -> f64 {
        let crowd = self.crowd(now);
        if self.warmth(now) < 1.0 {
            crowd + RAMP * crowd.sqrt() + RAMP
        } else {
            f64::MAX
        }
    }
}
