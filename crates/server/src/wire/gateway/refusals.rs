//! What the agent has refused of one connection's requests: a peer that makes requests up must not take the places of others.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Refused requests in a row, after which a connection is suspected: more than one that stumbles brings, few enough that a flood
/// takes little.
const MAX_REFUSED: u32 = 8;
/// Seconds from one request that a suspected connection may offer to the next.
const PROBE_INTERVAL: f64 = 1.0;

/// How a request of a connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
    in_a_row: AtomicU32,
    /// When a request was last let through while it was suspected, s, as bits.
    probed_at: AtomicU64,
}

impl Refusals {
    /// The agent has refused one of its requests, as one that it does not know.
    pub fn note_refused(&self) {
        let more = |count: u32| Some(count.saturating_add(1));
        let _ = self.in_a_row.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// The agent knows one of its requests.
    pub fn note_known(&self) {
        if self.in_a_row.load(Ordering::Relaxed) > 0 {
            self.in_a_row.store(0, Ordering::Relaxed);
        }
    }

    /// Whether so many were refused in a row that its requests are taken to be made up.
    pub fn is_suspected(&self) -> bool {
        self.in_a_row.load(Ordering::Relaxed) >= MAX_REFUSED
    }

    /// How its next request is taken.
    pub fn judge(&self, now: f64) -> Standing {
        if !self.is_suspected() {
            return Standing::Trusted;
        }
        let probed_at = self.probed_at.load(Ordering::Relaxed);
        if now - f64::from_bits(probed_at) < PROBE_INTERVAL {
            return Standing::Suspected;
        }
        let (old, new) = (probed_at, now.to_bits());
        match self.probed_at.compare_exchange(old, new, Ordering::Relaxed, Ordering::Relaxed) {
            Ok(_) => Standing::Probe,
            Err(_) => Standing::Suspected,
        }
    }
}
