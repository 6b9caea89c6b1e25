//! The one way in which locks are taken in this crate.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock even if a panic left it poisoned: one failing request must not take the others along.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
