//! Stored and wire forms as they were first released. The literals and the files under `tests/golden/` stay as they are, whatever the
//! types are called: a node of one release reads what a node of another release wrote.

use puffinladder_config_rollout::check::Shape;
use puffinladder_config_rollout::content::Value;
use puffinladder_config_rollout::follower::{Began, Follower, GOOD};
use puffinladder_config_rollout::history::{
    Command, Done, Entry, History, Limits, Missed, News, Origin, Put, Refusal, Stage, TakenBack, Trial,
    Version,
};
use puffinladder_config_rollout::rollout::{Lag, Status, Why};
use puffinladder_config_rollout::words::{body_of_change, body_of_content, Ack, Piece, Refused, Tell, Way};
use puffinladder_config_rollout::{Change, Content, Digest, Field, Head, Key, Seal, Section, Wrong};
use puffinladder_leases::Owner;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;

fn seal() -> Seal {
    Seal::keyed([5; 32])
}

fn head(number: u64) -> Head {
    Head { number, digest: Digest([number as u8; 32]) }
}

/// One key of each field, all of them fit.
fn change() -> Change {
    let mut change = Change::default().set(Key::tenant("acme"), 120.5);
    for (at, field) in Field::ALL.into_iter().enumerate() {
        let value = 1.0 / (at + 1) as f64;
        change = match field.section() {
            Section::Tenant => change.set(Key::tenant("beta"), value),
            Section::Route => change.set(Key::route("orders", field), value),
            Section::Limit => change.set(Key::limit(field), 1.0),
        };
    }
    change.remove(Key::tenant("old"))
}

fn content() -> Content {
    Content::default().after(&change()).expect("every value is in range")
}

fn canaries() -> BTreeSet<String> {
    BTreeSet::from(["n1".to_string(), "n2".to_string()])
}

fn put(origin: Origin) -> Put {
    Put { base: head(3), author: "ann".into(), epoch: 7, origin, change: change() }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// A value is written as the literal says, and the literal is read as that value.
fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, literal: &str) {
    assert_eq!(serde_json::to_string(&value).expect("a line of JSON"), literal);
    assert_eq!(serde_json::from_str::<T>(literal).expect("readable"), value);
}

fn postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, literal: &str) {
    assert_eq!(hex(&::postcard::to_allocvec(&value).expect("plain data")), literal);
    assert_eq!(::postcard::from_bytes::<T>(&bytes_of_hex(literal)).expect("readable"), value);
}

#[test]
fn digests_and_tags() {
    let (plain, keyed) = (Seal::default(), seal());
    assert_eq!(
        hex(&plain.digest(0, &Content::default()).0),
        "6ee3a9ddd8d67a0272bf94c11ed704c627bc100a4e1d0d53d5f4a39f31556a77"
    );
    assert_eq!(
        hex(&plain.digest(9, &content()).0),
        "9c5737b62fe5ce6cd7657474d998f2176d828812e10ec74eba23f6bae5da97ab"
    );
    assert_eq!(
        hex(&keyed.digest(9, &content()).0),
        "c08200e917cb6f15154172e49483e7aa8bd4fa614a9393d0d6cad9e6221c6aca"
    );
    assert_eq!(plain.tag("n1", head(4), 0.25, 17).to_string(), "15693962121609428784");
    assert_eq!(keyed.tag("n1", head(4), 0.25, 17).to_string(), "8227784959552577881");
    assert_eq!(head(4).to_string(), "4:040404040404");
    let mut canonical = Vec::new();
    content().canonical(&mut canonical);
    assert_eq!(hex(&canonical), "0b00000000000000000400000061636d65000000000000205e4000040000006265746100000000000000f03f01060000006f726465727301000000000000e03f01060000006f726465727302555555555555d53f01060000006f726465727303000000000000d03f01060000006f7264657273049a9999999999c93f01060000006f726465727305555555555555c53f01060000006f726465727306922449922449c23f0205000000666c65657407000000000000f03f0205000000666c65657408000000000000f03f0205000000666c65657409000000000000f03f");
}

