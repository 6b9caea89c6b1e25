//! How many requests the process has room for.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The places for requests, each of which takes a coroutine.
pub struct RequestSlots {
    in_use: AtomicUsize,
    max: usize,
}

impl RequestSlots {
    /// So many places, all of them free.
    pub fn new(max: usize) -> RequestSlots {
        RequestSlots { in_use: AtomicUsize::new(0), max }
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Takes a place, if there is one.
    pub fn acquire(&self) -> bool {
        let free = self.in_use.fetch_add(1, Ordering::Relaxed) < self.max;
        if !free {
            self.release();
        }
        free
    }

    /// Gives a place back.
    pub fn release(&self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}
