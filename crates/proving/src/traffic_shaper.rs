//! One direction of a link: when bytes that came may go on. Decided without a clock; a relay sleeps as it is told.

use puffinladder_leases::SeededRandom;

/// What a direction does to bytes, until it is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Nothing passes.
    pub blocked: bool,
    /// s of max_delay, drawn anew for each piece up to this.
    pub max_delay: f64,
    /// Bytes a second, 0 is without a bound.
    pub bytes_per_second: f64,
}

#[derive(Clone, Debug)]
pub struct TrafficShaper {
    pub impairment: Impairment,
    /// When the piece before goes on: none overtakes another.
    last_release: f64,
    random: SeededRandom,
}

/// When a piece may go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Release {
    At(f64),
    /// Not before the link changes.
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

    /// A piece of so many bytes that came now.
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

    /// How many bytes may go as one piece: few where they trickle, so that a line is cut in many.
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
