//! The Unix clock, made monotonic.

use super::lock::lock;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds of the system's clock as it stands, for timestamps made by other machines and for records.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Seconds since a Unix timestamp; one in the future counts as now.
pub fn seconds_since(timestamp: f64) -> f64 {
    (unix_now() - timestamp).max(0.0)
}

/// The Unix clock without its steps back: where the system's clock is set back, this one goes on from its last reading.
#[derive(Default)]
pub struct Clock {
    state: Mutex<ClockState>,
}

#[derive(Default)]
struct ClockState {
    last_reading: f64,
    /// Sum of all steps back so far, s.
    correction: f64,
}

impl Clock {
    /// The present time, s.
    pub fn now(&self) -> f64 {
        self.monotonic(unix_now())
    }

    fn monotonic(&self, unix: f64) -> f64 {
        let mut state = lock(&self.state);
        state.correction += (state.last_reading - (unix + state.correction)).max(0.0);
        state.last_reading = unix + state.correction;
        state.last_reading
    }
}

#[cfg(test)]
mod tests;
