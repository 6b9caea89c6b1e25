//! The JSON that instances, operators, servers and replicas exchange, as literals: names in the code may change, these may not.

use puffinladder_leases::desk::{self, Reply, Report};
use puffinladder_leases::fence::{Seen, Verdict};
use puffinladder_leases::quota;
use puffinladder_leases::table::{
    Cause, Change, Command, Declared, Entry, Granted, Mark, Refused, Row, Rules, Said, Seat, Table, Told,
    What,
};
use puffinladder_leases::turns::{self, State, Turn};
use puffinladder_leases::words::{Answer, Ask, Event, Status};
use puffinladder_leases::{Duty, Owner};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Asserts that a value is written as the literal and read back from it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, literal: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), literal);
    assert_eq!(&serde_json::from_str::<T>(literal).unwrap(), value);
}

fn owner() -> Owner {
    Owner::new("n1", 7)
}

fn duty() -> Duty {
    Duty::new("gather", 3)
}

fn said() -> Said {
    Said {
        owner: owner(),
        zone: "east".into(),
        serial: 4,
        wants: ["gather".to_string(), "quota".to_string()].into(),
        leaving: true,
        marks: vec![Mark { duty: duty(), epoch: 5, done: 6, work: true }],
        given: vec![(duty(), 8)],
        knows: 9,
    }
}

fn told() -> Told {
    Told {
        owner: owner(),
        serial: 4,
        term: 2.0,
        version: 11,
        grants: Some(vec![Granted { duty: duty(), epoch: 5, back: true }]),
        refused: None,
    }
}

fn change(what: What, cause: Cause) -> Change {
    Change { at: 1.5, duty: duty(), owner: owner(), epoch: 5, what, cause }
}

fn status() -> Status {
    Status {
        number: 1,
        leader: Some(2),
        leads: false,
        term: 3,
        applied: 4,
        log_entries: 5,
        voters: vec![1, 2],
        learners: vec![3],
        retired: vec![4],
        last_epoch: 6,
        instances: 7,
        slow: true,
        up: 8.5,
        counts: BTreeMap::from([("lines".to_string(), 9)]),
    }
}

