use super::*;

#[test]
fn reason_codes_round_trip() {
    for (position, (reason, text)) in Reason::ALL.into_iter().enumerate() {
        assert_eq!((usize::from(reason.code()), reason.text()), (position, text));
        assert_eq!(Reason::from_code(reason.code()), Some(reason));
    }
}
