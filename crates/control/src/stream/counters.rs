//! Counters of stream events, for metrics and the debug pages.

use std::ops::AddAssign;

/// Event counters of one or several streams.
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
    /// Responses to updates that were superseded or already answered.
    pub stale_nonces: u64,
    /// Responses to updates that were never sent.
    pub unknown_nonces: u64,
    /// Plans superseded while an acknowledgement was pending.
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
