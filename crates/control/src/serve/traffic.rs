//! What goes over the service's connections, counted where it does: for `/metrics`, and for tests that hold a large service to what
//! must not grow.

use crate::stream::{ResourceType, Update};
use std::sync::atomic::{AtomicU64, Ordering};

/// A number that tasks raise and lower.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Raises it.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Its present value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counters of all connections.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Connections of servers that are open now.
    pub report_connections: Counter,
    /// Connections of servers that were accepted so far.
    pub report_connections_total: Counter,
    /// Bytes of reports, rejected ones among them.
    pub report_bytes: Counter,
    /// Bytes of updates with content, by [`ResourceType::index`].
    content_bytes: [Counter; ResourceType::COUNT],
    /// Bytes of updates that only renew leases, by [`ResourceType::index`].
    renewal_bytes: [Counter; ResourceType::COUNT],
}

/// Bytes of the updates of one type so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateBytes {
    /// The type.
    pub resource_type: ResourceType,
    /// Of updates with content.
    pub content: u64,
    /// Of updates that only renew leases.
    pub renewals: u64,
}

/// Counts a connection for as long as it lives.
pub(super) struct ConnectionGuard<'a>(&'a Counter);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.decrement();
    }
}

impl TrafficCounters {
    /// A server connected; it is counted until the guard is dropped, however its task ends.
    pub(super) fn open_report_connection(&self) -> ConnectionGuard<'_> {
        self.report_connections.add(1);
        self.report_connections_total.add(1);
        ConnectionGuard(&self.report_connections)
    }

    /// An update leaves, as so many bytes.
    pub(super) fn record_sent_update(&self, update: &Update, bytes: usize) {
        let counters = if update.is_heartbeat() { &self.renewal_bytes } else { &self.content_bytes };
        counters[update.resource_type.index()].add(bytes as u64);
    }

    /// Bytes of updates by type.
    pub fn update_bytes(&self) -> impl Iterator<Item = UpdateBytes> + '_ {
        ResourceType::ALL.into_iter().map(|resource_type| UpdateBytes {
            resource_type,
            content: self.content_bytes[resource_type.index()].get(),
            renewals: self.renewal_bytes[resource_type.index()].get(),
        })
    }
}
