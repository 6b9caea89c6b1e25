//! One direction of a link: when bytes that came may go on. Decided without a clock; a relay sleeps as it is told.

use puffinladder_leases::SeededRandom;

/// What a direction does to bytes, until it is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trouble {
    /// Nothing passes.
    pub shut: bool,
    /// s of delay, drawn anew for each piece up to this.
    pub delay: f64,
    /// Bytes a second, 0 is without a bound.
    pub rate: f64,
}

#[derive(Clone, Debug)]
pub struct Pipe {
    pub trouble: Trouble,
    /// When the piece before goes on: none overtakes another.
    last: f64,
    chance: SeededRandom,
}

/// When a piece may go on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pass {
    At(f64),
    /// Not before the link changes.
    Shut,
}

impl Pipe {
    pub fn new(seed: u64) -> Pipe {
        Pipe { trouble: Trouble::default(), last: 0.0, chance: SeededRandom::new(seed) }
    }

    /// A piece of so many bytes that came now.
    pub fn pass(&mut self, now: f64, bytes: usize) -> Pass {
        let Trouble { shut, delay, rate } = self.trouble;
        if shut {
            return Pass::Shut;
        }
        let late = if delay > 0.0 { delay * self.chance.next_f64() } else { 0.0 };
        let slow = if rate > 0.0 { bytes as f64 / rate } else { 0.0 };
        self.last = (now + late).max(self.last) + slow;
        Pass::At(self.last)
    }

    /// How many bytes may go as one piece: few where they trickle, so that a line is cut in many.
    pub fn piece(&self) -> usize {
        if self.trouble.rate > 0.0 {
            ((self.trouble.rate * 0.02) as usize).clamp(1, 16_384)
        } else {
            16_384
        }
    }
}

#[cfg(test)]
mod tests;
