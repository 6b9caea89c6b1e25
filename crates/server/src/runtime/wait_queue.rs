//! A place where coroutines wait for the next housekeeping cycle, about ten times a second.

use super::lock::lock;
use may::coroutine::{self, Coroutine};
use std::sync::Mutex;

/// Coroutines that wait to be woken together.
#[derive(Default)]
pub struct WaitQueue {
    waiting: Mutex<Vec<Coroutine>>,
}

impl WaitQueue {
    /// Parks the calling coroutine until the next [`WaitQueue::wake_all`].
    pub fn wait(&self) {
        lock(&self.waiting).push(coroutine::current());
        coroutine::park();
    }

    /// Wakes all that wait.
    pub fn wake_all(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.iter().for_each(Coroutine::unpark);
    }
}
