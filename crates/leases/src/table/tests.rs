//! Tests of the module `table`.

use super::limits::MAX_INCARNATIONS;
use super::*;
use crate::LeaseId;

struct TestTable {
    inner: LeaseTable,
    serials: BTreeMap<HolderId, u64>,
}

fn table(parts: u32, rules: LeaseRules) -> TestTable {
    let mut table = TestTable { inner: LeaseTable::default(), serials: BTreeMap::new() };
    let tasks = vec![TaskDeclaration { name: "gather".into(), parts, zone: None }];
    let outcome = table.apply_at(0.0, Command::Declare { rules, tasks });
    assert_eq!(outcome.error, None);
    table
}

fn task(part: u32) -> Task {
    Task::new("gather", part)
}

impl TestTable {
    fn apply_at(&mut self, at: f64, command: Command) -> Outcome {
        self.inner.apply(&LogEntry { at, command })
    }
    fn advance(&mut self, at: f64) -> Outcome {
        self.apply_at(at, Command::AdvanceTime)
    }
    fn next_request(&mut self, holder: &HolderId) -> LeaseRequest {
        let serial = self.serials.entry(holder.clone()).or_default();
        *serial += 1;
        let tasks = ["gather".to_string()].into();
        LeaseRequest { holder: holder.clone(), serial: *serial, tasks, ..LeaseRequest::default() }
    }
    fn send(&mut self, at: f64, holder: &HolderId, change: impl FnOnce(&mut LeaseRequest)) -> Outcome {
        let mut request = self.next_request(holder);
        change(&mut request);
        self.apply_at(at, Command::Renew(vec![request]))
    }
    fn renew(&mut self, at: f64, holder: &HolderId) -> Outcome {
        self.send(at, holder, |_| {})
    }
    fn holder(&self, part: u32) -> Option<(String, Epoch)> {
        self.inner.holder(&task(part)).map(|(holder, epoch)| (holder.to_string(), epoch))
    }
}

fn named(name: &str) -> HolderId {
    HolderId::new(name, 1)
}

#[test]
fn silent_holder_keeps_lease_for_term_and_drift() {
    let mut table = table(1, LeaseRules::default());
    let outcome = table.renew(1.0, &named("a"));
    assert_eq!(table.holder(0), Some(("a#1".into(), 1)));
    assert_eq!((outcome.responses[0].serial, outcome.responses[0].leases.as_ref().unwrap()[0].epoch), (1, 1));
    table.renew(2.0, &named("b"));
    table.advance(3.03);
    assert_eq!(table.holder(0).unwrap().1, 1);
    table.renew(3.035, &named("b"));
    let outcome = table.advance(3.05);
    assert_eq!(table.holder(0), Some(("b#1".into(), 2)));
    let causes: Vec<(ChangeKind, Cause)> =
        outcome.changes.iter().map(|change| (change.kind, change.cause)).collect();
    assert_eq!(causes, [(ChangeKind::Ended, Cause::Expired), (ChangeKind::Granted, Cause::Vacant)]);
}

#[test]
fn ignores_late_and_duplicate_requests() {
    let mut table = table(1, LeaseRules::default());
    let first = table.next_request(&named("a"));
    table.renew(1.0, &named("a"));
    assert!(table.apply_at(2.9, Command::Renew(vec![first.clone(), first])).responses.is_empty());
    table.advance(3.1);
    assert_eq!(table.holder(0), None);
}

#[test]
fn restart_inherits_no_lease() {
    let mut table = table(1, LeaseRules::default());
    table.renew(1.0, &named("a"));
    let outcome = table.renew(1.5, &HolderId::new("a", 2));
    assert_eq!(outcome.responses[0].leases, Some(vec![]));
    let outcome = table.renew(1.6, &named("a"));
    assert_eq!(outcome.responses[0].rejection, Some(Rejection::Superseded));
    table.renew(3.0, &HolderId::new("a", 2));
    assert_eq!(
        table.holder(0),
        Some(("a#1".into(), 1)),
        "the former incarnation may still rely on its lease"
    );
    table.advance(3.1);
    assert_eq!(table.holder(0), Some(("a#2".into(), 2)));
}

#[test]
fn drain_releases_leases_within_term() {
    for releases in [true, false] {
        let mut table = table(2, LeaseRules::default());
        table.renew(1.0, &named("a"));
        table.renew(1.0, &named("b"));
        let outcome = table.send(1.5, &named("a"), |request| request.draining = true);
        let leases = outcome
            .responses
            .iter()
            .find(|response| response.holder == named("a"))
            .unwrap()
            .leases
            .clone()
            .unwrap();
        assert!(leases.len() == 2 && leases.iter().all(|lease| lease.revoked), "{leases:?}");
        assert_eq!(table.holder(0).unwrap().0, "a#1", "a step may be running");
        if releases {
            let released = vec![LeaseId::new(task(0), 1), LeaseId::new(task(1), 2)];
            let outcome = table
                .send(1.55, &named("a"), |request| (request.draining, request.released) = (true, released));
            assert!(outcome
                .responses
                .iter()
                .any(|response| response.holder == named("b") && response.leases.is_some()));
        } else {
            // Later requests do not renew revoked leases.
            table.send(2.5, &named("a"), |request| request.draining = true);
            table.renew(2.5, &named("b"));
            table.advance(3.03);
            assert_eq!(table.holder(0).unwrap().0, "a#1");
            table.advance(3.05);
        }
        assert_eq!((table.holder(0).unwrap().0, table.holder(1).unwrap().0), ("b#1".into(), "b#1".into()));
    }
}

