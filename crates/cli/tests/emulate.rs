//! Compares emulated servers with a real serving process on the wire, and runs the `emulate` command.

use puffinladder_emulator::connection_stats::ConnectionStats;
use puffinladder_emulator::publisher::publish;
use puffinladder_reports::{ClassLoad, LoadSample, Product, ServerIdentity};
use puffinladder_toy::harness::ServerHarness;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_puffinladder");
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a real serving process that reports to `control`; a long zone name makes long lines.
fn start_server(folder: &std::path::Path, control: SocketAddr, zone: &str) -> ServerHarness {
    let file = folder.join("s.scm");
    let text = format!("(publish (control \"{control}\") (zone \"{zone}\") (every 50ms))");
    std::fs::write(&file, text).unwrap();
    let set = format!("PUFFINLADDER_SETTINGS={}", file.display());
    ServerHarness::start(&["env", &set, PROGRAM, "serve"], |_| {})
}

/// An emulated server with the same names; reports the load last stored in `load`.
struct EmulatedServer {
    _runtime: tokio::runtime::Runtime,
    stats: Arc<ConnectionStats>,
    load: Arc<Mutex<Option<LoadSample>>>,
}

fn idle() -> LoadSample {
    LoadSample {
        concurrency_limit: 1.0,
        in_flight: 0,
        service_time: 0.0,
        pressure: 0.0,
        retry_after: 0.0,
        healthy: true,
        terminates_in: None,
        goodput: 0.0,
        classes: Vec::new(),
    }
}

fn start_emulated(control: SocketAddr, zone: &str, address: SocketAddr) -> EmulatedServer {
    let identity = ServerIdentity {
        instance: "toy-1".into(),
        incarnation: 1_700_000_000_000_000,
        zone: zone.into(),
        address,
        cores: 4.0,
        warm_up_span: None,
        initial_capacity: 1.0,
        products: [("quote", 1.0), ("order", 3.0)]
            .map(|(name, priority_weight)| Product { name: name.into(), priority_weight })
            .into(),
        customers: ["acme".to_string()].into(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let (stats, load) = (Arc::new(ConnectionStats::default()), Arc::new(Mutex::new(None)));
    let (publisher_stats, publisher_load) = (stats.clone(), load.clone());
    runtime.spawn(async move {
        let sample = |_: f64| publisher_load.lock().unwrap().clone().unwrap_or_else(idle);
        publish(identity, sample, &[control], REPORT_INTERVAL, &publisher_stats).await;
    });
    EmulatedServer { _runtime: runtime, stats, load }
}

/// Connection of a server, as the control service reads it.
struct ReportStream(BufReader<TcpStream>);

impl ReportStream {
    fn accept(listener: &TcpListener) -> ReportStream {
        let stream = listener.accept().unwrap().0;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        ReportStream(BufReader::new(stream))
    }
    fn line(&mut self) -> (String, Value) {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        let value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
        (line, value)
    }
}

/// Collects the paths of all keys with the types of their values.
fn collect_keys(value: &Value, path: &str, into: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, value)| collect_keys(value, &format!("{path}.{key}"), into))
        }
        Value::Array(values) => {
            values.iter().for_each(|value| collect_keys(value, &format!("{path}[]"), into))
        }
        Value::Number(n) => {
            into.insert(format!("{path} {}", if n.is_f64() { "float" } else { "whole" }));
        }
        Value::String(_) => drop(into.insert(format!("{path} text"))),
        Value::Bool(_) => drop(into.insert(format!("{path} bool"))),
        Value::Null => drop(into.insert(format!("{path} null"))),
    }
}

