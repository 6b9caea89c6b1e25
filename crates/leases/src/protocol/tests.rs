//! Tests of the module `protocol`.

use super::*;

#[test]
fn requests_round_trip_through_json() {
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
    // Fields that another version omits have defaults.
    let short = r#"{"say":{"owner":{"instance":"n1","incarnation":1},"serial":1}}"#;
    assert!(
        matches!(serde_json::from_str(short).unwrap(), ReplicaRequest::Renew(renewal) if renewal.known_version == 0)
    );
}
