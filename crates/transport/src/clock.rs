//! The clock of a process: the system's clock, or in fault tests one whose rate and wall-clock offset can be changed at run time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lowest rate that [`Clock::sleep_duration`] divides by.
const MIN_RATE: f64 = 1e-3;
/// Longest sleep, in seconds.
const MAX_SLEEP: f64 = 86_400.0;

/// Monotonic time and wall-clock time of one process. Clones share their state.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    skew: Option<Arc<Skew>>,
}

#[derive(Debug)]
struct Skew {
    monotonic: Mutex<RateChange>,
    /// Offset of the wall clock from the system's, in seconds, as the bits of an f64.
    wall_offset: AtomicU64,
}

/// A change of a skewed clock's rate.
#[derive(Clone, Copy, Debug)]
struct RateChange {
    changed_at: Instant,
    /// Monotonic time of the skewed clock at the change, in seconds.
    time_at_change: f64,
    /// Seconds of the skewed clock per second of the system's clock.
    rate: f64,
}

impl Skew {
    fn monotonic(&self) -> RateChange {
        *self.monotonic.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock {
    /// Creates a clock that follows the system's clock.
    pub fn system() -> Clock {
        Clock { started: Instant::now(), skew: None }
    }

    /// Creates a clock for tests: its monotonic time runs at `rate`, its wall clock is `wall_offset` seconds ahead of the system's.
    pub fn skewed(rate: f64, wall_offset: f64) -> Clock {
        let started = Instant::now();
        let skew = Skew {
            monotonic: Mutex::new(RateChange { changed_at: started, time_at_change: 0.0, rate }),
            wall_offset: AtomicU64::new(wall_offset.to_bits()),
        };
        Clock { started, skew: Some(Arc::new(skew)) }
    }

    /// Returns the monotonic time in seconds since the clock was created.
    pub fn now(&self) -> f64 {
        match &self.skew {
            None => self.started.elapsed().as_secs_f64(),
            Some(skew) => {
                let RateChange { changed_at, time_at_change, rate } = skew.monotonic();
                time_at_change + rate * changed_at.elapsed().as_secs_f64()
            }
        }
    }

    /// Returns the wall-clock time in seconds since 1970. It can step.
    pub fn unix_time(&self) -> f64 {
        let offset =
            self.skew.as_ref().map_or(0.0, |skew| f64::from_bits(skew.wall_offset.load(Ordering::Relaxed)));
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64()) + offset
    }

    /// Changes the rate without a step of the monotonic time. Has no effect on a system clock.
    pub fn set_rate(&self, rate: f64) {
        let time_at_change = self.now();
        if let Some(skew) = &self.skew {
            *skew.monotonic.lock().unwrap_or_else(PoisonError::into_inner) =
                RateChange { changed_at: Instant::now(), time_at_change, rate };
        }
    }

    /// Steps the wall clock to `wall_offset` seconds ahead of the system's. Has no effect on a system clock.
    pub fn set_wall_offset(&self, wall_offset: f64) {
        if let Some(skew) = &self.skew {
            skew.wall_offset.store(wall_offset.to_bits(), Ordering::Relaxed);
        }
    }

    /// Returns the duration by the system's clock of `seconds` by this clock, at its current rate.
    pub fn sleep_duration(&self, seconds: f64) -> Duration {
        let rate = self.skew.as_ref().map_or(1.0, |skew| skew.monotonic().rate);
        let seconds = (seconds / rate.max(MIN_RATE)).clamp(0.0, MAX_SLEEP);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