#[test]
fn names_and_lists_of_an_instance() {
    assert_json(&owner(), r#"{"instance":"n1","incarnation":7}"#);
    assert_json(&duty(), r#"{"name":"gather","part":3}"#);
    assert_json(
        &said(),
        r#"{"owner":{"instance":"n1","incarnation":7},"zone":"east","serial":4,"wants":["gather","quota"],"leaving":true,"marks":[{"duty":{"name":"gather","part":3},"epoch":5,"done":6,"work":true}],"given":[[{"name":"gather","part":3},8]],"knows":9}"#,
    );
    assert_json(
        &told(),
        r#"{"owner":{"instance":"n1","incarnation":7},"serial":4,"term":2.0,"version":11,"grants":[{"duty":{"name":"gather","part":3},"epoch":5,"back":true}],"refused":null}"#,
    );
    assert_json(
        &Told { grants: None, ..Told::default() },
        r#"{"owner":{"instance":"","incarnation":0},"serial":0,"term":0.0,"version":0,"grants":null,"refused":null}"#,
    );
    for (refused, literal) in [
        (Refused::Superseded, r#""Superseded""#),
        (Refused::Full, r#""Full""#),
        (Refused::Unfit, r#""Unfit""#),
    ] {
        assert_json(&Some(refused), literal);
    }
}

#[test]
fn what_is_left_out_has_a_default() {
    let short = r#"{"owner":{"instance":"n1","incarnation":7},"serial":1}"#;
    let expected = Said { owner: owner(), serial: 1, ..Said::default() };
    assert_eq!(serde_json::from_str::<Said>(short).unwrap(), expected);
    let short = r#"{"owner":{"instance":"n1","incarnation":7},"serial":1,"term":2.0,"version":3}"#;
    let expected = Told { owner: owner(), serial: 1, term: 2.0, version: 3, grants: None, refused: None };
    assert_eq!(serde_json::from_str::<Told>(short).unwrap(), expected);
    let short = r#"{"server":"n1","incarnation":7,"number":1,"state":"Serves"}"#;
    let expected = Report { server: "n1".into(), incarnation: 7, number: 1, ..Report::default() };
    assert_eq!(serde_json::from_str::<Report>(short).unwrap(), expected);
    let short = r#"{"server":"n1","incarnation":7}"#;
    let expected = Reply { server: "n1".into(), incarnation: 7, ..Reply::default() };
    assert_eq!(serde_json::from_str::<Reply>(short).unwrap(), expected);
}

#[test]
fn commands_and_entries() {
    let duties = vec![Declared { name: "gather".into(), parts: 4, zone: Some("east".into()) }];
    for (command, literal) in [
        (Command::Time, r#""Time""#),
        (
            Command::Declare { rules: Rules::default(), duties },
            r#"{"Declare":{"rules":{"term":2.0,"drift":0.02,"stall":10.0,"barred":60.0,"flaps":3,"flap_span":60.0,"flap_rest":30.0,"panic":5.0,"calm":2.0,"moves":64},"duties":[{"name":"gather","parts":4,"zone":"east"}]}}"#,
        ),
        (
            Command::Say(vec![Said::default()]),
            r#"{"Say":[{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"wants":[],"leaving":false,"marks":[],"given":[],"knows":0}]}"#,
        ),
        (
            Command::Pause { duty: "gather".into(), paused: true },
            r#"{"Pause":{"duty":"gather","paused":true}}"#,
        ),
        (
            Command::Move { duty: duty(), to: "n2".into() },
            r#"{"Move":{"duty":{"name":"gather","part":3},"to":"n2"}}"#,
        ),
    ] {
        assert_json(&command, literal);
    }
    assert_json(&Entry { at: 1.5, command: Command::Time }, r#"{"at":1.5,"command":"Time"}"#);
}

#[test]
fn changes_with_their_causes() {
    for (what, cause, literal) in [
        (
            What::Given,
            Cause::Vacant,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Given","cause":"Vacant"}"#,
        ),
        (
            What::TakenBack,
            Cause::Draining,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"TakenBack","cause":"Draining"}"#,
        ),
        (
            What::Ended,
            Cause::Expired,
            r#"{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Ended","cause":"Expired"}"#,
        ),
    ] {
        assert_json(&change(what, cause), literal);
    }
    for (cause, literal, text) in [
        (Cause::Vacant, r#""Vacant""#, "it was vacant"),
        (Cause::Expired, r#""Expired""#, "its owner was not heard for a term"),
        (Cause::HandedOver, r#""HandedOver""#, "handed over"),
        (Cause::NotHandedOver, r#""NotHandedOver""#, "not handed over in time"),
        (Cause::Draining, r#""Draining""#, "its owner drains"),
        (Cause::Stalled, r#""Stalled""#, "its owner got nothing done"),
        (Cause::Levelled, r#""Levelled""#, "its owner has more than others"),
        (Cause::Moved, r#""Moved""#, "an operator moved it"),
        (Cause::Paused, r#""Paused""#, "an operator paused it"),
        (Cause::Dropped, r#""Dropped""#, "no longer declared"),
    ] {
        assert_json(&cause, literal);
        assert_eq!(cause.to_string(), text);
    }
}

#[test]
fn requests_to_a_replica() {
    for (ask, literal) in [
        (
            Ask::Say(Said::default()),
            r#"{"say":{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"wants":[],"leaving":false,"marks":[],"given":[],"knows":0}}"#,
        ),
        (Ask::Peer("AAEC".into()), r#"{"peer":"AAEC"}"#),
        (Ask::Status, r#""status""#),
        (Ask::Duties, r#""duties""#),
        (Ask::Command(Command::Time), r#"{"command":"Time"}"#),
        (
            Ask::Add { number: 4, address: "127.0.0.4:1".into() },
            r#"{"add":{"number":4,"address":"127.0.0.4:1"}}"#,
        ),
        (Ask::Remove { number: 4 }, r#"{"remove":{"number":4}}"#),
    ] {
        assert_json(&ask, literal);
    }
}

#[test]
fn replies_of_a_replica() {
    let row = Row { duty: duty(), owner: Some(owner()), epoch: 5, since: 1.5, back: true, paused: false };
    let seat = Seat { owner: owner(), zone: "east".into(), has: 2, leaving: true, left: 0.5, rests: 1.5 };
    for (answer, literal) in [
        (
            Answer::Told(Told::default()),
            r#"{"told":{"owner":{"instance":"","incarnation":0},"serial":0,"term":0.0,"version":0,"grants":null,"refused":null}}"#,
        ),
        (
            Answer::Elsewhere { leader: Some(2), address: Some("127.0.0.2:1".into()) },
            r#"{"elsewhere":{"leader":2,"address":"127.0.0.2:1"}}"#,
        ),
        (
            Answer::Elsewhere { leader: None, address: None },
            r#"{"elsewhere":{"leader":null,"address":null}}"#,
        ),
        (
            Answer::Status(Box::new(status())),
            r#"{"status":{"number":1,"leader":2,"leads":false,"term":3,"applied":4,"log_entries":5,"voters":[1,2],"learners":[3],"retired":[4],"last_epoch":6,"instances":7,"slow":true,"up":8.5,"counts":{"lines":9}}}"#,
        ),
        (
            Answer::Duties { rows: vec![row], seats: vec![seat], at: 9.5 },
            r#"{"duties":{"rows":[{"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"since":1.5,"back":true,"paused":false}],"seats":[{"owner":{"instance":"n1","incarnation":7},"zone":"east","has":2,"leaving":true,"left":0.5,"rests":1.5}],"at":9.5}}"#,
        ),
        (Answer::Done, r#""done""#),
        (Answer::Failed("no duty \"x\" is declared".into()), r#"{"failed":"no duty \"x\" is declared"}"#),
    ] {
        assert_json(&answer, literal);
    }
}

#[test]
fn events() {
    let judged = |piece: Option<&str>, verdict| Event::Judged {
        duty: duty(),
        epoch: 5,
        number: 6,
        piece: piece.map(String::from),
        verdict,
    };
    for (event, literal) in [
        (Event::Ready { listen: "127.0.0.1:1".into() }, r#"{"ready":{"listen":"127.0.0.1:1"}}"#),
        (
            Event::Change(change(What::Given, Cause::Vacant)),
            r#"{"change":{"at":1.5,"duty":{"name":"gather","part":3},"owner":{"instance":"n1","incarnation":7},"epoch":5,"what":"Given","cause":"Vacant"}}"#,
        ),
        (Event::Leads { keeper: 1, term: 2 }, r#"{"leads":{"keeper":1,"term":2}}"#),
        (
            Event::Begin { owner: owner(), duty: duty(), epoch: 5 },
            r#"{"begin":{"owner":{"instance":"n1","incarnation":7},"duty":{"name":"gather","part":3},"epoch":5}}"#,
        ),
        (
            Event::Down { owner: owner(), duty: duty(), epoch: 5, why: "TermOver".into() },
            r#"{"down":{"owner":{"instance":"n1","incarnation":7},"duty":{"name":"gather","part":3},"epoch":5,"why":"TermOver"}}"#,
        ),
        (
            Event::Goes { customer: "a".into(), rate: 1.5, equal: 2.5, at: 3.5, until: Some(4.5) },
            r#"{"goes":{"customer":"a","rate":1.5,"equal":2.5,"at":3.5,"until":4.5}}"#,
        ),
        (Event::Leaves { zone: "east".into(), by: Some(5) }, r#"{"leaves":{"zone":"east","by":5}}"#),
        (
            judged(Some("a.trace"), Verdict::New),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":"a.trace","verdict":"New"}}"#,
        ),
        (
            judged(None, Verdict::Repeat),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":"Repeat"}}"#,
        ),
        (
            judged(None, Verdict::Late { seen: 9 }),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":{"Late":{"seen":9}}}}"#,
        ),
        (
            judged(None, Verdict::Gap { expected: 2 }),
            r#"{"judged":{"duty":{"name":"gather","part":3},"epoch":5,"number":6,"piece":null,"verdict":{"Gap":{"expected":2}}}}"#,
        ),
    ] {
        assert_json(&event, literal);
    }
}

#[test]
fn reports_of_servers_and_replies_to_them() {
    let asked = desk::Asked { customer: "a".into(), demand: 1.5, holds: Some((5, 6)) };
    for (state, literal) in [
        (
            State::Serves,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Serves","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
        (
            State::Waits,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Waits","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
        (
            State::Leaves,
            r#"{"server":"n1","incarnation":7,"zone":"east","number":8,"state":"Leaves","asked":[{"customer":"a","demand":1.5,"holds":[5,6]}]}"#,
        ),
    ] {
        let report = Report {
            server: "n1".into(),
            incarnation: 7,
            zone: "east".into(),
            number: 8,
            state,
            asked: vec![asked.clone()],
        };
        assert_json(&report, literal);
    }
    let part = quota::Part { epoch: 5, number: 6, report: 8, rate: 1.5, span: 2.5 };
    let turn = Turn { epoch: 5, report: 8, begin: 6.5 };
    let reply = Reply {
        server: "n1".into(),
        incarnation: 7,
        parts: vec![("a".into(), part.clone())],
        turn: Some(turn.clone()),
    };
    assert_json(
        &reply,
        r#"{"server":"n1","incarnation":7,"parts":[["a",{"epoch":5,"number":6,"report":8,"rate":1.5,"span":2.5}]],"turn":{"epoch":5,"report":8,"begin":6.5}}"#,
    );
    assert_json(&part, r#"{"epoch":5,"number":6,"report":8,"rate":1.5,"span":2.5}"#);
    assert_json(&turn, r#"{"epoch":5,"report":8,"begin":6.5}"#);
    let asked =
        quota::Asked { server: "n1".into(), incarnation: 7, report: 8, demand: 1.5, holds: Some((5, 6)) };
    assert_json(&asked, r#"{"server":"n1","incarnation":7,"report":8,"demand":1.5,"holds":[5,6]}"#);
    let asked = turns::Asked {
        server: "n1".into(),
        incarnation: 7,
        report: 8,
        zone: "east".into(),
        state: State::Waits,
    };
    assert_json(&asked, r#"{"server":"n1","incarnation":7,"report":8,"zone":"east","state":"Waits"}"#);
    assert_json(
        &turns::Rules::default(),
        r#"{"most":10,"zone_share":0.1,"span":30.0,"drift":0.02,"silent":5.0}"#,
    );
}

#[test]
fn records_of_a_fence() {
    assert_json(&Seen { epoch: 5, number: 6 }, r#"{"epoch":5,"number":6}"#);
    for (verdict, literal) in [
        (Verdict::New, r#""New""#),
        (Verdict::Repeat, r#""Repeat""#),
        (Verdict::Late { seen: 9 }, r#"{"Late":{"seen":9}}"#),
        (Verdict::Gap { expected: 2 }, r#"{"Gap":{"expected":2}}"#),
    ] {
        assert_json(&verdict, literal);
    }
}

/// The counter of a change, as the lease store names it.
fn counter_name(change: &Change) -> String {
    format!("changes-{:?}-{:?}", change.what, change.cause).to_lowercase()
}

#[test]
fn counters_of_changes() {
    for (what, cause, name) in [
        (What::Given, Cause::Vacant, "changes-given-vacant"),
        (What::TakenBack, Cause::Draining, "changes-takenback-draining"),
        (What::TakenBack, Cause::Stalled, "changes-takenback-stalled"),
        (What::TakenBack, Cause::Levelled, "changes-takenback-levelled"),
        (What::TakenBack, Cause::Moved, "changes-takenback-moved"),
        (What::TakenBack, Cause::Paused, "changes-takenback-paused"),
        (What::TakenBack, Cause::Dropped, "changes-takenback-dropped"),
        (What::Ended, Cause::Expired, "changes-ended-expired"),
        (What::Ended, Cause::HandedOver, "changes-ended-handedover"),
        (What::Ended, Cause::NotHandedOver, "changes-ended-nothandedover"),
    ] {
        assert_eq!(counter_name(&change(what, cause)), name);
    }
}

#[test]
fn texts_of_commands_that_are_not_carried_out() {
    let declare = |rules: Rules, name: &str, parts: u32| Command::Declare {
        rules,
        duties: vec![Declared { name: name.into(), parts, zone: None }],
    };
    let rules = Rules::default();
    for (command, text) in [
        (
            declare(Rules { stall: -1.0, ..rules.clone() }, "a", 1),
            "stall: -1 s is out of range, 0 to a day is meant",
        ),
        (
            declare(Rules { term: 0.1, ..rules.clone() }, "a", 1),
            "term: 0.1 s is too short, 0.2 s at the least",
        ),
        (
            declare(Rules { drift: 0.6, ..rules.clone() }, "a", 1),
            "drift: 0.6 is out of range, 0 to 0.5 is meant",
        ),
        (
            declare(Rules { stall: 3.0, ..rules.clone() }, "a", 1),
            "stall: 3 s, must be two terms at the least",
        ),
        (declare(Rules { flaps: 0, ..rules.clone() }, "a", 1), "flaps, moves: 1 at the least"),
        (declare(rules.clone(), "a", 100_001), "1 duties with 100001 parts are too many"),
        (declare(rules.clone(), "", 1), "duty \"\": its name or its parts can't be"),
        (Command::Pause { duty: "x".into(), paused: true }, "no duty \"x\" is declared"),
        (Command::Move { duty: duty(), to: "n2".into() }, "\"n2\" is no instance that may have gather/3"),
    ] {
        let outcome = Table::default().apply(&Entry { at: 1.0, command });
        assert_eq!(outcome.fault.unwrap().to_string(), text);
    }
}