#[test]
fn keys_and_values_as_json() {
    json(head(4), r#"{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}"#);
    json(Key::tenant("acme"), r#"{"section":"Tenant","name":"acme","field":"Quota"}"#);
    for (field, literal) in Field::ALL.into_iter().zip([
        r#""Quota""#,
        r#""Promise""#,
        r#""PromiseStretch""#,
        r#""GiveUp""#,
        r#""Importance""#,
        r#""LateShare""#,
        r#""Window""#,
        r#""Servers""#,
        r#""OverShareWorth""#,
        r#""MaxRetryAfter""#,
    ]) {
        json(field, literal);
    }
    for (section, literal) in Section::ALL.into_iter().zip([r#""Tenant""#, r#""Route""#, r#""Limit""#]) {
        json(section, literal);
    }
    json(Value(1.5), "1.5");
    json(
        Wrong::at(&Key::route("orders", Field::Promise), "no such route"),
        r#"{"key":{"section":"Route","name":"orders","field":"Promise"},"what":"no such route"}"#,
    );
    json(Wrong::whole("too large"), r#"{"key":null,"what":"too large"}"#);
}

#[test]
fn bodies() {
    assert_eq!(hex(&body_of_change(&change())), "0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    assert_eq!(hex(&body_of_content(&content())), "0b000461636d65000000000000205e4000046265746100000000000000f03f01066f726465727301000000000000e03f01066f726465727302555555555555d53f01066f726465727303000000000000d03f01066f7264657273049a9999999999c93f01066f726465727305555555555555c53f01066f726465727306922449922449c23f0205666c65657407000000000000f03f0205666c65657408000000000000f03f0205666c65657409000000000000f03f");
    postcard(change(), "0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(content(), "0b000461636d65000000000000205e4000046265746100000000000000f03f01066f726465727301000000000000e03f01066f726465727302555555555555d53f01066f726465727303000000000000d03f01066f7264657273049a9999999999c93f01066f726465727305555555555555c53f01066f726465727306922449922449c23f0205666c65657407000000000000f03f0205666c65657408000000000000f03f0205666c65657409000000000000f03f");
    postcard(
        Wrong::at(&Key::route("orders", Field::Window), "no such route"),
        "0101066f7264657273060d6e6f207375636820726f757465",
    );
}

#[test]
fn messages_to_a_server() {
    let change = Way { from: Some(head(2)), to: head(3), total: 7 };
    let whole = Way { from: None, ..change };
    json(
        Tell::Piece(Piece { way: change, at: 2, bytes: vec![0, 255, 7] }),
        r#"{"piece":{"way":{"from":{"number":2,"digest":"AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI"},"to":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"total":7},"at":2,"bytes":"AP8H"}}"#,
    );
    json(
        Tell::Piece(Piece { way: whole, at: 0, bytes: vec![1] }),
        r#"{"piece":{"way":{"from":null,"to":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"total":7},"at":0,"bytes":"AQ"}}"#,
    );
    json(
        Tell::target(&seal(), "n1", head(4), 0.25, 9),
        r#"{"target":{"head":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"age":0.25,"serial":9,"tag":3560123668011513994}}"#,
    );
    postcard(Tell::Piece(Piece { way: change, at: 2, bytes: vec![0, 255, 7] }), "0001022002020202020202020202020202020202020202020202020202020202020202020320030303030303030303030303030303030303030303030303030303030303030307020300ff07");
    postcard(Tell::target(&seal(), "n1", head(4), 0.25, 9), "0104200404040404040404040404040404040404040404040404040404040404040404000000000000d03f098af1a5e2d1b386b431");
}

#[test]
fn messages_from_a_server() {
    let full = Ack {
        owner: Owner::new("n1", 3),
        zone: "east".into(),
        serial: 12,
        in_force: head(2),
        holds: head(3),
        got: Some((Way { from: None, to: head(4), total: 90 }, 41)),
        refused: Some(Refused { head: head(5), cause: "no such route".into() }),
        conflicts: 2,
        healthy: true,
        unsaved: Some("no space left".into()),
    };
    json(
        full.clone(),
        r#"{"owner":{"instance":"n1","incarnation":3},"zone":"east","serial":12,"in_force":{"number":2,"digest":"AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI"},"holds":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"got":[{"from":null,"to":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"total":90},41],"refused":{"head":{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU"},"cause":"no such route"},"conflicts":2,"healthy":true,"unsaved":"no space left"}"#,
    );
    json(
        Ack::default(),
        r#"{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"in_force":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"holds":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"got":null,"refused":null,"conflicts":0,"healthy":false,"unsaved":null}"#,
    );
    postcard(full, "026e310304656173740c02200202020202020202020202020202020202020202020202020202020202020202032003030303030303030303030303030303030303030303030303030303030303030100042004040404040404040404040404040404040404040404040404040404040404045a2901052005050505050505050505050505050505050505050505050505050505050505050d6e6f207375636820726f7574650201010d6e6f207370616365206c656674");
    // What an older server leaves out.
    let short = r#"{"owner":{"instance":"n1","incarnation":1},"serial":1,"in_force":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"holds":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"}}"#;
    let read: Ack = serde_json::from_str(short).expect("readable");
    assert_eq!(read, Ack { owner: Owner::new("n1", 1), serial: 1, ..Ack::default() });
}

#[test]
fn entries_of_the_log() {
    let entry = |command| Entry { at: 1.5, command };
    let announce = Command::Announce { epoch: 7 };
    let trial = Command::Trial { epoch: 7, number: 4, canaries: canaries() };
    let release = Command::Release { epoch: 7, number: 4 };
    let back = Command::TakeBack { epoch: 7, author: "o".into(), number: 4, cause: "n1 fell".into() };
    json(entry(announce.clone()), r#"{"at":1.5,"command":{"Announce":{"epoch":7}}}"#);
    json(
        entry(trial.clone()),
        r#"{"at":1.5,"command":{"Trial":{"epoch":7,"number":4,"canaries":["n1","n2"]}}}"#,
    );
    json(entry(release.clone()), r#"{"at":1.5,"command":{"Release":{"epoch":7,"number":4}}}"#);
    json(
        entry(back.clone()),
        r#"{"at":1.5,"command":{"TakeBack":{"epoch":7,"author":"o","number":4,"cause":"n1 fell"}}}"#,
    );
    postcard(entry(announce), "000000000000f83f0007");
    postcard(entry(Command::Put(put(Origin::Put))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e07000c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(Command::Put(put(Origin::Rollback { to: 2 }))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e0701020c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(Command::Put(put(Origin::TakenBack { to: 2, cause: "it fell".into() }))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e0702020769742066656c6c0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(trial), "000000000000f83f02070402026e31026e32");
    postcard(entry(release), "000000000000f83f030704");
    postcard(entry(back), "000000000000f83f0407016f04076e312066656c6c");
    json(Origin::Put, r#""Put""#);
    json(Origin::Rollback { to: 2 }, r#"{"Rollback":{"to":2}}"#);
    json(Origin::TakenBack { to: 2, cause: "it fell".into() }, r#"{"TakenBack":{"to":2,"cause":"it fell"}}"#);
    let empty = Put { change: Change::default(), ..put(Origin::Put) };
    json(
        entry(Command::Put(empty)),
        r#"{"at":1.5,"command":{"Put":{"base":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"author":"ann","epoch":7,"origin":"Put","change":{}}}}"#,
    );
}

#[test]
fn answers_of_the_log() {
    let missed = Missed { number: 3, author: "ann".into(), at: 1.5, keys: 2 };
    let all = [
        (Ok(Done::Announced), r#"{"Ok":"Announced"}"#, "0000"),
        (Ok(Done::Accepted(head(4))), r#"{"Ok":{"Accepted":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000104200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Done::Repeat(head(4))), r#"{"Ok":{"Repeat":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000204200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Done::Tried), r#"{"Ok":"Tried"}"#, "0003"),
        (Ok(Done::Released(head(4))), r#"{"Ok":{"Released":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000404200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Done::TakenBack(head(4))), r#"{"Ok":{"TakenBack":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000504200404040404040404040404040404040404040404040404040404040404040404"),
        (Err(Refusal::Late { seen: 7 }), r#"{"Err":{"Late":{"seen":7}}}"#, "010007"),
        (Err(Refusal::Missed { head: head(4), missed: vec![missed] }), r#"{"Err":{"Missed":{"head":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"missed":[{"number":3,"author":"ann","at":1.5,"keys":2}]}}}"#, "010104200404040404040404040404040404040404040404040404040404040404040404010303616e6e000000000000f83f02"),
        (Err(Refusal::Unknown(head(4))), r#"{"Err":{"Unknown":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "010204200404040404040404040404040404040404040404040404040404040404040404"),
        (Err(Refusal::Forgotten(3)), r#"{"Err":{"Forgotten":3}}"#, "010303"),
        (Err(Refusal::Unfit(Wrong::whole("too large"))), r#"{"Err":{"Unfit":{"key":null,"what":"too large"}}}"#, "01040009746f6f206c61726765"),
        (Err(Refusal::Empty), r#"{"Err":"Empty"}"#, "0105"),
        (Err(Refusal::Full), r#"{"Err":"Full"}"#, "0106"),
        (Err(Refusal::NotOnTrial { asked: 3, trial: Some(4) }), r#"{"Err":{"NotOnTrial":{"asked":3,"trial":4}}}"#, "0107030104"),
        (Err(Refusal::NoMajority), r#"{"Err":"NoMajority"}"#, "0108"),
    ];
    for (answer, as_json, as_postcard) in all {
        json::<Result<Done, Refusal>>(answer.clone(), as_json);
        postcard::<Result<Done, Refusal>>(answer, as_postcard);
    }
}

fn stage() -> Stage {
    let back = TakenBack { number: 2, last: 3, cause: "n1 fell".into(), at: 1.5 };
    let trial = Trial { number: 5, canaries: canaries(), since: 2.5 };
    Stage { released: 4, trial: Some(trial), taken_back: [back].into() }
}

fn news() -> News {
    let version = Version {
        number: 5,
        digest: Digest([5; 32]),
        author: "ann".into(),
        epoch: 7,
        at: 1.5,
        origin: Origin::Rollback { to: 1 },
        change: change(),
    };
    News { after: head(4), versions: vec![version], epoch: 7, stage: stage(), applied: 11 }
}

#[test]
fn news_for_a_replica() {
    json(
        stage(),
        r#"{"released":4,"trial":{"number":5,"canaries":["n1","n2"],"since":2.5},"taken_back":[{"number":2,"last":3,"cause":"n1 fell","at":1.5}]}"#,
    );
    postcard(news(), "04200404040404040404040404040404040404040404040404040404040404040404010520050505050505050505050505050505050505050505050505050505050505050503616e6e07000000000000f83f01010c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f0704010502026e31026e320000000000000440010203076e312066656c6c000000000000f83f0b");
    json(
        News { versions: Vec::new(), ..news() },
        r#"{"after":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"versions":[],"epoch":7,"stage":{"released":4,"trial":{"number":5,"canaries":["n1","n2"],"since":2.5},"taken_back":[{"number":2,"last":3,"cause":"n1 fell","at":1.5}]},"applied":11}"#,
    );
    json(Limits { versions: 6, bytes: 1000 }, r#"{"versions":6,"bytes":1000}"#);
    postcard(Limits { versions: 6, bytes: 1000 }, "06e807");
    let mut version = news().versions.remove(0);
    version.change = Change::default();
    json(
        version,
        r#"{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU","author":"ann","epoch":7,"at":1.5,"origin":{"Rollback":{"to":1}},"change":{}}"#,
    );
}

#[test]
fn status_of_a_rollout() {
    let lag =
        |why| Lag { server: "n3".into(), zone: "east".into(), in_force: Some(head(3)), since: 2.5, why };
    let whys = [
        (
            Why::Unheard,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Unheard"}"#,
        ),
        (
            Why::Silent(3.5),
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":{"Silent":3.5}}"#,
        ),
        (
            Why::Refused("no such route".into()),
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":{"Refused":"no such route"}}"#,
        ),
        (
            Why::Conflict,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Conflict"}"#,
        ),
        (
            Why::Behind,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Behind"}"#,
        ),
    ];
    for (why, literal) in whys {
        json(lag(why), literal);
    }
    let status = Status {
        head: head(5),
        released: head(4),
        trial: Some((5, vec!["n1".into(), "n2".into()])),
        have: 9,
        of: 10,
        everywhere: false,
        lagging: vec![lag(Why::Behind)],
        unsaved: vec![("n3".into(), "no space left".into())],
        taken_back: Some((2, "n1 fell".into())),
    };
    json(
        status.clone(),
        r#"{"head":{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU"},"released":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"trial":[5,["n1","n2"]],"have":9,"of":10,"everywhere":false,"lagging":[{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Behind"}],"unsaved":[["n3","no space left"]],"taken_back":[2,"n1 fell"]}"#,
    );
    postcard(status, "0520050505050505050505050505050505050505050505050505050505050505050504200404040404040404040404040404040404040404040404040404040404040404010502026e31026e32090a0001026e330465617374010320030303030303030303030303030303030303030303030303030303030303030300000000000004400401026e330d6e6f207370616365206c6566740102076e312066656c6c");
}

fn apply(history: &mut History, command: Command) {
    history.apply(&Entry { at: 1.5, command }).expect("accepted");
}

/// A history with a checkpoint, every kind of version, a trial under way and one that was taken back.
fn history() -> History {
    let mut history = History::new(seal(), Limits { versions: 3, bytes: 1 << 20 });
    let canaries = canaries();
    for at in 1..=5u32 {
        let (base, origin) = (history.head(), Origin::Put);
        let change = change().set(Key::tenant("acme"), f64::from(at));
        apply(&mut history, Command::Put(Put { base, author: "ann".into(), epoch: 7, origin, change }));
        let number = history.head().number;
        apply(&mut history, Command::Trial { epoch: 7, number, canaries: canaries.clone() });
        if at == 3 {
            let (author, cause) = ("owner-7".into(), "n1 fell".into());
            apply(&mut history, Command::TakeBack { epoch: 7, author, number, cause });
        } else if at < 5 {
            apply(&mut history, Command::Release { epoch: 7, number });
        }
    }
    let back = history.rollback(5, "bob", 8).expect("known");
    apply(&mut history, Command::Put(back));
    history
}

fn file(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(path).expect("a file of the repository")
}

#[test]
fn a_stored_history() {
    let (history, stored) = (history(), file("history.snapshot"));
    assert_eq!(history.snapshot(), stored);
    assert_eq!(History::restore(seal(), &stored).expect("readable"), history);
    assert_eq!(history.stage().taken_back.len(), 1);
    assert_eq!((history.checkpoint().number, history.head().number), (4, 7));
}

#[test]
fn a_stored_last_good_version() {
    let start = |disk: Option<&[u8]>| Follower::start(Owner::new("n1", 1), "east", seal(), disk, &Shape);
    let (mut follower, _) = start(None);
    let body = body_of_content(&content());
    let head = seal().head(9, &content());
    let way = Way { from: None, to: head, total: body.len() as u32 };
    follower.hear(&Tell::Piece(Piece { way, at: 0, bytes: body }), &Shape);
    assert!(follower.in_force(0.0, head));
    let stored = file("last-good");
    assert_eq!(follower.save(GOOD).expect("proved"), stored);
    let (again, began) = start(Some(&stored));
    assert_eq!(began, Began::LastGood(head));
    assert_eq!(again.works_by().content.as_ref(), &content());
}
