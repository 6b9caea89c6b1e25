//! Stored and wire encodings. The literals and the files under `tests/golden/` must not change, so that different releases of the program
//! can read each other's data.

use puffinladder_config_rollout::follower::{Follower, StartSource, PROBATION};
use puffinladder_config_rollout::history::{
    CanaryPhase, Command, History, HistoryUpdate, LogEntry, MissedVersion, Origin, Outcome, PutRequest,
    Rejection, RetentionLimits, RevertedCanary, RolloutState, Version,
};
use puffinladder_config_rollout::messages::{
    encode_change, encode_content, Acknowledgement, Chunk, DistributorMessage, RejectedVersion, TransferId,
    TransferProgress,
};
use puffinladder_config_rollout::rollout::{
    FailedCanary, LagReason, LaggingServer, RolloutStatus, RunningCanary, UnsavedServer,
};
use puffinladder_config_rollout::validation::BoundsValidator;
use puffinladder_config_rollout::{
    Change, Content, Digest, Digester, Field, Key, Section, ValidationError, Value, VersionId,
};
use puffinladder_leases::HolderId;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;

fn digester() -> Digester {
    Digester::keyed([5; 32])
}

fn head(number: u64) -> VersionId {
    VersionId { number, digest: Digest([number as u8; 32]) }
}

/// Returns a change with a valid value for each field.
fn change() -> Change {
    let mut change = Change::default().set(Key::tenant("acme"), 120.5);
    for (index, field) in Field::ALL.into_iter().enumerate() {
        let value = 1.0 / (index + 1) as f64;
        change = match field.section() {
            Section::Tenant => change.set(Key::tenant("beta"), value),
            Section::Route => change.set(Key::route("orders", field), value),
            Section::Limit => change.set(Key::limit(field), 1.0),
        };
    }
    change.remove(Key::tenant("old"))
}

fn content() -> Content {
    Content::default().with_change(&change()).expect("every value is in range")
}

fn canaries() -> BTreeSet<String> {
    BTreeSet::from(["n1".to_string(), "n2".to_string()])
}

