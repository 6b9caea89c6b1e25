//! Chance for the pure cores: the same numbers for the same seed, by the hash that also ranks parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shuffle {
    seed: u64,
    drawn: u64,
}

impl Shuffle {
    pub fn new(seed: u64) -> Shuffle {
        Shuffle { seed, drawn: 0 }
    }
    pub fn draw(&mut self) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed)
    }
    /// From 0 on, 1 not included.
    pub fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// One of 0 to `count` - 1, 0 where there is none.
    pub fn below(&mut self, count: usize) -> usize {
        ((self.unit() * count as f64) as usize).min(count.saturating_sub(1))
    }
}
