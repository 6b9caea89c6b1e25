//! One-shot timer that wakes the main thread at the dispatcher's next deadline. Timers of `may` are not used: they run
//! coroutines on the timer thread, in parallel with the single worker.

use super::lock::lock;
use std::sync::Mutex;
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Maximum delay of an alarm, s.
const MAX_DELAY: f64 = 1.0;

/// One-shot alarm whose due time can be moved earlier.
#[derive(Default)]
pub struct Alarm {
    state: Mutex<AlarmState>,
}

#[derive(Default)]
struct AlarmState {
    due: Option<Instant>,
    /// Thread that waits for the alarm.
    sleeper: Option<Thread>,
}

impl Alarm {
    /// Sets the alarm to fire after `delay` seconds unless it is already due sooner.
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

    /// Blocks until the alarm fires or `max_wait` has passed.
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
