use super::*;
use crate::digest::Digest;
use crate::key::{Field, Key};
use crate::setting::ValidationError;
use crate::validation::BoundsValidator;
use std::collections::BTreeSet;

fn history() -> History {
    History::new(Digester::default(), RetentionLimits::default())
}

fn put(history: &History, epoch: Epoch, name: &str, quota: f64) -> PutRequest {
    let change = Change::default().set(Key::tenant(name), quota);
    PutRequest { base: history.head(), author: "ann".into(), epoch, origin: Origin::Put, change }
}

fn apply(history: &mut History, command: Command) -> Result<Outcome, Rejection> {
    history.apply(&LogEntry { at: 1.0, command })
}

fn accept(history: &mut History, name: &str, quota: f64) -> VersionId {
    let command = Command::Put(put(history, 1, name, quota));
    match apply(history, command) {
        Ok(Outcome::Accepted(head)) => head,
        other => panic!("{other:?}"),
    }
}

fn release(history: &mut History) {
    let (epoch, number) = (history.epoch(), history.head().number);
    let canaries = BTreeSet::from(["n1".to_string()]);
    apply(history, Command::StartCanary { epoch, number, canaries }).unwrap();
    apply(history, Command::Release { epoch, number }).unwrap();
}

#[test]
fn rejects_a_concurrent_put_with_the_missed_versions() {
    let mut history = history();
    let (ann, mut bob) = (put(&history, 1, "a", 1.0), put(&history, 1, "a", 2.0));
    bob.author = "bob".into();
    assert!(matches!(apply(&mut history, Command::Put(ann.clone())), Ok(Outcome::Accepted(_))));
    let Err(Rejection::MissedVersions { head, missed }) = apply(&mut history, Command::Put(bob.clone()))
    else {
        panic!("the put replaced a concurrent version")
    };
    assert_eq!((head, missed.len(), missed[0].author.as_str()), (history.head(), 1, "ann"));
    assert_eq!(history.content().get(&Key::tenant("a")), Some(1.0));
    // The same put again, for example after a lost answer.
    assert_eq!(apply(&mut history, Command::Put(ann)), Ok(Outcome::AlreadyApplied(history.head())));
    bob.base.digest = Digest([3; 32]);
    bob.base.number = 1;
    assert!(matches!(apply(&mut history, Command::Put(bob)), Err(Rejection::UnknownVersion(_))));
}

#[test]
fn rejects_commands_of_a_stale_epoch() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    apply(&mut history, Command::Announce { epoch: 5 }).unwrap();
    let before = history.clone();
    let canaries = BTreeSet::new();
    let commands = [
        Command::Put(put(&history, 4, "a", 9.0)),
        Command::Announce { epoch: 4 },
        Command::Announce { epoch: 0 },
        Command::StartCanary { epoch: 4, number: 1, canaries },
        Command::Release { epoch: 4, number: 1 },
        Command::Revert { epoch: 4, author: "a".into(), number: 1, cause: String::new() },
    ];
    for command in commands {
        assert_eq!(apply(&mut history, command), Err(Rejection::StaleEpoch { seen: 5 }));
    }
    assert_eq!((history.head(), history.epoch(), history.state()), (before.head(), 5, before.state()));
    // A command of a later epoch that is rejected for another reason does not raise the epoch.
    assert!(apply(&mut history, Command::Release { epoch: 9, number: 1 }).is_err());
    assert_eq!(history.epoch(), 5);
}

#[test]
fn check_put_runs_the_validator_and_apply_enforces_bounds() {
    let history = history();
    let reject = |_: &Content| Err(ValidationError::whole("rejected by the validator"));
    let valid = put(&history, 1, "a", 1.0);
    assert!(matches!(history.check_put(&valid, &reject), Err(Rejection::Invalid(_))));
    assert_eq!(history.check_put(&valid, &BoundsValidator).unwrap().number, 1);
    let mut other = history.clone();
    assert_eq!(
        apply(&mut other, Command::Put(valid.clone())),
        Ok(Outcome::Accepted(history.check_put(&valid, &BoundsValidator).unwrap()))
    );
    let mut history = history;
    for wrong in [f64::NAN, -1.0, 1e10] {
        let command = Command::Put(put(&history, 1, "a", wrong));
        assert!(matches!(apply(&mut history, command), Err(Rejection::Invalid(_))));
    }
    let mut nameless = valid.clone();
    nameless.author = String::new();
    assert!(matches!(apply(&mut history, Command::Put(nameless)), Err(Rejection::Invalid(_))));
    let empty = PutRequest { change: Change::default(), ..valid.clone() };
    assert_eq!(apply(&mut history, Command::Put(empty)), Err(Rejection::NoChange));
    let forged = PutRequest { origin: Origin::Reverted { to: 0, cause: String::new() }, ..valid };
    assert!(matches!(apply(&mut history, Command::Put(forged)), Err(Rejection::Invalid(_))));
    assert_eq!(history.head().number, 0);
}

