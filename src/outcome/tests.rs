use super::*;

#[test]
fn every_reason_has_its_own_code_and_text() {
    for (at, (reason, text)) in Reason::ALL.into_iter().enumerate() {
        assert_eq!((usize::from(reason.code()), reason.text()), (at, text));
        assert_eq!(Reason::from_code(reason.code()), Some(reason));
    }
}
