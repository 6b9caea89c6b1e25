//! Counters of the service's connections and of the bytes sent and received, for `/metrics` and scale tests.

use crate::stream::{ResourceType, Update};
use std::sync::atomic::{AtomicU64, Ordering};

/// Counter shared by tasks.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the current value.
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
    /// Open connections of servers.
    pub report_connections: Counter,
    /// Accepted connections of servers since the start.
    pub report_connections_total: Counter,
    /// Bytes of reports, including rejected ones.
    pub report_bytes: Counter,
    /// Bytes of updates with content, by [`ResourceType::index`].
    content_bytes: [Counter; ResourceType::COUNT],
    /// Bytes of updates that only renew leases, by [`ResourceType::index`].
    renewal_bytes: [Counter; ResourceType::COUNT],
}

/// Bytes of the updates of one resource type since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateBytes {
    /// Type of the resources.
    pub resource_type: ResourceType,
    /// Bytes of updates with content.
    pub content: u64,
    /// Bytes of updates that only renew leases.
    pub renewals: u64,
}

/// Guard that counts an open connection.
pub(super) struct ConnectionGuard<'a>(&'a Counter);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.decrement();
    }
}

impl TrafficCounters {
    /// Counts a server's connection until the guard is dropped.
    pub(super) fn open_report_connection(&self) -> ConnectionGuard<'_> {
        self.report_connections.add(1);
        self.report_connections_total.add(1);
        ConnectionGuard(&self.report_connections)
    }

    /// Counts a sent update of `bytes` bytes.
    pub(super) fn record_sent_update(&self, update: &Update, bytes: usize) {
        let counters = if update.is_heartbeat() { &self.renewal_bytes } else { &self.content_bytes };
        counters[update.resource_type.index()].add(bytes as u64);
    }

    /// Returns the bytes of sent updates by resource type.
    pub fn update_bytes(&self) -> impl Iterator<Item = UpdateBytes> + '_ {
        ResourceType::ALL.into_iter().map(|resource_type| UpdateBytes {
            resource_type,
            content: self.content_bytes[resource_type.index()].get(),
            renewals: self.renewal_bytes[resource_type.index()].get(),
        })
    }
}