#[test]
fn rollback_makes_a_new_version_with_an_older_content() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    let old = accept(&mut history, "b", 2.0);
    accept(&mut history, "a", 3.0);
    let put = history.rollback(old.number, "ann", 1).unwrap();
    let Ok(Outcome::Accepted(head)) = apply(&mut history, Command::Put(put.clone())) else { panic!() };
    assert_eq!(head.number, 4);
    assert_ne!(head.digest, old.digest, "the digest covers the number");
    assert_eq!(history.content_at(4), history.content_at(2));
    // A put that claims to be a rollback but has another content.
    let origin = Origin::Rollback { to: 1 };
    let wrong = PutRequest { base: history.head(), origin, ..put };
    assert!(matches!(apply(&mut history, Command::Put(wrong)), Err(Rejection::Invalid(_))));
    assert_eq!(history.rollback(9, "ann", 1), Err(Rejection::Compacted(9)));
}

#[test]
fn diff_converts_between_any_two_retained_versions() {
    let mut history = history();
    for index in 0..9u32 {
        accept(&mut history, ["a", "b", "c"][index as usize % 3], f64::from(index));
    }
    for from in 0..=9 {
        for to in 0..=9 {
            let (a, b) = (history.content_at(from).unwrap(), history.content_at(to).unwrap());
            assert_eq!(a.with_change(&history.diff(from, to).unwrap()).unwrap(), b);
            if from <= to {
                assert_eq!(a.with_change(&history.combined_change(from, to).unwrap()).unwrap(), b);
            }
        }
    }
    assert_eq!(history.diff(3, 10), Err(Rejection::Compacted(10)));
}

#[test]
fn compacts_released_versions_only() {
    let mut history = History::new(Digester::default(), RetentionLimits { versions: 3, bytes: 1 << 20 });
    for index in 0..3 {
        accept(&mut history, "a", f64::from(index));
    }
    let command = Command::Put(put(&history, 1, "a", 9.0));
    assert_eq!(
        apply(&mut history, command.clone()),
        Err(Rejection::Full),
        "unreleased versions are retained"
    );
    release(&mut history);
    assert!(matches!(apply(&mut history, command), Ok(Outcome::Accepted(_))));
    assert_eq!((history.checkpoint().number, history.versions().count()), (1, 3));
    assert_eq!(history.content_at(0), None);
    let Err(Rejection::MissedVersions { missed, .. }) = apply(
        &mut history,
        Command::Put(put(&History::new(Digester::default(), RetentionLimits::default()), 1, "a", 5.0)),
    ) else {
        panic!("a base before the checkpoint counts as outdated")
    };
    assert_eq!(missed.len(), 3);
    // The byte limit.
    let mut history = History::new(Digester::default(), RetentionLimits { versions: 100, bytes: 40 });
    for index in 0..4 {
        accept(&mut history, "a", f64::from(index));
        release(&mut history);
    }
    assert!(history.versions().count() <= 2);
    assert_eq!(history.content().get(&Key::tenant("a")), Some(3.0));
}

