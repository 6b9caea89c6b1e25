//! What is drawn by a seed, as literal values: the order of draws must not change.

use puffinladder_emulator::names::{customer, product, server, service, zone};
use puffinladder_emulator::staggered_starts;
use puffinladder_emulator::traffic::{Load, Traffic};
use puffinladder_reports::{Product, ServerIdentity};
use std::time::Duration;

fn reports(calm: bool, seed: u64) -> Vec<String> {
    let (instance, address) = server(70_007);
    let who = ServerIdentity {
        instance,
        incarnation: 1_700_000_000_000_000,
        zone: zone(7, 3),
        address,
        cores: 4.0,
        warm_up_span: None,
        initial_capacity: 1.0,
        products: (0..3)
            .map(|at| Product { name: product(at), priority_weight: 1.0 + at as f64 * 0.5 })
            .collect(),
        customers: (0..20).map(customer).collect(),
    };
    let mut traffic = Traffic::new(Load { products: 3, customers: 20, rate: 18.0, calm }, seed);
    (1..=2).map(|sequence| who.report_line(&traffic.state(0.25), sequence, sequence as f64 * 0.25)).collect()
}

const LINES: [&str; 4] = [
    r#"{"address":"10.1.17.119:4100","classes":[{"asked":8.0,"customer":"amber-books-00000","declined":0.0,"product":"books-authorize-v1","worth":1.0},{"asked":4.0,"customer":"ember-books-00004","declined":0.0,"product":"books-authorize-v1","worth":1.0},{"asked":4.0,"customer":"basalt-books-00001","declined":0.0,"product":"books-booking-v1","worth":2.0}],"cores":4.0,"healthy":true,"incarnation":1700000000000000,"instance":"n70007","leaving":null,"limit":4.013758267043836,"made":0.25,"pressure":0.07133749406495736,"retry_after":0.3750636804027058,"running":2,"sequence":1,"settled":16.0,"takes":0.011538952369605471,"warmth":1.0,"zone":"zone-2"}"#,
    r#"{"address":"10.1.17.119:4100","classes":[{"asked":4.0,"customer":"fathom-books-00005","declined":0.0,"product":"books-authorize-v1","worth":1.0},{"asked":4.0,"customer":"lantern-books-00011","declined":0.0,"product":"books-authorize-v1","worth":1.0},{"asked":4.0,"customer":"fathom-books-00005","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"granite-books-00006","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"ember-books-00004","declined":0.0,"product":"books-booking-v1","worth":2.0}],"cores":4.0,"healthy":true,"incarnation":1700000000000000,"instance":"n70007","leaving":null,"limit":4.059941571037714,"made":0.5,"pressure":0.2683023818694753,"retry_after":0.6817814572411405,"running":4,"sequence":2,"settled":20.0,"takes":0.016335843534329274,"warmth":1.0,"zone":"zone-2"}"#,
    r#"{"address":"10.1.17.119:4100","classes":[{"asked":8.0,"customer":"basalt-books-00001","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"delta-books-00003","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"northern-books-00013","declined":0.0,"product":"books-booking-v1","worth":2.0}],"cores":4.0,"healthy":true,"incarnation":1700000000000000,"instance":"n70007","leaving":null,"limit":4.0,"made":0.25,"pressure":0.0,"retry_after":0.25,"running":2,"sequence":1,"settled":16.0,"takes":0.01,"warmth":1.0,"zone":"zone-2"}"#,
    r#"{"address":"10.1.17.119:4100","classes":[{"asked":8.0,"customer":"basalt-books-00001","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"delta-books-00003","declined":0.0,"product":"books-availability-v1","worth":1.5},{"asked":4.0,"customer":"northern-books-00013","declined":0.0,"product":"books-booking-v1","worth":2.0}],"cores":4.0,"healthy":true,"incarnation":1700000000000000,"instance":"n70007","leaving":null,"limit":4.0,"made":0.5,"pressure":0.0,"retry_after":0.25,"running":2,"sequence":2,"settled":16.0,"takes":0.01,"warmth":1.0,"zone":"zone-2"}"#,
];

#[test]
fn reports_drawn_by_a_seed_are_literal_lines() {
    let lines = [reports(false, 7), reports(true, 8)].concat();
    for (line, wanted) in lines.iter().zip(LINES) {
        assert_eq!(line.trim_end(), wanted);
    }
    assert_eq!(lines.len(), LINES.len());
}

#[test]
fn names_and_starts_are_literal_values() {
    assert_eq!(customer(4711), "harbor-markets-04711");
    assert_eq!(product(471), "utilities-availability-v4");
    assert_eq!(service(471, 230), "lantern-authorize-011");
    assert_eq!(zone(471, 6), "zone-4");
    assert_eq!(server(471), ("n00471".into(), "10.0.1.215:4100".parse().unwrap()));
    let starts: Vec<u128> =
        staggered_starts(5, Duration::from_secs(10), 3).iter().map(Duration::as_nanos).collect();
    assert_eq!(starts, [1_705_316_348, 3_792_375_034, 5_533_948_140, 6_172_475_174, 8_227_342_832]);
}
