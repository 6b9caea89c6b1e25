use super::*;

#[test]
fn a_plan_serves_no_less_than_equal_shares_do_and_more_where_a_tenth_is_slow() {
    assert!(play(40, Day::SlowTenth, true, 1) > play(40, Day::SlowTenth, false, 1) + 0.02);
    for day in [Day::SlowTenth, Day::Flash] {
        for tries in [1, 2] {
            let (without, with) = (play(40, day, false, tries), play(40, day, true, tries));
            assert!(with > without - 0.01, "{tries} tries: {without} without, {with} with");
        }
    }
}
