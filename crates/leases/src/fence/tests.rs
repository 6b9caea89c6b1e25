//! Tests of the module `fence`.

use super::*;

fn task() -> Task {
    Task::new("gather", 3)
}

#[test]
fn effects_of_an_epoch_are_accepted_once_and_in_order() {
    let mut fence = Fence::default();
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::New);
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::Duplicate);
    assert_eq!(fence.check_and_record(&task(), 5, 3), Verdict::Gap { expected: 2 });
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::New);
    assert_eq!(fence.check_and_record(&task(), 5, 1), Verdict::Duplicate);
    assert_eq!(fence.record(&task()), FenceRecord { epoch: 5, number: 2 });
}

#[test]
fn a_stale_holder_is_rejected_for_good_also_by_a_fence_that_was_stored_and_restored() {
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
        "another part is another matter"
    );
}

#[test]
fn a_new_epoch_begins_at_one_and_no_epoch_is_none() {
    let mut fence = Fence::default();
    assert_eq!(fence.check_and_record(&task(), 5, 2), Verdict::Gap { expected: 1 });
    assert_eq!(fence.check_and_record(&task(), 0, 1), Verdict::Stale { latest: 0 });
    fence.check_and_record(&task(), 5, 1);
    assert_eq!(fence.check_and_record(&task(), 9, 2), Verdict::Gap { expected: 1 });
    assert_eq!(fence.record(&task()).epoch, 5, "a rejected effect moves nothing");
    assert_eq!(fence.check_and_record(&task(), 9, 0), Verdict::Gap { expected: 1 });
}

#[test]
fn of_two_stored_records_the_higher_counts() {
    let (low, high) = (FenceRecord { epoch: 2, number: 9 }, FenceRecord { epoch: 3, number: 0 });
    for stored in [[low, high], [high, low]] {
        let fence = Fence::from_records(stored.map(|record| (task(), record)));
        assert_eq!(fence.record(&task()), high);
    }
}
