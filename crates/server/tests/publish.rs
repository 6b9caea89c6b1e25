//! Tests of the load reports that a server publishes to a control service.

use puffinladder_control::report::decoder::{NameTable, ReportDecoder};
use puffinladder_control::report::LoadReport;
use puffinladder_reports::compact::FormatOffer;
use puffinladder_toy::gateway::unix_time_ms;
use puffinladder_toy::harness::ServerHarness;
use puffinladder_toy::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

const SERVER: &str = env!("CARGO_BIN_EXE_puffinladder-server");

fn start_server(folder: &std::path::Path, control: &str) -> ServerHarness {
    start_server_with(folder, control, |_| {})
}

fn start_server_with(
    folder: &std::path::Path,
    control: &str,
    change: impl FnOnce(&mut Value),
) -> ServerHarness {
    let file = folder.join("s.scm");
    let text = format!("(publish (control \"{control}\") (zone \"east\") (every 50ms))");
    std::fs::write(&file, text).unwrap();
    ServerHarness::start(&["env", &format!("PUFFINLADDER_SETTINGS={}", file.display()), SERVER], change)
}

/// Reads load reports from an accepted connection.
struct ReportReader(BufReader<TcpStream>);

impl ReportReader {
    fn read(&mut self) -> LoadReport {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"))
    }
    /// Reads reports until one matches and returns it.
    fn until(&mut self, awaited: &str, matches: impl Fn(&LoadReport) -> bool) -> LoadReport {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let report = self.read();
            if matches(&report) {
                return report;
            }
            assert!(
                Instant::now() < end,
                "no report of {awaited} within {WAIT_TIMEOUT:?}; the last is {report:?}"
            );
        }
    }
}

#[test]
fn publishes_load_rejections_and_drain() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let harness = start_server(folder.path(), &control.local_addr().unwrap().to_string());
    let mut reports = ReportReader(BufReader::new(control.accept().unwrap().0));
    let first = reports.read();
    assert_eq!((first.instance.as_str(), first.zone.as_str(), first.cores), ("toy-1", "east", 4.0));
    assert_eq!(first.address, harness.address);
    assert!(first.healthy && first.terminates_in.is_none());
    let mut gateway = harness.connect_gateway();
    for _ in 0..20 {
        gateway.call("quote", "", b"quick");
        assert_eq!(gateway.read_response().unwrap().status, "200");
    }
    let report = reports.until("completed runs", |r| r.goodput > 0.0);
    assert!(
        report.service_time > 0.0
            && report.service_time < 1.0
            && report.sequence > first.sequence
            && report.created_at > first.created_at
    );
    assert_eq!((report.classes[0].product.as_str(), report.classes[0].customer.as_str()), ("quote", "acme"));
    assert!(report.classes[0].offered > 0.0 && report.concurrency_limit >= 1.0);
    gateway.call(
        "order",
        &format!(",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,s={}", unix_time_ms() - 5000),
        b"too old",
    );
    assert_eq!(gateway.read_response().unwrap().status, "503");
    let report = reports.until("a rejection", |r| r.classes.iter().any(|c| c.rejected > 0.0));
    assert_eq!(report.classes.iter().find(|c| c.rejected > 0.0).unwrap().product, "order");
    assert!(report.retry_after > 0.0);
    let (_, attempt_id) = gateway.call("quote", "", b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    reports.until("an open run", |r| r.in_flight == 1.0);
    harness.send_sigterm();
    let report = reports.until("the drain", |r| r.terminates_in.is_some());
    assert!(report.terminates_in.unwrap() <= 1.5 && !report.healthy);
}

