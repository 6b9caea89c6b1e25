//! Tests of the module `fence`.

use super::*;

fn task() -> Task {
    Task::new("gather", 3)
}

#[test]
fn accepts_effects_once_and_in_order() {
    let mut fence = Fence::default();
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::New);
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::Duplicate);
    assert_eq!(fence.check_and_record(&task(), 5, 3), Verdict::Gap { expected: 2 });
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::New);
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::Duplicate);
    assert_eq!(fence.record(&task()), FenceRecord { epoch: 5, number: 2 });
}

#[test]
fn rejects_stale_epoch_after_restore() {
    let mut fence = Fence::default();
    fence.check_and_record(&task(), 5, 1);
    assert_eq!(fence.announce(&task(), 6), Verdict::New);
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::Stale { latest: 6 });
    let stored: Vec<_> = fence.records().map(|(task, record)| (task.clone(), *record)).collect();
    let mut fence = Fence::from_records(stored);
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::Stale { latest: 6 });
    assert_eq!(fence.check_and_record(&task(), 6, 1), Verdict::New);
    assert_eq!(
        fence.check_and_record(&Task::new("gather", 4), 5, 1),
        Verdict::New,
        "parts are fenced independently"
    );
}

#[test]
fn new_epoch_starts_at_number_one() {
    let mut fence = Fence::default();
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::Gap { expected: 1 });
    assert_eq!(fence.check_and_record(&task(), 0, 1), Verdict::Stale { latest: 0 });
    fence.check_and_record(&task(), 5, 1);
    assert_eq!(fence.check_and_record(&task(), 9, 2), Verdict::Gap { expected: 1 });
    assert_eq!(fence.record(&task()).epoch, 5, "a rejected effect changes no record");
    assert_eq!(fence.check_and_record(&task(), 9, 0), Verdict::Gap { expected: 1 });
}

#[test]
fn restores_higher_of_two_records() {
    let (low, high) = (FenceRecord { epoch: 2, number: 9 }, FenceRecord { epoch: 3, number: 0 });
    for stored in [[low, high], [high, low]] {
        let fence = Fence::from_records(stored.map(|record| (task(), record)));
        assert_eq!(fence.record(&task()), high);
    }
}
