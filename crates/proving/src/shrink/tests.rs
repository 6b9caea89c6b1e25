use super::*;
use crate::schedule::{FaultKind, ProcessId};

fn twelve() -> Schedule {
    let fault = |at: usize| Fault::new(at as f64, FaultKind::Pause, ProcessId::Worker(1 + at % 3), 4.0);
    Schedule { faults: (0..12).map(fault).collect(), ..Schedule::default() }
}

#[test]
fn two_faults_that_are_needed_together_are_what_is_left() {
    let needs =
        |at: f64, schedule: &Schedule| schedule.faults.iter().any(|f| f.start == at && f.duration >= 1.0);
    let least = shrink(&twelve(), 1000, |schedule| needs(2.0, schedule) && needs(9.0, schedule));
    let left: Vec<(f64, f64)> = least.faults.iter().map(|fault| (fault.start, fault.duration)).collect();
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
