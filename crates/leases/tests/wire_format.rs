//! JSON messages between instances, operators, servers and replicas, compared with literals that must not change.

use puffinladder_leases::coordination::{CoordinatorReply, ServerReport, TenantAllocation, TenantDemand};
use puffinladder_leases::drain::{DrainReport, DrainRules, DrainSlot, DrainState};
use puffinladder_leases::fence::{FenceRecord, Verdict};
use puffinladder_leases::protocol::{Event, ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_leases::quota::{AllocationId, DemandReport, QuotaAllocation};
use puffinladder_leases::table::{
    Cause, Change, ChangeKind, Command, InstanceRow, Lease, LeaseRequest, LeaseResponse, LeaseRow,
    LeaseRules, LeaseTable, LogEntry, Progress, Rejection, TaskDeclaration,
};
use puffinladder_leases::{HolderId, LeaseId, Task};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Asserts that a value is written as the literal and read back from it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, literal: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), literal);
    assert_eq!(&serde_json::from_str::<T>(literal).unwrap(), value);
}

fn holder() -> HolderId {
    HolderId::new("n1", 7)
}

fn task() -> Task {
    Task::new("gather", 3)
}

fn request() -> LeaseRequest {
    LeaseRequest {
        holder: holder(),
        zone: "east".into(),
        serial: 4,
        tasks: ["gather".to_string(), "quota".to_string()].into(),
        draining: true,
        progress: vec![Progress { task: task(), epoch: 5, steps_done: 6, has_work: true }],
        released: vec![LeaseId::new(task(), 8)],
        known_version: 9,
    }
}

fn response() -> LeaseResponse {
    LeaseResponse {
        holder: holder(),
        serial: 4,
        term: 2.0,
        version: 11,
        leases: Some(vec![Lease { task: task(), epoch: 5, revoked: true }]),
        rejection: None,
    }
}

fn change(kind: ChangeKind, cause: Cause) -> Change {
    Change { at: 1.5, task: task(), holder: holder(), epoch: 5, kind, cause }
}

fn status() -> ReplicaStatus {
    ReplicaStatus {
        number: 1,
        leader: Some(2),
        is_leader: false,
        term: 3,
        applied: 4,
        log_entries: 5,
        voters: vec![1, 2],
        learners: vec![3],
        retired: vec![4],
        last_epoch: 6,
        instances: 7,
        slow_disk: true,
        uptime: 8.5,
        counts: BTreeMap::from([("lines".to_string(), 9)]),
    }
}