#[test]
fn stalled_holder_is_excluded_for_a_while() {
    let mut table =
        table(1, LeaseRules { stall_timeout: 4.0, exclusion_period: 10.0, ..LeaseRules::default() });
    let progress = |steps_done| {
        move |request: &mut LeaseRequest| {
            request.progress = vec![Progress { task: task(0), epoch: 1, steps_done, has_work: true }];
        }
    };
    for at in 1..=9 {
        table.send(f64::from(at), &named("a"), progress(u64::from(at.min(5) as u32)));
        table.renew(f64::from(at), &named("b"));
        table.advance(f64::from(at) + 0.1);
    }
    assert_eq!(table.holder(0).unwrap().0, "a#1");
    table.send(9.2, &named("a"), progress(5));
    table.advance(9.3);
    table.send(10.0, &named("a"), |request| request.released = vec![LeaseId::new(task(0), 1)]);
    assert_eq!(table.holder(0).unwrap().0, "b#1", "a is excluded");
    for at in 10..19 {
        table.renew(f64::from(at) + 0.5, &named("a"));
    }
    assert_eq!(table.holder(0), None, "b's session has expired and a is still excluded");
    table.renew(19.5, &named("a"));
    table.advance(19.6);
    assert_eq!(table.holder(0).unwrap().0, "a#1");
}

#[test]
fn holder_without_work_is_not_stalled() {
    let mut table = table(1, LeaseRules { stall_timeout: 4.0, ..LeaseRules::default() });
    for at in 1..30 {
        let progress = Progress { task: task(0), epoch: 1, steps_done: 3, has_work: false };
        table.send(f64::from(at), &named("a"), |request| request.progress = vec![progress]);
        table.advance(f64::from(at) + 0.1);
    }
    assert_eq!(table.holder(0), Some(("a#1".into(), 1)));
}

#[test]
fn flapping_instance_is_assigned_nothing_for_a_while() {
    let mut table = table(1, LeaseRules { panic_window: 0.0, ..LeaseRules::default() });
    // b and c keep sessions throughout, but run no task.
    let run = |table: &mut TestTable, from: f64, to: f64, with_a: bool| {
        for at in 0..((to - from) * 2.0) as u32 {
            let at = from + f64::from(at) / 2.0;
            for name in ["b", "c"] {
                table.send(at, &named(name), |request| request.tasks.clear());
            }
            if with_a {
                table.renew(at, &named("a"));
            }
            table.advance(at + 0.1);
        }
    };
    for at in [1.0, 4.0, 7.0] {
        run(&mut table, at, at + 0.5, true);
        assert!(table.holder(0).is_some());
        run(&mut table, at + 0.5, at + 3.0, false);
        assert!(table.holder(0).is_none());
    }
    run(&mut table, 10.0, 39.0, true);
    assert_eq!(table.holder(0), None, "three expired sessions within a minute");
    run(&mut table, 39.0, 41.0, true);
    assert_eq!(table.holder(0).unwrap().0, "a#1");
}

#[test]
fn store_outage_is_not_flapping() {
    let mut table = table(3, LeaseRules { panic_window: 0.0, ..LeaseRules::default() });
    for at in [1.0, 4.0, 7.0, 10.0] {
        let requests: Vec<LeaseRequest> = ["a", "b", "c"].map(|name| table.next_request(&named(name))).into();
        table.apply_at(at, Command::Renew(requests));
        assert!(table.holder(0).is_some(), "{at}");
        table.advance(at + 2.5);
    }
}

#[test]
fn panic_window_delays_assignment() {
    let mut table = table(8, LeaseRules::default());
    for at in [1.0, 1.1] {
        let requests: Vec<LeaseRequest> =
            ["a", "b", "c", "d"].map(|name| table.next_request(&named(name))).into();
        table.apply_at(at, Command::Renew(requests));
    }
    let mut at = 2.0;
    while at < 4.0 {
        table.renew(at, &named("a"));
        at += 0.5;
    }
    let vacant = |table: &TestTable| (0..8).filter(|part| table.holder(*part).is_none()).count();
    assert_eq!(vacant(&table), 6, "three of four sessions expired at once");
    while at < 8.6 {
        table.renew(at, &named("a"));
        at += 0.5;
    }
    assert_eq!(vacant(&table), 0);
}

