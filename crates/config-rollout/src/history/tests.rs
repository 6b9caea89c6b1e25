use super::*;
use crate::check::Shape;
use crate::content::{Field, Key};

fn history() -> History {
    History::new(Seal::default(), Limits::default())
}

fn put(history: &History, epoch: Epoch, name: &str, quota: f64) -> Put {
    let change = Change::default().set(Key::tenant(name), quota);
    Put { base: history.head(), author: "ann".into(), epoch, origin: Origin::Put, change }
}

fn apply(history: &mut History, command: Command) -> Result<Done, Refusal> {
    history.apply(&Entry { at: 1.0, command })
}

fn accept(history: &mut History, name: &str, quota: f64) -> Head {
    let command = Command::Put(put(history, 1, name, quota));
    match apply(history, command) {
        Ok(Done::Accepted(head)) => head,
        other => panic!("{other:?}"),
    }
}

fn release(history: &mut History) {
    let (epoch, number) = (history.epoch(), history.head().number);
    let canaries = BTreeSet::from(["n1".to_string()]);
    apply(history, Command::Trial { epoch, number, canaries }).unwrap();
    apply(history, Command::Release { epoch, number }).unwrap();
}

#[test]
fn of_two_writers_at_once_one_is_told_what_he_missed() {
    let mut history = history();
    let (ann, mut bob) = (put(&history, 1, "a", 1.0), put(&history, 1, "a", 2.0));
    bob.author = "bob".into();
    assert!(matches!(apply(&mut history, Command::Put(ann.clone())), Ok(Done::Accepted(_))));
    let Err(Refusal::Missed { head, missed }) = apply(&mut history, Command::Put(bob.clone())) else {
        panic!("taken over another's head")
    };
    assert_eq!((head, missed.len(), missed[0].author.as_str()), (history.head(), 1, "ann"));
    assert_eq!(history.content().get(&Key::tenant("a")), Some(1.0));
    // Asked twice, since the answer was lost.
    assert_eq!(apply(&mut history, Command::Put(ann)), Ok(Done::Repeat(history.head())));
    bob.base.digest = Digest([3; 32]);
    bob.base.number = 1;
    assert!(matches!(apply(&mut history, Command::Put(bob)), Err(Refusal::Unknown(_))));
}

#[test]
fn an_old_epoch_changes_nothing() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    apply(&mut history, Command::Announce { epoch: 5 }).unwrap();
    let before = history.clone();
    let canaries = BTreeSet::new();
    let commands = [
        Command::Put(put(&history, 4, "a", 9.0)),
        Command::Announce { epoch: 4 },
        Command::Announce { epoch: 0 },
        Command::Trial { epoch: 4, number: 1, canaries },
        Command::Release { epoch: 4, number: 1 },
        Command::TakeBack { epoch: 4, author: "a".into(), number: 1, cause: String::new() },
    ];
    for command in commands {
        assert_eq!(apply(&mut history, command), Err(Refusal::Late { seen: 5 }));
    }
    assert_eq!((history.head(), history.epoch(), history.stage()), (before.head(), 5, before.stage()));
    // Refused for another cause, a later epoch moves the fence no more than anything else.
    assert!(apply(&mut history, Command::Release { epoch: 9, number: 1 }).is_err());
    assert_eq!(history.epoch(), 5);
}

#[test]
fn checks_come_before_the_line_and_bounds_stand_in_it() {
    let history = history();
    let refuse = |_: &Content| Err(Wrong::whole("the charter says no"));
    let fine = put(&history, 1, "a", 1.0);
    assert!(matches!(history.judge(&fine, &refuse), Err(Refusal::Unfit(_))));
    assert_eq!(history.judge(&fine, &Shape).unwrap().number, 1);
    let mut other = history.clone();
    assert_eq!(
        apply(&mut other, Command::Put(fine.clone())),
        Ok(Done::Accepted(history.judge(&fine, &Shape).unwrap()))
    );
    let mut history = history;
    for wrong in [f64::NAN, -1.0, 1e10] {
        let command = Command::Put(put(&history, 1, "a", wrong));
        assert!(matches!(apply(&mut history, command), Err(Refusal::Unfit(_))));
    }
    let mut nameless = fine.clone();
    nameless.author = String::new();
    assert!(matches!(apply(&mut history, Command::Put(nameless)), Err(Refusal::Unfit(_))));
    let empty = Put { change: Change::default(), ..fine.clone() };
    assert_eq!(apply(&mut history, Command::Put(empty)), Err(Refusal::Empty));
    let forged = Put { origin: Origin::TakenBack { to: 0, cause: String::new() }, ..fine };
    assert!(matches!(apply(&mut history, Command::Put(forged)), Err(Refusal::Unfit(_))));
    assert_eq!(history.head().number, 0);
}

