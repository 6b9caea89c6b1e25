//! Checks settings files against literal values, displayed texts and messages.

use puffinladder_settings::*;
use std::collections::BTreeMap;

/// Every settings key, each with a value other than its default.
const FULL: &str = r#"; every key
(log (format json) (filter "debug,may=warn"))
(trace (folder "/tr\\a\"ces\n\t") (block-rows 512) (block-span 2500ms) (file-bytes 1MB) (file-span 2h) (most-bytes 3GB)
  (most-files 12) (sample 7) (key-file "/k"))
(publish (control "127.0.0.1:18001" "127.0.0.2:18001") (zone "a") (every 100ms) (address "127.0.0.4:80"))
(control (xds "127.0.0.1:1") (reports "127.0.0.1:2") (debug "127.0.0.1:3") (bound 3s) (heartbeat 1500000us)
  (plan-every 0.5s) (fresh 2s) (gone 1m) (panic 0.25) (subset 50) (most-proxies 100) (most-servers 200) (snapshot "s")
  (tls (certificate "c") (key "k") (clients "a")))
(keeper (number 3) (listen "127.0.0.1:18201") (folder "kf") (peers "1=127.0.0.1:18201" "3=127.0.0.3:18201")
  (duty (name "gather") (parts 16) (zone "a")) (duty (name "turns"))
  (term 1s) (drift 0.03) (stall 12s) (barred 61s) (flaps 4) (flap-span 62s) (flap-rest 31s) (panic 6s) (calm 3s)
  (moves 65) (tick 50ms) (most-connections 2001))
(steward (name "s1") (zone "b") (folder "sf") (keepers "1=127.0.0.1:18201") (holds "x" "y")
  (gather (traces "/t") (archive "127.0.0.9:18211") (parts 15) (every 2s) (step 250ms)) (listen "127.0.0.1:18221")
  (quota (parts 2) (servers 300) (span 3s) (customer (name "k001") (rate 120)) (customer (name "k002") (rate 7.5)))
  (turns (most 11) (zone-share 0.2) (span 31s) (silent 6s)))
(archive (listen "127.0.0.9:18211") (folder "af") (most-bytes 1GB) (most-connections 501))
"#;

/// Displayed text of [`FULL`].
const DISPLAYED: &str = r#"(log (format json) (filter "debug,may=warn"))
(trace
  (folder "/tr\\a\"ces\n\t")
  (block-rows 512)
  (block-span 2.5s)
  (file-bytes 1048576B)
  (file-span 7200s)
  (most-bytes 3221225472B)
  (most-files 12)
  (sample 7)
  (key-file "/k"))
(publish (control "127.0.0.1:18001" "127.0.0.2:18001") (zone "a") (every 0.1s) (address "127.0.0.4:80"))
(control
  (xds "127.0.0.1:1")
  (reports "127.0.0.1:2")
  (debug "127.0.0.1:3")
  (bound 3s) (heartbeat 1.5s) (plan-every 0.5s)
  (fresh 2s) (gone 60s) (panic 0.25)
  (subset 50) (most-proxies 100) (most-servers 200)
  (snapshot "s")
  (tls (certificate "c") (key "k") (clients "a")))
(keeper
  (number 3) (listen "127.0.0.1:18201") (folder "kf")
  (peers "1=127.0.0.1:18201" "3=127.0.0.3:18201")
  (duty (name "gather") (parts 16) (zone "a"))
  (duty (name "turns") (parts 1))
  (term 1s) (drift 0.03) (stall 12s) (barred 61s)
  (flaps 4) (flap-span 62s) (flap-rest 31s)
  (panic 6s) (calm 3s) (moves 65)
  (tick 0.05s) (most-connections 2001))
(steward (name "s1") (zone "b") (folder "sf")
  (keepers "1=127.0.0.1:18201")
  (holds "x" "y")
  (gather (traces "/t") (archive "127.0.0.9:18211") (parts 15) (every 2s) (step 0.25s))
  (listen "127.0.0.1:18221")
  (quota (parts 2) (servers 300) (span 3s)
    (customer (name "k001") (rate 120))
    (customer (name "k002") (rate 7.5)))
  (turns (most 11) (zone-share 0.2) (span 31s) (silent 6s)))
