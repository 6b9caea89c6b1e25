//! Counts of what happens on streams, for metrics and the debug pages.

use std::ops::AddAssign;

/// Events on one stream, or on many together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounters {
    /// Updates with content.
    pub content_updates: u64,
    /// Updates that only renew leases.
    pub heartbeats: u64,
    /// Updates that proxies acknowledged.
    pub acked: u64,
    /// Updates that proxies rejected.
    pub rejected: u64,
    /// Answers to updates that were superseded or answered before.
    pub stale_nonces: u64,
    /// Answers to updates that never were.
    pub unknown_nonces: u64,
    /// Plans that came and went while an answer was awaited.
    pub coalesced: u64,
}

impl AddAssign for StreamCounters {
    fn add_assign(&mut self, other: StreamCounters) {
        self.content_updates += other.content_updates;
        self.heartbeats += other.heartbeats;
        self.acked += other.acked;
        self.rejected += other.rejected;
        self.stale_nonces += other.stale_nonces;
        self.unknown_nonces += other.unknown_nonces;
        self.coalesced += other.coalesced;
    }
}
