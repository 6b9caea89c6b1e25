use super::*;

/// Guards against one connection that fills a table of names.
#[test]
fn connection_may_use_its_names_again_and_no_further_one() {
    let mut names = SenderNames::new(2);
    for name in ["a", "b", "a", "b"] {
        assert!(names.admit(name).is_ok(), "{name}");
    }
    assert!(matches!(names.admit("c"), Err(TransportError::TooManyNames(2))));
}
