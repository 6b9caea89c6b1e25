//! Tests of the module `protocol`.

use super::*;

#[test]
fn messages_read_back_as_they_were_written() {
    let requests = [
        ReplicaRequest::Renew(LeaseRequest { serial: 3, ..LeaseRequest::default() }),
        ReplicaRequest::Status,
        ReplicaRequest::Command(Command::Pause { task: "gather".into(), paused: true }),
        ReplicaRequest::AddReplica { number: 4, address: "127.0.0.4:1".into() },
    ];
    for request in requests {
        let text = serde_json::to_string(&request).unwrap();
        assert_eq!(serde_json::from_str::<ReplicaRequest>(&text).unwrap(), request, "{text}");
    }
    // What another version leaves out has a default.
    let short = r#"{"say":{"owner":{"instance":"n1","incarnation":1},"serial":1}}"#;
    assert!(
        matches!(serde_json::from_str(short).unwrap(), ReplicaRequest::Renew(renewal) if renewal.known_version == 0)
    );
}
