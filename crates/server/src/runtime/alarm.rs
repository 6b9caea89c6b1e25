//! Wakes the main thread when the dispatcher's next deadline comes. It sleeps on an ordinary thread because may's own
//! timers would run coroutines on their thread, beside the one worker.

use super::lock::lock;
use std::sync::Mutex;
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// The longest time, s, for which an alarm is set.
const MAX_DELAY: f64 = 1.0;

/// A one-shot alarm that can be moved forward.
#[derive(Default)]
pub struct Alarm {
    state: Mutex<AlarmState>,
}

#[derive(Default)]
struct AlarmState {
    due: Option<Instant>,
    /// The thread that sleeps until then.
    sleeper: Option<Thread>,
}

impl Alarm {
    /// Sets the alarm to go off after this many seconds, unless it is already set to go off sooner.
    pub fn set(&self, delay: f64) {
        let due = Instant::now() + Duration::from_secs_f64(delay.clamp(0.0, MAX_DELAY));
        let mut state = lock(&self.state);
        if state.due.is_none_or(|old| due < old) {
            state.due = Some(due);
            if let Some(sleeper) = &state.sleeper {
                sleeper.unpark();
            }
        }
    }

    /// Sleeps until the alarm goes off, but no longer than `max_wait`.
    pub fn wait(&self, max_wait: Duration) {
        let deadline = Instant::now() + max_wait;
        loop {
            let now = Instant::now();
            let mut state = lock(&self.state);
            let due = state.due.map_or(deadline, |due| due.min(deadline));
            if due <= now {
                state.due = None;
                return;
            }
            state.sleeper.get_or_insert_with(thread::current);
            drop(state);
            thread::park_timeout(due - now);
        }
    }
}
