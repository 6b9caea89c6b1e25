//! A place to wait for the next look at idle things, about ten times a second.

use crate::lock::lock;
use may::coroutine::{self, Coroutine};
use std::sync::Mutex;

#[derive(Default)]
pub struct Chores {
    waiting: Mutex<Vec<Coroutine>>,
}

impl Chores {
    pub fn wait(&self) {
        lock(&self.waiting).push(coroutine::current());
        coroutine::park();
    }

    pub fn ring(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.iter().for_each(Coroutine::unpark);
    }
}