fn put(origin: Origin) -> PutRequest {
    PutRequest { base: head(3), author: "ann".into(), epoch: 7, origin, change: change() }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex(hex: &str) -> Vec<u8> {
    let byte = |index| u8::from_str_radix(&hex[index..index + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Checks that a value encodes to the literal and that the literal decodes to the value.
fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, literal: &str) {
    assert_eq!(serde_json::to_string(&value).expect("valid JSON"), literal);
    assert_eq!(serde_json::from_str::<T>(literal).expect("decodable"), value);
}

fn postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, literal: &str) {
    assert_eq!(hex(&::postcard::to_allocvec(&value).expect("plain data")), literal);
    assert_eq!(::postcard::from_bytes::<T>(&bytes_of_hex(literal)).expect("decodable"), value);
}

#[test]
fn digests_and_tags_keep_their_values() {
    let (plain, keyed) = (Digester::default(), digester());
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
fn keys_and_values_keep_their_json_form() {
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
        ValidationError::at(&Key::route("orders", Field::LatencyObjective), "no such route"),
        r#"{"key":{"section":"Route","name":"orders","field":"Promise"},"what":"no such route"}"#,
    );
    json(ValidationError::whole("too large"), r#"{"key":null,"what":"too large"}"#);
}

#[test]
fn bodies_keep_their_encoding() {
    assert_eq!(hex(&encode_change(&change())), "0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    assert_eq!(hex(&encode_content(&content())), "0b000461636d65000000000000205e4000046265746100000000000000f03f01066f726465727301000000000000e03f01066f726465727302555555555555d53f01066f726465727303000000000000d03f01066f7264657273049a9999999999c93f01066f726465727305555555555555c53f01066f726465727306922449922449c23f0205666c65657407000000000000f03f0205666c65657408000000000000f03f0205666c65657409000000000000f03f");
    postcard(change(), "0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(content(), "0b000461636d65000000000000205e4000046265746100000000000000f03f01066f726465727301000000000000e03f01066f726465727302555555555555d53f01066f726465727303000000000000d03f01066f7264657273049a9999999999c93f01066f726465727305555555555555c53f01066f726465727306922449922449c23f0205666c65657407000000000000f03f0205666c65657408000000000000f03f0205666c65657409000000000000f03f");
    postcard(
        ValidationError::at(&Key::route("orders", Field::DedupWindow), "no such route"),
        "0101066f7264657273060d6e6f207375636820726f757465",
    );
}

#[test]
fn distributor_messages_keep_their_encoding() {
    let change = TransferId { base: Some(head(2)), target: head(3), total_bytes: 7 };
    let whole = TransferId { base: None, ..change };
    json(
        DistributorMessage::Chunk(Chunk { transfer: change, offset: 2, bytes: vec![0, 255, 7] }),
        r#"{"piece":{"way":{"from":{"number":2,"digest":"AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI"},"to":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"total":7},"at":2,"bytes":"AP8H"}}"#,
    );
    json(
        DistributorMessage::Chunk(Chunk { transfer: whole, offset: 0, bytes: vec![1] }),
        r#"{"piece":{"way":{"from":null,"to":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"total":7},"at":0,"bytes":"AQ"}}"#,
    );
    json(
        DistributorMessage::target(&digester(), "n1", head(4), 0.25, 9),
        r#"{"target":{"head":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"age":0.25,"serial":9,"tag":3560123668011513994}}"#,
    );
    postcard(DistributorMessage::Chunk(Chunk { transfer: change, offset: 2, bytes: vec![0, 255, 7] }), "0001022002020202020202020202020202020202020202020202020202020202020202020320030303030303030303030303030303030303030303030303030303030303030307020300ff07");
    postcard(DistributorMessage::target(&digester(), "n1", head(4), 0.25, 9), "0104200404040404040404040404040404040404040404040404040404040404040404000000000000d03f098af1a5e2d1b386b431");
}

#[test]
fn acknowledgements_keep_their_encoding() {
    let full = Acknowledgement {
        server: HolderId::new("n1", 3),
        zone: "east".into(),
        sequence: 12,
        active: head(2),
        staged: head(3),
        progress: Some(TransferProgress {
            transfer: TransferId { base: None, target: head(4), total_bytes: 90 },
            received_bytes: 41,
        }),
        rejected: Some(RejectedVersion { version: head(5), cause: "no such route".into() }),
        conflicts: 2,
        healthy: true,
        save_error: Some("no space left".into()),
    };
    json(
        full.clone(),
        r#"{"owner":{"instance":"n1","incarnation":3},"zone":"east","serial":12,"in_force":{"number":2,"digest":"AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI"},"holds":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"got":[{"from":null,"to":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"total":90},41],"refused":{"head":{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU"},"cause":"no such route"},"conflicts":2,"healthy":true,"unsaved":"no space left"}"#,
    );
    json(
        Acknowledgement::default(),
        r#"{"owner":{"instance":"","incarnation":0},"zone":"","serial":0,"in_force":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"holds":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"got":null,"refused":null,"conflicts":0,"healthy":false,"unsaved":null}"#,
    );
    postcard(full, "026e310304656173740c02200202020202020202020202020202020202020202020202020202020202020202032003030303030303030303030303030303030303030303030303030303030303030100042004040404040404040404040404040404040404040404040404040404040404045a2901052005050505050505050505050505050505050505050505050505050505050505050d6e6f207375636820726f7574650201010d6e6f207370616365206c656674");
    // Fields that older servers omit.
    let short = r#"{"owner":{"instance":"n1","incarnation":1},"serial":1,"in_force":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"},"holds":{"number":0,"digest":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"}}"#;
    let read: Acknowledgement = serde_json::from_str(short).expect("decodable");
    assert_eq!(
        read,
        Acknowledgement { server: HolderId::new("n1", 1), sequence: 1, ..Acknowledgement::default() }
    );
}

#[test]
fn log_entries_keep_their_encoding() {
    let entry = |command| LogEntry { at: 1.5, command };
    let announce = Command::Announce { epoch: 7 };
    let start_canary = Command::StartCanary { epoch: 7, number: 4, canaries: canaries() };
    let release = Command::Release { epoch: 7, number: 4 };
    let revert = Command::Revert { epoch: 7, author: "o".into(), number: 4, cause: "n1 fell".into() };
    json(entry(announce.clone()), r#"{"at":1.5,"command":{"Announce":{"epoch":7}}}"#);
    json(
        entry(start_canary.clone()),
        r#"{"at":1.5,"command":{"Trial":{"epoch":7,"number":4,"canaries":["n1","n2"]}}}"#,
    );
    json(entry(release.clone()), r#"{"at":1.5,"command":{"Release":{"epoch":7,"number":4}}}"#);
    json(
        entry(revert.clone()),
        r#"{"at":1.5,"command":{"TakeBack":{"epoch":7,"author":"o","number":4,"cause":"n1 fell"}}}"#,
    );
    postcard(entry(announce), "000000000000f83f0007");
    postcard(entry(Command::Put(put(Origin::Put))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e07000c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(Command::Put(put(Origin::Rollback { to: 2 }))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e0701020c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(Command::Put(put(Origin::Reverted { to: 2, cause: "it fell".into() }))), "000000000000f83f010320030303030303030303030303030303030303030303030303030303030303030303616e6e0702020769742066656c6c0c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f");
    postcard(entry(start_canary), "000000000000f83f02070402026e31026e32");
    postcard(entry(release), "000000000000f83f030704");
    postcard(entry(revert), "000000000000f83f0407016f04076e312066656c6c");
    json(Origin::Put, r#""Put""#);
    json(Origin::Rollback { to: 2 }, r#"{"Rollback":{"to":2}}"#);
    json(Origin::Reverted { to: 2, cause: "it fell".into() }, r#"{"TakenBack":{"to":2,"cause":"it fell"}}"#);
    let empty = PutRequest { change: Change::default(), ..put(Origin::Put) };
    json(
        entry(Command::Put(empty)),
        r#"{"at":1.5,"command":{"Put":{"base":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"author":"ann","epoch":7,"origin":"Put","change":{}}}}"#,
    );
}

#[test]
fn log_outcomes_keep_their_encoding() {
    let missed = MissedVersion { number: 3, author: "ann".into(), at: 1.5, keys: 2 };
    let outcomes = [
        (Ok(Outcome::Announced), r#"{"Ok":"Announced"}"#, "0000"),
        (Ok(Outcome::Accepted(head(4))), r#"{"Ok":{"Accepted":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000104200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Outcome::AlreadyApplied(head(4))), r#"{"Ok":{"Repeat":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000204200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Outcome::CanaryStarted), r#"{"Ok":"Tried"}"#, "0003"),
        (Ok(Outcome::Released(head(4))), r#"{"Ok":{"Released":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000404200404040404040404040404040404040404040404040404040404040404040404"),
        (Ok(Outcome::Reverted(head(4))), r#"{"Ok":{"TakenBack":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "000504200404040404040404040404040404040404040404040404040404040404040404"),
        (Err(Rejection::StaleEpoch { seen: 7 }), r#"{"Err":{"Late":{"seen":7}}}"#, "010007"),
        (Err(Rejection::MissedVersions { head: head(4), missed: vec![missed] }), r#"{"Err":{"Missed":{"head":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"missed":[{"number":3,"author":"ann","at":1.5,"keys":2}]}}}"#, "010104200404040404040404040404040404040404040404040404040404040404040404010303616e6e000000000000f83f02"),
        (Err(Rejection::UnknownVersion(head(4))), r#"{"Err":{"Unknown":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"}}}"#, "010204200404040404040404040404040404040404040404040404040404040404040404"),
        (Err(Rejection::Compacted(3)), r#"{"Err":{"Forgotten":3}}"#, "010303"),
        (Err(Rejection::Invalid(ValidationError::whole("too large"))), r#"{"Err":{"Unfit":{"key":null,"what":"too large"}}}"#, "01040009746f6f206c61726765"),
        (Err(Rejection::NoChange), r#"{"Err":"Empty"}"#, "0105"),
        (Err(Rejection::Full), r#"{"Err":"Full"}"#, "0106"),
        (Err(Rejection::NotOnCanaries { asked: 3, current: Some(4) }), r#"{"Err":{"NotOnTrial":{"asked":3,"trial":4}}}"#, "0107030104"),
        (Err(Rejection::NoQuorum), r#"{"Err":"NoMajority"}"#, "0108"),
    ];
    for (answer, as_json, as_postcard) in outcomes {
        json::<Result<Outcome, Rejection>>(answer.clone(), as_json);
        postcard::<Result<Outcome, Rejection>>(answer, as_postcard);
    }
}

fn state() -> RolloutState {
    let reverted = RevertedCanary { number: 2, last: 3, cause: "n1 fell".into(), at: 1.5 };
    let canary = CanaryPhase { number: 5, canaries: canaries(), since: 2.5 };
    RolloutState { released: 4, canary: Some(canary), reverted: [reverted].into() }
}

fn update() -> HistoryUpdate {
    let version = Version {
        number: 5,
        digest: Digest([5; 32]),
        author: "ann".into(),
        epoch: 7,
        at: 1.5,
        origin: Origin::Rollback { to: 1 },
        change: change(),
    };
    HistoryUpdate { after: head(4), versions: vec![version], epoch: 7, state: state(), applied: 11 }
}

#[test]
fn history_updates_keep_their_encoding() {
    json(
        state(),
        r#"{"released":4,"trial":{"number":5,"canaries":["n1","n2"],"since":2.5},"taken_back":[{"number":2,"last":3,"cause":"n1 fell","at":1.5}]}"#,
    );
    postcard(update(), "04200404040404040404040404040404040404040404040404040404040404040404010520050505050505050505050505050505050505050505050505050505050505050503616e6e07000000000000f83f01010c000461636d6500010000000000205e400004626574610001000000000000f03f00036f6c64000001066f72646572730101000000000000e03f01066f72646572730201555555555555d53f01066f72646572730301000000000000d03f01066f726465727304019a9999999999c93f01066f72646572730501555555555555c53f01066f72646572730601922449922449c23f0205666c6565740701000000000000f03f0205666c6565740801000000000000f03f0205666c6565740901000000000000f03f0704010502026e31026e320000000000000440010203076e312066656c6c000000000000f83f0b");
    json(
        HistoryUpdate { versions: Vec::new(), ..update() },
        r#"{"after":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"versions":[],"epoch":7,"stage":{"released":4,"trial":{"number":5,"canaries":["n1","n2"],"since":2.5},"taken_back":[{"number":2,"last":3,"cause":"n1 fell","at":1.5}]},"applied":11}"#,
    );
    json(RetentionLimits { versions: 6, bytes: 1000 }, r#"{"versions":6,"bytes":1000}"#);
    postcard(RetentionLimits { versions: 6, bytes: 1000 }, "06e807");
    let mut version = update().versions.remove(0);
    version.change = Change::default();
    json(
        version,
        r#"{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU","author":"ann","epoch":7,"at":1.5,"origin":{"Rollback":{"to":1}},"change":{}}"#,
    );
}

#[test]
fn rollout_status_keeps_its_encoding() {
    let lagging = |reason| LaggingServer {
        server: "n3".into(),
        zone: "east".into(),
        active: Some(head(3)),
        lag: 2.5,
        reason,
    };
    let reasons = [
        (
            LagReason::Unheard,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Unheard"}"#,
        ),
        (
            LagReason::Silent(3.5),
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":{"Silent":3.5}}"#,
        ),
        (
            LagReason::Rejected("no such route".into()),
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":{"Refused":"no such route"}}"#,
        ),
        (
            LagReason::Conflict,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Conflict"}"#,
        ),
        (
            LagReason::Behind,
            r#"{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Behind"}"#,
        ),
    ];
    for (reason, literal) in reasons {
        json(lagging(reason), literal);
    }
    let status = RolloutStatus {
        head: head(5),
        released: head(4),
        canary: Some(RunningCanary { number: 5, canaries: vec!["n1".into(), "n2".into()] }),
        up_to_date: 9,
        servers: 10,
        everywhere: false,
        lagging: vec![lagging(LagReason::Behind)],
        unsaved: vec![UnsavedServer { server: "n3".into(), error: "no space left".into() }],
        last_failed: Some(FailedCanary { number: 2, cause: "n1 fell".into() }),
    };
    json(
        status.clone(),
        r#"{"head":{"number":5,"digest":"BQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQU"},"released":{"number":4,"digest":"BAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQ"},"trial":[5,["n1","n2"]],"have":9,"of":10,"everywhere":false,"lagging":[{"server":"n3","zone":"east","in_force":{"number":3,"digest":"AwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwMDAwM"},"since":2.5,"why":"Behind"}],"unsaved":[["n3","no space left"]],"taken_back":[2,"n1 fell"]}"#,
    );
    postcard(status, "0520050505050505050505050505050505050505050505050505050505050505050504200404040404040404040404040404040404040404040404040404040404040404010502026e31026e32090a0001026e330465617374010320030303030303030303030303030303030303030303030303030303030303030300000000000004400401026e330d6e6f207370616365206c6566740102076e312066656c6c");
}

fn apply(history: &mut History, command: Command) {
    history.apply(&LogEntry { at: 1.5, command }).expect("accepted");
}

/// Returns a history with a checkpoint, versions of each origin, a running canary phase and a reverted one.
fn history() -> History {
    let mut history = History::new(digester(), RetentionLimits { versions: 3, bytes: 1 << 20 });
    let canaries = canaries();
    for index in 1..=5u32 {
        let (base, origin) = (history.head(), Origin::Put);
        let change = change().set(Key::tenant("acme"), f64::from(index));
        apply(
            &mut history,
            Command::Put(PutRequest { base, author: "ann".into(), epoch: 7, origin, change }),
        );
        let number = history.head().number;
        apply(&mut history, Command::StartCanary { epoch: 7, number, canaries: canaries.clone() });
        if index == 3 {
            let (author, cause) = ("owner-7".into(), "n1 fell".into());
            apply(&mut history, Command::Revert { epoch: 7, author, number, cause });
        } else if index < 5 {
            apply(&mut history, Command::Release { epoch: 7, number });
        }
    }
    let rollback = history.rollback(5, "bob", 8).expect("retained");
    apply(&mut history, Command::Put(rollback));
    history
}

fn file(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(path).expect("golden file")
}

#[test]
fn stored_history_keeps_its_encoding() {
    let (history, stored) = (history(), file("history.snapshot"));
    assert_eq!(history.snapshot(), stored);
    assert_eq!(History::restore(digester(), &stored).expect("decodable"), history);
    assert_eq!(history.state().reverted.len(), 1);
    assert_eq!((history.checkpoint().number, history.head().number), (4, 7));
}

#[test]
fn last_good_file_keeps_its_encoding() {
    let start = |disk: Option<&[u8]>| {
        Follower::start(HolderId::new("n1", 1), "east", digester(), disk, &BoundsValidator)
    };
    let (mut follower, _) = start(None);
    let body = encode_content(&content());
    let head = digester().version_id(9, &content());
    let transfer = TransferId { base: None, target: head, total_bytes: body.len() as u32 };
    follower
        .receive(&DistributorMessage::Chunk(Chunk { transfer, offset: 0, bytes: body }), &BoundsValidator);
    assert!(follower.activated(0.0, head));
    let stored = file("last-good");
    assert_eq!(follower.save(PROBATION).expect("the probation has passed"), stored);
    let (restarted, start_source) = start(Some(&stored));
    assert_eq!(start_source, StartSource::LastGood(head));
    assert_eq!(restarted.active().content.as_ref(), &content());
}
