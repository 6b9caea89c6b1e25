//! Monotonic Unix time.

use super::lock::lock;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the system's Unix time in seconds, for comparison with timestamps of other machines and for trace records.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Returns the seconds elapsed since a Unix timestamp, 0 if it is in the future.
pub fn seconds_since(timestamp: f64) -> f64 {
    (unix_now() - timestamp).max(0.0)
}

/// Unix clock that never goes backwards: when the system clock is set back, it continues from its last reading.
#[derive(Default)]
pub struct Clock {
    state: Mutex<ClockState>,
}

#[derive(Default)]
struct ClockState {
    last_reading: f64,
    /// Sum of all backward steps of the system clock, s.
    correction: f64,
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.monotonic(unix_now())
    }

    /// Converts a reading of the system clock to monotonic time.
    fn monotonic(&self, unix: f64) -> f64 {
        let mut state = lock(&self.state);
        state.correction += (state.last_reading - (unix + state.correction)).max(0.0);
        state.last_reading = unix + state.correction;
        state.last_reading
    }
}

#[cfg(test)]
mod tests;
