//! Queue of parked coroutines that are woken together.

use super::lock::lock;
use may::coroutine::{self, Coroutine};
use std::sync::Mutex;

/// Parked coroutines, woken by [`WaitQueue::wake_all`].
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

    pub fn wake_all(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.iter().for_each(Coroutine::unpark);
    }
}
