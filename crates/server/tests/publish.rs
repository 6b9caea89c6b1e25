//! Stories of a server that tells a control service what it decided.

use puffinladder_control::report::decoder::{NameTable, ReportDecoder};
use puffinladder_control::report::LoadReport;
use puffinladder_reports::compact::FormatOffer;
use puffinladder_toy::gateway::now;
use puffinladder_toy::town::Town;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SERVER: &str = env!("CARGO_BIN_EXE_puffinladder-server");

fn town(folder: &std::path::Path, control: &str) -> Town {
    changed_town(folder, control, |_| {})
}

fn changed_town(folder: &std::path::Path, control: &str, change: impl FnOnce(&mut Value)) -> Town {
    let file = folder.join("s.scm");
    let text = format!("(publish (control \"{control}\") (zone \"east\") (every 50ms))");
    std::fs::write(&file, text).unwrap();
    Town::open(&["env", &format!("PUFFINLADDER_SETTINGS={}", file.display()), SERVER], change)
}

struct Heard(BufReader<TcpStream>);

impl Heard {
    fn next(&mut self) -> LoadReport {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"))
    }
    /// The first report that is as wanted.
    fn until(&mut self, what: &str, wanted: impl Fn(&LoadReport) -> bool) -> LoadReport {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let report = self.next();
            if wanted(&report) {
                return report;
            }
            assert!(Instant::now() < end, "waited in vain for {what}: {report:?}");
        }
    }
}

#[test]
fn a_control_service_hears_what_was_asked_rejected_and_run_and_of_the_drain_before_it() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let town = town(folder.path(), &control.local_addr().unwrap().to_string());
    let mut heard = Heard(BufReader::new(control.accept().unwrap().0));
    let first = heard.next();
    assert_eq!((first.instance.as_str(), first.zone.as_str(), first.cores), ("toy-1", "east", 4.0));
    assert_eq!(first.address, town.server);
    assert!(first.healthy && first.terminates_in.is_none());
    let mut gateway = town.gateway();
    for _ in 0..20 {
        gateway.call("quote", "", b"quick");
        assert_eq!(gateway.answer().unwrap().word, "200");
    }
    let report = heard.until("runs", |r| r.goodput > 0.0);
    assert!(
        report.service_time > 0.0
            && report.service_time < 1.0
            && report.sequence > first.sequence
            && report.created_at > first.created_at
    );
    assert_eq!((report.classes[0].product.as_str(), report.classes[0].customer.as_str()), ("quote", "acme"));
    assert!(report.classes[0].offered > 0.0 && report.concurrency_limit >= 1.0);
    gateway.call("order", &format!(",k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,s={}", now() - 5000), b"too old");
    assert_eq!(gateway.answer().unwrap().word, "503");
    let report = heard.until("a decline", |r| r.classes.iter().any(|c| c.rejected > 0.0));
    assert_eq!(report.classes.iter().find(|c| c.rejected > 0.0).unwrap().product, "order");
    assert!(report.retry_after > 0.0);
    let (_, held) = gateway.call("quote", "", b"hold");
    town.agent.hears("launch", &held);
    heard.until("an open run", |r| r.in_flight == 1.0);
    town.term();
    let report = heard.until("the drain", |r| r.terminates_in.is_some());
    assert!(report.terminates_in.unwrap() <= 1.5 && !report.healthy);
}

#[test]
fn a_control_service_that_offers_it_hears_compact_reports_that_say_the_same() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let town = town(folder.path(), &control.local_addr().unwrap().to_string());
    let mut stream = control.accept().unwrap().0;
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut decoder = ReportDecoder::new(NameTable::default());
    let first = decoder.decode(&lines.next().unwrap().unwrap()).unwrap();
    let offer = serde_json::to_string(&FormatOffer::supported()).unwrap();
    stream.write_all(format!("{offer}\n").as_bytes()).unwrap();
    let mut gateway = town.gateway();
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        gateway.call("quote", "", b"quick");
        assert_eq!(gateway.answer().unwrap().word, "200");
        let line = lines.next().unwrap().unwrap();
        let report = decoder.decode(&line).unwrap();
        assert_eq!((&report.instance, report.incarnation), (&first.instance, first.incarnation));
        if line.starts_with(r#"{"format":2,"#) && !report.classes.is_empty() {
            let class = &report.classes[0];
            assert_eq!((class.product.as_str(), class.customer.as_str()), ("quote", "acme"));
            assert!(class.offered > 0.0 && report.sequence > first.sequence);
            return;
        }
        assert!(Instant::now() < end, "waited in vain for a compact report: {line}");
    }
}