#[test]
fn names_and_lists_of_an_instance() {
    assert_json(&holder(), r#"{"instance":"n1","incarnation":7}"#);
    assert_json(&task(), r#"{"name":"gather","part":3}"#);
    assert_json(
        &request(),
        r#"{"owner":{"instance":"n1","incarnation":7},"zone":"east","serial":4,"wants":["gather","quota"],"leaving":true,"marks":[{"duty":{"name":"gather","part":3},"epoch":5,"done":6,"work":true}],"given":[[{"name":"gather","part":3},8]],"knows":9}"#,
    );
    assert_json(
        &response(),
        r#"{"owner":{"instance":"n1","incarnation":7},"serial":4,"term":2.0,"version":11,"grants":[{"duty":{"name":"gather","part":3},"epoch":5,"back":true}],"refused":null}"#,
    );
    assert_json(
        &LeaseResponse { leases: None, ..LeaseResponse::default() },
        r#"{"owner":{"instance":"","incarnation":0},"serial":0,"term":0.0,"version":0,"grants":null,"refused":null}"#,
    );
    for (rejection, literal) in [
        (Rejection::Superseded, r#""Superseded""#),
        (Rejection::CapacityExceeded, r#""Full""#),
        (Rejection::Invalid, r#""Unfit""#),
    ] {
        assert_json(&Some(rejection), literal);
    }
}

#[test]
fn omitted_fields_have_defaults() {
    let short = r#"{"owner":{"instance":"n1","incarnation":7},"serial":1}"#;
    let expected = LeaseRequest { holder: holder(), serial: 1, ..LeaseRequest::default() };
    assert_eq!(serde_json::from_str::<LeaseRequest>(short).unwrap(), expected);
    let short = r#"{"owner":{"instance":"n1","incarnation":7},"serial":1,"term":2.0,"version":3}"#;
    let expected =
        LeaseResponse { holder: holder(), serial: 1, term: 2.0, version: 3, leases: None, rejection: None };
    assert_eq!(serde_json::from_str::<LeaseResponse>(short).unwrap(), expected);
    let short = r#"{"server":"n1","incarnation":7,"number":1,"state":"Serves"}"#;
    let expected = ServerReport { server: "n1".into(), incarnation: 7, number: 1, ..ServerReport::default() };
    assert_eq!(serde_json::from_str::<ServerReport>(short).unwrap(), expected);
    let short = r#"{"server":"n1","incarnation":7}"#;
    let expected = CoordinatorReply { server: "n1".into(), incarnation: 7, ..CoordinatorReply::default() };
    assert_eq!(serde_json::from_str::<CoordinatorReply>(short).unwrap(), expected);
}

#[test]
fn commands_and_log_entries() {
    let tasks = vec![TaskDeclaration { name: "gather".into(), parts: 4, zone: Some("east".into()) }];
    for (command, literal) in [
        (Command::AdvanceTime, r#""Time""#),
        (
            Command::Declare { rules: LeaseRules::default(), tasks },
            r#"{"Declare":{"rules":{"term":2.0,"drift":0.02,"stall":10.0,"barred":60.0,"flaps":3,"flap_span":60.0,"flap_rest":30.0,"panic":5.0,"calm":2.0,"moves":64},"duties":[{"name":"gather","parts":4,"zone":"east"}]}}"#,
        ),
        (
            Command::Renew(vec![LeaseRequest::default()]),
            r#"{"Say":[{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"wants":[],"leaving":false,"marks":[],"given":[],"knows":0}]}"#,
        ),
        (
            Command::Pause { task: "gather".into(), paused: true },
            r#"{"Pause":{"duty":"gather","paused":true}}"#,
        ),
        (
            Command::Move { task: task(), to: "n2".into() },
            r#"{"Move":{"duty":{"name":"gather","part":3},"to":"n2"}}"#,
        ),
    ] {
        assert_json(&command, literal);
    }
    assert_json(&LogEntry { at: 1.5, command: Command::AdvanceTime }, r#"{"at":1.5,"command":"Time"}"#);
}

#[test]
fn changes_with_their_causes() {
    for (kind, cause, literal) in [
        (
            ChangeKind::Granted,
            Cause::Vacant,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Given","cause":"Vacant"}"#,
        ),
        (
            ChangeKind::Revoked,
            Cause::Draining,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"TakenBack","cause":"Draining"}"#,
        ),
        (
            ChangeKind::Ended,
            Cause::Expired,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Ended","cause":"Expired"}"#,
        ),
    ] {
        assert_json(&change(kind, cause), literal);
    }
    for (cause, literal, text) in [
        (Cause::Vacant, r#""Vacant""#, "the part was vacant"),
        (Cause::Expired, r#""Expired""#, "the holder sent no request for a term"),
        (Cause::Released, r#""HandedOver""#, "released by the holder"),
        (Cause::ReleaseTimeout, r#""NotHandedOver""#, "not released in time"),
        (Cause::Draining, r#""Draining""#, "the holder drains"),
        (Cause::Stalled, r#""Stalled""#, "the holder made no progress"),
        (Cause::Rebalanced, r#""Levelled""#, "moved to balance loads"),
        (Cause::Moved, r#""Moved""#, "moved by an operator"),
        (Cause::Paused, r#""Paused""#, "paused by an operator"),
        (Cause::Undeclared, r#""Dropped""#, "no longer declared"),
    ] {
        assert_json(&cause, literal);
        assert_eq!(cause.to_string(), text);
    }
}

#[test]
fn requests_to_a_replica() {
    for (request, literal) in [
        (
            ReplicaRequest::Renew(LeaseRequest::default()),
            r#"{"say":{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"wants":[],"leaving":false,"marks":[],"given":[],"knows":0}}"#,
        ),
        (ReplicaRequest::PeerMessage("AAEC".into()), r#"{"peer":"AAEC"}"#),
        (ReplicaRequest::Status, r#""status""#),
        (ReplicaRequest::Tasks, r#""duties""#),
        (ReplicaRequest::Command(Command::AdvanceTime), r#"{"command":"Time"}"#),
        (
            ReplicaRequest::AddReplica { number: 4, address: "127.0.0.4:1".into() },
            r#"{"add":{"number":4,"address":"127.0.0.4:1"}}"#,
        ),
        (ReplicaRequest::RemoveReplica { number: 4 }, r#"{"remove":{"number":4}}"#),
    ] {
        assert_json(&request, literal);
    }
}

#[test]
fn replies_of_a_replica() {
    let row =
        LeaseRow { task: task(), holder: Some(holder()), epoch: 5, since: 1.5, revoked: true, paused: false };
    let instance = InstanceRow {
        holder: holder(),
        zone: "east".into(),
        parts: 2,
        draining: true,
        session_remaining: 0.5,
        penalty_remaining: 1.5,
    };
    for (reply, literal) in [
        (
            ReplicaReply::Lease(LeaseResponse::default()),
            r#"{"told":{"owner":{"instance":"","incarnation":0},"serial":0,"term":0.0,"version":0,"grants":null,"refused":null}}"#,
        ),
        (
            ReplicaReply::NotLeader { leader: Some(2), address: Some("127.0.0.2:1".into()) },
            r#"{"elsewhere":{"leader":2,"address":"127.0.0.2:1"}}"#,
        ),
        (
            ReplicaReply::NotLeader { leader: None, address: None },
            r#"{"elsewhere":{"leader":null,"address":null}}"#,
        ),
        (
            ReplicaReply::Status(Box::new(status())),
            r#"{"status":{"number":1,"leader":2,"leads":false,"term":3,"applied":4,"log_entries":5,"voters":[1,2],"learners":[3],"retired":[4],"last_epoch":6,"instances":7,"slow":true,"up":8.5,"counts":{"lines":9}}}"#,
        ),
        (
            ReplicaReply::Tasks { leases: vec![row], instances: vec![instance], at: 9.5 },
            r#"{"duties":{"rows":[{"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"since":1.5,"back":true,"paused":false}],"seats":[{"owner":{"instance":"n1","incarnation":7},"zone":"east","has":2,"leaving":true,"left":0.5,"rests":1.5}],"at":9.5}}"#,
        ),
        (ReplicaReply::CommandApplied, r#""done""#),
        (
            ReplicaReply::CommandFailed("no duty \"x\" is declared".into()),
            r#"{"failed":"no duty \"x\" is declared"}"#,
        ),
    ] {
        assert_json(&reply, literal);
    }
}

#[test]
fn events() {
    let checked = |block: Option<&str>, verdict| Event::EffectChecked {
        task: task(),
        epoch: 5,
        number: 6,
        block: block.map(String::from),
        verdict,
    };
    for (event, literal) in [
        (Event::Ready { listen: "127.0.0.1:1".into() }, r#"{"ready":{"listen":"127.0.0.1:1"}}"#),
        (
            Event::Change(change(ChangeKind::Granted, Cause::Vacant)),
            r#"{"change":{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Given","cause":"Vacant"}}"#,
        ),
        (Event::BecameLeader { replica: 1, term: 2 }, r#"{"leads":{"keeper":1,"term":2}}"#),
        (
            Event::LeaseStarted { holder: holder(), task: task(), epoch: 5 },
            r#"{"begin":{"owner":{"instance":"n1","incarnation":7},"duty":{"name":"gather","part":3},"epoch":5}}"#,
        ),
        (
            Event::LeaseEnded { holder: holder(), task: task(), epoch: 5, reason: "TermOver".into() },
            r#"{"down":{"owner":{"instance":"n1","incarnation":7},"duty":{"name":"gather","part":3},"epoch":5,"why":"TermOver"}}"#,
        ),
        (
            Event::QuotaApplied {
                tenant: "a".into(),
                rate: 1.5,
                equal_share: 2.5,
                at: 3.5,
                valid_until: Some(4.5),
            },
            r#"{"goes":{"customer":"a","rate":1.5,"equal":2.5,"at":3.5,"until":4.5}}"#,
        ),
        (
            Event::ServerDraining { zone: "east".into(), slot_epoch: Some(5) },
            r#"{"leaves":{"zone":"east","by":5}}"#,
        ),
        (
            checked(Some("a.trace"), Verdict::New),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":"a.trace","verdict":"New"}}"#,
        ),
        (
            checked(None, Verdict::Duplicate),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":"Repeat"}}"#,
        ),
        (
            checked(None, Verdict::Stale { latest: 9 }),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":{"Late":{"seen":9}}}}"#,
        ),
        (
            checked(None, Verdict::Gap { expected: 2 }),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":{"Gap":{"expected":2}}}}"#,
        ),
    ] {
        assert_json(&event, literal);
    }
}

#[test]
fn reports_of_servers_and_replies_to_them() {
    let demand =
        TenantDemand { tenant: "a".into(), demand: 1.5, current: Some(AllocationId { epoch: 5, number: 6 }) };
    for (state, literal) in [
        (
            DrainState::Serving,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Serves","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
        (
            DrainState::Waiting,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Waits","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
        (
            DrainState::Draining,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Leaves","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
    ] {
        let report = ServerReport {
            server: "n1".into(),
            incarnation: 7,
            zone: "east".into(),
            number: 8,
            drain_state: state,
            demands: vec![demand.clone()],
        };
        assert_json(&report, literal);
    }
    let allocation = QuotaAllocation { epoch: 5, number: 6, report_number: 8, rate: 1.5, validity: 2.5 };
    let slot = DrainSlot { epoch: 5, report_number: 8, start_within: 6.5 };
    let reply = CoordinatorReply {
        server: "n1".into(),
        incarnation: 7,
        allocations: vec![TenantAllocation { tenant: "a".into(), allocation: allocation.clone() }],
        drain_slot: Some(slot.clone()),
    };
    assert_json(
        &reply,
        r#"{"server":"n1","incarnation":7,"parts":[["a",{"epoch":5,"number":6,"report":8,"rate":1.5,"span":2.5}]],"turn":{"epoch":5,"report":8,"begin":6.5}}"#,
    );
    assert_json(&allocation, r#"{"epoch":5,"number":6,"report":8,"rate":1.5,"span":2.5}"#);
    assert_json(&slot, r#"{"epoch":5,"report":8,"begin":6.5}"#);
    let report = DemandReport {
        server: "n1".into(),
        incarnation: 7,
        report_number: 8,
        demand: 1.5,
        current: Some(AllocationId { epoch: 5, number: 6 }),
    };
    assert_json(&report, r#"{"server":"n1","incarnation":7,"report":8,"demand":1.5,"holds":[5,6]}"#);
    let report = DrainReport {
        server: "n1".into(),
        incarnation: 7,
        report_number: 8,
        zone: "east".into(),
        state: DrainState::Waiting,
    };
    assert_json(&report, r#"{"server":"n1","incarnation":7,"report":8,"zone":"east","state":"Waits"}"#);
    assert_json(
        &DrainRules::default(),
        r#"{"most":10,"zone_share":0.1,"span":30.0,"drift":0.02,"silent":5.0}"#,
    );
}

#[test]
fn records_of_a_fence() {
    assert_json(&FenceRecord { epoch: 5, number: 6 }, r#"{"epoch":5,"number":6}"#);
    for (verdict, literal) in [
        (Verdict::New, r#""New""#),
        (Verdict::Duplicate, r#""Repeat""#),
        (Verdict::Stale { latest: 9 }, r#"{"Late":{"seen":9}}"#),
        (Verdict::Gap { expected: 2 }, r#"{"Gap":{"expected":2}}"#),
    ] {
        assert_json(&verdict, literal);
    }
}

#[test]
fn command_error_messages() {
    let declare = |rules: LeaseRules, name: &str, parts: u32| Command::Declare {
        rules,
        tasks: vec![TaskDeclaration { name: name.into(), parts, zone: None }],
    };
    let rules = LeaseRules::default();
    for (command, text) in [
        (
            declare(LeaseRules { stall_timeout: -1.0, ..rules.clone() }, "a", 1),
            "stall: -1 s is out of range, expected 0 to 86400 s",
        ),
        (
            declare(LeaseRules { term: 0.1, ..rules.clone() }, "a", 1),
            "term: 0.1 s is too short, expected at least 0.2 s",
        ),
        (
            declare(LeaseRules { drift: 0.6, ..rules.clone() }, "a", 1),
            "drift: 0.6 is out of range, expected 0 to 0.5",
        ),
        (
            declare(LeaseRules { stall_timeout: 3.0, ..rules.clone() }, "a", 1),
            "stall: 3 s is too short, expected at least two terms",
        ),
        (
            declare(LeaseRules { max_flaps: 0, ..rules.clone() }, "a", 1),
            "flaps, moves: 0 is out of range, expected at least 1",
        ),
        (
            declare(rules.clone(), "a", 100_001),
            "1 tasks with 100001 parts are too many, expected at most 256 and 100000",
        ),
        (declare(rules.clone(), "", 1), "task \"\": expected a name of 1 to 128 bytes and at least one part"),
        (Command::Pause { task: "x".into(), paused: true }, "no task \"x\" is declared"),
        (
            Command::Move { task: task(), to: "n2".into() },
            "instance \"n2\" is not connected or may not hold gather/3",
        ),
    ] {
        let outcome = LeaseTable::default().apply(&LogEntry { at: 1.0, command });
        assert_eq!(outcome.error.unwrap().to_string(), text);
    }
}