(archive (listen "127.0.0.9:18211") (folder "af")
  (most-bytes 1073741824B) (most-connections 501))
"#;

/// The sections with only their required keys.
const MINIMAL: &str = r#"(trace (folder "t")) (publish (control "127.0.0.1:1"))
(control (xds "127.0.0.1:1") (reports "127.0.0.1:2"))
(keeper (number 1) (listen "127.0.0.1:1") (folder "k") (peers "1=127.0.0.1:1"))
(steward (name "s") (folder "s") (keepers "1=127.0.0.1:1") (listen "127.0.0.1:5")
  (gather (traces "t") (archive "127.0.0.1:9")) (quota (servers 9)) (turns))
(archive (listen "127.0.0.1:9") (folder "a"))"#;

/// Displayed text of [`MINIMAL`], with its defaults.
const MINIMAL_DISPLAYED: &str = r#"(log (format text))
(trace
  (folder "t")
  (block-rows 4096)
  (block-span 5s)
  (file-bytes 67108864B)
  (file-span 3600s)
  (most-bytes 1073741824B)
  (most-files 200)
  (sample 1))
(publish (control "127.0.0.1:1") (zone "default") (every 0.25s))
(control
  (xds "127.0.0.1:1")
  (reports "127.0.0.1:2")
  (bound 2s) (heartbeat 0.5s) (plan-every 0.25s)
  (fresh 1s) (gone 4s) (panic 0.5)
  (subset 100) (most-proxies 10000) (most-servers 20000))
(keeper
  (number 1) (listen "127.0.0.1:1") (folder "k")
  (peers "1=127.0.0.1:1")
  (term 2s) (drift 0.02) (stall 10s) (barred 60s)
  (flaps 3) (flap-span 60s) (flap-rest 30s)
  (panic 5s) (calm 2s) (moves 64)
  (tick 0.03s) (most-connections 2000))
(steward (name "s") (zone "default") (folder "s")
  (keepers "1=127.0.0.1:1")
  (gather (traces "t") (archive "127.0.0.1:9") (parts 1) (every 1s) (step 0.5s))
  (listen "127.0.0.1:5")
  (quota (parts 1) (servers 9) (span 2s))
  (turns (most 10) (zone-share 0.1) (span 30s) (silent 5s)))
(archive (listen "127.0.0.1:9") (folder "a")
  (most-bytes 10737418240B) (most-connections 500))
"#;