/// Symptom: after the agent's link was away for so long that the agent no longer had all notices (it retains 4,000), a server reported
/// runs that had ended long ago, for as long as it lived, and gave their places and memory to nobody else. Cause: a request stays in
/// hand until the outcome of its run is read, and an outcome that the agent has dropped never is. The log said `notices 1 to 4 are
/// missing` and nothing more of these requests; `running` of the reports stood at 4, with the callers long answered.
#[test]
fn a_run_whose_outcome_was_dropped_by_the_agent_gives_its_place_back() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap().to_string();
    let town = changed_town(folder.path(), &address, |config| {
        for class in config["settings"]["Lanes"].as_array_mut().unwrap() {
            (class["Promise"], class["GiveUp"]) = (json!(1000), json!(1500));
        }
    });
    let mut heard = Heard(BufReader::new(control.accept().unwrap().0));
    let mut gateway = town.gateway();
    let runs = 4;
    for key in 1..=runs {
        gateway.call("order", &format!(",k={key:032x}"), b"hold");
    }
    town.agent.hears_times("launch", runs);
    // Polls that are answered after the launches show that these were read: none is sent again.
    town.agent.hears_times("sample", town.agent.count("sample", "") + 3);
    assert_eq!(town.agent.finish_unheard(), runs);
    for _ in 0..runs {
        assert_eq!(gateway.answer().unwrap().word, "500");
    }
    heard.until("runs that ended unheard", |report| report.in_flight == runs as f64);
    // The next notice shows that some are missing.
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.answer().unwrap().word, "200");
    heard.until("their places to be free", |report| report.in_flight == 0.0);
    // They ran, for all that is known: a retry gets no second run.
    gateway.call("order", &format!(",k={:032x}", 1), b"hold");
    assert_eq!(gateway.answer().unwrap().word, "500");
    assert_eq!(town.agent.count("launch", ""), runs + 1);
}

/// A run that goes on through the gap, and says so or ends after it, is in hand until it ends.
#[test]
fn a_run_that_is_heard_of_after_the_gap_is_waited_for() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap().to_string();
    let town = town(folder.path(), &address);
    let mut heard = Heard(BufReader::new(control.accept().unwrap().0));
    let mut gateway = town.gateway();
    let (_, name) = gateway.call("order", &format!(",k={:032x}", 7), b"hold");
    town.agent.hears("launch", &name);
    town.agent.hears_times("sample", town.agent.count("sample", "") + 3);
    town.agent.drop_notices();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.answer().unwrap().word, "200");
    heard.until("the run", |report| report.in_flight == 1.0);
    town.agent.finish(&name);
    assert_eq!(gateway.answer().unwrap().word, "200");
    heard.until("its end", |report| report.in_flight == 0.0);
}

#[test]
fn without_a_control_service_a_server_serves_and_finds_it_when_it_comes() {
    let folder = tempfile::tempdir().unwrap();
    let control = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = control.local_addr().unwrap();
    drop(control);
    let town = town(folder.path(), &address.to_string());
    town.logs("no control service reachable");
    let mut gateway = town.gateway();
    gateway.call("quote", "", b"quick");
    assert_eq!(gateway.answer().unwrap().word, "200");
    let control = TcpListener::bind(address).unwrap();
    let (stream, _) = control.accept().unwrap();
    assert_eq!(Heard(BufReader::new(stream)).next().instance, "toy-1");
    town.logs("control service reachable again");
}
