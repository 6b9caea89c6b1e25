use super::*;

#[test]
fn delays_are_bounded_and_keep_order() {
    let mut shaper = TrafficShaper::new(3);
    assert_eq!(shaper.schedule(1.0, 100), Release::At(1.0));
    shaper.impairment.max_delay = 0.5;
    let mut last = 0.0;
    for at in 0..100 {
        let now = 2.0 + f64::from(at) / 100.0;
        let Release::At(when) = shaper.schedule(now, 1) else { panic!() };
        assert!(when >= last && when >= now && when <= now.max(last) + 0.5, "{now} {when}");
        last = when;
    }
    assert!(last > 3.0);
}

#[test]
fn limits_bandwidth_in_small_chunks_and_blocks() {
    let mut shaper = TrafficShaper::new(3);
    shaper.impairment.bytes_per_second = 1000.0;
    assert_eq!(shaper.max_chunk_bytes(), 20);
    let passed: Vec<Release> = (0..3).map(|_| shaper.schedule(5.0, 20)).collect();
    assert!(matches!(passed[2], Release::At(at) if (at - 5.06).abs() < 1e-9), "{passed:?}");
    shaper.impairment.blocked = true;
    assert_eq!(shaper.schedule(9.0, 1), Release::Blocked);
    shaper.impairment = Impairment::default();
    assert_eq!((shaper.schedule(9.0, 1), shaper.max_chunk_bytes()), (Release::At(9.0), 16_384));
}