fn full() -> Settings {
    Settings {
        log: LogSettings { format: LogFormat::Json, filter: Some("debug,may=warn".into()) },
        trace: Some(TraceSettings {
            directory: "/tr\\a\"ces\n\t".into(),
            block_rows: 512,
            block_duration: 2.5,
            file_bytes: 1_048_576,
            file_duration: 7200.0,
            max_bytes: 3_221_225_472,
            max_files: 12,
            sample_interval: 7,
            key_file: Some("/k".into()),
        }),
        publish: Some(PublishSettings {
            control_addresses: vec!["127.0.0.1:18001".parse().unwrap(), "127.0.0.2:18001".parse().unwrap()],
            zone: "a".into(),
            interval: 0.1,
            advertised_address: Some("127.0.0.4:80".parse().unwrap()),
        }),
        control: Some(ControlSettings {
            xds_listen: "127.0.0.1:1".parse().unwrap(),
            report_listen: "127.0.0.1:2".parse().unwrap(),
            debug_listen: Some("127.0.0.1:3".parse().unwrap()),
            max_staleness: 3.0,
            heartbeat_interval: 1.5,
            plan_interval: 0.5,
            fresh_for: 2.0,
            expired_after: 60.0,
            panic_threshold: 0.25,
            subset_size: 50,
            max_proxies: 100,
            max_servers: 200,
            snapshot_file: Some("s".into()),
            tls: Some(TlsFiles {
                certificate: "c".into(),
                key: "k".into(),
                client_authority: Some("a".into()),
            }),
        }),
        lease_store: Some(LeaseStoreSettings {
            replica_id: 3,
            listen: "127.0.0.1:18201".parse().unwrap(),
            directory: "kf".into(),
            peers: BTreeMap::from([
                (1, "127.0.0.1:18201".parse().unwrap()),
                (3, "127.0.0.3:18201".parse().unwrap()),
            ]),
            tasks: vec![
                TaskSettings { name: "gather".into(), parts: 16, zone: Some("a".into()) },
                TaskSettings { name: "turns".into(), parts: 1, zone: None },
            ],
            lease_duration: 1.0,
            max_clock_drift: 0.03,
            stall_timeout: 12.0,
            exclusion_time: 61.0,
            flap_limit: 4,
            flap_window: 62.0,
            flap_backoff: 31.0,
            panic_window: 6.0,
            rebalance_delay: 3.0,
            max_moves: 65,
            tick_interval: 0.05,
            max_connections: 2001,
        }),
        worker: Some(WorkerSettings {
            name: "s1".into(),
            zone: "b".into(),
            directory: "sf".into(),
            lease_store_replicas: BTreeMap::from([(1, "127.0.0.1:18201".parse().unwrap())]),
            idle_tasks: vec!["x".into(), "y".into()],
            trace_collection: Some(TraceCollectionSettings {
                traces_directory: "/t".into(),
                trace_store: "127.0.0.9:18211".parse().unwrap(),
                parts: 15,
                scan_interval: 2.0,
                max_step_duration: 0.25,
            }),
            report_listen: Some("127.0.0.1:18221".parse().unwrap()),
            quota: Some(QuotaSettings {
                parts: 2,
                servers: 300,
                quota_validity: 3.0,
                tenant_quotas: BTreeMap::from([("k001".into(), 120.0), ("k002".into(), 7.5)]),
            }),
            drain_slots: Some(DrainSlotSettings {
                max_unavailable: 11,
                max_zone_fraction: 0.2,
                slot_duration: 31.0,
                report_timeout: 6.0,
            }),
        }),
        trace_store: Some(TraceStoreSettings {
            listen: "127.0.0.9:18211".parse().unwrap(),
            directory: "af".into(),
            max_bytes: 1_073_741_824,
            max_connections: 501,
        }),
    }
}

#[test]
fn parses_every_settings_key() {
    assert_eq!(parse_settings("f", FULL).unwrap(), full());
}

#[test]
fn displays_settings_verbatim() {
    assert_eq!(full().to_string(), DISPLAYED);
    assert_eq!(parse_settings("shown", DISPLAYED).unwrap(), full());
    assert_eq!(parse_settings("f", MINIMAL).unwrap().to_string(), MINIMAL_DISPLAYED);
    let off = "(log (format text))\n; trace: off\n; publish: off\n; control: off\n";
    assert_eq!(Settings::default().to_string(), off);
}

