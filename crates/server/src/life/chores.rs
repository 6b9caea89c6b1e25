//! A place to wait for the next look at idle things, about ten times a second.

use may::coroutine::{self, Coroutine};
use std::sync::{Mutex, PoisonError};

#[derive(Default)]
pub struct Chores {
    waiting: Mutex<Vec<Coroutine>>,
}

impl Chores {
    pub fn wait(&self) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).push(coroutine::current());
        coroutine::park();
    }

    pub fn ring(&self) {
        let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
        waiting.iter().for_each(Coroutine::unpark);
    }
}
