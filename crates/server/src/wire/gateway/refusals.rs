//! Detection of connections that send forged requests, by the agent's refusals, so that they do not displace others.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Consecutive refusals after which a connection is suspected.
const MAX_CONSECUTIVE_REFUSALS: u32 = 8;
/// Interval between probe requests of a suspected connection, s.
const PROBE_INTERVAL: f64 = 1.0;

/// Trust in the next request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// The connection is not suspected.
    Trusted,
    /// The connection is suspected; this request is admitted as a probe, and clears the connection if genuine.
    Probe,
    /// The connection is suspected; the request is rejected.
    Suspected,
}

/// Refusals of one connection's requests.
#[derive(Debug, Default)]
pub struct Refusals {
    consecutive: AtomicU32,
    /// Time of the last probe, s, as the bits of an `f64`.
    probed_at: AtomicU64,
}

impl Refusals {
    /// Records a request that the agent refused as unknown.
    pub fn record_refused(&self) {
        let increment = |count: u32| Some(count.saturating_add(1));
        let _ = self.consecutive.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
    }

    /// Records a request that the agent knows, which clears the connection.
    pub fn record_known(&self) {
        if self.consecutive.load(Ordering::Relaxed) > 0 {
            self.consecutive.store(0, Ordering::Relaxed);
        }
    }

    /// Returns whether the connection is suspected of sending forged requests.
    pub fn is_suspected(&self) -> bool {
        self.consecutive.load(Ordering::Relaxed) >= MAX_CONSECUTIVE_REFUSALS
    }

    /// Returns the trust in the next request, and records the time of a probe.
    pub fn assess(&self, now: f64) -> Trust {
        if !self.is_suspected() {
            return Trust::Trusted;
        }
        let probed_at = self.probed_at.load(Ordering::Relaxed);
        if now - f64::from_bits(probed_at) < PROBE_INTERVAL {
            return Trust::Suspected;
        }
        let (old, new) = (probed_at, now.to_bits());
        match self.probed_at.compare_exchange(old, new, Ordering::Relaxed, Ordering::Relaxed) {
            Ok(_) => Trust::Probe,
            Err(_) => Trust::Suspected,
        }
    }
}
