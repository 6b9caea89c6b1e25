//! Reproducible random numbers for code without I/O: a seed determines the whole sequence.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of precision of an f64.
const MANTISSA_BITS: u32 = 53;

/// A seeded generator of random numbers. Not cryptographically secure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeededRandom {
    seed: u64,
    draw_count: u64,
}

impl SeededRandom {
    /// Creates a generator at the start of the sequence of this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom { seed, draw_count: 0 }
    }

    /// Returns the next number, uniform over all values.
    pub fn next_u64(&mut self) -> u64 {
        self.draw_count += 1;
        xxh3_64_with_seed(&self.draw_count.to_le_bytes(), self.seed)
    }

    /// Returns the next number, uniform in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Returns the next index, uniform below `count`; 0 if `count` is 0.
    pub fn next_index(&mut self, count: usize) -> usize {
        ((self.next_f64() * count as f64) as usize).min(count.saturating_sub(1))
    }
}
