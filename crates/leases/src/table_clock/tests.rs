//! Tests of the module `table_clock`.

use super::*;

#[test]
fn new_leader_continues_from_highest_timestamp() {
    let mut first = TableClock::start(0.0, 100.0);
    assert_eq!(first.stamp(103.0), 3.0);
    // Two seconds later another replica becomes the leader, with a clock of its own.
    let mut second = TableClock::start(3.0, 7.0);
    assert_eq!(second.stamp(7.0), 3.0);
    assert_eq!(second.stamp(8.5), 4.5);
    assert_eq!(second.stamp(8.0), 4.5, "timestamps do not follow a clock that steps back");
    // The deposed leader stamps higher times, but no quorum accepts its entries.
    assert_eq!(first.stamp(106.5), 6.5);
}

#[test]
fn pause_delays_time_until_requests_are_read() {
    let mut clock = TableClock::start(0.0, 0.0);
    assert!(clock.may_advance(0.1, false));
    assert!(!clock.may_advance(9.0, true), "requests are unread");
    assert!(!clock.may_advance(9.0, false), "they have been read, but not applied");
    assert!(clock.may_advance(9.1, false));
}
