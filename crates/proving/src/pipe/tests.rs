use super::*;

#[test]
fn delays_are_drawn_within_their_bound_and_nothing_overtakes() {
    let mut pipe = Pipe::new(3);
    assert_eq!(pipe.pass(1.0, 100), Pass::At(1.0));
    pipe.trouble.delay = 0.5;
    let mut last = 0.0;
    for at in 0..100 {
        let now = 2.0 + f64::from(at) / 100.0;
        let Pass::At(when) = pipe.pass(now, 1) else { panic!() };
        assert!(when >= last && when >= now && when <= now.max(last) + 0.5, "{now} {when}");
        last = when;
    }
    assert!(last > 3.0);
}

#[test]
fn a_trickle_lets_so_many_bytes_a_second_pass_in_small_pieces_and_shut_is_shut() {
    let mut pipe = Pipe::new(3);
    pipe.trouble.rate = 1000.0;
    assert_eq!(pipe.piece(), 20);
    let passed: Vec<Pass> = (0..3).map(|_| pipe.pass(5.0, 20)).collect();
    assert!(matches!(passed[2], Pass::At(at) if (at - 5.06).abs() < 1e-9), "{passed:?}");
    pipe.trouble.shut = true;
    assert_eq!(pipe.pass(9.0, 1), Pass::Shut);
    pipe.trouble = Trouble::default();
    assert_eq!((pipe.pass(9.0, 1), pipe.piece()), (Pass::At(9.0), 16_384));
}
