//! Checks configurations in the platform's format against literal values and messages.

use puffinladder::{Downstream, Idempotency, LoadSignal, PolicySettings, Preemption, RequestClass, Tenant};
use puffinladder_settings::{parse_policy_config, parse_server_config, GaugeKind, Peers, PolicyConfig};

/// Every key that is read, each with a distinct value.
const FULL: &str = r#"{
  "name": "edge-7.a_b", "listen": "127.0.0.1:4100", "agent": "127.0.0.2:6100", "roster": "[::1]:8500",
  "store": "127.0.0.3:7700", "seed": "8c1f30d27a5be964", "stop_ms": 1500, "unknown": [1],
  "limits": {"cores": 1.0, "memory_mb": 192.5, "sockets": 1024},
  "settings": {
    "Servers": 730, "OverShareWorth": 0.05, "WorthBy": "work",
    "Lanes": [
      {"Name": "quote", "Promise": 4000, "GiveUp": 8000, "Importance": 1, "Effect": "safe"},
      {"Name": "order", "Promise": 250, "AimStretch": 1.5, "GiveUp": 900, "Importance": 3, "LateShare": 0.25,
       "Effect": "keyed", "DedupWindow": 20000},
      {"Name": "charge", "Promise": 500, "GiveUp": 2000, "Importance": 0, "Effect": "unsafe"},
      {"Promise": 1, "GiveUp": 2, "Importance": 7, "Effect": "safe"}
    ],
    "Tenants": [{"Name": "acme", "QuotaRps": 100, "Share": 1}, {"QuotaRps": 0}],
    "FamilyInfo": {
      "Below": "next_hop", "Cpus": 4, "RamKb": 16000, "RunFactor": 8, "KeyKb": 12.5, "Halt": "pause",
      "ClassCalls": [true, false, true], "ClassSkipWorth": [0.5, 0], "Idle": 30000, "Lingers": 200, "Upstreams": 9100,
      "CallsOut": 6, "DepWindow": 2500, "Signal": "min_rank", "ListFollows": true, "Cold": true,
      "Meters": ["cpu_busy", "runnable", "mem_used", "sockets", "loadavg", 5]
    },
    "Contract": {"FallMultiple": 5, "Fall": 1500, "Cold": 1250, "ColdShare": 0.5, "StopSendingWithin": 1000},
    "Limits": {"RetryAfter": true, "MaxRetryAfter": 3000}
  }
}"#;

/// Only the required keys.
const MINIMAL: &str = r#"{"Servers": 1, "Lanes": [{"Promise": 1000, "GiveUp": 2000, "Importance": 1, "Effect": "safe"}],
  "FamilyInfo": {"Cpus": 2, "RamKb": 1000, "RunFactor": 2}, "Contract": {"FallMultiple": 4}}"#;

fn full_policy_config() -> PolicyConfig {
    let class = RequestClass::default();
    PolicyConfig {
        settings: PolicySettings {
            servers: 730.0,
            callers: 9100.0,
            cores: 4.0,
            memory: 16000.0,
            running_memory_factor: 8.0,
            key_memory: 12.5,
            classes: vec![
                RequestClass {
                    latency_objective: 4.0,
                    timeout: 8.0,
                    priority_weight: 1.0,
                    idempotency: Idempotency::Idempotent,
                    makes_calls: true,
                    degraded_weight_fraction: 0.5,
                    ..class.clone()
                },
                RequestClass {
                    latency_objective: 0.25,
                    objective_stretch: 1.5,
                    timeout: 0.9,
                    priority_weight: 3.0,
                    late_weight_fraction: 0.25,
                    idempotency: Idempotency::Keyed,
                    dedup_window: 20.0,
                    makes_calls: false,
                    degraded_weight_fraction: 0.0,
                },
                RequestClass {
                    latency_objective: 0.5,
                    timeout: 2.0,
                    priority_weight: 0.0,
                    idempotency: Idempotency::NonIdempotent,
                    makes_calls: true,
                    ..class.clone()
                },
                RequestClass {
                    latency_objective: 0.001,
                    timeout: 0.002,
                    priority_weight: 7.0,
                    idempotency: Idempotency::Idempotent,
                    ..class
                },
            ],
            tenants: vec![Tenant { quota: 100.0 }, Tenant { quota: 0.0 }],
            over_quota_fraction: 0.05,
            weight_per_work: true,
            downstream: Downstream::NextTier,
            call_concurrency_share: 6.0,
            call_averaging_window: 2.5,
            abandoned_call_linger: 0.2,
            preemption: Preemption::Suspend,
            load_signal: LoadSignal::MinimumRank,
            endpoints_follow_health: true,
            starts_cold: true,
            cold_capacity_fraction: 0.5,
            warm_up_duration: 1.25,
            overload_multiple: 5.0,
            overload_window: 1.5,
            drain_grace: 1.0,
            max_retry_after: 3.0,
            idle_timeout: 30.0,
        },
        gauges: vec![
            GaugeKind::Busy,
            GaugeKind::Runnable,
            GaugeKind::Memory,
            GaugeKind::Sockets,
            GaugeKind::Other,
            GaugeKind::Other,
        ],
        class_names: ["quote", "order", "charge", ""].map(String::from).to_vec(),
        tenant_names: ["acme", ""].map(String::from).to_vec(),
    }
}