/// Parses the load of a report, for an emulated server to report the same.
fn parse_load(report: &Value) -> LoadSample {
    let number = |value: &Value, key: &str| value[key].as_f64().unwrap();
    let class = |class: &Value| ClassLoad {
        product: usize::from(class["product"] == "order"),
        customer: 0,
        offered: number(class, "asked"),
        rejected: number(class, "declined"),
    };
    LoadSample {
        concurrency_limit: number(report, "limit"),
        in_flight: report["running"].as_u64().unwrap() as usize,
        service_time: number(report, "takes"),
        pressure: number(report, "pressure"),
        retry_after: number(report, "retry_after"),
        healthy: report["healthy"].as_bool().unwrap(),
        terminates_in: report["leaving"].as_f64(),
        goodput: number(report, "settled"),
        classes: report["classes"].as_array().unwrap().iter().map(class).collect(),
    }
}

/// Compares two samples up to rounding of the last digit.
fn same_load(one: &LoadSample, two: &LoadSample) -> bool {
    let numbers = |s: &LoadSample| {
        let classes = s.classes.iter().flat_map(|c| [c.product as f64, c.offered, c.rejected]);
        let fields = [
            s.concurrency_limit,
            s.in_flight as f64,
            s.service_time,
            s.pressure,
            s.retry_after,
            s.goodput,
            s.terminates_in.unwrap_or(-1.0),
        ];
        fields.into_iter().chain(classes).collect::<Vec<f64>>()
    };
    let (one, two) = (numbers(one), numbers(two));
    one.len() == two.len() && one.iter().zip(&two).all(|(a, b)| (a - b).abs() <= 1e-9 * a.abs())
}

#[test]
fn emulated_report_matches_real_one_in_the_same_state() {
    let folder = tempfile::tempdir().unwrap();
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let harness = start_server(folder.path(), listeners[0].local_addr().unwrap(), "east");
    let mut reports = ReportStream::accept(&listeners[0]);
    let mut gateway = harness.connect_gateway();
    let emulated = start_emulated(listeners[1].local_addr().unwrap(), "east", harness.address);
    let mut emulated_reports = ReportStream::accept(&listeners[1]);
    // Waits for the end of the warm-up, which an emulated server does not have.
    while reports.line().1["warmth"] != 1.0 {}
    // The first reports are idle, later ones have runs.
    let (mut lines, mut busy, mut kinds) = (0, 0, [BTreeSet::new(), BTreeSet::new()]);
    while busy < 5 || lines < 20 {
        lines += 1;
        assert!(lines < 400, "{busy} reports with runs");
        if lines > 5 {
            gateway.call("quote", "", b"quick");
            assert_eq!(gateway.read_response().unwrap().status, "200");
        }
        let (line, value) = reports.line();
        busy += usize::from(value["settled"].as_f64().unwrap() > 0.0);
        let load = parse_load(&value);
        *emulated.load.lock().unwrap() = Some(load.clone());
        // Skips reports of the previous load.
        let matching =
            (0..400).map(|_| emulated_reports.line()).find(|(_, value)| same_load(&parse_load(value), &load));
        let (emulated_line, emulated_value) = matching.unwrap_or_else(|| panic!("never reported {load:?}"));
        collect_keys(&value, "", &mut kinds[0]);
        collect_keys(&emulated_value, "", &mut kinds[1]);
        let ratio = emulated_line.len() as f64 / line.len() as f64;
        assert!(
            (0.95..=1.05).contains(&ratio),
            "{} bytes for {}\n{emulated_line}{line}",
            emulated_line.len(),
            line.len()
        );
    }
    assert_eq!(kinds[0], kinds[1]);
    assert!(kinds[0].contains(".classes[].declined float"), "{:?}", kinds[0]);
}

/// Reads reports, checks that none is missing or repeated and that each was made an interval or more after the previous one, and
/// returns the last sequence number.
fn check_sequence(reports: &mut ReportStream, count: usize) -> u64 {
    let mut last: Option<(u64, f64)> = None;
    for _ in 0..count {
        let (line, value) = reports.line();
        let (sequence, created_at) = (value["sequence"].as_u64().unwrap(), value["made"].as_f64().unwrap());
        if let Some((previous, previous_time)) = last {
            assert_eq!(sequence, previous + 1, "{line}");
            assert!(created_at - previous_time >= REPORT_INTERVAL.as_secs_f64(), "{previous_time} {line}");
        }
        last = Some((sequence, created_at));
    }
    last.unwrap().0
}

