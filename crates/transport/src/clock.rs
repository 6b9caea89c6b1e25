//! The clock of a process, handed in where it starts. The ordinary one is the system's; the proving ground hands in one that can be made
//! fast, slow or stepped while the process runs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug)]
pub struct Clock {
    begun: Instant,
    skew: Option<Arc<Skew>>,
}

/// A clock's own time at a moment, and its rate from then on.
#[derive(Debug)]
struct Skew {
    from: Mutex<(Instant, f64, f64)>,
    /// s on the wall clock, as bits.
    wall: AtomicU64,
}

impl Clock {
    pub fn system() -> Clock {
        Clock { begun: Instant::now(), skew: None }
    }

    /// One for tests: its monotonic time runs at `rate`, its wall clock is `wall` s off.
    pub fn skewed(rate: f64, wall: f64) -> Clock {
        let begun = Instant::now();
        let skew = Skew { from: Mutex::new((begun, 0.0, rate)), wall: AtomicU64::new(wall.to_bits()) };
        Clock { begun, skew: Some(Arc::new(skew)) }
    }

    /// Monotonic, s since the process began.
    pub fn now(&self) -> f64 {
        match &self.skew {
            None => self.begun.elapsed().as_secs_f64(),
            Some(skew) => {
                let (at, base, rate) = *skew.from.lock().unwrap_or_else(PoisonError::into_inner);
                base + rate * at.elapsed().as_secs_f64()
            }
        }
    }

    /// s since 1970 by the wall clock, which may be wrong and step.
    pub fn unix(&self) -> f64 {
        let off = self.skew.as_ref().map_or(0.0, |skew| f64::from_bits(skew.wall.load(Ordering::Relaxed)));
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64()) + off
    }

    /// Goes on at another rate; the monotonic time never steps. The system's clock stays as it is.
    pub fn pace(&self, rate: f64) {
        let now = self.now();
        if let Some(skew) = &self.skew {
            *skew.from.lock().unwrap_or_else(PoisonError::into_inner) = (Instant::now(), now, rate);
        }
    }

    /// Steps the wall clock.
    pub fn step(&self, wall: f64) {
        if let Some(skew) = &self.skew {
            skew.wall.store(wall.to_bits(), Ordering::Relaxed);
        }
    }

    /// How long a span of this clock is to sleep, at its present rate.
    pub fn sleep(&self, span: f64) -> Duration {
        let skew = self.skew.as_ref();
        let rate = skew.map_or(1.0, |skew| skew.from.lock().unwrap_or_else(PoisonError::into_inner).2);
        Duration::try_from_secs_f64((span / rate.max(1e-3)).clamp(0.0, 86_400.0)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_skewed_clock_runs_at_its_rate_and_never_back_and_the_systems_stays_as_it_is() {
        let clock = Clock::skewed(1000.0, 86_400.0);
        let first = clock.now();
        while clock.now() < first + 10.0 {
            std::hint::spin_loop();
        }
        let before = clock.now();
        clock.pace(0.001);
        assert!(clock.now() >= before && clock.sleep(0.001) >= Duration::from_millis(900));
        assert!(clock.unix() - Clock::system().unix() > 86_000.0);
        clock.step(-5.0);
        assert!(clock.unix() < Clock::system().unix());
        let plain = Clock::system();
        plain.pace(7.0);
        plain.step(7.0);
        assert!(plain.sleep(1.0) == Duration::from_secs(1) && plain.unix() - Clock::system().unix() < 1.0);
    }
}
