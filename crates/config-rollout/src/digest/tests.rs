use super::*;
use crate::change::Change;
use crate::key::{Field, Key};

fn content() -> Content {
    Content::default().with_change(&Change::default().set(Key::tenant("acme"), 5.0)).unwrap()
}

#[test]
fn digest_depends_on_the_number_and_the_secret_key() {
    let (plain, keyed, other_key) = (Digester::default(), Digester::keyed([1; 32]), Digester::keyed([2; 32]));
    assert_eq!(plain.digest(4, &content()), plain.digest(4, &content()));
    assert_ne!(
        plain.digest(4, &content()),
        plain.digest(5, &content()),
        "old content replayed as a new version"
    );
    assert_ne!(
        keyed.digest(4, &content()),
        other_key.digest(4, &content()),
        "version forged with another key"
    );
    assert_ne!(keyed.digest(4, &content()), plain.digest(4, &content()));
}

#[test]
fn digest_covers_every_part_of_a_content() {
    let digester = Digester::default();
    let base = content();
    let others = [
        Change::default().set(Key::tenant("acme"), 5.000001),
        Change::default().set(Key::tenant("acmf"), 5.0),
        Change::default().remove(Key::tenant("acme")),
        Change::default().set(Key::route("acme", Field::LatencyObjective), 5.0),
    ];
    for change in others {
        let other = base.with_change(&change).unwrap();
        assert_ne!(digester.digest(1, &base), digester.digest(1, &other), "{change:?}");
    }
}

#[test]
fn debug_output_hides_the_secret_key() {
    assert_eq!(format!("{:?}", Digester::keyed([9; 32])), "Digester(keyed)");
}
