//! Stand-ins for all that a server speaks with, written from the protocol's pages: enough to try it by hand
//! and to tell stories to it in tests. What a txn does is written in its body, see [`agent`].
#![forbid(unsafe_code)]

pub mod agent;
pub mod gateway;
pub mod harness;
pub mod http;

use std::fmt::Debug;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longer than anything here should take: a wait that comes this far has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Something that changes, and those who wait until it has become what they want.
#[derive(Default)]
pub struct Monitor<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Monitor<T> {
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let result = update(&mut self.lock());
        self.changed.notify_all();
        result
    }
}

impl<T: Debug> Monitor<T> {
    /// What `find` finds, as soon as it finds anything.
    pub fn wait_for<R>(&self, what: &str, mut find: impl FnMut(&mut T) -> Option<R>) -> R {
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut value = self.lock();
        loop {
            if let Some(found) = find(&mut value) {
                return found;
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "waited in vain for {what}: {value:?}");
            value = self.changed.wait_timeout(value, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