#[test]
fn parses_full_server_configuration() {
    let config = parse_server_config(FULL.as_bytes(), Some("other"), Some("127.0.0.9:9")).unwrap();
    assert_eq!(config.name, "edge-7.a_b");
    assert_eq!(config.listen.to_string(), "127.0.0.1:4100");
    assert_eq!(
        config.peers,
        Peers {
            agent: "127.0.0.2:6100".parse().unwrap(),
            registry: "[::1]:8500".parse().unwrap(),
            store: Some("127.0.0.3:7700".parse().unwrap()),
        }
    );
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.shutdown_timeout, config.memory_mb, config.max_sockets), (1.5, 192.5, 1024));
    assert_eq!(config.policy, full_policy_config());
}

#[test]
fn applies_defaults_to_absent_keys() {
    let policy = parse_policy_config(MINIMAL.as_bytes()).unwrap();
    let class = RequestClass {
        latency_objective: 1.0,
        timeout: 2.0,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    let settings = PolicySettings {
        servers: 1.0,
        cores: 2.0,
        memory: 1000.0,
        running_memory_factor: 2.0,
        classes: vec![class],
        overload_multiple: 4.0,
        ..PolicySettings::default()
    };
    let class_names = vec![String::new()];
    assert_eq!(policy, PolicyConfig { settings, gauges: Vec::new(), class_names, tenant_names: Vec::new() });

    let text = format!(
        r#"{{"agent": "127.0.0.1:1", "roster": "127.0.0.1:2", "seed": "7", "stop_ms": 0, "store": null,
            "limits": {{"memory_mb": 16, "sockets": 64}}, "settings": {MINIMAL}}}"#
    );
    let config = parse_server_config(text.as_bytes(), Some("other"), Some("127.0.0.9:9")).unwrap();
    assert_eq!((config.name.as_str(), config.listen.to_string().as_str()), ("other", "127.0.0.9:9"));
    assert_eq!((config.peers.store, config.seed, config.shutdown_timeout), (None, 7, 0.0));
}

