//! The bytes of a report: other versions of control services read them, so that they may only change on purpose.

use puffinladder_reports::{ClassLoad, LoadSample, Product, ServerIdentity};

fn who() -> ServerIdentity {
    ServerIdentity {
        instance: "n1".into(),
        incarnation: 1_764_600_000_000_000,
        zone: "east".into(),
        address: "127.0.0.1:4100".parse().unwrap(),
        cores: 4.0,
        warm_up_span: Some(8.0),
        initial_capacity: 0.25,
        products: [("quote", 1.0), ("order \"b\"", 2.5)]
            .map(|(name, priority_weight)| Product { name: name.into(), priority_weight })
            .into(),
        customers: ["acme".into(), "größe".into()].into(),
    }
}

fn state() -> LoadSample {
    let class = |product, customer, offered, rejected| ClassLoad { product, customer, offered, rejected };
    LoadSample {
        concurrency_limit: 0.5,
        in_flight: 3,
        service_time: 0.012_345_678,
        pressure: 0.75,
        retry_after: 1.0,
        healthy: true,
        terminates_in: None,
        goodput: 38.0,
        classes: vec![class(0, 0, 80.0, 0.0), class(1, 1, 4.0, 4.0)],
    }
}

#[test]
fn a_line_has_the_bytes_that_the_serving_process_has_always_sent() {
    // As the serving process wrote this state before the form was shared.
    let wanted = concat!(
        r#"{"address":"127.0.0.1:4100","classes":[{"asked":80.0,"customer":"acme","declined":0.0,"product":"quote","worth":1.0},"#,
        r#"{"asked":4.0,"customer":"größe","declined":4.0,"product":"order \"b\"","worth":2.5}],"cores":4.0,"healthy":true,"#,
        r#""incarnation":1764600000000000,"instance":"n1","leaving":null,"limit":1.0,"made":2.5,"pressure":0.75,"retry_after":1.0,"#,
        r#""running":3,"sequence":7,"settled":38.0,"takes":0.012345678,"warmth":0.484375,"zone":"east"}"#,
        "\n"
    );
    assert_eq!(who().report_line(&state(), 7, 2.5), wanted);
}

#[test]
fn a_server_is_warm_in_the_end_and_says_when_it_leaves_and_a_place_that_is_not_there_has_no_name() {
    let leaves = LoadSample { terminates_in: Some(1.25), healthy: false, ..state() };
    let line = who().report_line(&leaves, 8, 60.0);
    assert!(line.contains(r#""warmth":1.0"#) && line.contains(r#""leaving":1.25"#), "{line}");
    let warm = ServerIdentity { warm_up_span: None, ..who() };
    assert!(warm.report_line(&state(), 1, 0.0).contains(r#""warmth":1.0"#));
    let mut odd = state();
    odd.classes = vec![ClassLoad { product: 9, customer: 9, offered: 1.0, rejected: 0.0 }];
    assert!(who()
        .report_line(&odd, 1, 0.0)
        .contains(r#""customer":"","declined":0.0,"product":"","worth":0.0"#));
}

/// What a control service reads of one report, in every version: classes, and bytes of a line.
const MOST_CLASSES_READ: usize = 4096;
const MOST_BYTES_READ: usize = 1 << 20;

/// Symptom: a server that was asked for more than 4,096 products of customers between two reports (a long interval, many customers)
/// was silent for control services: each report was refused whole (`a class is out of range`), or its connection was closed for a
/// line of over a megabyte, and so the server lost its share. Cause: a full report named every class, however many there were, and
/// `puffinladder_control::report` takes 4,096 of them.
#[test]
fn a_full_report_is_never_larger_than_what_a_service_reads() {
    let many = 150;
    // Names as long as a service takes, of characters that JSON writes in six.
    let long = |at: usize| format!("{at:04}{}", "\u{1}".repeat(124));
    for (name, what) in [(long as fn(usize) -> String, "long"), (|at| format!("k{at}"), "short")] {
        let identity = ServerIdentity {
            products: (0..many).map(|at| Product { name: name(at), priority_weight: 1.0 }).collect(),
            customers: (0..many).map(name).collect(),
            ..who()
        };
        let class = |at: usize| ClassLoad {
            product: at / many,
            customer: at % many,
            offered: 4.0,
            rejected: if at == many * many - 1 { 4.0 } else { 0.0 },
        };
        let sample = LoadSample { classes: (0..many * many).map(class).collect(), ..state() };
        let line = identity.report_line(&sample, 1, 0.25);
        assert!(line.len() <= MOST_BYTES_READ, "{what}: {} bytes", line.len());
        let report: serde_json::Value = serde_json::from_str(&line).unwrap();
        let classes = report["classes"].as_array().unwrap();
        assert!(classes.len() <= MOST_CLASSES_READ, "{what}: {} classes", classes.len());
        let asked: f64 = classes.iter().map(|class| class["asked"].as_f64().unwrap()).sum();
        assert_eq!(asked, 4.0 * (many * many) as f64, "sums are whole");
        let named_last =
            |class: &serde_json::Value| class["customer"] == name(many - 1) && class["declined"] == 4.0;
        assert!(classes.iter().any(named_last), "what was rejected is named");
    }
}
