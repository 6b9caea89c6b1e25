use super::*;

fn asks(who: u64, pause: Option<bool>) -> Step {
    Step::Asks { who, pause }
}
fn answered(who: u64, paused: Option<bool>) -> Step {
    Step::Answered { who, paused }
}

#[test]
fn a_read_after_a_command_was_answered_sees_it() {
    let command = [asks(1, Some(true)), answered(1, None), asks(2, None)];
    assert!(check_linearizable(&[&command[..], &[answered(2, Some(true))]].concat()).is_ok());
    let stale = check_linearizable(&[&command[..], &[answered(2, Some(false))]].concat());
    assert!(stale.unwrap_err().contains("no one table"));
}

#[test]
fn what_was_refused_was_never_asked() {
    let steps = [asks(1, Some(true)), Step::Never { who: 1 }, asks(1, None), answered(1, Some(false))];
    assert!(check_linearizable(&steps).is_ok());
    let seen = [asks(1, Some(true)), Step::Never { who: 1 }, asks(1, None), answered(1, Some(true))];
    assert!(check_linearizable(&seen).is_err());
}

#[test]
fn what_was_never_answered_may_have_been_carried_out_at_any_later_time_or_never() {
    let lost = [asks(1, Some(true)), asks(2, None), answered(2, Some(false)), asks(2, None)];
    for seen in [true, false] {
        assert!(check_linearizable(&[&lost[..], &[answered(2, Some(seen))]].concat()).is_ok());
    }
    // Once it was seen it stays.
    let seen = [answered(2, Some(true)), asks(3, None), answered(3, Some(false))];
    assert!(check_linearizable(&[&lost[..], &seen].concat()).is_err());
}
