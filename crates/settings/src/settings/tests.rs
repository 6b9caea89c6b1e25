use super::*;

#[test]
fn displayed_settings_parse_to_equal_values() {
    let text =
        "; ours\n(log (format json))\n(trace (folder \"/a \\\"b\\\"\") (file-span 2h) (file-bytes 1MB))";
    let settings = parse_settings("x", text).unwrap();
    let trace = settings.trace.as_ref().unwrap();
    assert_eq!(
        (trace.directory.as_str(), trace.file_duration, trace.file_bytes),
        ("/a \"b\"", 7200.0, 1 << 20)
    );
    assert_eq!(parse_settings("shown", &settings.to_string()).unwrap(), settings);
    assert_eq!(parse_settings("x", "").unwrap(), Settings::default());
}

#[test]
fn round_trips_control_and_publish_sections() {
    let text = "(control (xds \"127.0.0.1:1\") (reports \"127.0.0.1:2\") (debug \"127.0.0.1:3\") (bound 3s) (snapshot \"s\")
            (tls (certificate \"c\") (key \"k\") (clients \"a\")))
            (publish (control \"127.0.0.1:2\" \"127.0.0.2:2\") (zone \"a\") (every 100ms))";
    let settings = parse_settings("x", text).unwrap();
    assert_eq!(settings.control.as_ref().unwrap().max_staleness, 3.0);
    assert_eq!(settings.publish.as_ref().unwrap().control_addresses.len(), 2);
    assert_eq!(parse_settings("shown", &settings.to_string()).unwrap(), settings);
    let invalid = "(control (xds \"here\") (heartbeat 2s) (gone 500ms)) (publish (control 5))";
    let reported: Vec<String> = parse_settings("f", invalid)
        .unwrap_err()
        .diagnostics()
        .iter()
        .map(|diagnostic| diagnostic.key.clone())
        .collect();
    assert_eq!(
        reported,
        [
            "control.reports",
            "control.xds",
            "control.heartbeat",
            "control.gone",
            "publish.control",
            "publish.control"
        ]
    );
}

#[test]
fn reports_every_problem_with_its_position() {
    let text = "(log (format yaml))\n(trace\n  (block-rows many)\n  (file-spam 1h)\n  (file-span 90)\n  (sample 1) (sample 2))\nstray";
    let reported: Vec<String> =
        parse_settings("f.scm", text).unwrap_err().diagnostics().iter().map(Diagnostic::to_string).collect();
    let expected = [
        "f.scm:1:14: log.format: should be one of text, json",
        "f.scm:2:1: trace.folder: should be given",
        "f.scm:3:15: trace.block-rows: should be a whole number from 16 to 65536",
        "f.scm:4:3: trace.file-spam: is not known; file-span may be meant",
        "f.scm:5:14: trace.file-span: should be from 1s to 168h",
        "f.scm:6:14: trace.sample: stands here a second time",
        "f.scm:7:1: should be a list that begins with a key",
    ];
    assert_eq!(reported, expected);
}

#[test]
fn reports_position_of_syntax_errors() {
    for (text, position) in [("(log", "1:5"), ("(a))", "1:4"), ("(a \"x", "1:6"), ("(a \"\\q\")", "1:6")] {
        let error = parse_settings("f", text).unwrap_err();
        assert!(
            error
                .diagnostics()
                .iter()
                .any(|diagnostic| diagnostic.to_string().starts_with(&format!("f:{position}: "))),
            "{text}: {error:?}"
        );
    }
    assert!(parse_settings("f", &"(".repeat(1_000_000)).is_err());
}

#[test]
fn round_trips_lease_store_worker_and_trace_store_sections() {
    let text = "(keeper (number 1) (listen \"127.0.0.1:0\") (folder \"k\") (peers \"1=127.0.0.1:1\" \"2=127.0.0.2:1\")
              (duty (name \"gather\") (parts 16) (zone \"a\")) (duty (name \"turns\")) (term 1s))
            (steward (name \"s1\") (folder \"s\") (holds \"x\" \"y\") (keepers \"1=127.0.0.1:1\") (gather (traces \"/t\") (archive \"127.0.0.9:1\") (parts 16))
              (listen \"127.0.0.1:5\") (quota (parts 2) (servers 9) (customer (name \"a\") (rate 50)) (customer (name \"b\") (rate 7.5)))
              (turns (most 3) (zone-share 0.25)))
            (archive (listen \"127.0.0.9:1\") (folder \"a\") (most-bytes 1GB))";
    let settings = parse_settings("x", text).unwrap();
    let lease_store = settings.lease_store.as_ref().unwrap();
    assert!(
        lease_store.tasks.len() == 2 && lease_store.peers.len() == 2 && lease_store.lease_duration == 1.0
    );
    assert_eq!(parse_settings("shown", &settings.to_string()).unwrap(), settings);
}

#[test]
fn reports_missing_and_duplicate_keys() {
    let invalid =
        "(keeper (listen \"127.0.0.1:0\") (peers \"one\" \"2=127.0.0.2:1\" \"2=127.0.0.3:1\") (stall 1s)
            (duty (name \"a\")) (duty (name \"a\"))) (steward (gather (parts 0)) (quota (customer (name \"a\"))))";
    let reported: Vec<String> = parse_settings("f", invalid)
        .unwrap_err()
        .diagnostics()
        .iter()
        .map(|diagnostic| diagnostic.key.clone())
        .collect();
    for key in [
        "keeper.number",
        "keeper.folder",
        "keeper.peers",
        "keeper.stall",
        "keeper.duty",
        "steward.name",
        "steward.folder",
        "steward.keepers",
    ] {
        assert!(reported.iter().any(|reported_key| reported_key == key), "{key}: {reported:?}");
    }
    for key in [
        "steward.gather.traces",
        "steward.gather.archive",
        "steward.gather.parts",
        "steward.listen",
        "steward.quota.servers",
        "steward.quota.customer.rate",
    ] {
        assert!(reported.iter().any(|reported_key| reported_key == key), "{key}: {reported:?}");
    }
}
