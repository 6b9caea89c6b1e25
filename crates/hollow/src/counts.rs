//! What hollow servers and callers count while they run: numbers that many tasks raise and one reads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A number that tasks raise and lower.
#[derive(Debug, Default)]
pub struct Number(AtomicU64);

impl Number {
    pub fn add(&self, by: u64) {
        self.0.fetch_add(by, Ordering::Relaxed);
    }
    fn less(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Of all that one process plays.
#[derive(Debug, Default)]
pub struct Counts {
    /// Servers or callers with a connection to a control service.
    pub connected: Number,
    /// Connections in all, those to stewards among them.
    pub links: Number,
    /// Bytes and messages, over all connections so far.
    pub sent: Number,
    pub received: Number,
    pub messages_sent: Number,
    pub messages_received: Number,
    /// Connections after the first of each to each peer.
    pub reconnects: Number,
}

/// Counts one while it lives, so that a task which ends anywhere leaves nothing counted.
#[derive(Debug)]
pub struct Held {
    counts: Arc<Counts>,
    which: fn(&Counts) -> &Number,
}

impl Held {
    pub fn new(counts: &Arc<Counts>, which: fn(&Counts) -> &Number) -> Held {
        which(counts).add(1);
        Held { counts: counts.clone(), which }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        (self.which)(&self.counts).less();
    }
}

/// One way to one peer: an open connection is counted, and every later one as another.
#[derive(Debug, Default)]
pub struct Way {
    open: Option<Held>,
    before: bool,
}

impl Way {
    pub fn opened(&mut self, counts: &Arc<Counts>) {
        if self.before {
            counts.reconnects.add(1);
        }
        self.before = true;
        self.open = Some(Held::new(counts, |counts| &counts.links));
    }
    pub fn closed(&mut self) {
        self.open = None;
    }
}
