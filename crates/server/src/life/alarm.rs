//! Wakes the desk in time. It stands on a thread of its own because may's timers would run coroutines on
//! theirs, beside the one worker.

use crate::lock::lock;
use std::sync::Mutex;
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct Alarm {
    /// When to ring next, and who sleeps until then.
    due: Mutex<(Option<Instant>, Option<Thread>)>,
}

impl Alarm {
    /// Rings after this many seconds, if it would not ring sooner.
    pub fn set(&self, after: f64) {
        let due = Instant::now() + Duration::from_secs_f64(after.clamp(0.0, 1.0));
        let mut set = lock(&self.due);
        if set.0.is_none_or(|old| due < old) {
            set.0 = Some(due);
            if let Some(sleeper) = &set.1 {
                sleeper.unpark();
            }
        }
    }

    /// Sleeps until it rings, which is after `longest` at the latest.
    pub fn wait(&self, longest: Duration) {
        let latest = Instant::now() + longest;
        loop {
            let now = Instant::now();
            let mut set = lock(&self.due);
            let due = set.0.map_or(latest, |due| due.min(latest));
            if due <= now {
                set.0 = None;
                return;
            }
            set.1.get_or_insert_with(thread::current);
            drop(set);
            thread::park_timeout(due - now);
        }
    }
}
