use super::*;
use puffinladder_leases::{HolderId, Task};

#[test]
fn change_counters_keep_their_names() {
    let expected_names = [
        (ChangeKind::Granted, Cause::Vacant, "changes-given-vacant"),
        (ChangeKind::Ended, Cause::Expired, "changes-ended-expired"),
        (ChangeKind::Ended, Cause::Released, "changes-ended-handedover"),
        (ChangeKind::Ended, Cause::ReleaseTimeout, "changes-ended-nothandedover"),
        (ChangeKind::Revoked, Cause::Draining, "changes-takenback-draining"),
        (ChangeKind::Revoked, Cause::Stalled, "changes-takenback-stalled"),
        (ChangeKind::Revoked, Cause::Rebalanced, "changes-takenback-levelled"),
        (ChangeKind::Revoked, Cause::Moved, "changes-takenback-moved"),
        (ChangeKind::Revoked, Cause::Paused, "changes-takenback-paused"),
        (ChangeKind::Revoked, Cause::Undeclared, "changes-takenback-dropped"),
    ];
    for (kind, cause, name) in expected_names {
        let change = Change {
            at: 1.0,
            task: Task::new("gather", 0),
            holder: HolderId::new("s1", 1),
            epoch: 1,
            kind,
            cause,
        };
        assert_eq!(change_counter(&change), name);
    }
}

#[test]
fn counter_exists_after_first_add() {
    let mut counters = Counters::default();
    counters.increment(LEASE_REQUESTS);
    counters.add(PEER_BYTES, 0);
    counters.increment(LEASE_REQUESTS);
    let expected = [("lines", 2), ("bytes-to-peers", 0), ("syncs", 7)];
    assert_eq!(counters.snapshot(7), expected.map(|(name, count)| (name.to_string(), count)).into());
}
