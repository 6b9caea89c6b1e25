//! Decoding of report lines: full reports, compact reports and malformed lines.

mod common;

use common::start_service;
use puffinladder_control::report::decoder::{DecodeError, NameTable, ReportDecoder};
use puffinladder_control::report::LoadReport;
use puffinladder_control::serve::ServiceHandle;
use puffinladder_reports::compact::FormatOffer;
use puffinladder_reports::{ClassLoad, LoadSample, Product, ReportEncoder, ServerIdentity};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Relative error of compact reports, which carry four significant digits.
const FIGURE_ERROR: f64 = 1e-3;
const PRODUCTS: usize = 5;
const CUSTOMERS: usize = 8;

fn identity(name: &str) -> ServerIdentity {
    ServerIdentity {
        instance: name.into(),
        incarnation: 7,
        zone: "a".into(),
        address: "127.0.0.1:4100".parse().unwrap(),
        cores: 4.0,
        warm_up_span: Some(40.0),
        initial_capacity: 0.25,
        products: (0..PRODUCTS)
            .map(|at| Product { name: format!("p{at}"), priority_weight: at as f64 })
            .collect(),
        customers: (0..CUSTOMERS).map(|at| format!("k{at}")).collect(),
    }
}

fn sample(random: &mut ChaCha8Rng) -> LoadSample {
    let mut classes = Vec::new();
    for product in 0..PRODUCTS {
        for customer in 0..CUSTOMERS {
            if random.random_bool(0.4) {
                let offered = random.random_range(0.1..500.0);
                let rejected = if random.random_bool(0.3) { offered / 3.0 } else { 0.0 };
                classes.push(ClassLoad { product, customer, offered, rejected });
            }
        }
    }
    LoadSample {
        concurrency_limit: random.random_range(2.0..16.0),
        in_flight: random.random_range(0..16),
        service_time: random.random_range(0.008..0.018),
        pressure: random.random_range(0.0..1.0),
        retry_after: random.random_range(0.25..0.75),
        healthy: random.random_bool(0.8),
        terminates_in: random.random_bool(0.2).then_some(1.5),
        goodput: random.random_range(100.0..200.0),
        classes,
    }
}

fn encoder_with_offer(identity: &ServerIdentity) -> ReportEncoder {
    let mut encoder = ReportEncoder::new(identity);
    encoder.receive(format!("{}\n", serde_json::to_string(&FormatOffer::supported()).unwrap()).as_bytes());
    encoder
}

fn by_class(report: &LoadReport) -> BTreeMap<(&str, &str), (f64, f64, f64)> {
    let classes = report.classes.iter();
    classes
        .map(|c| ((c.product.as_str(), c.customer.as_str()), (c.offered, c.rejected, c.priority_weight)))
        .collect()
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= FIGURE_ERROR * a.abs().max(b.abs())
}

#[test]
fn compact_report_decodes_to_the_full_report() {
    let identity = identity("n1");
    for seed in 0..20 {
        println!("seed {seed}");
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut encoder = encoder_with_offer(&identity);
        let mut decoder = ReportDecoder::new(NameTable::default());
        for sequence in 1..100u64 {
            let (sample, now) = (sample(&mut random), sequence as f64 * 0.25);
            let full = identity.report_line(&sample, sequence, now);
            let full: LoadReport = serde_json::from_str(&full).unwrap();
            let line = encoder.line(&identity, &sample, sequence, now, 1 << 16);
            let decoded = decoder.decode(&line).unwrap();
            assert_eq!(
                by_class(&decoded).keys().collect::<Vec<_>>(),
                by_class(&full).keys().collect::<Vec<_>>()
            );
            for (class, (offered, rejected, weight)) in by_class(&full) {
                let figures = by_class(&decoded)[&class];
                assert!(
                    near(figures.0, offered) && near(figures.1, rejected) && figures.2 == weight,
                    "{line}"
                );
            }
            let figures = |report: &LoadReport| {
                let LoadReport { concurrency_limit, in_flight, service_time, pressure, retry_after, .. } =
                    *report;
                [concurrency_limit, in_flight, service_time, pressure, retry_after, report.goodput]
            };
            assert!(figures(&decoded).iter().zip(figures(&full)).all(|(a, b)| near(*a, b)), "{line}");
            assert!((decoded.warm_up_progress - full.warm_up_progress).abs() < 1e-9);
            let rest = |report: LoadReport| LoadReport {
                classes: Vec::new(),
                concurrency_limit: 1.0,
                in_flight: 0.0,
                service_time: 0.0,
                pressure: 0.0,
                retry_after: 0.0,
                goodput: 0.0,
                warm_up_progress: 0.0,
                ..report
            };
            assert_eq!(rest(decoded), rest(full));
        }
    }
}