#[test]
fn canary_phase_covers_one_version_and_ends_once() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    release(&mut history);
    accept(&mut history, "a", 2.0);
    accept(&mut history, "b", 3.0);
    let canaries = |name: &str| BTreeSet::from([name.to_string()]);
    let start_canary = |number, name| Command::StartCanary { epoch: 1, number, canaries: canaries(name) };
    assert!(apply(&mut history, start_canary(1, "n1")).is_err(), "already released");
    assert!(apply(&mut history, start_canary(4, "n1")).is_err(), "does not exist");
    apply(&mut history, start_canary(2, "n1")).unwrap();
    assert!(matches!(apply(&mut history, start_canary(3, "n1")), Err(Rejection::NotOnCanaries { .. })));
    apply(&mut history, start_canary(2, "n2")).unwrap();
    let target = |history: &History| ["n1", "n2", "n3"].map(|server| history.state().target(server));
    assert_eq!(target(&history), [2, 2, 1]);
    assert!(apply(&mut history, Command::Release { epoch: 1, number: 3 }).is_err());
    let revert = Command::Revert { epoch: 1, author: "o".into(), number: 2, cause: "n1 unhealthy".into() };
    let Ok(Outcome::Reverted(head)) = apply(&mut history, revert.clone()) else { panic!() };
    assert_eq!((head.number, target(&history)), (4, [4, 4, 4]));
    assert_eq!(history.content_at(4), history.content_at(1), "later versions are reverted too");
    let RevertedCanary { number, last, cause, .. } = &history.state().reverted[0];
    assert_eq!((*number, *last, cause.as_str()), (2, 3, "n1 unhealthy"));
    assert_eq!(apply(&mut history, revert), Ok(Outcome::AlreadyApplied(head)));
    assert_eq!(
        apply(&mut history, Command::Release { epoch: 1, number: 4 }),
        Ok(Outcome::AlreadyApplied(head))
    );
    // More canaries than allowed.
    accept(&mut history, "a", 5.0);
    let too_many = (0..=MAX_CANARIES).map(|index| index.to_string()).collect();
    assert_eq!(
        apply(&mut history, Command::StartCanary { epoch: 1, number: 5, canaries: too_many }),
        Err(Rejection::Full)
    );
}

fn history_with_canary() -> History {
    let mut history = History::new(Digester::keyed([5; 32]), RetentionLimits { versions: 4, bytes: 1 << 20 });
    for index in 0..7 {
        accept(&mut history, ["a", "b"][index % 2], index as f64);
        release(&mut history);
    }
    accept(&mut history, "c", 1.0);
    let canaries = BTreeSet::from(["n1".to_string()]);
    apply(&mut history, Command::StartCanary { epoch: 1, number: 8, canaries }).unwrap();
    history
}

#[test]
fn restore_detects_corrupted_snapshots() {
    let history = history_with_canary();
    let snapshot = history.snapshot();
    assert_eq!(History::restore(Digester::keyed([5; 32]), &snapshot).unwrap(), history);
    assert!(History::restore(Digester::keyed([6; 32]), &snapshot).is_err(), "key of another fleet");
    for cut in 0..snapshot.len() {
        assert!(History::restore(Digester::keyed([5; 32]), &snapshot[..cut]).is_err(), "cut at {cut}");
    }
    for index in 0..snapshot.len() {
        for bit in [1, 0x80] {
            let mut corrupted = snapshot.clone();
            corrupted[index] ^= bit;
            // The digest covers the content, but not authors, times and the state of the rollout.
            if let Ok(read) = History::restore(Digester::keyed([5; 32]), &corrupted) {
                assert_eq!(
                    (read.head(), read.content()),
                    (history.head(), history.content()),
                    "byte {index}"
                );
            }
        }
    }
}

#[test]
fn applies_updates_atomically_and_in_order() {
    let mut history = history_with_canary();
    let mut replica = History::restore(Digester::keyed([5; 32]), &history.snapshot()).unwrap();
    let old = history.update_since(history.head()).unwrap();
    apply(&mut history, Command::Release { epoch: 1, number: 8 }).unwrap();
    accept(&mut history, "d", 4.0);
    let update = history.update_since(replica.head()).unwrap();
    let mut corrupted = update.clone();
    corrupted.versions[0].digest = Digest([1; 32]);
    let before = replica.clone();
    assert!(replica.apply_update(corrupted).is_err());
    assert_eq!(replica, before);
    assert_eq!(replica.apply_update(update.clone()), Ok(true));
    assert_eq!((replica.head(), replica.state()), (history.head(), history.state()));
    assert_eq!(replica.apply_update(old), Ok(false), "older than the replica");
    assert_eq!(replica.apply_update(update), Ok(false));
    // A replica before the checkpoint needs a snapshot.
    let fresh = History::new(Digester::keyed([5; 32]), RetentionLimits::default());
    assert_eq!(history.update_since(fresh.head()), None);
    let mut fresh = fresh;
    assert_eq!(fresh.apply_snapshot(&history.snapshot()), Ok(true));
    assert_eq!(fresh, history);
    assert_eq!(fresh.apply_snapshot(&before.snapshot()), Ok(false));
}

#[test]
fn accepts_route_and_limit_settings() {
    let mut history = history();
    let change = Change::default()
        .set(Key::route("r", Field::PriorityWeight), 2.0)
        .set(Key::limit(Field::Servers), 9.0);
    let put = PutRequest { change, ..put(&history, 1, "x", 1.0) };
    apply(&mut history, Command::Put(put)).unwrap();
    assert_eq!(history.content().len(), 2);
}
