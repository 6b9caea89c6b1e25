//! Mutex locking without poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned: a panic in one request must not fail the others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
