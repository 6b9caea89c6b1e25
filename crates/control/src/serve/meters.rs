//! What goes over the service's connections, counted where it does: for `/metrics`, and for tests that hold a large service to what must not grow.

use crate::stream::{Kind, Push};
use std::sync::atomic::{AtomicU64, Ordering};

/// A number that tasks raise and lower.
#[derive(Debug, Default)]
pub struct Number(AtomicU64);

impl Number {
    pub fn add(&self, by: u64) {
        self.0.fetch_add(by, Ordering::Relaxed);
    }
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

#[derive(Debug, Default)]
pub struct Meters {
    /// Connections of servers: open now, and accepted so far.
    pub report_connections: Number,
    pub report_connections_total: Number,
    /// Bytes of their reports, refused ones among them.
    pub report_bytes: Number,
    /// Bytes of responses a type: those with content, and those that renew leases only.
    content: [Number; 4],
    renewals: [Number; 4],
}

/// Counts a connection for as long as it lives.
pub struct Held<'a>(&'a Number);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Meters {
    /// A server connected; it is counted until what comes back is dropped, however its task ends.
    pub fn report_connection(&self) -> Held<'_> {
        self.report_connections.add(1);
        self.report_connections_total.add(1);
        Held(&self.report_connections)
    }

    /// A response leaves, as so many bytes.
    pub fn response(&self, push: &Push, bytes: usize) {
        let of = if push.heartbeat() { &self.renewals } else { &self.content };
        of[push.kind as usize].add(bytes as u64);
    }

    /// Types with bytes of content and of renewals so far.
    pub fn responses(&self) -> impl Iterator<Item = (Kind, u64, u64)> + '_ {
        let of = |kind: Kind| (kind, self.content[kind as usize].get(), self.renewals[kind as usize].get());
        Kind::ALL.into_iter().map(of)
    }
}
