//! Reports on connections with and without a format offer. Guards against reports that exceed the byte budget of a
//! server's control traffic because they repeat names and constant fields.

use puffinladder_reports::compact::{CompactReport, FormatOffer, Rates};
use puffinladder_reports::{max_report_bytes, ClassLoad, LoadSample, Product, ReportEncoder, ServerIdentity};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Budget of a server's control traffic, bytes per second.
const CONTROL_BUDGET: usize = 12_000;
/// Planned size of a fleet.
const PRODUCTS: usize = 2_300;
const CUSTOMERS: usize = 15_000;
const REQUESTS_PER_SECOND: f64 = 151.0;
const INTERVAL: Duration = Duration::from_millis(250);
/// Relative error of numbers that are rounded to four digits.
const ROUNDING_ERROR: f64 = 1e-3;

fn identity(products: usize, customers: usize) -> ServerIdentity {
    let product = |index| Product { name: format!("logistics-availability-v{index}"), priority_weight: 2.5 };
    ServerIdentity {
        instance: "n00001".into(),
        incarnation: 1_764_600_000_000_000,
        zone: "zone-1".into(),
        address: "10.0.0.1:4100".parse().unwrap(),
        cores: 4.0,
        warm_up_span: None,
        initial_capacity: 1.0,
        products: (0..products).map(product).collect(),
        customers: (0..customers).map(|index| format!("northern-logistics-{index:05}")).collect(),
    }
}

/// Draws load like the emulator: products uniformly, customers skewed.
fn sample(random: &mut ChaCha8Rng, requests: usize, rejected: f64) -> LoadSample {
    let rate = 1.0 / INTERVAL.as_secs_f64();
    let mut classes: BTreeMap<(usize, usize), (f64, f64)> = BTreeMap::new();
    for _ in 0..requests {
        let customer = random.random::<f64>() * random.random::<f64>() * CUSTOMERS as f64;
        let rates = classes.entry((random.random_range(0..PRODUCTS), customer as usize)).or_default();
        rates.0 += rate;
        rates.1 += if random.random_bool(rejected) { rate } else { 0.0 };
    }
    let class =
        |((product, customer), (offered, rejected))| ClassLoad { product, customer, offered, rejected };
    LoadSample {
        concurrency_limit: random.random_range(2.0..16.0),
        in_flight: random.random_range(0..16),
        service_time: random.random_range(0.008..0.018),
        pressure: random.random_range(0.0..0.3),
        retry_after: random.random_range(0.25..0.75),
        healthy: true,
        terminates_in: None,
        goodput: random.random_range(100.0..200.0),
        classes: classes.into_iter().map(class).collect(),
    }
}

fn offer() -> Vec<u8> {
    format!("{}\n", serde_json::to_string(&FormatOffer::supported()).unwrap()).into_bytes()
}

fn compact_encoder(identity: &ServerIdentity) -> ReportEncoder {
    let mut encoder = ReportEncoder::new(identity);
    encoder.receive(&offer());
    encoder
}

fn sample_totals(sample: &LoadSample) -> Rates {
    let offered = sample.classes.iter().map(|class| class.offered).sum();
    Rates { offered, rejected: sample.classes.iter().map(|class| class.rejected).sum() }
}

fn report_totals(report: &CompactReport) -> Rates {
    let named = report.load.iter().map(|class| class.rates);
    named.fold(report.rest, |sum, rates| Rates {
        offered: sum.offered + rates.offered,
        rejected: sum.rejected + rates.rejected,
    })
}

#[test]
fn reports_at_planned_size_stay_within_byte_budget() {
    let identity = identity(PRODUCTS, CUSTOMERS);
    for services in [1, 2, 4, 8] {
        for rejected in [0.02, 0.5] {
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let mut encoder = compact_encoder(&identity);
            let max_bytes = max_report_bytes(services, INTERVAL);
            // The first report of a connection is full.
            encoder.line(&identity, &sample(&mut random, 0, 0.0), 0, 0.0, max_bytes);
            for second in 1..=60u32 {
                let mut bytes = 0;
                for part in 0..4u32 {
                    let requests = (REQUESTS_PER_SECOND * INTERVAL.as_secs_f64()) as usize;
                    let (sequence, now) = (u64::from(4 * second + part), f64::from(second));
                    let sample = sample(&mut random, requests, rejected);
                    bytes += services * encoder.line(&identity, &sample, sequence, now, max_bytes).len();
                }
                assert!(bytes <= CONTROL_BUDGET, "{bytes} in second {second} to {services}, seed 1");
            }
        }
    }
}

