//! The one way in which locks are taken here.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, also one that a panic left poisoned: a txn that dies must not take the others along.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
