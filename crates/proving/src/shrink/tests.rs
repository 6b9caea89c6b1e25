use super::*;
use crate::schedule::{FaultKind, ProcessId};

fn twelve_faults() -> Schedule {
    let fault = |at: usize| Fault::new(at as f64, FaultKind::Pause, ProcessId::Worker(1 + at % 3), 4.0);
    Schedule { faults: (0..12).map(fault).collect(), ..Schedule::default() }
}

#[test]
fn keeps_two_faults_needed_together() {
    let contains_fault =
        |at: f64, schedule: &Schedule| schedule.faults.iter().any(|f| f.start == at && f.duration >= 1.0);
    let smallest = shrink(&twelve_faults(), 1000, |schedule| {
        contains_fault(2.0, schedule) && contains_fault(9.0, schedule)
    });
    let left: Vec<(f64, f64)> = smallest.faults.iter().map(|fault| (fault.start, fault.duration)).collect();
    assert_eq!(left, [(2.0, 1.0), (9.0, 1.0)]);
}

#[test]
fn stops_after_its_tries_with_a_failing_schedule() {
    let mut attempts = 0;
    let smallest = shrink(&twelve_faults(), 5, |schedule| {
        attempts += 1;
        schedule.faults.len() >= 3
    });
    assert!(
        attempts < 5 && smallest.faults.len() >= 3 && smallest.faults.len() < 12,
        "{attempts} {}",
        smallest.faults.len()
    );
    assert_eq!(shrink(&twelve_faults(), 1000, |_| false), twelve_faults());
}