#[test]
fn publishes_compact_reports_when_offered() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let harness = start_server(folder.path(), &control.local_addr().unwrap().to_string());
    let mut stream = control.accept().unwrap().0;
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut decoder = ReportDecoder::new(NameTable::default());
    let first = decoder.decode(&lines.next().unwrap().unwrap()).unwrap();
    let offer = serde_json::to_string(&FormatOffer::supported()).unwrap();
    stream.write_all(format!("{offer}\n").as_bytes()).unwrap();
    let mut gateway = harness.connect_gateway();
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        gateway.call("quote", "", b"quick");
        assert_eq!(gateway.read_response().unwrap().status, "200");
        let line = lines.next().unwrap().unwrap();
        let report = decoder.decode(&line).unwrap();
        assert_eq!((&report.instance, report.incarnation), (&first.instance, first.incarnation));
        if line.starts_with(r#"{"format":2,"#) && !report.classes.is_empty() {
            let class = &report.classes[0];
            assert_eq!((class.product.as_str(), class.customer.as_str()), ("quote", "acme"));
            assert!(class.offered > 0.0 && report.sequence > first.sequence);
            return;
        }
        assert!(Instant::now() < end, "no compact report within {WAIT_TIMEOUT:?}; the last is {line}");
    }
}

/// An agent retains a limited number of notices. A run whose outcome it dropped while the link was down must release its run
/// slot and memory, and must not stay in the reports.
#[test]
fn run_with_dropped_outcome_releases_its_slot() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap().to_string();
    let harness = start_server_with(folder.path(), &address, |config| {
        for class in config["settings"]["Lanes"].as_array_mut().unwrap() {
            (class["Promise"], class["GiveUp"]) = (json!(1000), json!(1500));
        }
    });
    let mut reports = ReportReader(BufReader::new(control.accept().unwrap().0));
    let mut gateway = harness.connect_gateway();
    let runs = 4;
    for key in 1..=runs {
        gateway.call("order", &format!(",k={key:032x}"), b"hold");
    }
    harness.agent.wait_for_commands("launch", runs);
    // Polls answered after the launches show that the agent has read these, so that none is resent.
    harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 3);
    assert_eq!(harness.agent.finish_all_disconnected(), runs);
    for _ in 0..runs {
        assert_eq!(gateway.read_response().unwrap().status, "500");
    }
    reports.until("runs with dropped outcomes", |report| report.in_flight == runs as f64);
    // The sequence number of the next notice reveals the gap.
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.read_response().unwrap().status, "200");
    reports.until("released run slots", |report| report.in_flight == 0.0);
    // The runs may have completed, so that a retry does not run again.
    gateway.call("order", &format!(",k={:032x}", 1), b"hold");
    assert_eq!(gateway.read_response().unwrap().status, "500");
    assert_eq!(harness.agent.command_count("launch", ""), runs + 1);
}

/// A run that continues through a gap in the notices stays in flight until its outcome arrives.
#[test]
fn run_reported_after_notice_gap_stays_in_flight() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap().to_string();
    let harness = start_server(folder.path(), &address);
    let mut reports = ReportReader(BufReader::new(control.accept().unwrap().0));
    let mut gateway = harness.connect_gateway();
    let (_, attempt_id) = gateway.call("order", &format!(",k={:032x}", 7), b"hold");
    harness.agent.wait_for_command("launch", &attempt_id);
    harness.agent.wait_for_commands("sample", harness.agent.command_count("sample", "") + 3);
    harness.agent.drop_notices();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.read_response().unwrap().status, "200");
    reports.until("the open run", |report| report.in_flight == 1.0);
    harness.agent.finish_run(&attempt_id);
    assert_eq!(gateway.read_response().unwrap().status, "200");
    reports.until("the end of the run", |report| report.in_flight == 0.0);
}

#[test]
fn serves_without_control_service_and_connects_later() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap();
    drop(control);
    let harness = start_server(folder.path(), &address.to_string());
    harness.wait_for_log("no control service reachable");
    let mut gateway = harness.connect_gateway();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.read_response().unwrap().status, "200");
    let control = TcpListener::bind(address).unwrap();
    let (stream, _) = control.accept().unwrap();
    assert_eq!(ReportReader(BufReader::new(stream)).read().instance, "toy-1");
    harness.wait_for_log("control service reachable again");
}
