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
        while best.faults[at].span > 0.2 {
            let mut shorter = best.clone();
            shorter.faults[at].span = (best.faults[at].span / 2.0 * 100.0).round() / 100.0;
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
mod tests {
    use super::*;
    use crate::schedule::{What, Who};

    fn twelve() -> Schedule {
        let fault = |at: usize| Fault::new(at as f64, What::Pause, Who::Steward(1 + at % 3), 4.0);
        Schedule { faults: (0..12).map(fault).collect(), ..Schedule::default() }
    }

    #[test]
    fn two_faults_that_are_needed_together_are_what_is_left() {
        let needs =
            |at: f64, schedule: &Schedule| schedule.faults.iter().any(|f| f.at == at && f.span >= 1.0);
        let least = shrink(&twelve(), 1000, |schedule| needs(2.0, schedule) && needs(9.0, schedule));
        let left: Vec<(f64, f64)> = least.faults.iter().map(|fault| (fault.at, fault.span)).collect();
        assert_eq!(left, [(2.0, 1.0), (9.0, 1.0)]);
    }

    #[test]
    fn it_ends_after_its_tries_with_what_is_known_to_fail() {
        let mut asked = 0;
        let least = shrink(&twelve(), 5, |schedule| {
            asked += 1;
            schedule.faults.len() >= 3
        });
        assert!(
            asked < 5 && least.faults.len() >= 3 && least.faults.len() < 12,
            "{asked} {}",
            least.faults.len()
        );
        assert_eq!(shrink(&twelve(), 1000, |_| false), twelve());
    }
}
