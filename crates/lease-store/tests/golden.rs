//! Compatibility of the stored file (`tests/data/keeper.redb`), its log entries and snapshot, and the lines on TCP
//! connections. The literals never change: a failing test means that data of a running installation can't be read.

use puffinladder_lease_store::durable::{DurableState, StoredEntry, StoredHardState, StoredSnapshot};
use puffinladder_lease_store::membership::{Members, MembershipChange};
use puffinladder_lease_store::replica::{Replica, ReplicaConfig};
use puffinladder_lease_store::server::{start, ServerOptions};
use puffinladder_lease_store::store::Store;
use puffinladder_leases::protocol::{Event, EventSink, ReplicaReply, ReplicaRequest};
use puffinladder_leases::table::TaskDeclaration;
use puffinladder_transport::{connect, Clock};
use serde::{de::DeserializeOwned, Serialize};
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// Contents of the snapshot: the table and the members.
const SNAPSHOT: &str = "00000000000000407b14ae47e17a943f00000000000024400000000000004e40030000000000004e400000000000003e400000000000001440\
    000000000000004040000000000000fb3f030402066761746865720667617468657202000002010273310101000000000000f33f0000000000010273310102\
    000000000000f33f00000000000571756f74610571756f74610101027a310001010273310103000000000000f33f00000000000102733101027a3101000000\
    000000004052b81e85ebd1094002066761746865720571756f7461000403066761746865720006676174686572010571756f74610001027331010000000000\
    0000000000000000000000f33f00000000000000f33f00000000000000000001020f3132372e302e302e323a313832303100";

/// Index, term, type, data and context of each entry after the snapshot: time, a lease request, a pause, a move,
/// and the removal of replica 2.
const ENTRIES: [(u64, u64, i32, &str, &str); 9] = [
    (21, 2, 0, "000000000000fd3f00", ""),
    (22, 2, 0, "000000000000ff3f00", ""),
    (23, 2, 0, "000000000080004000", ""),
    (24, 2, 0, "000000000080014000", ""),
    (
        25,
        2,
        0,
        "0000000000800140020102733201027a320102066761746865720571756f7461000106676174686572000105010106676174686572010900",
        "",
    ),
    (26, 2, 0, "0000000000800140030571756f746101", "4700000000000000"),
    (27, 2, 0, "0000000000800140040667617468657200027332", "4800000000000000"),
    (28, 2, 0, "000000000080024000", ""),
    (29, 2, 1, "100118022203490202", "490202"),
];

/// Rows of the table once all entries are applied.
const LEASE_ROWS: &str = concat!(
    r#"[{"duty":{"name":"gather","part":0},"owner":{"instance":"s1","incarnation":1},"epoch":1,"since":1.1875,"back":true,"paused":false},"#,
    r#"{"duty":{"name":"gather","part":1},"owner":{"instance":"s1","incarnation":1},"epoch":2,"since":1.1875,"back":false,"paused":false},"#,
    r#"{"duty":{"name":"quota","part":0},"owner":{"instance":"s1","incarnation":1},"epoch":3,"since":1.1875,"back":true,"paused":true}]"#
);

