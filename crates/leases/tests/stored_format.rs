//! Bytes of log entries and snapshots of the lease store. Postcard encodes by position, so that a changed order of
//! fields would make stored files unreadable.

use puffinladder_leases::fence::{Fence, FenceRecord, Verdict};
use puffinladder_leases::table::{
    Command, LeaseRequest, LeaseRules, LeaseTable, LogEntry, Outcome, Progress, TaskDeclaration,
};
use puffinladder_leases::{HolderId, LeaseId, Task};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// A table with sessions, leases, excluded, moved and revoked parts, and expired sessions.
const TABLE: &[u8] = include_bytes!("golden/lease_table.postcard");

fn assert_stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, literal: &str) {
    let bytes = postcard::to_allocvec(value).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, literal);
    assert_eq!(&postcard::from_bytes::<T>(&bytes).unwrap(), value);
}

fn task(part: u32) -> Task {
    Task::new("gather", part)
}

fn request(name: &str, serial: u64) -> LeaseRequest {
    let tasks = ["gather".to_string(), "turns".to_string()].into();
    LeaseRequest {
        holder: HolderId::new(name, 7),
        zone: "east".into(),
        serial,
        tasks,
        ..LeaseRequest::default()
    }
}

fn apply(table: &mut LeaseTable, at: f64, command: Command) -> Outcome {
    table.apply(&LogEntry { at, command })
}

/// Applies the entries that lead to the stored table.
fn stored_table() -> LeaseTable {
    let mut table = LeaseTable::default();
    let rules = LeaseRules { stall_timeout: 4.0, max_flaps: 1, panic_window: 0.0, ..LeaseRules::default() };
    let tasks = vec![
        TaskDeclaration { name: "gather".into(), parts: 3, zone: Some("east".into()) },
        TaskDeclaration { name: "turns".into(), parts: 1, zone: None },
    ];
    let outcome = apply(&mut table, 0.0, Command::Declare { rules, tasks });
    assert_eq!(outcome.error, None);
    apply(&mut table, 1.0, Command::Renew(vec![request("a", 1), request("b", 1), request("c", 1)]));
    let row = table.lease_rows().into_iter().find(|row| row.task.name == "gather").unwrap();
    let name = row.holder.unwrap().instance;
    let progress = Progress { task: row.task, epoch: row.epoch, steps_done: 3, has_work: true };
    for step in 1..=6u32 {
        let at = 1.0 + f64::from(step);
        let serial = 1 + u64::from(step);
        let mut requests = vec![request("a", serial), request("b", serial)];
        for request in &mut requests {
            if request.holder.instance == name {
                request.progress = vec![progress.clone()];
            }
        }
        apply(&mut table, at, Command::Renew(requests));
        apply(&mut table, at + 0.25, Command::AdvanceTime);
    }
    apply(&mut table, 7.5, Command::Move { task: task(2), to: "b".into() });
    apply(&mut table, 7.75, Command::Pause { task: "turns".into(), paused: true });
    table
}

#[test]
fn log_entries() {
    let rules = LeaseRules::default();
    let tasks = vec![TaskDeclaration { name: "gather".into(), parts: 4, zone: Some("east".into()) }];
    let mut request = request("a", 4);
    request.draining = true;
    request.progress = vec![Progress { task: task(1), epoch: 5, steps_done: 6, has_work: true }];
    request.released = vec![LeaseId::new(task(2), 8)];
    request.known_version = 9;
    for (command, literal) in [
        (Command::AdvanceTime, "000000000000f83f00"),
        (Command::Declare { rules, tasks }, "000000000000f83f0100000000000000407b14ae47e17a943f00000000000024400000000000004e40030000000000004e400000000000003e400000000000001440000000000000004040010667617468657204010465617374"),
        (Command::Renew(vec![request]), "000000000000f83f02010161070465617374040206676174686572057475726e73010106676174686572010506010106676174686572020809"),
        (Command::Pause { task: "gather".into(), paused: true }, "000000000000f83f030667617468657201"),
        (Command::Move { task: task(1), to: "b".into() }, "000000000000f83f0406676174686572010162"),
    ] {
        assert_stored(&LogEntry { at: 1.5, command }, literal);
    }
}

#[test]
fn snapshot_table() {
    let table = stored_table();
    assert_eq!(postcard::to_allocvec(&table).unwrap(), TABLE);
    assert_eq!(postcard::from_bytes::<LeaseTable>(TABLE).unwrap(), table);
}

#[test]
fn fence_records() {
    let mut fence = Fence::default();
    assert_eq!(fence.check_and_record(&task(1), 5, 1), Verdict::New);
    assert_eq!(fence.check_and_record(&task(1), 5, 2), Verdict::New);
    assert_eq!(fence.announce(&task(2), 300), Verdict::New);
    assert_stored(&fence, "02066761746865720105020667617468657202ac0200");
    assert_stored(&FenceRecord { epoch: 300, number: 6 }, "ac0206");
}
