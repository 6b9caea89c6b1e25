use super::*;

#[test]
fn a_skewed_clock_runs_at_its_rate_and_never_back_and_the_systems_stays_as_it_is() {
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
    let plain = Clock::system();
    plain.set_rate(7.0);
    plain.set_wall_offset(7.0);
    assert!(
        plain.sleep_duration(1.0) == Duration::from_secs(1)
            && plain.unix_time() - Clock::system().unix_time() < 1.0
    );
}