#[test]
fn reports_each_problem_with_its_exact_message() {
    let cases: [(&str, &[&str]); 24] = [
        ("stray", &["f.scm:1:1: should be a list that begins with a key"]),
        ("(log stray)", &["f.scm:1:6: log: should be a list that begins with a key"]),
        ("(log (format yaml))", &["f.scm:1:14: log.format: should be one of text, json"]),
        ("(log (filter warn))", &["f.scm:1:14: log.filter: should be text in quotes"]),
        ("(log (filter))", &["f.scm:1:6: log.filter: should be text in quotes"]),
        ("(log)\n(log)", &["f.scm:2:1: log: stands here a second time"]),
        ("(logs)", &["f.scm:1:1: logs: is not known; log may be meant"]),
        (
            "(nothing)",
            &["f.scm:1:1: nothing: is not known; there are log, trace, publish, control, keeper, steward, archive"],
        ),
        ("(trace)", &["f.scm:1:1: trace.folder: should be given"]),
        (
            "(trace (folder \"t\") (block-rows 5))",
            &["f.scm:1:33: trace.block-rows: should be a whole number from 16 to 65536"],
        ),
        ("(trace (folder \"t\") (block-span 90))", &["f.scm:1:33: trace.block-span: should be from 0.1s to 10m"]),
        ("(trace (folder \"t\") (file-bytes 1KB))", &["f.scm:1:33: trace.file-bytes: should be from 64KB to 1024GB"]),
        (
            "(trace (folder \"t\")\n  (file-bytes 1GB) (most-bytes 1GB))",
            &["f.scm:2:20: trace.most-bytes: should have room for two files of file-bytes at the least"],
        ),
        (
            "(publish (control \"here\"))",
            &["f.scm:1:10: publish.control: should be addresses such as \"127.0.0.1:18001\", one or more"],
        ),
        (
            "(control (xds \"here\") (reports \"127.0.0.1:2\"))",
            &["f.scm:1:10: control.xds: should be an address such as \"127.0.0.1:18000\""],
        ),
        (
            "(control (xds \"127.0.0.1:1\") (reports \"127.0.0.1:2\") (heartbeat 2s) (gone 1s) (panic 2))",
            &[
                "f.scm:1:54: control.heartbeat: should be half of the bound at the most, or leases end between two",
                "f.scm:1:69: control.gone: should be longer than fresh",
                "f.scm:1:86: control.panic: should be from 0.05 to 1",
            ],
        ),
        (
            "(control (xds \"127.0.0.1:1\") (reports \"127.0.0.1:2\") (tls))",
            &["f.scm:1:54: control.tls.certificate: should be given", "f.scm:1:54: control.tls.key: should be given"],
        ),
        (
            "(keeper (listen \"127.0.0.1:1\") (folder \"k\") (peers \"one\" \"0=127.0.0.1:1\") (stall 3s) (duty (name \"a\")) (duty (name \"a\")))",
            &[
                "f.scm:1:1: keeper.number: should be given: it stands for this keeper's disk, and is never used again once that is lost",
                "f.scm:1:45: keeper.peers: \"one\": should be a number and an address such as \"1=127.0.0.1:18201\", each number once",
                "f.scm:1:45: keeper.peers: \"0=127.0.0.1:1\": should be a number and an address such as \"1=127.0.0.1:18201\", each number once",
                "f.scm:1:75: keeper.stall: should be two terms at the least",
                "f.scm:1:86: keeper.duty: \"a\" stands here twice",
            ],
        ),
        (
            "(steward (name \"s\") (folder \"s\") (keepers)\n (quota (customer (name \"a\")) (customer (name \"a\") (rate 1))))",
            &[
                "f.scm:1:1: steward.listen: should be given: servers report there",
                "f.scm:1:34: steward.keepers: should name keepers, such as \"1=127.0.0.1:18201\"",
                "f.scm:2:2: steward.quota.servers: should be given",
                "f.scm:2:9: steward.quota.customer.rate: should be given",
                "f.scm:2:41: steward.quota.customer.name: \"a\" stands here twice",
            ],
        ),
        ("(log", &["f.scm:1:5: expected ')' to close the list that begins further up"]),
        ("(log))", &["f.scm:1:6: a ')' that closes nothing"]),
        ("(log (filter \"x", &["f.scm:1:16: expected '\"' to close the text"]),
        ("(log (filter \"\\q\"))", &["f.scm:1:16: expected one of \\\" \\\\ \\n \\t"]),
        ("é (log\n; ü\n  (é))", &[
            "f.scm:1:1: should be a list that begins with a key",
            "f.scm:3:3: log.é: is not known; there are format, filter",
        ]),
    ];
    for (text, messages) in cases {
        let reported: Vec<String> = parse_settings("f.scm", text)
            .unwrap_err()
            .diagnostics()
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(reported, messages, "{text}");
    }
    let deep = parse_settings("f.scm", &"(".repeat(100)).unwrap_err();
    assert_eq!(deep.diagnostics()[0].to_string(), "f.scm:1:65: too long, or lists nested too deeply");
}

#[test]
fn diagnostic_exposes_file_line_column_and_key() {
    let error = parse_settings("f.scm", "(log\n  (format yaml))").unwrap_err();
    let diagnostics = error.diagnostics();
    assert_eq!(diagnostics.len(), 1);
    assert_eq!((diagnostics[0].file.as_str(), diagnostics[0].line, diagnostics[0].column), ("f.scm", 2, 11));
    assert_eq!(diagnostics[0].key, "log.format");
}
