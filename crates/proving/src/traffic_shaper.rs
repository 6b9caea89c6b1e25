//! Traffic shaping of one direction of a link: computes when received bytes may be forwarded. It reads no clock and does not sleep.

use puffinladder_leases::SeededRandom;

/// Impairment of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    pub blocked: bool,
    /// Upper bound of the random delay of each chunk, s.
    pub max_delay: f64,
    /// Bandwidth, bytes/s; 0 means unlimited.
    pub bytes_per_second: f64,
}

#[derive(Clone, Debug)]
pub struct TrafficShaper {
    pub impairment: Impairment,
    /// Release time of the previous chunk, s; chunks are never reordered.
    last_release: f64,
    random: SeededRandom,
}

/// Release time of a chunk, s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Release {
    At(f64),
    /// Blocked until the impairment changes.
    Blocked,
}

impl TrafficShaper {
    pub fn new(seed: u64) -> TrafficShaper {
        TrafficShaper {
            impairment: Impairment::default(),
            last_release: 0.0,
            random: SeededRandom::new(seed),
        }
    }

    /// Schedules a chunk of `bytes` bytes received at `now`, s.
    pub fn schedule(&mut self, now: f64, bytes: usize) -> Release {
        let Impairment { blocked, max_delay, bytes_per_second } = self.impairment;
        if blocked {
            return Release::Blocked;
        }
        let delay = if max_delay > 0.0 { max_delay * self.random.next_f64() } else { 0.0 };
        let transmission = if bytes_per_second > 0.0 { bytes as f64 / bytes_per_second } else { 0.0 };
        self.last_release = (now + delay).max(self.last_release) + transmission;
        Release::At(self.last_release)
    }

    /// Returns the largest chunk to read at once, bytes; small when the bandwidth is limited, so that lines are split.
    pub fn max_chunk_bytes(&self) -> usize {
        if self.impairment.bytes_per_second > 0.0 {
            ((self.impairment.bytes_per_second * 0.02) as usize).clamp(1, 16_384)
        } else {
            16_384
        }
    }
}

#[cfg(test)]
mod tests;
