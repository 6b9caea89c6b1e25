use super::*;
use crate::history::HistoryEvent;
use puffinladder_leases::table::Cause;

fn task() -> Task {
    Task::new("gather", 0)
}

fn granted(epoch: Epoch, to: &str) -> Event {
    let (at, task, holder) = (epoch as f64, task(), HolderId::new(to, 1));
    Event::Change(Change { at, task, holder, epoch, kind: ChangeKind::Granted, cause: Cause::Vacant })
}

fn effect_checked(epoch: Epoch, number: u64, block: Option<&str>, verdict: Verdict) -> Event {
    Event::EffectChecked { task: task(), epoch, number, block: block.map(String::from), verdict }
}

fn history(events: Vec<(&str, Event)>) -> History {
    let mut history = History::default();
    for (process, event) in events {
        history.record(0.0, process, 1, HistoryEvent::Reported(event));
    }
    history
}

/// Returns a valid history: two holders one after the other, with a stale effect of the first.
fn valid_events() -> Vec<(&'static str, Event)> {
    vec![
        ("k1", granted(1, "s1")),
        ("k2", granted(1, "s1")),
        ("s1", Event::LeaseStarted { holder: HolderId::new("s1", 1), task: task(), epoch: 1 }),
        ("archive", effect_checked(1, 0, None, Verdict::New)),
        ("archive", effect_checked(1, 1, Some("a#0"), Verdict::New)),
        ("k1", granted(2, "s2")),
        ("archive", effect_checked(2, 0, None, Verdict::New)),
        ("archive", effect_checked(1, 2, Some("a#1"), Verdict::Stale { latest: 2 })),
        ("archive", effect_checked(2, 1, Some("a#1"), Verdict::New)),
    ]
}

#[test]
fn valid_history_passes_with_counts() {
    let (counts, violations) = check(&history(valid_events()));
    assert_eq!(violations, []);
    assert_eq!((counts.grants, counts.effects, counts.stale_effects), (2, 2, 1));
}

#[test]
fn allows_one_unreported_effect_after_a_restart() {
    for (number, valid) in [(2, true), (3, false)] {
        let mut history = history(valid_events());
        history.record(
            1.0,
            "archive",
            2,
            HistoryEvent::Reported(effect_checked(2, number, None, Verdict::Duplicate)),
        );
        let next = effect_checked(2, number + 1, Some("a#9"), Verdict::New);
        history.record(1.0, "archive", 2, HistoryEvent::Reported(next));
        assert_eq!(check(&history).1.is_empty(), valid, "{number}");
    }
}

#[test]
fn finds_rates_above_the_quota() {
    let applied = |rate, at, until| Event::QuotaApplied {
        tenant: "a".into(),
        rate,
        equal_share: 50.0,
        at,
        valid_until: until,
    };
    let valid_events = vec![
        ("n1", applied(50.0, 0.0, None)),
        ("n2", applied(50.0, 0.0, None)),
        ("n2", applied(20.0, 1.0, Some(3.0))),
        ("n1", applied(80.0, 1.5, Some(3.5))),
    ];
    let mut counts = Counts::default();
    assert_eq!(check_quota(&history(valid_events.clone()), 100.0, 2.0, &mut counts), None);
    assert_eq!(counts.quota_parts, 2);
    // Reported late though it expired in time: n1 applies no more than the equal share by then.
    let late = [valid_events.clone(), vec![("n2", applied(50.0, 5.0, None))]].concat();
    assert_eq!(check_quota(&history(late), 100.0, 2.0, &mut counts), None);
    let over = [valid_events, vec![("n2", applied(30.0, 2.0, Some(4.0)))]].concat();
    let found = check_quota(&history(over), 100.0, 2.0, &mut counts).unwrap();
    assert_eq!(found, Violation::QuotaExceeded { at: 2.0, sum: 110.0, quota: 100.0 });
}

#[test]
fn finds_too_many_draining_servers() {
    let draining = |zone: &str, by| Event::ServerDraining { zone: zone.into(), slot_epoch: by };
    let ready = || Event::Ready { listen: String::new() };
    let zones = BTreeMap::from([("a".to_string(), 1), ("b".to_string(), 2)]);
    let valid_events = vec![
        ("n1", draining("a", Some(1))),
        ("n2", draining("a", None)),
        ("n3", draining("b", Some(1))),
        ("n1", ready()),
        ("n4", draining("a", Some(1))),
    ];
    let mut counts = Counts::default();
    assert_eq!(check_drain_slots(&history(valid_events.clone()), 2, &zones, &mut counts), None);
    assert_eq!(counts.drain_slots, 3);
    let all = [valid_events.clone(), vec![("n5", draining("b", Some(1)))]].concat();
    assert!(check_drain_slots(&history(all), 2, &zones, &mut counts).is_some());
    let zone = [valid_events, vec![("n3", ready()), ("n6", draining("a", Some(2)))]].concat();
    assert!(check_drain_slots(&history(zone), 9, &zones, &mut counts)
        .unwrap()
        .to_string()
        .contains("2 servers of a"));
}

#[test]
fn finds_each_violation() {
    let leads = |keeper, term| Event::BecameLeader { replica: keeper, term };
    let begin = |name: &str| Event::LeaseStarted { holder: HolderId::new(name, 1), task: task(), epoch: 2 };
    let cases: Vec<(Vec<(&str, Event)>, &str)> = vec![
        (vec![("archive", effect_checked(1, 2, Some("a#2"), Verdict::New))], "though epoch 2 had been seen"),
        (vec![("archive", effect_checked(1, 0, None, Verdict::New))], "an announcement was accepted"),
        (vec![("archive", effect_checked(2, 3, Some("a#2"), Verdict::New))], "was accepted out of order"),
        (vec![("archive", effect_checked(2, 2, Some("a#1"), Verdict::New))], "a#1 was accepted twice"),
        (vec![("archive", effect_checked(9, 0, None, Verdict::New))], "which was not granted for it"),
        (vec![("k3", granted(2, "s3"))], "epoch 2 was granted twice"),
        (vec![("k1", granted(2, "s2"))], "epoch decreased from 2 to 2"),
        (vec![("k1", leads(1, 5)), ("k2", leads(2, 5))], "k1 and k2 were leaders in term 5"),
        (vec![("s1", begin("s1"))], "which was not granted to it"),
    ];
    for (events, wanted) in cases {
        let (_, violations) = check(&history([valid_events(), events].concat()));
        assert!(
            violations.iter().any(|violation| violation.to_string().contains(wanted)),
            "{wanted}: {violations:?}"
        );
    }
}