/// Closes the connection, then the listener, and checks that the server reconnects each time and goes on counting.
fn check_reconnects(listener: TcpListener) {
    let at = listener.local_addr().unwrap();
    let mut reports = ReportStream::accept(&listener);
    let first = check_sequence(&mut reports, 8);
    drop(reports);
    let mut reports = ReportStream::accept(&listener);
    let second = check_sequence(&mut reports, 8);
    assert!(second >= first + 8, "{first} {second}");
    // No process listens for a while.
    drop((reports, listener));
    let listener = TcpListener::bind(at).unwrap();
    let mut reports = ReportStream::accept(&listener);
    assert!(check_sequence(&mut reports, 8) >= second + 8);
}

#[test]
fn real_and_emulated_server_reconnect_to_a_restarted_peer() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _harness = start_server(folder.path(), listener.local_addr().unwrap(), "east");
    check_reconnects(listener);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let emulated = start_emulated(listener.local_addr().unwrap(), "east", "127.0.0.1:1".parse().unwrap());
    check_reconnects(listener);
    assert!(emulated.stats.reconnects.get() >= 2);
}

/// Stops reading, and checks that the server closes the connection, possibly within a line, and begins the next with a later, whole
/// line; no sequence number is repeated.
fn check_stalled_peer(listener: &TcpListener) {
    let mut stalled = listener.accept().unwrap().0;
    stalled.set_read_timeout(Some(TIMEOUT)).unwrap();
    // Not read until the server opens another connection.
    let mut reports = ReportStream::accept(listener);
    let (line, value) = reports.line();
    let next = value["sequence"].as_u64().unwrap_or_else(|| panic!("{line}"));
    let mut bytes = Vec::new();
    stalled.read_to_end(&mut bytes).unwrap();
    let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let mut last = 0;
    for line in bytes[..whole].split_inclusive(|byte| *byte == b'\n') {
        let value: Value = serde_json::from_slice(line).unwrap();
        let sequence = value["sequence"].as_u64().unwrap();
        assert!(sequence == last + 1 || last == 0, "{last} {sequence}");
        last = sequence;
    }
    assert!(last > 0, "{} bytes", bytes.len());
    // Unsent lines and those made without a connection are lost.
    assert!(next > last + 1, "{last} {next}");
    check_sequence(&mut reports, 3);
}

/// Returns a listener whose connections have a small receive buffer, so that the sender blocks early.
fn small_buffer_listener() -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        socket.listen(16).unwrap().into_std().unwrap()
    });
    listener.set_nonblocking(false).unwrap();
    listener
}

#[test]
fn real_and_emulated_server_replace_a_stalled_connection() {
    let folder = tempfile::tempdir().unwrap();
    let zone = "z".repeat(16_000);
    let listener = small_buffer_listener();
    let _harness = start_server(folder.path(), listener.local_addr().unwrap(), &zone);
    check_stalled_peer(&listener);
    let listener = small_buffer_listener();
    let emulated = start_emulated(listener.local_addr().unwrap(), &zone, "127.0.0.1:1".parse().unwrap());
    check_stalled_peer(&listener);
    assert_eq!((emulated.stats.reconnects.get(), emulated.stats.links.get()), (1, 1));
}

/// An `emulate` process and its printed lines.
struct EmulateProcess(Child, mpsc::Receiver<Value>);

impl EmulateProcess {
    fn start(line: &str) -> EmulateProcess {
        let mut child = Command::new(PROGRAM).args(line.split(' ')).stdout(Stdio::piped()).spawn().unwrap();
        let (lines, snapshots) = mpsc::channel();
        let out = BufReader::new(child.stdout.take().unwrap());
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                let _ = lines.send(serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}")));
            }
        });
        EmulateProcess(child, snapshots)
    }
    fn wait_for(&self, wanted: impl Fn(&Value) -> bool) -> Value {
        std::iter::from_fn(|| self.1.recv_timeout(TIMEOUT).ok()).find(|snapshot| wanted(snapshot)).unwrap()
    }
    fn terminate(mut self) -> Value {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
        let end = self.wait_for(|snapshot| snapshot["event"] == "end");
        assert!(self.0.wait().unwrap().success());
        end
    }
}

