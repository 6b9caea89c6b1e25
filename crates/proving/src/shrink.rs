//! Reduces a failing schedule: removes runs of faults, then single faults, then shortens durations.

use crate::schedule::{Fault, Schedule};

/// Returns the smallest schedule found for which `fails` is true, calling it at most `tries` times. Runs on real processes are not deterministic:
/// `fails` may run a schedule more than once.
pub fn shrink(schedule: &Schedule, tries: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut left = tries;
    let mut try_schedule = |schedule: &Schedule| {
        left = left.saturating_sub(1);
        (left > 0 && fails(schedule), left > 0)
    };
    let mut smallest = schedule.clone();
    let mut chunk = smallest.faults.len().div_ceil(2);
    while chunk > 0 {
        let mut index = 0;
        while index < smallest.faults.len() {
            let mut rest: Vec<Fault> = smallest.faults.clone();
            rest.drain(index..(index + chunk).min(rest.len()));
            let (failed, tries_left) = try_schedule(&smallest.with(rest.clone()));
            if !tries_left {
                return smallest;
            }
            if failed {
                smallest = smallest.with(rest);
            } else {
                index += chunk;
            }
        }
        chunk = if chunk == 1 { 0 } else { chunk.div_ceil(2) };
    }
    // All remaining faults are needed; halve their durations.
    for index in 0..smallest.faults.len() {
        while smallest.faults[index].duration > 0.2 {
            let mut shorter = smallest.clone();
            shorter.faults[index].duration = (smallest.faults[index].duration / 2.0 * 100.0).round() / 100.0;
            let (failed, tries_left) = try_schedule(&shorter);
            if !tries_left {
                return smallest;
            }
            if !failed {
                break;
            }
            smallest = shorter;
        }
    }
    smallest
}

#[cfg(test)]
mod tests;