#[test]
fn a_rollback_is_a_new_version_with_an_old_content() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    let old = accept(&mut history, "b", 2.0);
    accept(&mut history, "a", 3.0);
    let put = history.rollback(old.number, "ann", 1).unwrap();
    let Ok(Done::Accepted(head)) = apply(&mut history, Command::Put(put.clone())) else { panic!() };
    assert_eq!(head.number, 4);
    assert_ne!(head.digest, old.digest, "a number has its own digest");
    assert_eq!(history.content_at(4), history.content_at(2));
    // What says that it is a rollback, and is none.
    let origin = Origin::Rollback { to: 1 };
    let wrong = Put { base: history.head(), origin, ..put };
    assert!(matches!(apply(&mut history, Command::Put(wrong)), Err(Refusal::Unfit(_))));
    assert_eq!(history.rollback(9, "ann", 1), Err(Refusal::Forgotten(9)));
}

#[test]
fn any_two_known_versions_differ_by_what_is_told() {
    let mut history = history();
    for at in 0..9u32 {
        accept(&mut history, ["a", "b", "c"][at as usize % 3], f64::from(at));
    }
    for from in 0..=9 {
        for to in 0..=9 {
            let (a, b) = (history.content_at(from).unwrap(), history.content_at(to).unwrap());
            assert_eq!(a.after(&history.diff(from, to).unwrap()).unwrap(), b);
            if from <= to {
                assert_eq!(a.after(&history.between(from, to).unwrap()).unwrap(), b);
            }
        }
    }
    assert_eq!(history.diff(3, 10), Err(Refusal::Forgotten(10)));
}

#[test]
fn old_versions_go_into_the_checkpoint_and_what_is_not_released_never_does() {
    let mut history = History::new(Seal::default(), Limits { versions: 3, bytes: 1 << 20 });
    for at in 0..3 {
        accept(&mut history, "a", f64::from(at));
    }
    let command = Command::Put(put(&history, 1, "a", 9.0));
    assert_eq!(apply(&mut history, command.clone()), Err(Refusal::Full), "it may have to be taken back");
    release(&mut history);
    assert!(matches!(apply(&mut history, command), Ok(Done::Accepted(_))));
    assert_eq!((history.checkpoint().number, history.versions().count()), (1, 3));
    assert_eq!(history.content_at(0), None);
    let Err(Refusal::Missed { missed, .. }) = apply(
        &mut history,
        Command::Put(put(&History::new(Seal::default(), Limits::default()), 1, "a", 5.0)),
    ) else {
        panic!("older than the checkpoint is missed as well")
    };
    assert_eq!(missed.len(), 3);
    // By bytes as well.
    let mut history = History::new(Seal::default(), Limits { versions: 100, bytes: 40 });
    for at in 0..4 {
        accept(&mut history, "a", f64::from(at));
        release(&mut history);
    }
    assert!(history.versions().count() <= 2);
    assert_eq!(history.content().get(&Key::tenant("a")), Some(3.0));
}