#[test]
fn load_of_unnamed_classes_is_summed() {
    let identity = identity("n1");
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut encoder = encoder_with_offer(&identity);
    let mut decoder = ReportDecoder::new(NameTable::default());
    decoder.decode(&encoder.line(&identity, &sample(&mut random), 1, 0.25, 1 << 16)).unwrap();
    // The report that introduces the names is lost, and so are some of the later ones.
    encoder.line(&identity, &sample(&mut random), 2, 0.5, 1 << 16);
    for sequence in 3..50 {
        let sample = sample(&mut random);
        let line = encoder.line(&identity, &sample, sequence, 1.0, 250);
        if random.random_bool(0.3) {
            continue;
        }
        let decoded = decoder.decode(&line).unwrap();
        let sum = |classes: &[f64]| classes.iter().sum::<f64>();
        let expected = sum(&sample.classes.iter().map(|class| class.offered).collect::<Vec<_>>());
        let actual = sum(&decoded.classes.iter().map(|class| class.offered).collect::<Vec<_>>());
        assert!(near(expected, actual), "offered {expected} decoded as {actual}: {line}");
        assert!(decoded.classes.iter().filter(|class| class.product.is_empty()).count() <= 1);
    }
}

#[test]
fn rejects_malformed_lines() {
    let identity = identity("n1");
    let full = identity.report_line(&sample(&mut ChaCha8Rng::seed_from_u64(1)), 1, 0.25);
    let compact = |more: &str| {
        let figures = r#""sequence":2,"made":0.5,"limit":4,"running":3,"takes":0.01,"pressure":0,"retry_after":1,"settled":38"#;
        format!(r#"{{"format":2,{figures}{more}}}"#)
    };
    let new_decoder = || ReportDecoder::new(NameTable::default());
    assert!(matches!(new_decoder().decode(&compact("")), Err(DecodeError::NoFullReport)));
    let decoder_after_full_report = || {
        let mut decoder = new_decoder();
        decoder.decode(&full).unwrap();
        decoder
    };
    decoder_after_full_report().decode(&compact("")).unwrap();
    assert!(matches!(
        decoder_after_full_report().decode(r#"{"format":3}"#),
        Err(DecodeError::UnknownFormat(3))
    ));
    let long = "x".repeat(500);
    for names in [
        r#","products":[[4000000000,"p",1]]"#.to_owned(),
        r#","customers":[[65536,"k"]]"#.to_owned(),
        format!(r#","customers":[[1,"{long}"]]"#),
    ] {
        assert!(
            matches!(decoder_after_full_report().decode(&compact(&names)), Err(DecodeError::Name)),
            "{names}"
        );
    }
    for invalid in [
        r#","load":[[1,2]]"#,
        r#","load":[[-1,2,3]]"#,
        r#","load":[[1,2,"x"]]"#,
        r#","load":[[1,2,3,4,5]]"#,
        r#","load":{"a":1}"#,
        r#","products":[[1]]"#,
        r#","rest":3"#,
    ] {
        assert!(
            matches!(decoder_after_full_report().decode(&compact(invalid)), Err(DecodeError::Json(_))),
            "{invalid}"
        );
    }
    for text in ["", "{", "null", "[]", r#"{"format":"2"}"#, r#"{"format":2}"#, "{}"] {
        assert!(matches!(decoder_after_full_report().decode(text), Err(DecodeError::Json(_))), "{text}");
    }
    // Load of an unknown name counts as load without a name.
    let decoded = decoder_after_full_report().decode(&compact(r#","load":[[4294967295,7,3,1]]"#)).unwrap();
    assert_eq!((decoded.classes[0].product.as_str(), decoded.classes[0].offered), ("", 3.0));
}

/// Sends reports on a connection of its own. An early server does not read the format offer.
async fn report_on(
    address: std::net::SocketAddr,
    identity: ServerIdentity,
    reads_offer: bool,
    sequence: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(sequence);
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut encoder = ReportEncoder::new(&identity);
    for next in sequence.. {
        let state = LoadSample { healthy: true, terminates_in: None, ..sample(&mut random) };
        let line = encoder.line(&identity, &state, next, next as f64 * 0.1, 2_500);
        if stream.write_all(line.as_bytes()).await.is_err() {
            return;
        }
        while reads_offer && encoder.awaits_offer() {
            let mut chunk = [0; 64];
            let count = stream.read(&mut chunk).await.unwrap();
            assert!(count > 0, "the service ended the connection");
            encoder.receive(&chunk[..count]);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until both servers have a share of the plan.
async fn wait_until_both_have_shares(handle: &ServiceHandle) {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let shares =
            handle.query(|service, _| service.plan().map(|plan| plan.shares.clone())).await.flatten();
        let routed = shares.unwrap_or_default().iter().filter(|share| share.weight > 0.0).count();
        if routed == 2 {
            return;
        }
        assert!(Instant::now() < deadline, "timed out waiting for shares of both servers");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_servers_of_both_formats_after_restart() {
    for _ in 0..2 {
        let running = start_service(None, None).await;
        let servers = ["early", "new"]
            .map(|name| tokio::spawn(report_on(running.reports, identity(name), name == "new", 1)));
        wait_until_both_have_shares(&running.handle).await;
        let seen = running.handle.query(|service, now| {
            let views = service.fleet().servers(now).into_iter();
            let classes = views.map(|view| (view.report.instance.clone(), view.report.classes.len()));
            (service.fleet().rejected, classes.collect::<Vec<_>>())
        });
        let (rejected, classes) = seen.await.unwrap();
        assert_eq!(rejected, 0);
        assert!(classes.iter().all(|(_, count)| *count > 0), "{classes:?}");
        servers.iter().for_each(|server| server.abort());
        running.kill();
    }
}
