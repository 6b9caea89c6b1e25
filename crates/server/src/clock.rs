//! The Unix clock, made steady.

use crate::lock::lock;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds of the system's clock as it stands, for stamps that other machines made and for records.
pub fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// How long ago a stamp was made; one of the future counts as now.
pub fn age(stamp: f64) -> f64 {
    (unix() - stamp).max(0.0)
}

/// The same clock without its steps back: where it is set back, this one goes on from where it stood.
#[derive(Default)]
pub struct Clock {
    /// The last reading, and what steps back have cost so far.
    last: Mutex<(f64, f64)>,
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.at(unix())
    }

    fn at(&self, unix: f64) -> f64 {
        let mut last = lock(&self.last);
        last.1 += (last.0 - (unix + last.1)).max(0.0);
        last.0 = unix + last.1;
        last.0
    }
}

#[cfg(test)]
mod tests;