#[test]
fn joining_instance_gets_its_share() {
    let mut table = table(40, LeaseRules::default());
    table.renew(1.0, &named("a"));
    table.renew(1.0, &named("b"));
    let mut at = 1.0;
    while at < 8.0 {
        at += 0.5;
        for name in ["a", "b", "c"] {
            let revoked: Vec<LeaseId> = table
                .inner
                .lease_rows()
                .into_iter()
                .filter(|row| row.revoked && row.holder == Some(named(name)))
                .map(|row| LeaseId::new(row.task, row.epoch))
                .collect();
            table.send(at, &named(name), |request| request.released = revoked);
        }
        table.advance(at + 0.1);
    }
    let load =
        |name: &str| table.inner.lease_rows().iter().filter(|row| row.holder == Some(named(name))).count();
    let loads = ["a", "b", "c"].map(load);
    assert!(
        loads.iter().sum::<usize>() == 40 && loads.iter().all(|load| (9..=16).contains(load)),
        "{loads:?}"
    );
    assert!(table.inner.last_epoch() <= 40 + 30, "few moves: {}", table.inner.last_epoch());
}

#[test]
fn pause_move_and_undeclare_end_leases() {
    let mut table = table(2, LeaseRules::default());
    table.renew(1.0, &named("a"));
    table.renew(1.0, &named("b"));
    let move_part = Command::Move { task: task(0), to: "b".into() };
    assert_eq!(table.apply_at(1.1, move_part.clone()).error, None);
    table.send(1.2, &named("a"), |request| request.released = vec![LeaseId::new(task(0), 1)]);
    assert_eq!(table.holder(0).unwrap().0, "b#1");
    let error = table.apply_at(1.3, Command::Move { task: task(0), to: "x".into() }).error.unwrap();
    assert!(error.to_string().contains("instance \"x\" is not connected"), "{error}");
    table.apply_at(1.4, Command::Pause { task: "gather".into(), paused: true });
    table.advance(9.0);
    table.renew(9.1, &named("a"));
    assert_eq!(table.holder(0), None);
    table.apply_at(9.2, Command::Pause { task: "gather".into(), paused: false });
    assert!(table.holder(0).is_some());
    let declare = Command::Declare { rules: LeaseRules::default(), tasks: vec![] };
    table.apply_at(9.3, declare);
    table.advance(20.0);
    assert!(table.inner.lease_rows().is_empty());
    let pause_undeclared = Command::Pause { task: "gather".into(), paused: true };
    assert!(table.apply_at(20.1, pause_undeclared).error.is_some());
}

#[test]
fn restored_table_behaves_alike() {
    let mut first = table(5, LeaseRules::default());
    first.renew(1.25, &named("a"));
    first.renew(1.5, &named("b"));
    let bytes = postcard::to_allocvec(&first.inner).unwrap();
    let mut second =
        TestTable { inner: postcard::from_bytes(&bytes).unwrap(), serials: first.serials.clone() };
    for table in [&mut first, &mut second] {
        table.renew(2.0, &named("b"));
        table.advance(4.0);
    }
    assert_eq!(first.inner, second.inner);
    assert!(first.inner.last_epoch() > 5);
    // Truncated bytes must not cause a panic.
    for len in 0..bytes.len() {
        let _ = postcard::from_bytes::<LeaseTable>(&bytes[..len]);
    }
}

#[test]
fn rejects_invalid_requests_and_commands() {
    let mut table = table(1, LeaseRules::default());
    let long_name = named(&"x".repeat(MAX_NAME_BYTES + 1));
    assert_eq!(table.renew(1.0, &long_name).responses[0].rejection, Some(Rejection::Invalid));
    for incarnation in 1..=MAX_INCARNATIONS as u64 {
        table.renew(1.0, &HolderId::new("a", incarnation));
    }
    assert_eq!(
        table.renew(1.0, &HolderId::new("a", 99)).responses[0].rejection,
        Some(Rejection::CapacityExceeded)
    );
    let tasks = vec![TaskDeclaration { name: "huge".into(), parts: u32::MAX, zone: None }];
    let declare = Command::Declare { rules: LeaseRules::default(), tasks };
    assert!(table.apply_at(1.1, declare).error.unwrap().to_string().contains("too many"));
    for rules in [
        LeaseRules { term: f64::NAN, ..LeaseRules::default() },
        LeaseRules { term: 0.0, ..LeaseRules::default() },
        LeaseRules { stall_timeout: 1.0, ..LeaseRules::default() },
        LeaseRules { max_moves: 0, ..LeaseRules::default() },
    ] {
        assert!(rules.check().is_err(), "{rules:?}");
    }
    table.advance(f64::NAN);
    table.advance(f64::INFINITY);
    assert_eq!(table.inner.now(), 1.1);
}
