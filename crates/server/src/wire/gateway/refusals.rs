//! What the agent has refused of one connection's requests: a peer that makes requests up must not take the places of others.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Refused requests in a row, after which a connection is suspected: more than one that stumbles brings, few enough that a flood
/// takes little.
const MAX_CONSECUTIVE_REFUSALS: u32 = 8;
/// Seconds from one request that a suspected connection may offer to the next.
const PROBE_INTERVAL: f64 = 1.0;

/// How a request of a connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As any other.
    Trusted,
    /// Its connection is suspected; this one is let through, so that a true one clears it.
    Probe,
    /// Its connection is suspected: it is rejected.
    Suspected,
}

/// The refused requests of one connection.
#[derive(Debug, Default)]
pub struct Refusals {
    consecutive: AtomicU32,
    /// When a request was last let through while it was suspected, s, as bits.
    probed_at: AtomicU64,
}

impl Refusals {
    /// The agent has refused one of its requests, as one that it does not know.
    pub fn record_refused(&self) {
        let increment = |count: u32| Some(count.saturating_add(1));
        let _ = self.consecutive.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
    }

    /// The agent knows one of its requests.
    pub fn record_known(&self) {
        if self.consecutive.load(Ordering::Relaxed) > 0 {
            self.consecutive.store(0, Ordering::Relaxed);
        }
    }

    /// Whether so many were refused in a row that its requests are taken to be made up.
    pub fn is_suspected(&self) -> bool {
        self.consecutive.load(Ordering::Relaxed) >= MAX_CONSECUTIVE_REFUSALS
    }

    /// How its next request is taken.
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
