use super::*;
use crate::change::MAX_CHANGE_KEYS;
use crate::key::{Field, Section, MAX_NAME_BYTES};

fn one(key: Key, value: f64) -> Change {
    Change::default().set(key, value)
}

#[test]
fn a_change_is_made_whole_or_not_at_all() {
    let base = Content::default().after(&one(Key::tenant("a"), 1.0)).unwrap();
    let change = one(Key::tenant("a"), 2.0).set(Key::tenant("b"), f64::NAN);
    let error = base.after(&change).unwrap_err();
    assert_eq!(error.key, Some(Key::tenant("b")));
    assert_eq!(base.get(&Key::tenant("a")), Some(1.0));
}

#[test]
fn what_no_server_could_read_is_rejected_with_its_key() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let cases = [
        (one(Key::tenant(""), 1.0), "a name should have"),
        (one(Key::tenant(&long), 1.0), "a name should have"),
        (one(Key::tenant("a\nb"), 1.0), "a name should have"),
        (one(Key::new(Section::Tenant, "a", Field::LatencyObjective), 1.0), "a tenant has no promise"),
        (one(Key::new(Section::Limit, "mine", Field::Servers), 1.0), "limits stand under"),
        (one(Key::tenant("a"), -1.0), "should be from 0 to"),
        (one(Key::tenant("a"), -0.0), "should be from 0 to"),
        (one(Key::tenant("a"), f64::INFINITY), "should be from 0 to"),
        (one(Key::route("a", Field::LatencyObjective), 0.0), "should be from 0.001 to"),
    ];
    for (change, what) in cases {
        let error = change.check().unwrap_err();
        assert!(error.reason.starts_with(what) && error.key.is_some(), "{error}");
        assert!(Content::default().after(&change).is_err(), "{error}");
    }
}

#[test]
fn changes_and_contents_are_bounded() {
    let many = |count: usize| {
        let keys = (0..count).map(|at| (Key::tenant(&format!("t{at}")), Some(Value(1.0))));
        keys.collect::<Change>()
    };
    assert!(many(MAX_CHANGE_KEYS).check().is_ok());
    assert!(many(MAX_CHANGE_KEYS + 1).check().is_err());
    assert!(Content::default().after(&many(MAX_KEYS)).is_ok());
    assert!(Content::default().after(&many(MAX_KEYS + 1)).is_err());
}

#[test]
fn a_diff_makes_the_one_of_the_other_both_ways() {
    let a = Content::default().after(&one(Key::tenant("a"), 1.0).set(Key::tenant("b"), 2.0)).unwrap();
    let b = a.after(&one(Key::tenant("b"), 3.0).set(Key::tenant("c"), 4.0).remove(Key::tenant("a"))).unwrap();
    assert_eq!(a.after(&a.diff(&b)).unwrap(), b);
    assert_eq!(b.after(&b.diff(&a)).unwrap(), a);
    assert!(a.diff(&a).is_empty());
}

#[test]
fn changes_one_after_another_are_one() {
    let (first, second) = (one(Key::tenant("a"), 1.0), Change::default().remove(Key::tenant("a")));
    let (third, mut all) = (one(Key::tenant("b"), 2.0), first.clone());
    all.then(&second);
    all.then(&third);
    let base = Content::default();
    let step = base.after(&first).unwrap().after(&second).unwrap().after(&third).unwrap();
    assert_eq!(base.after(&all).unwrap(), step);
}
