use super::*;

fn invoked(operator: u64, pause: Option<bool>) -> OperationStep {
    OperationStep::Invoked { operator, pause }
}
fn returned(operator: u64, paused: Option<bool>) -> OperationStep {
    OperationStep::Returned { operator, paused }
}

#[test]
fn read_after_answered_command_sees_its_value() {
    let command = [invoked(1, Some(true)), returned(1, None), invoked(2, None)];
    assert!(check_linearizable(&[&command[..], &[returned(2, Some(true))]].concat()).is_ok());
    let stale = check_linearizable(&[&command[..], &[returned(2, Some(false))]].concat());
    assert!(stale.unwrap_err().contains("not linearizable"));
}

#[test]
fn ignores_discarded_operations() {
    let steps = [
        invoked(1, Some(true)),
        OperationStep::Discarded { operator: 1 },
        invoked(1, None),
        returned(1, Some(false)),
    ];
    assert!(check_linearizable(&steps).is_ok());
    let seen = [
        invoked(1, Some(true)),
        OperationStep::Discarded { operator: 1 },
        invoked(1, None),
        returned(1, Some(true)),
    ];
    assert!(check_linearizable(&seen).is_err());
}

#[test]
fn unanswered_command_may_apply_later_or_never() {
    let lost = [invoked(1, Some(true)), invoked(2, None), returned(2, Some(false)), invoked(2, None)];
    for seen in [true, false] {
        assert!(check_linearizable(&[&lost[..], &[returned(2, Some(seen))]].concat()).is_ok());
    }
    // A value that was read once must persist.
    let seen = [returned(2, Some(true)), invoked(3, None), returned(3, Some(false))];
    assert!(check_linearizable(&[&lost[..], &seen].concat()).is_err());
}
