//! Tests of the module `table_clock`.

use super::*;

#[test]
fn a_new_leader_goes_on_from_the_highest_time_and_never_faster_than_its_clock() {
    let mut first = TableClock::start(0.0, 100.0);
    assert_eq!(first.stamp(103.0), 3.0);
    // Two true seconds later another replica leads, on a clock of its own.
    let mut second = TableClock::start(3.0, 7.0);
    assert_eq!(second.stamp(7.0), 3.0);
    assert_eq!(second.stamp(8.5), 4.5);
    assert_eq!(second.stamp(8.0), 4.5, "a clock that stepped back moves nothing back");
    // The first one never noticed: its stamps run ahead, but no majority takes them.
    assert_eq!(first.stamp(106.5), 6.5);
}

#[test]
fn after_a_pause_time_stands_until_what_waited_was_read() {
    let mut clock = TableClock::start(0.0, 0.0);
    assert!(clock.may_advance(0.1, false));
    assert!(!clock.may_advance(9.0, true), "renewals wait");
    assert!(!clock.may_advance(9.0, false), "they were read in this check");
    assert!(clock.may_advance(9.1, false));
}
