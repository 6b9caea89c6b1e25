//! Emulates hundreds of servers, or thousands of callers, in one process, to load the control side at the size of a whole fleet. The
//! state machines by which they speak with control services and workers are the real ones, the sockets are real, and no requests
//! are served (`docs/emulator.md`).
//!
//! [`servers`] report and take quota shares and drain slots, [`callers`] take routing. What servers are called and what they report
//! is drawn from a seed by [`names`] and [`traffic`], without I/O. [`connection_stats`] is what all of them count, and
//! [`process_usage`] what the process itself uses.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod callers;
pub mod connection_stats;
pub mod decision_latency;
pub mod names;
pub mod process_usage;
pub mod publisher;
mod quota_client;
pub mod servers;
pub mod traffic;

use puffinladder_leases::SeededRandom;
use std::time::Duration;

/// When each of `count` starts, within `period`: each at a random moment of its own equal part. If all started at once, the start
/// would be what is measured.
pub fn staggered_starts(count: usize, period: Duration, seed: u64) -> Vec<Duration> {
    let mut random = SeededRandom::new(seed);
    (0..count).map(|index| period.mul_f64((index as f64 + random.next_f64()) / count as f64)).collect()
}

/// Seed of one of many, by its number.
fn instance_seed(seed: u64, number: usize) -> u64 {
    /// Seeds that are given are small: above these bits the numbers do not overlap with them.
    const NUMBER_SHIFT: u32 = 20;
    seed ^ ((number as u64 + 1) << NUMBER_SHIFT)
}
