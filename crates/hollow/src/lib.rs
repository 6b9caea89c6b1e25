//! Hollow processes: hundreds of servers, or thousands of callers, in one process, with the state machines by which the real ones
//! speak with control services and stewards, on real sockets, and no requests served (`docs/hollow.md`).
//!
//! [`draw`] makes up what hollow servers say, without I/O and by a seed; [`servers`] and [`seats`] publish it, [`callers`] take
//! routing; [`counts`] is what all of them count, and [`figures`] what the process itself uses.
#![forbid(unsafe_code)]

pub mod callers;
pub mod counts;
pub mod draw;
pub mod figures;
pub mod seats;
pub mod servers;

use puffinladder_leases::SeededRandom;
use std::time::Duration;

/// When each of `count` starts, over `within`: evenly, each somewhere in its own piece of the span. A start of all at once would
/// measure the start.
pub fn starts(count: usize, within: Duration, seed: u64) -> Vec<Duration> {
    let mut chance = SeededRandom::new(seed);
    (0..count).map(|at| within.mul_f64((at as f64 + chance.next_unit()) / count as f64)).collect()
}