#[test]
fn command_prints_snapshots_and_ends_on_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("c.scm");
    // The service logs the ports that the system assigned.
    let text = "(control (xds \"127.0.0.1:0\") (reports \"127.0.0.1:0\"))";
    std::fs::write(&settings, text).unwrap();
    let mut control = Command::new(PROGRAM)
        .args(["control", "--settings", settings.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(control.stderr.take().unwrap()).lines().map_while(Result::ok);
    let at = |line: &str, key: &str| {
        let rest = line.split_once(&format!("{key} "))?.1;
        rest.split([',', ' ']).next()?.parse::<SocketAddr>().ok()
    };
    let (xds, reports) = log
        .by_ref()
        .find_map(|line| Some((at(&line, "xds on")?, at(&line, "reports on")?)))
        .expect("its addresses");
    let rest = std::thread::spawn(move || log.count());
    let servers = EmulateProcess::start(&format!(
        "emulate servers --count 30 --control {reports} --every 100ms --zones 2 --start-within 100ms"
    ));
    let callers = EmulateProcess::start(&format!(
        "emulate callers --count 30 --control {xds} --services 3 --zones 2 --start-within 100ms"
    ));
    let tick = callers.wait_for(|snapshot| snapshot["acked"] == 30 && snapshot["holding"] == 30);
    assert!(tick["event"] == "tick" && tick["connected"] == 30 && tick["version"].is_string(), "{tick}");
    assert!(
        tick["sent"].as_u64().unwrap() > 0 && tick["received"].as_u64() > tick["sent"].as_u64(),
        "{tick}"
    );
    let tick = servers.wait_for(|snapshot| snapshot["connected"] == 30);
    for figure in ["at", "cpu", "resident", "descriptors", "messages_sent", "sent"] {
        assert!(tick[figure].as_f64().unwrap() > 0.0, "{figure}: {tick}");
    }
    assert!(tick["acked"].is_null() && (36..=60).contains(&tick["descriptors"].as_u64().unwrap()), "{tick}");
    assert!(servers.terminate()["messages_sent"].as_u64() >= tick["messages_sent"].as_u64());
    assert_eq!(callers.terminate()["connected"], 30);
    let span = EmulateProcess::start(&format!("emulate servers --count 1 --control {reports} --span 100ms"));
    assert_eq!(
        span.wait_for(|snapshot| snapshot["event"] == "end")["connected"],
        0,
        "its first report is not due yet"
    );
    let pid = rustix::process::Pid::from_child(&control);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert!(control.wait().unwrap().success());
    rest.join().unwrap();
}

#[test]
fn invalid_arguments_are_named() {
    for (line, wanted) in [
        ("hollow servers --count 0 --control 127.0.0.1:1", "--count"),
        ("hollow servers --count 16000000 --control 127.0.0.1:1", "descriptors"),
        ("hollow servers --count 1 --control here", "--control"),
        ("hollow servers --count 1 --control 127.0.0.1:1 --every 0s", "--every"),
        ("hollow servers --count 1 --control 127.0.0.1:1 --rate NaN", "--rate"),
        ("hollow servers --count 1 --control 127.0.0.1:1 --customers 999999", "--customers"),
        ("hollow callers --count 1", "--control"),
        ("hollow callers --count 1 --control 127.0.0.1:1 --span 9999999h", "--span"),
    ] {
        let out = Command::new(PROGRAM).args(line.split(' ')).output().unwrap();
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && stderr.contains(wanted), "{line}: {stderr}");
    }
    let out = Command::new(PROGRAM)
        .args(["hollow", "names", "--customers", "2", "--products", "1"])
        .output()
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&out.stdout).lines().count(), 3);
}