#[test]
fn parses_each_configuration_word() {
    let read = |key: &str, word: &str| {
        let text = MINIMAL.replace(r#""Cpus""#, &format!(r#""{key}": "{word}", "Cpus""#));
        parse_policy_config(text.as_bytes()).unwrap().settings
    };
    for (word, downstream) in [
        ("silent", Downstream::None),
        ("common", Downstream::SharedDependency),
        ("next_hop", Downstream::NextTier),
    ] {
        assert_eq!(read("Below", word).downstream, downstream);
    }
    for (word, preemption) in
        [("silent", Preemption::Never), ("drop", Preemption::Discard), ("pause", Preemption::Suspend)]
    {
        assert_eq!(read("Halt", word).preemption, preemption);
    }
    let signals = [
        ("silent", LoadSignal::None),
        ("min_rank", LoadSignal::MinimumRank),
        ("tokens", LoadSignal::Tokens),
        ("bias", LoadSignal::SelectionBias),
    ];
    for (word, signal) in signals {
        assert_eq!(read("Signal", word).load_signal, signal);
    }
    // MaxRetryAfter is ignored without the RetryAfter flag, and WorthBy other than "work" weighs by request.
    let limits =
        MINIMAL.replace(r#""Servers""#, r#""Limits": {"MaxRetryAfter": 500}, "WorthBy": "x", "Servers""#);
    let settings = parse_policy_config(limits.as_bytes()).unwrap().settings;
    assert_eq!((settings.max_retry_after, settings.weight_per_work), (0.0, false));
}

#[test]
fn reports_policy_configuration_errors_verbatim() {
    let cases = [
        (r#""Servers": 1,"#, "", "start text: Servers should be given"),
        (r#""Servers": 1,"#, r#""Servers": null,"#, "start text: Servers should be given"),
        (r#""Servers": 1,"#, r#""Servers": "1","#, "start text: Servers should be a number from 0 up"),
        (r#""Servers": 1,"#, r#""Servers": -1,"#, "start text: Servers should be a number from 0 up"),
        (r#""Servers": 1,"#, r#""Servers": 0,"#, "start text: Servers should be above 0"),
        (r#""Promise": 1000,"#, "", "start text: Lanes[0].Promise should be given"),
        (
            r#""Effect": "safe""#,
            r#""Effect": "x""#,
            "start text: Lanes[0].Effect should be one of the wire's: unknown word x",
        ),
        (r#""Effect": "safe""#, r#""Effect": 3"#, "start text: Lanes[0].Effect should be a word"),
        (r#""Promise": 1000"#, r#""Name": 3, "Promise": 1000"#, "start text: Lanes[0].Name should be a word"),
        (r#""Servers": 1,"#, r#""Servers": 1, "Tenants": 5,"#, "start text: Tenants should be a list"),
        (
            r#""Servers": 1,"#,
            r#""Servers": 1, "Tenants": [{}, {}],"#,
            "start text: Tenants[0].QuotaRps should be given",
        ),
        (r#""Servers": 1,"#, r#""Servers": 1, "Limits": 5,"#, "start text: Limits should be an object"),
        (
            r#""Servers": 1,"#,
            r#""Servers": 1, "Limits": {"RetryAfter": 1},"#,
            "start text: Limits.RetryAfter should be true or false",
        ),
        (r#""Cpus": 2"#, r#""Cpus": 2, "Meters": 5"#, "start text: FamilyInfo.Meters should be a list"),
        (
            r#""Cpus": 2"#,
            r#""Cpus": 2, "Signal": "loud""#,
            "start text: FamilyInfo.Signal should be one of the wire's: unknown word loud",
        ),
        (
            r#"{"Promise": 1000, "GiveUp": 2000, "Importance": 1, "Effect": "safe"}"#,
            "",
            "policy settings: no request classes",
        ),
        (
            r#", "Effect": "safe""#,
            "",
            "start text: Lanes[0].Effect should be one of the wire's: unknown word silent",
        ),
        (MINIMAL, "[]", "start text is not a JSON object"),
        (MINIMAL, "{", "start text is not JSON: EOF while parsing an object at line 1 column 1"),
    ];
    for (old, new, message) in cases {
        let text = MINIMAL.replace(old, new);
        assert_eq!(parse_policy_config(text.as_bytes()).unwrap_err().to_string(), message, "{text}");
    }
}

#[test]
fn reports_server_configuration_errors_verbatim() {
    let cases = [
        (
            r#""name": "edge-7.a_b""#,
            r#""name": "a b""#,
            "start text: name should be a word of letters, digits, '-', '_' and '.'",
        ),
        (
            r#""name": "edge-7.a_b""#,
            r#""name": 5"#,
            "start text: name should be a word of letters, digits, '-', '_' and '.'",
        ),
        (r#""listen": "127.0.0.1:4100","#, "", "start text: listen should be given"),
        (
            r#""127.0.0.1:4100""#,
            r#""here""#,
            "start text: listen should be an address such as 127.0.0.1:4100",
        ),
        (r#""127.0.0.1:4100""#, "4100", "start text: listen should be a word"),
        (r#""agent": "127.0.0.2:6100","#, "", "start text: agent should be given"),
        (r#""roster": "[::1]:8500","#, "", "start text: roster should be given"),
        (
            r#""127.0.0.3:7700""#,
            r#""there""#,
            "start text: store should be an address such as 127.0.0.1:4100",
        ),
        (r#""seed": "8c1f30d27a5be964","#, "", "start text: seed should be up to 16 hex digits"),
        (r#""8c1f30d27a5be964""#, r#""8c1f30d27a5be9640""#, "start text: seed should be up to 16 hex digits"),
        (
            r#""stop_ms": 1500"#,
            r#""stop_ms": 4000000"#,
            "start text: stop_ms should be between 0 and 3600000",
        ),
        (
            r#""memory_mb": 192.5"#,
            r#""memory_mb": 1"#,
            "start text: limits.memory_mb should be between 16 and 1048576",
        ),
        (
            r#""sockets": 1024"#,
            r#""sockets": 1"#,
            "start text: limits.sockets should be between 64 and 1048576",
        ),
        (r#""settings": {"#, r#""others": {"#, "start text: settings should be given"),
        (r#""settings": {"#, r#""settings": 5, "others": {"#, "start text: settings should be an object"),
        (r#""Promise": 500"#, r#""Promise": 0"#, "start text: settings.Lanes[2].Promise should be above 0"),
    ];
    for (old, new, message) in cases {
        let text = FULL.replace(old, new);
        assert_eq!(
            parse_server_config(text.as_bytes(), None, None).unwrap_err().to_string(),
            message,
            "{old}"
        );
    }
}

#[test]
fn lists_changes_needing_restart() {
    let read = |text: &str| parse_server_config(text.as_bytes(), None, None).unwrap();
    let old = read(FULL);
    assert!(old.changes_needing_restart(&old).is_empty());
    let peers_changed = FULL.replace("127.0.0.2:6100", "127.0.0.5:1").replace("[::1]:8500", "127.0.0.5:2");
    assert!(old
        .changes_needing_restart(&read(&peers_changed.replace("127.0.0.3:7700", "127.0.0.5:3")))
        .is_empty());
    let all_changed = FULL
        .replace("edge-7.a_b", "x")
        .replace("127.0.0.1:4100", "127.0.0.1:1")
        .replace("8c1f30d27a5be964", "1")
        .replace("1500", "1600")
        .replace("192.5", "193")
        .replace("730", "731");
    assert_eq!(
        old.changes_needing_restart(&read(&all_changed)),
        ["name", "listen", "seed", "stop_ms", "limits", "settings"]
    );
}
