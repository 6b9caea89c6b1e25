//! Cuts a failing schedule down to the least that still fails: first whole stretches of its faults, then single ones, then their spans.

use crate::schedule::{Fault, Schedule};

/// Tries `fails` until nothing more can go; at most so many tries. A run on processes may fail by chance alone: `fails` may try more than once.
pub fn shrink(schedule: &Schedule, tries: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut left = tries;
    let mut ask = |schedule: &Schedule| {
        left = left.saturating_sub(1);
        (left > 0 && fails(schedule), left > 0)
    };
    let mut best = schedule.clone();
    let mut stretch = best.faults.len().div_ceil(2);
    while stretch > 0 {
        let mut at = 0;
        while at < best.faults.len() {
            let mut rest: Vec<Fault> = best.faults.clone();
            rest.drain(at..(at + stretch).min(rest.len()));
            let (failed, go_on) = ask(&best.with(rest.clone()));
            if !go_on {
                return best;
            }
            if failed {
                best = best.with(rest);
            } else {
                at += stretch;
            }
        }
        stretch = if stretch == 1 { 0 } else { stretch.div_ceil(2) };
    }
    // What is left is needed; shorter may do.
    for at in 0..best.faults.len() {
        while best.faults[at].duration > 0.2 {
            let mut shorter = best.clone();
            shorter.faults[at].duration = (best.faults[at].duration / 2.0 * 100.0).round() / 100.0;
            let (failed, go_on) = ask(&shorter);
            if !go_on {
                return best;
            }
            if !failed {
                break;
            }
            best = shorter;
        }
    }
    best
}

#[cfg(test)]
mod tests;
