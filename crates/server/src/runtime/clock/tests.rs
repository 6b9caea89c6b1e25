use super::*;

#[test]
fn continues_from_last_reading_when_system_clock_steps_back() {
    let clock = Clock::default();
    assert_eq!(clock.monotonic(10_000.0), 10_000.0);
    assert_eq!(clock.monotonic(6_400.0), 10_000.0);
    assert_eq!(clock.monotonic(6_400.5), 10_000.5);
    assert_eq!(clock.monotonic(6_500.5), 10_100.5);
}
