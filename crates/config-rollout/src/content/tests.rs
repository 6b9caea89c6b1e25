use super::*;
use crate::change::MAX_CHANGE_KEYS;
use crate::key::{Field, Section, MAX_NAME_BYTES};

fn change_of(key: Key, value: f64) -> Change {
    Change::default().set(key, value)
}

#[test]
fn invalid_change_leaves_the_content_unmodified() {
    let base = Content::default().with_change(&change_of(Key::tenant("a"), 1.0)).unwrap();
    let change = change_of(Key::tenant("a"), 2.0).set(Key::tenant("b"), f64::NAN);
    let error = base.with_change(&change).unwrap_err();
    assert_eq!(error.key, Some(Key::tenant("b")));
    assert_eq!(base.get(&Key::tenant("a")), Some(1.0));
}

#[test]
fn rejects_invalid_settings_with_their_key() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let cases = [
        (change_of(Key::tenant(""), 1.0), "name: got 0 bytes, expected 1 to 128"),
        (change_of(Key::tenant(&long), 1.0), "name: got 129 bytes, expected 1 to 128"),
        (change_of(Key::tenant("a\nb"), 1.0), "name: got control character '\\n', expected none"),
        (
            change_of(Key::new(Section::Tenant, "a", Field::LatencyObjective), 1.0),
            "field promise belongs to section route, got section tenant",
        ),
        (
            change_of(Key::new(Section::Limit, "mine", Field::Servers), 1.0),
            "name of a limit: got \"mine\", expected \"fleet\"",
        ),
        (change_of(Key::tenant("a"), -1.0), "got -1, expected a value from 0 to 1000000000"),
        (change_of(Key::tenant("a"), -0.0), "got -0, expected a value from 0 to 1000000000"),
        (change_of(Key::tenant("a"), f64::INFINITY), "got inf, expected a value from 0 to 1000000000"),
        (
            change_of(Key::route("a", Field::LatencyObjective), 0.0),
            "got 0, expected a value from 0.001 to 3600000",
        ),
    ];
    for (change, expected) in cases {
        let error = change.check().unwrap_err();
        assert!(error.reason.starts_with(expected) && error.key.is_some(), "{error}");
        assert!(Content::default().with_change(&change).is_err(), "{error}");
    }
}

#[test]
fn rejects_changes_and_contents_over_the_key_limit() {
    let quota_changes = |count: usize| {
        let keys = (0..count).map(|index| (Key::tenant(&format!("t{index}")), Some(Value(1.0))));
        keys.collect::<Change>()
    };
    assert!(quota_changes(MAX_CHANGE_KEYS).check().is_ok());
    assert!(quota_changes(MAX_CHANGE_KEYS + 1).check().is_err());
    assert!(Content::default().with_change(&quota_changes(MAX_KEYS)).is_ok());
    assert!(Content::default().with_change(&quota_changes(MAX_KEYS + 1)).is_err());
}

#[test]
fn diff_converts_between_two_contents_in_both_directions() {
    let a =
        Content::default().with_change(&change_of(Key::tenant("a"), 1.0).set(Key::tenant("b"), 2.0)).unwrap();
    let b = a
        .with_change(&change_of(Key::tenant("b"), 3.0).set(Key::tenant("c"), 4.0).remove(Key::tenant("a")))
        .unwrap();
    assert_eq!(a.with_change(&a.diff(&b)).unwrap(), b);
    assert_eq!(b.with_change(&b.diff(&a)).unwrap(), a);
    assert!(a.diff(&a).is_empty());
}

#[test]
fn appended_changes_equal_their_sequential_application() {
    let (first, second) = (change_of(Key::tenant("a"), 1.0), Change::default().remove(Key::tenant("a")));
    let (third, mut combined) = (change_of(Key::tenant("b"), 2.0), first.clone());
    combined.append(&second);
    combined.append(&third);
    let base = Content::default();
    let step = base.with_change(&first).unwrap().with_change(&second).unwrap().with_change(&third).unwrap();
    assert_eq!(base.with_change(&combined).unwrap(), step);
}
