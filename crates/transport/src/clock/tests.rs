use super::*;

#[test]
fn skewed_clock_is_monotonic_and_system_clock_is_unaffected() {
    let clock = Clock::skewed(1000.0, 86_400.0);
    let first = clock.now();
    while clock.now() < first + 10.0 {
        std::hint::spin_loop();
    }
    let before = clock.now();
    clock.set_rate(0.001);
    assert!(clock.now() >= before && clock.sleep_duration(0.001) >= Duration::from_millis(900));
    assert!(clock.unix_time() - Clock::system().unix_time() > 86_000.0);
    clock.set_wall_offset(-5.0);
    assert!(clock.unix_time() < Clock::system().unix_time());
    let system = Clock::system();
    system.set_rate(7.0);
    system.set_wall_offset(7.0);
    assert!(
        system.sleep_duration(1.0) == Duration::from_secs(1)
            && system.unix_time() - Clock::system().unix_time() < 1.0
    );
}
