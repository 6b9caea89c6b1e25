//! What emulated servers and callers count while they run: numbers that many tasks raise and one reads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A number that tasks raise and lower.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Raises the number.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// The number as it is now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connections and messages of everything that one process emulates.
#[derive(Debug, Default)]
pub struct ConnectionStats {
    /// Servers or callers with a connection to a control service.
    pub connected: Gauge,
    /// Open connections in all, those to workers among them.
    pub links: Gauge,
    /// Bytes sent, over all connections so far.
    pub sent: Gauge,
    /// Bytes received, over all connections so far.
    pub received: Gauge,
    /// Messages sent, over all connections so far.
    pub messages_sent: Gauge,
    /// Messages received, over all connections so far.
    pub messages_received: Gauge,
    /// Connections after the first of each to each peer.
    pub reconnects: Gauge,
}

/// Counts one for as long as it lives, so that a task which ends anywhere leaves nothing counted.
#[derive(Debug)]
pub(crate) struct GaugeGuard {
    stats: Arc<ConnectionStats>,
    gauge: fn(&ConnectionStats) -> &Gauge,
}

impl GaugeGuard {
    pub(crate) fn new(stats: &Arc<ConnectionStats>, gauge: fn(&ConnectionStats) -> &Gauge) -> GaugeGuard {
        gauge(stats).add(1);
        GaugeGuard { stats: stats.clone(), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        (self.gauge)(&self.stats).decrement();
    }
}

/// Counts the connections to one peer: an open one as a link, and each one after the first as a reconnect.
#[derive(Debug, Default)]
pub(crate) struct PeerConnection {
    link: Option<GaugeGuard>,
    was_connected: bool,
}

impl PeerConnection {
    pub(crate) fn opened(&mut self, stats: &Arc<ConnectionStats>) {
        if self.was_connected {
            stats.reconnects.add(1);
        }
        self.was_connected = true;
        self.link = Some(GaugeGuard::new(stats, |stats| &stats.links));
    }

    pub(crate) fn closed(&mut self) {
        self.link = None;
    }
}
