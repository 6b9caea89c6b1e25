//! Limit on the number of requests in the process, and of one connection.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counting semaphore for requests, each of which occupies a coroutine.
pub struct RequestSlots {
    in_use: AtomicUsize,
    max: usize,
}

impl RequestSlots {
    /// Creates `max` free slots.
    pub fn new(max: usize) -> RequestSlots {
        RequestSlots { in_use: AtomicUsize::new(0), max }
    }

    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Acquires a slot. Returns false if none is free.
    pub fn acquire(&self) -> bool {
        let free = self.in_use.fetch_add(1, Ordering::Relaxed) < self.max;
        if !free {
            self.release();
        }
        free
    }

    pub fn release(&self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}