#[test]
fn a_trial_is_of_one_version_and_is_released_or_taken_back_once() {
    let mut history = history();
    accept(&mut history, "a", 1.0);
    release(&mut history);
    accept(&mut history, "a", 2.0);
    accept(&mut history, "b", 3.0);
    let canaries = |name: &str| BTreeSet::from([name.to_string()]);
    let trial = |number, name| Command::Trial { epoch: 1, number, canaries: canaries(name) };
    assert!(apply(&mut history, trial(1, "n1")).is_err(), "released already");
    assert!(apply(&mut history, trial(4, "n1")).is_err(), "not there");
    apply(&mut history, trial(2, "n1")).unwrap();
    assert!(matches!(apply(&mut history, trial(3, "n1")), Err(Refusal::NotOnTrial { .. })));
    apply(&mut history, trial(2, "n2")).unwrap();
    let target = |history: &History| ["n1", "n2", "n3"].map(|server| history.stage().target(server));
    assert_eq!(target(&history), [2, 2, 1]);
    assert!(apply(&mut history, Command::Release { epoch: 1, number: 3 }).is_err());
    let back = Command::TakeBack { epoch: 1, author: "o".into(), number: 2, cause: "n1 fell".into() };
    let Ok(Done::TakenBack(head)) = apply(&mut history, back.clone()) else { panic!() };
    assert_eq!((head.number, target(&history)), (4, [4, 4, 4]));
    assert_eq!(history.content_at(4), history.content_at(1), "what was put on it goes too");
    let TakenBack { number, last, cause, .. } = &history.stage().taken_back[0];
    assert_eq!((*number, *last, cause.as_str()), (2, 3, "n1 fell"));
    assert_eq!(apply(&mut history, back), Ok(Done::Repeat(head)));
    assert_eq!(apply(&mut history, Command::Release { epoch: 1, number: 4 }), Ok(Done::Repeat(head)));
    // As many as one version may be tried at.
    accept(&mut history, "a", 5.0);
    let many = (0..=CANARIES).map(|at| at.to_string()).collect();
    assert_eq!(
        apply(&mut history, Command::Trial { epoch: 1, number: 5, canaries: many }),
        Err(Refusal::Full)
    );
}

fn busy() -> History {
    let mut history = History::new(Seal::keyed([5; 32]), Limits { versions: 4, bytes: 1 << 20 });
    for at in 0..7 {
        accept(&mut history, ["a", "b"][at % 2], at as f64);
        release(&mut history);
    }
    accept(&mut history, "c", 1.0);
    let canaries = BTreeSet::from(["n1".to_string()]);
    apply(&mut history, Command::Trial { epoch: 1, number: 8, canaries }).unwrap();
    history
}

#[test]
fn a_snapshot_is_the_history_and_any_change_of_a_byte_is_found_or_harmless() {
    let history = busy();
    let kept = history.snapshot();
    assert_eq!(History::restore(Seal::keyed([5; 32]), &kept).unwrap(), history);
    assert!(History::restore(Seal::keyed([6; 32]), &kept).is_err(), "of another fleet");
    for cut in 0..kept.len() {
        assert!(History::restore(Seal::keyed([5; 32]), &kept[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..kept.len() {
        for bit in [1, 0x80] {
            let mut torn = kept.clone();
            torn[at] ^= bit;
            // Authors, times and the stage are not under the digest; what is in force is.
            if let Ok(read) = History::restore(Seal::keyed([5; 32]), &torn) {
                assert_eq!((read.head(), read.content()), (history.head(), history.content()), "byte {at}");
            }
        }
    }
}

#[test]
fn a_replica_takes_news_whole_and_in_order() {
    let mut history = busy();
    let mut replica = History::restore(Seal::keyed([5; 32]), &history.snapshot()).unwrap();
    let old = history.news(history.head()).unwrap();
    apply(&mut history, Command::Release { epoch: 1, number: 8 }).unwrap();
    accept(&mut history, "d", 4.0);
    let news = history.news(replica.head()).unwrap();
    let mut torn = news.clone();
    torn.versions[0].digest = Digest([1; 32]);
    let before = replica.clone();
    assert!(replica.learn(torn).is_err());
    assert_eq!(replica, before);
    assert_eq!(replica.learn(news.clone()), Ok(true));
    assert_eq!((replica.head(), replica.stage()), (history.head(), history.stage()));
    assert_eq!(replica.learn(old), Ok(false), "older than what it has");
    assert_eq!(replica.learn(news), Ok(false));
    // Behind the checkpoint a snapshot is needed.
    let fresh = History::new(Seal::keyed([5; 32]), Limits::default());
    assert_eq!(history.news(fresh.head()), None);
    let mut fresh = fresh;
    assert_eq!(fresh.learn_whole(&history.snapshot()), Ok(true));
    assert_eq!(fresh, history);
    assert_eq!(fresh.learn_whole(&before.snapshot()), Ok(false));
}

#[test]
fn routes_and_limits_are_versions_like_any_other() {
    let mut history = history();
    let change =
        Change::default().set(Key::route("r", Field::Importance), 2.0).set(Key::limit(Field::Servers), 9.0);
    let put = Put { change, ..put(&history, 1, "x", 1.0) };
    apply(&mut history, Command::Put(put)).unwrap();
    assert_eq!(history.content().len(), 2);
}
