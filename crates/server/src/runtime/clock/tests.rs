use super::*;

#[test]
fn never_goes_back() {
    let readings: Vec<f64> = (0..1000).map(|_| now()).collect();
    assert!(readings.is_sorted());
}

/// Guards against a step of the wall clock that made requests an hour old, or fresh for an hour.
#[test]
fn age_of_a_timestamp_survives_steps_of_either_clock() {
    let unix = 10_000.0;
    for step in [-3600.0, -5.0, 0.0, 5.0, 3600.0] {
        let wall = unix + step;
        assert_eq!(least_age(unix - 0.5, unix, wall), 0.5, "this machine stepped by {step} s");
        assert_eq!(least_age(wall - 0.5, unix, wall), 0.5, "all machines stepped by {step} s");
        assert_eq!(least_age(unix + 0.05, unix, wall), 0.0, "sent ahead, this machine stepped by {step} s");
        assert_eq!(least_age(wall + 0.05, unix, wall), 0.0, "sent ahead, all machines stepped by {step} s");
    }
    assert_eq!(least_age(unix + 1.0, unix, unix), 0.0);
}
