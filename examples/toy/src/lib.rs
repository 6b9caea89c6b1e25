//! Stand-ins for the peers of a server (agent, store, registry and gateway), written from the protocol
//! documentation. They are used to try a server by hand and in integration tests. The body of a request
//! scripts how the stand-ins handle it, see [`agent`] and [`http`].
#![forbid(unsafe_code)]

pub mod agent;
pub mod gateway;
pub mod harness;
pub mod http;
pub mod load;
pub mod machine;
pub mod shared_store;
pub mod shim;

use std::fmt::Debug;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which a wait of the stand-ins fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A value behind a mutex, with a condition variable to wait for its changes.
#[derive(Default)]
pub struct Monitor<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> From<T> for Monitor<T> {
    fn from(value: T) -> Monitor<T> {
        Monitor { value: Mutex::new(value), changed: Condvar::new() }
    }
}

impl<T> Monitor<T> {
    /// Locks the value. Changes made through the guard wake no waiting thread.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the value and wakes all waiting threads.
    pub fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let result = update(&mut self.lock());
        self.changed.notify_all();
        result
    }
}

impl<T: Debug> Monitor<T> {
    /// Waits until `find` returns `Some` and returns its content. Panics after [`WAIT_TIMEOUT`], naming `awaited`.
    pub fn wait_for<R>(&self, awaited: &str, mut find: impl FnMut(&mut T) -> Option<R>) -> R {
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut value = self.lock();
        loop {
            if let Some(found) = find(&mut value) {
                return found;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "no {awaited} within {WAIT_TIMEOUT:?}; the value is {value:?}");
            value = self.changed.wait_timeout(value, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
