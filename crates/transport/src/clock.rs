//! The clock of a process, handed in where the process starts. Ordinarily it is the system's; fault tests hand in one that can be made fast, slow or
//! stepped while the process runs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The slowest rate that [`Clock::sleep_duration`] goes by, so that no sleep becomes endless.
const MIN_RATE: f64 = 1e-3;
/// The longest sleep, in seconds: a day.
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
    /// Seconds that the wall clock is ahead of the system's, as the bits of an f64.
    wall_offset: AtomicU64,
}

/// The time that a skewed clock showed at a moment, and its rate from then on.
#[derive(Clone, Copy, Debug)]
struct RateChange {
    changed_at: Instant,
    /// Seconds.
    time_at_change: f64,
    /// Seconds of this clock for each second of the system's.
    rate: f64,
}

impl Skew {
    fn monotonic(&self) -> RateChange {
        *self.monotonic.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock {
    /// The system's clock.
    pub fn system() -> Clock {
        Clock { started: Instant::now(), skew: None }
    }

    /// A clock for tests: its monotonic time runs at `rate`, its wall clock is `wall_offset` seconds ahead of the system's.
    pub fn skewed(rate: f64, wall_offset: f64) -> Clock {
        let started = Instant::now();
        let skew = Skew {
            monotonic: Mutex::new(RateChange { changed_at: started, time_at_change: 0.0, rate }),
            wall_offset: AtomicU64::new(wall_offset.to_bits()),
        };
        Clock { started, skew: Some(Arc::new(skew)) }
    }

    /// Monotonic time, in seconds since the clock was made.
    pub fn now(&self) -> f64 {
        match &self.skew {
            None => self.started.elapsed().as_secs_f64(),
            Some(skew) => {
                let RateChange { changed_at, time_at_change, rate } = skew.monotonic();
                time_at_change + rate * changed_at.elapsed().as_secs_f64()
            }
        }
    }

    /// Seconds since 1970 by the wall clock, which may be wrong and may step.
    pub fn unix_time(&self) -> f64 {
        let offset =
            self.skew.as_ref().map_or(0.0, |skew| f64::from_bits(skew.wall_offset.load(Ordering::Relaxed)));
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64()) + offset
    }

    /// Runs at another rate from now on; monotonic time does not step. The system's clock is left as it is.
    pub fn set_rate(&self, rate: f64) {
        let time_at_change = self.now();
        if let Some(skew) = &self.skew {
            *skew.monotonic.lock().unwrap_or_else(PoisonError::into_inner) =
                RateChange { changed_at: Instant::now(), time_at_change, rate };
        }
    }

    /// Steps the wall clock to `wall_offset` seconds ahead of the system's, whose own clock is left as it is.
    pub fn set_wall_offset(&self, wall_offset: f64) {
        if let Some(skew) = &self.skew {
            skew.wall_offset.store(wall_offset.to_bits(), Ordering::Relaxed);
        }
    }

    /// How long to sleep by the system's clock for `seconds` of this one, at its present rate.
    pub fn sleep_duration(&self, seconds: f64) -> Duration {
        let rate = self.skew.as_ref().map_or(1.0, |skew| skew.monotonic().rate);
        let seconds = (seconds / rate.max(MIN_RATE)).clamp(0.0, MAX_SLEEP);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
