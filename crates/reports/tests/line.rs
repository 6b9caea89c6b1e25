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