#[test]
fn totals_are_complete_and_most_rejected_is_named_first() {
    let identity = identity(PRODUCTS, CUSTOMERS);
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for max_bytes in [0, 200, 400, 600, 2_500, 1 << 20] {
        let mut encoder = compact_encoder(&identity);
        encoder.line(&identity, &sample(&mut random, 0, 0.0), 0, 0.0, max_bytes);
        let (mut products, mut customers) = (HashSet::new(), HashSet::new());
        for sequence in 1..200 {
            let sample = sample(&mut random, 60, 0.2);
            let line = encoder.line(&identity, &sample, sequence, 1.0, max_bytes);
            let report: CompactReport = serde_json::from_str(&line).unwrap();
            assert!(line.len() <= max_bytes.max(300), "{} of {max_bytes}: {line}", line.len());
            let (expected, reported) = (sample_totals(&sample), report_totals(&report));
            assert!(
                (expected.offered - reported.offered).abs() <= ROUNDING_ERROR * expected.offered,
                "{expected:?} {reported:?}"
            );
            assert!(
                (expected.rejected - reported.rejected).abs() <= ROUNDING_ERROR * expected.rejected,
                "{expected:?} {reported:?}"
            );
            // Each name is sent once, before or with the first use of its number.
            assert!(report.products.iter().all(|named| products.insert(named.0)), "{line}");
            assert!(report.customers.iter().all(|named| customers.insert(named.0)), "{line}");
            assert!(report
                .load
                .iter()
                .all(|class| products.contains(&class.product) && customers.contains(&class.customer)));
            if max_bytes == 1 << 20 {
                assert_eq!((report.load.len(), report.rest), (sample.classes.len(), Rates::default()));
            }
            let max_rejected = sample.classes.iter().map(|class| class.rejected).fold(0.0, f64::max);
            let named_first = report.load.first().map(|class| class.rates.rejected);
            assert!(max_bytes < 400 || named_first == Some(max_rejected), "{line}");
        }
    }
}

#[test]
fn sends_full_reports_without_valid_offer() {
    let identity = identity(3, 3);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let endless = [b'x'; 5_000];
    let invalid_offers: [&[u8]; 7] = [
        b"",
        b"{\"report_formats\":[1,2]}",
        b"{\"report_formats\":[1]}\n{\"report_formats\":[1,2]}\n",
        b"{\"report_formats\":[3]}\n",
        b"nonsense\n",
        b"\xff\xfe\n",
        &endless,
    ];
    for bytes in invalid_offers {
        let mut encoder = ReportEncoder::new(&identity);
        encoder.receive(bytes);
        for sequence in 1..5 {
            let mut sample = sample(&mut random, 0, 0.0);
            sample.classes = vec![ClassLoad { product: 2, customer: 1, offered: 4.0, rejected: 0.0 }];
            let expected = identity.report_line(&sample, sequence, 0.25);
            assert_eq!(encoder.line(&identity, &sample, sequence, 0.25, 100), expected);
        }
        // Bytes after the offer are ignored.
        encoder.receive(&endless);
    }
}

#[test]
fn reads_fragmented_offer_and_sends_full_report_first() {
    let identity = identity(3, 3);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let sample = sample(&mut random, 0, 0.0);
    let mut encoder = ReportEncoder::new(&identity);
    for byte in offer() {
        assert!(encoder.awaits_offer());
        encoder.receive(&[byte]);
    }
    assert!(!encoder.awaits_offer());
    assert_eq!(encoder.line(&identity, &sample, 1, 0.25, 2_500), identity.report_line(&sample, 1, 0.25));
    assert!(encoder.line(&identity, &sample, 2, 0.5, 2_500).starts_with(r#"{"format":2,"#));
}

#[test]
fn compact_report_wire_format_is_stable() {
    // Control services of other versions read these bytes.
    let identity = identity(3, 3);
    let class = |product, customer, offered, rejected| ClassLoad { product, customer, offered, rejected };
    let sample = LoadSample {
        concurrency_limit: 4.123_456,
        in_flight: 3,
        service_time: 0.012_345_678,
        pressure: 0.75,
        retry_after: 1.0,
        healthy: true,
        terminates_in: None,
        goodput: 38.0,
        classes: vec![class(0, 1, 80.0, 0.0), class(2, 1, 4.0, 4.0), class(9, 9, 1.5, 0.0)],
    };
    let mut encoder = compact_encoder(&identity);
    encoder.line(&identity, &sample, 1, 0.25, 2_500);
    let expected = concat!(
        r#"{"format":2,"sequence":2,"made":0.5,"limit":4.123,"running":3,"takes":0.01235,"pressure":0.75,"retry_after":1,"#,
        r#""settled":38,"products":[[2,"logistics-availability-v2",2.5],[0,"logistics-availability-v0",2.5]],"#,
        r#""customers":[[1,"northern-logistics-00001"]],"load":[[2,1,4,4],[0,1,80]],"rest":{"asked":1.5,"declined":0}}"#,
        "\n"
    );
    assert_eq!(encoder.line(&identity, &sample, 2, 0.500_04, 2_500), expected);
    let draining = LoadSample { healthy: false, terminates_in: Some(1.25), classes: Vec::new(), ..sample };
    let expected = concat!(
        r#"{"format":2,"sequence":3,"made":0.75,"limit":4.123,"running":3,"takes":0.01235,"pressure":0.75,"retry_after":1,"#,
        r#""healthy":false,"leaving":1.25,"settled":38}"#,
        "\n"
    );
    assert_eq!(encoder.line(&identity, &draining, 3, 0.75, 2_500), expected);
}
