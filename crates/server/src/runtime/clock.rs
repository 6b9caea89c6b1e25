//! Monotonic time of the process on the scale of Unix time, and the age of timestamps of other machines.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Largest difference between the clocks of two machines that are kept in step, in seconds.
const MAX_CLOCK_SKEW_S: f64 = 0.25;

/// Readings of the monotonic clock and the wall clock at the same moment.
struct Anchor {
    monotonic: Instant,
    unix: f64,
}

/// Readings at the first use of the clock.
static ANCHOR: LazyLock<Anchor> = LazyLock::new(|| Anchor { monotonic: Instant::now(), unix: wall_clock() });

/// Returns the system's Unix time in seconds, which can be stepped.
fn wall_clock() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Returns the Unix time of the start of the process in seconds, plus the real time since then. A step of the system's
/// clock does not change it.
pub fn now() -> f64 {
    ANCHOR.unix + ANCHOR.monotonic.elapsed().as_secs_f64()
}

/// Returns the seconds elapsed since a Unix timestamp, 0 if it is in the future. After a step of this machine's clock, other
/// machines may have made the step too or not.
pub fn seconds_since(timestamp: f64) -> f64 {
    least_age(timestamp, now(), wall_clock())
}

/// Returns the age of a timestamp by the clock under which it is the least, among those that it is not ahead of by more
/// than the clocks of two machines differ.
fn least_age(timestamp: f64, monotonic: f64, wall: f64) -> f64 {
    let ages = [monotonic - timestamp, wall - timestamp];
    let least = ages.into_iter().filter(|age| *age >= -MAX_CLOCK_SKEW_S).reduce(f64::min);
    least.unwrap_or(0.0).max(0.0)
}

#[cfg(test)]
mod tests;
