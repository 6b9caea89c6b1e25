//! Wire format and limits of full reports, which control services of other versions read.

use puffinladder_reports::{ClassLoad, LoadSample, Product, ServerIdentity};

fn identity() -> ServerIdentity {
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

fn sample() -> LoadSample {
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
fn full_report_wire_format_is_stable() {
    let expected = concat!(
        r#"{"address":"127.0.0.1:4100","classes":[{"asked":80.0,"customer":"acme","declined":0.0,"product":"quote","worth":1.0},"#,
        r#"{"asked":4.0,"customer":"größe","declined":4.0,"product":"order \"b\"","worth":2.5}],"cores":4.0,"healthy":true,"#,
        r#""incarnation":1764600000000000,"instance":"n1","leaving":null,"limit":1.0,"made":2.5,"pressure":0.75,"retry_after":1.0,"#,
        r#""running":3,"sequence":7,"settled":38.0,"takes":0.012345678,"warmth":0.484375,"zone":"east"}"#,
        "\n"
    );
    assert_eq!(identity().report_line(&sample(), 7, 2.5), expected);
}

#[test]
fn reports_warm_up_drain_and_unknown_class_index() {
    let draining = LoadSample { terminates_in: Some(1.25), healthy: false, ..sample() };
    let line = identity().report_line(&draining, 8, 60.0);
    assert!(line.contains(r#""warmth":1.0"#) && line.contains(r#""leaving":1.25"#), "{line}");
    let warm = ServerIdentity { warm_up_span: None, ..identity() };
    assert!(warm.report_line(&sample(), 1, 0.0).contains(r#""warmth":1.0"#));
    let mut out_of_range = sample();
    out_of_range.classes = vec![ClassLoad { product: 9, customer: 9, offered: 1.0, rejected: 0.0 }];
    assert!(identity()
        .report_line(&out_of_range, 1, 0.0)
        .contains(r#""customer":"","declined":0.0,"product":"","worth":0.0"#));
}

/// Limits of a control service of any version: classes of a report, and bytes of a line.
const MAX_CLASSES_READ: usize = 4096;
const MAX_LINE_BYTES_READ: usize = 1 << 20;

/// Guards against reports that control services reject for too many classes or too long a line, so that the server
/// loses its share.
#[test]
fn full_report_stays_within_service_limits() {
    const NAME_COUNT: usize = 150;
    // Names of the maximum length, of characters that JSON escapes with six bytes.
    let long_name = |index: usize| format!("{index:04}{}", "\u{1}".repeat(124));
    for (name, name_length) in
        [(long_name as fn(usize) -> String, "long"), (|index| format!("k{index}"), "short")]
    {
        let identity = ServerIdentity {
            products: (0..NAME_COUNT)
                .map(|index| Product { name: name(index), priority_weight: 1.0 })
                .collect(),
            customers: (0..NAME_COUNT).map(name).collect(),
            ..identity()
        };
        let class = |index: usize| ClassLoad {
            product: index / NAME_COUNT,
            customer: index % NAME_COUNT,
            offered: 4.0,
            rejected: if index == NAME_COUNT * NAME_COUNT - 1 { 4.0 } else { 0.0 },
        };
        let sample = LoadSample { classes: (0..NAME_COUNT * NAME_COUNT).map(class).collect(), ..sample() };
        let line = identity.report_line(&sample, 1, 0.25);
        assert!(line.len() <= MAX_LINE_BYTES_READ, "{name_length}: {} bytes", line.len());
        let report: serde_json::Value = serde_json::from_str(&line).unwrap();
        let classes = report["classes"].as_array().unwrap();
        assert!(classes.len() <= MAX_CLASSES_READ, "{name_length}: {} classes", classes.len());
        let asked: f64 = classes.iter().map(|class| class["asked"].as_f64().unwrap()).sum();
        assert_eq!(asked, 4.0 * (NAME_COUNT * NAME_COUNT) as f64, "the total of the offered load differs");
        let is_most_rejected =
            |class: &serde_json::Value| class["customer"] == name(NAME_COUNT - 1) && class["declined"] == 4.0;
        assert!(classes.iter().any(is_most_rejected), "the rejected class is not named");
    }
}
