use super::*;
use crate::change::Change;
use crate::key::{Field, Key};

fn content() -> Content {
    Content::default().after(&Change::default().set(Key::tenant("acme"), 5.0)).unwrap()
}

#[test]
fn no_content_passes_under_another_number_or_by_another_key() {
    let (plain, ours, theirs) = (Seal::default(), Seal::keyed([1; 32]), Seal::keyed([2; 32]));
    assert_eq!(plain.digest(4, &content()), plain.digest(4, &content()));
    assert_ne!(plain.digest(4, &content()), plain.digest(5, &content()), "an old content as a new version");
    assert_ne!(ours.digest(4, &content()), theirs.digest(4, &content()), "a version that somebody made up");
    assert_ne!(ours.digest(4, &content()), plain.digest(4, &content()));
}

#[test]
fn every_part_of_a_content_counts() {
    let seal = Seal::default();
    let base = content();
    let others = [
        Change::default().set(Key::tenant("acme"), 5.000001),
        Change::default().set(Key::tenant("acmf"), 5.0),
        Change::default().remove(Key::tenant("acme")),
        Change::default().set(Key::route("acme", Field::LatencyObjective), 5.0),
    ];
    for change in others {
        let other = base.after(&change).unwrap();
        assert_ne!(seal.digest(1, &base), seal.digest(1, &other), "{change:?}");
    }
}

#[test]
fn a_key_is_not_for_logs() {
    assert_eq!(format!("{:?}", Seal::keyed([9; 32])), "Seal(keyed)");
}
