use super::*;

#[test]
fn a_step_back_of_an_hour_stops_nothing() {
    let clock = Clock::default();
    assert_eq!(clock.at(10_000.0), 10_000.0);
    assert_eq!(clock.at(6_400.0), 10_000.0);
    assert_eq!(clock.at(6_400.5), 10_000.5);
    assert_eq!(clock.at(6_500.5), 10_100.5);
}
