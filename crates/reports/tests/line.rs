//! The bytes of a report: other versions of control services read them, so that they may only change on purpose.

use puffinladder_reports::{Class, State, Who};

fn who() -> Who {
    Who {
        instance: "n1".into(),
        incarnation: 1_764_600_000_000_000,
        zone: "east".into(),
        address: "127.0.0.1:4100".parse().unwrap(),
        cores: 4.0,
        cold: Some(8.0),
        cold_share: 0.25,
        products: [("quote".into(), 1.0), ("order \"b\"".into(), 2.5)].into(),
        customers: ["acme".into(), "größe".into()].into(),
    }
}

fn state() -> State {
    let class = |product, customer, asked, declined| Class { product, customer, asked, declined };
    State {
        limit: 0.5,
        running: 3,
        takes: 0.012_345_678,
        pressure: 0.75,
        retry_after: 1.0,
        healthy: true,
        leaving: None,
        settled: 38.0,
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
    assert_eq!(who().line(&state(), 7, 2.5), wanted);
}

#[test]
fn a_server_is_warm_in_the_end_and_says_when_it_leaves_and_a_place_that_is_not_there_has_no_name() {
    let leaves = State { leaving: Some(1.25), healthy: false, ..state() };
    let line = who().line(&leaves, 8, 60.0);
    assert!(line.contains(r#""warmth":1.0"#) && line.contains(r#""leaving":1.25"#), "{line}");
    let warm = Who { cold: None, ..who() };
    assert!(warm.line(&state(), 1, 0.0).contains(r#""warmth":1.0"#));
    let mut odd = state();
    odd.classes = vec![Class { product: 9, customer: 9, asked: 1.0, declined: 0.0 }];
    assert!(who().line(&odd, 1, 0.0).contains(r#""customer":"","declined":0.0,"product":"","worth":0.0"#));
}