fn decode_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|index| u8::from_str_radix(&hex[index..index + 2], 16).unwrap()).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A copy of the stored file, since opening a file writes to it.
fn copy_stored_file(directory: &tempfile::TempDir) -> PathBuf {
    let path = directory.path().join("keeper.redb");
    std::fs::copy(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/keeper.redb"), &path).unwrap();
    path
}

fn config() -> ReplicaConfig {
    let tasks = vec![
        TaskDeclaration { name: "gather".into(), parts: 2, zone: None },
        TaskDeclaration { name: "quota".into(), parts: 1, zone: Some("z1".into()) },
    ];
    ReplicaConfig { tasks, snapshot_entries: 1000, ..ReplicaConfig::default() }
}

fn stored_state() -> DurableState {
    let snapshot = StoredSnapshot {
        index: 20,
        term: 2,
        voters: vec![1, 2],
        learners: vec![],
        data: decode_hex(SNAPSHOT),
    };
    let entry = |(index, term, entry_type, data, context): (u64, u64, i32, &str, &str)| StoredEntry {
        index,
        term,
        entry_type,
        data: decode_hex(data),
        context: decode_hex(context),
    };
    let entries = ENTRIES.into_iter().map(entry).collect();
    DurableState { hard_state: StoredHardState { term: 2, vote: 1, commit: 29 }, snapshot, entries }
}

#[test]
fn reads_stored_file() {
    let directory = tempfile::tempdir().unwrap();
    let (store, durable) = Store::open(&copy_stored_file(&directory)).unwrap();
    assert_eq!(store.id(), 1);
    assert_eq!(durable, stored_state());
}

#[test]
fn restores_table_and_members_from_snapshot_and_entries() {
    let mut replica = Replica::new(1, config(), &stored_state()).unwrap();
    assert_eq!((replica.applied(), replica.term(), replica.voters()), (20, 2, vec![1, 2]));
    assert_eq!(
        serde_json::to_string(replica.members()).unwrap(),
        r#"{"joined":{"2":"127.0.0.2:18201"},"retired":[]}"#
    );
    let written = postcard::to_allocvec(&(replica.table(), replica.members())).unwrap();
    assert_eq!(encode_hex(&written), encode_hex(&decode_hex(SNAPSHOT)));
    replica.process(100.0).unwrap();
    assert_eq!((replica.applied(), replica.term(), replica.voters()), (29, 2, vec![1]));
    assert_eq!(serde_json::to_string(&replica.table().lease_rows()).unwrap(), LEASE_ROWS);
    assert_eq!(replica.table().last_epoch(), 3);
    assert_eq!(serde_json::to_string(replica.members()).unwrap(), r#"{"joined":{},"retired":[2]}"#);
}

#[test]
fn membership_change_encoding_is_unchanged() {
    let add = MembershipChange::Add { number: 2, address: "127.0.0.2:18201".into() };
    let encodings = [
        (70_u64, add, "4600020f3132372e302e302e323a3138323031"),
        (0, MembershipChange::Promote(2), "000102"),
        (73, MembershipChange::Remove(2), "490202"),
    ];
    for (token, change, stored) in encodings {
        assert_eq!(encode_hex(&postcard::to_allocvec(&(token, change.clone())).unwrap()), stored);
        assert_eq!(
            postcard::from_bytes::<(u64, MembershipChange)>(&decode_hex(stored)).unwrap(),
            (token, change)
        );
    }
    let members = Members { joined: [(4, "a:1".into())].into(), retired: [2, 3].into() };
    assert_eq!(encode_hex(&postcard::to_allocvec(&members).unwrap()), "010403613a31020203");
}

#[test]
fn raft_state_encoding_is_unchanged() {
    let hard_state = StoredHardState { term: 300, vote: 2, commit: 7 };
    assert_eq!(encode_hex(&postcard::to_allocvec(&hard_state).unwrap()), "ac020207");
    let entry = StoredEntry { index: 7, term: 3, entry_type: 2, data: vec![1, 2], context: vec![9] };
    assert_eq!(encode_hex(&postcard::to_allocvec(&entry).unwrap()), "070304020102010".to_owned() + "9");
    let snapshot = StoredSnapshot { index: 6, term: 3, voters: vec![1, 2], learners: vec![4], data: vec![5] };
    assert_eq!(encode_hex(&postcard::to_allocvec(&snapshot).unwrap()), "060302010201040105");
}

/// Checks that each line decodes as this type and encodes to the same line.
fn assert_lines_unchanged<T: Serialize + DeserializeOwned>(lines: &[&str]) {
    for line in lines {
        let read: T = serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert_eq!(serde_json::to_string(&read).unwrap(), *line);
    }
}

#[test]
fn request_lines_are_unchanged() {
    assert_lines_unchanged::<ReplicaRequest>(&[
        concat!(
            r#"{"say":{"owner":{"instance":"s1","incarnation":2},"zone":"z1","serial":3,"wants":["gather"],"leaving":true,"#,
            r#""marks":[{"duty":{"name":"gather","part":1},"epoch":4,"done":5,"work":true}],"#,
            r#""given":[[{"name":"gather","part":0},6]],"knows":7}}"#
        ),
        r#"{"peer":"AQID"}"#,
        r#""status""#,
        r#""duties""#,
        r#"{"command":"Time"}"#,
        concat!(
            r#"{"command":{"Declare":{"rules":{"term":2.0,"drift":0.02,"stall":10.0,"barred":60.0,"flaps":3,"flap_span":60.0,"#,
            r#""flap_rest":30.0,"panic":5.0,"calm":2.0,"moves":64},"duties":[{"name":"gather","parts":2,"zone":"z1"}]}}}"#
        ),
        r#"{"command":{"Say":[]}}"#,
        r#"{"command":{"Pause":{"duty":"gather","paused":true}}}"#,
        r#"{"command":{"Move":{"duty":{"name":"gather","part":3},"to":"s2"}}}"#,
        r#"{"add":{"number":4,"address":"127.0.0.4:18201"}}"#,
        r#"{"remove":{"number":2}}"#,
    ]);
}

#[test]
fn reply_lines_are_unchanged() {
    assert_lines_unchanged::<ReplicaReply>(&[
        concat!(
            r#"{"told":{"owner":{"instance":"s1","incarnation":1},"serial":3,"term":2.0,"version":4,"#,
            r#""grants":[{"duty":{"name":"gather","part":0},"epoch":1,"back":false}],"refused":null}}"#
        ),
        r#"{"told":{"owner":{"instance":"s1","incarnation":1},"serial":3,"term":2.0,"version":4,"grants":null,"refused":"Superseded"}}"#,
        r#"{"elsewhere":{"leader":2,"address":"127.0.0.2:18201"}}"#,
        r#"{"elsewhere":{"leader":null,"address":null}}"#,
        concat!(
            r#"{"status":{"number":1,"leader":1,"leads":true,"term":2,"applied":29,"log_entries":9,"voters":[1,3],"learners":[4],"#,
            r#""retired":[2],"last_epoch":3,"instances":1,"slow":false,"up":1.5,"counts":{"lines":2,"syncs":7}}}"#
        ),
        concat!(
            r#"{"duties":{"rows":[{"duty":{"name":"gather","part":0},"owner":null,"epoch":0,"since":0.0,"back":false,"paused":true}],"#,
            r#""seats":[{"owner":{"instance":"s1","incarnation":1},"zone":"z1","has":2,"leaving":false,"left":1.5,"rests":0.0}],"at":2.5}}"#
        ),
        r#""done""#,
        r#"{"failed":"too much waits"}"#,
    ]);
}

#[test]
fn event_lines_are_unchanged() {
    assert_lines_unchanged::<Event>(&[
        r#"{"ready":{"listen":"127.0.0.1:18201"}}"#,
        concat!(
            r#"{"change":{"at":1.5,"duty":{"name":"gather","part":0},"owner":{"instance":"s1","incarnation":1},"#,
            r#""epoch":1,"what":"Given","cause":"Vacant"}}"#
        ),
        r#"{"leads":{"keeper":1,"term":2}}"#,
    ]);
}

/// Connection to a replica started from the stored file.
struct Connection {
    stream: BufReader<tokio::net::TcpStream>,
}

impl Connection {
    async fn send(&mut self, line: &str) -> String {
        self.stream.get_mut().write_all(format!("{line}\n").as_bytes()).await.unwrap();
        let mut reply = String::new();
        self.stream.read_line(&mut reply).await.unwrap();
        reply.trim_end().to_string()
    }
}

#[tokio::test]
async fn replica_started_from_stored_file_keeps_its_replies() {
    let directory = tempfile::tempdir().unwrap();
    let (store, durable) = Store::open(&copy_stored_file(&directory)).unwrap();
    let options = ServerOptions {
        replica: config(),
        listen: "127.0.0.1:0".parse().unwrap(),
        peers: Default::default(),
        tick_interval: 0.01,
        max_connections: 4,
        clock: Clock::system(),
        events: EventSink { enabled: false },
        sync_delay: Default::default(),
    };
    let running = start(options, store, &durable).await.unwrap();
    let stream = connect(running.address).await.unwrap();
    let mut connection = Connection { stream: BufReader::new(stream) };
    // No leader is elected at first.
    let mut reply = connection.send(r#""duties""#).await;
    while reply.starts_with(r#"{"elsewhere""#) {
        assert_eq!(reply, r#"{"elsewhere":{"leader":null,"address":null}}"#);
        tokio::time::sleep(Duration::from_millis(10)).await;
        reply = connection.send(r#""duties""#).await;
    }
    assert!(reply.starts_with(&format!(r#"{{"duties":{{"rows":{LEASE_ROWS},"seats":[{{"#)), "{reply}");
    let instance_row = r#""owner":{"instance":"s1","incarnation":1},"zone":"z1","has":3,"leaving":false,"#;
    assert!(reply.contains(instance_row), "{reply}");
    let pause = r#"{"command":{"Pause":{"duty":"gather","paused":true}}}"#;
    assert_eq!(connection.send(pause).await, r#""done""#);
    // The reason of a rejection may change; its encoding may not.
    for command in [
        r#"{"command":{"Pause":{"duty":"none","paused":true}}}"#,
        r#"{"remove":{"number":1}}"#,
        r#"{"remove":{"number":9}}"#,
        r#"{"add":{"number":2,"address":"127.0.0.2:1"}}"#,
    ] {
        let reply = connection.send(command).await;
        assert!(reply.starts_with(r#"{"failed":""#), "{command}: {reply}");
    }
    let status = connection.send(r#""status""#).await;
    let prefix = r#"{"status":{"number":1,"leader":1,"leads":true,"term":3,"applied":"#;
    assert!(status.starts_with(prefix), "{status}");
    for field in [
        r#""voters":[1],"learners":[],"retired":[2],"last_epoch":3,"instances":2,"slow":false,"up":"#,
        r#""led":1"#,
        r#""syncs":"#,
    ] {
        assert!(status.contains(field), "{field}: {status}");
    }
    running.stop().await.unwrap();
}
