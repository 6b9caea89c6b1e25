//! The emulated against the real: a serving process and an emulated server, each into a listener of its own, have to go through the same story.

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
const EVERY: Duration = Duration::from_millis(50);
/// Whatever waits for so long waits in vain.
const PATIENCE: Duration = Duration::from_secs(20);

/// A real serving process that reports there; long names in a zone make long lines.
fn real(folder: &std::path::Path, control: SocketAddr, zone: &str) -> ServerHarness {
    let file = folder.join("s.scm");
    let text = format!("(publish (control \"{control}\") (zone \"{zone}\") (every 50ms))");
    std::fs::write(&file, text).unwrap();
    let set = format!("PUFFINLADDER_SETTINGS={}", file.display());
    ServerHarness::start(&["env", &set, PROGRAM, "serve"], |_| {})
}

/// An emulated one with the same names, and states as they are handed in.
struct Emulated {
    _runtime: tokio::runtime::Runtime,
    stats: Arc<ConnectionStats>,
    states: Arc<Mutex<Option<LoadSample>>>,
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

fn emulate(control: SocketAddr, zone: &str, address: SocketAddr) -> Emulated {
    let who = ServerIdentity {
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
    let (stats, states) = (Arc::new(ConnectionStats::default()), Arc::new(Mutex::new(None)));
    let (counted, given) = (stats.clone(), states.clone());
    runtime.spawn(async move {
        let state = |_: f64| given.lock().unwrap().clone().unwrap_or_else(idle);
        publish(who, state, &[control], EVERY, &counted).await;
    });
    Emulated { _runtime: runtime, stats, states }
}

struct Heard(BufReader<TcpStream>);

impl Heard {
    fn accept(listener: &TcpListener) -> Heard {
        let stream = listener.accept().unwrap().0;
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Heard(BufReader::new(stream))
    }
    fn line(&mut self) -> (String, Value) {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        let value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
        (line, value)
    }
}

/// All keys with the kinds of their values; a class and where its keys stand.
fn keys(value: &Value, at: &str, into: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| keys(value, &format!("{at}.{key}"), into)),
        Value::Array(all) => all.iter().for_each(|value| keys(value, &format!("{at}[]"), into)),
        Value::Number(n) => drop(into.insert(format!("{at} {}", if n.is_f64() { "float" } else { "whole" }))),
        Value::String(_) => drop(into.insert(format!("{at} text"))),
        Value::Bool(_) => drop(into.insert(format!("{at} bool"))),
        Value::Null => drop(into.insert(format!("{at} null"))),
    }
}

/// What a real report says, for an emulated server to say the same.
fn state(of: &Value) -> LoadSample {
    let number = |value: &Value, key: &str| value[key].as_f64().unwrap();
    let class = |class: &Value| ClassLoad {
        product: usize::from(class["product"] == "order"),
        customer: 0,
        offered: number(class, "asked"),
        rejected: number(class, "declined"),
    };
    LoadSample {
        concurrency_limit: number(of, "limit"),
        in_flight: of["running"].as_u64().unwrap() as usize,
        service_time: number(of, "takes"),
        pressure: number(of, "pressure"),
        retry_after: number(of, "retry_after"),
        healthy: of["healthy"].as_bool().unwrap(),
        terminates_in: of["leaving"].as_f64(),
        goodput: number(of, "settled"),
        classes: of["classes"].as_array().unwrap().iter().map(class).collect(),
    }
}

/// The same but for the last digit, which reading and writing a number may change.
fn same(one: &LoadSample, two: &LoadSample) -> bool {
    let numbers = |s: &LoadSample| {
        let classes = s.classes.iter().flat_map(|c| [c.product as f64, c.offered, c.rejected]);
        let all = [
            s.concurrency_limit,
            s.in_flight as f64,
            s.service_time,
            s.pressure,
            s.retry_after,
            s.goodput,
            s.terminates_in.unwrap_or(-1.0),
        ];
        all.into_iter().chain(classes).collect::<Vec<f64>>()
    };
    let (one, two) = (numbers(one), numbers(two));
    one.len() == two.len() && one.iter().zip(&two).all(|(a, b)| (a - b).abs() <= 1e-9 * a.abs())
}

#[test]
fn an_emulated_report_has_the_keys_kinds_and_bytes_of_a_real_one_in_the_same_state() {
    let folder = tempfile::tempdir().unwrap();
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let harness = real(folder.path(), listeners[0].local_addr().unwrap(), "east");
    let mut heard = Heard::accept(&listeners[0]);
    let mut gateway = harness.connect_gateway();
    let emulated = emulate(listeners[1].local_addr().unwrap(), "east", harness.address);
    let mut other = Heard::accept(&listeners[1]);
    // Until it is warm: an emulated one begins so.
    while heard.line().1["warmth"] != 1.0 {}
    // Idle at first, then with runs, then with a run that is open.
    let (mut lines, mut busy, mut kinds) = (0, 0, [BTreeSet::new(), BTreeSet::new()]);
    while busy < 5 || lines < 20 {
        lines += 1;
        assert!(lines < 400, "{busy} reports with runs");
        if lines > 5 {
            gateway.call("quote", "", b"quick");
            assert_eq!(gateway.read_response().unwrap().status, "200");
        }
        let (line, value) = heard.line();
        busy += usize::from(value["settled"].as_f64().unwrap() > 0.0);
        let state = state(&value);
        *emulated.states.lock().unwrap() = Some(state.clone());
        // Those under way were made of the state before.
        let said = (0..400).map(|_| other.line()).find(|(_, said)| same(&self::state(said), &state));
        let (said, value_) = said.unwrap_or_else(|| panic!("never said {state:?}"));
        keys(&value, "", &mut kinds[0]);
        keys(&value_, "", &mut kinds[1]);
        let share = said.len() as f64 / line.len() as f64;
        assert!((0.95..=1.05).contains(&share), "{} bytes for {}\n{said}{line}", said.len(), line.len());
    }
    assert_eq!(kinds[0], kinds[1]);
    assert!(kinds[0].contains(".classes[].declined float"), "{:?}", kinds[0]);
}

/// Numbers rise by one, each made a pause or more after the one before: no line is doubled, none in between is missing.
fn beats(heard: &mut Heard, count: usize) -> u64 {
    let mut last: Option<(u64, f64)> = None;
    for _ in 0..count {
        let (line, value) = heard.line();
        let (sequence, created_at) = (value["sequence"].as_u64().unwrap(), value["made"].as_f64().unwrap());
        if let Some((before, when)) = last {
            assert_eq!(sequence, before + 1, "{line}");
            assert!(created_at - when >= EVERY.as_secs_f64(), "{when} {line}");
        }
        last = Some((sequence, created_at));
    }
    last.unwrap().0
}

/// What both have to do while their peer dies, is away, and comes back.
fn dies(listener: TcpListener) {
    let at = listener.local_addr().unwrap();
    let mut heard = Heard::accept(&listener);
    // The first connection has the first line, or a later one where it was slow to be opened.
    let first = beats(&mut heard, 8);
    drop(heard);
    let mut heard = Heard::accept(&listener);
    let second = beats(&mut heard, 8);
    assert!(second >= first + 8, "{first} {second}");
    // Away for a while: nobody listens there.
    drop((heard, listener));
    let listener = TcpListener::bind(at).unwrap();
    let mut heard = Heard::accept(&listener);
    assert!(beats(&mut heard, 8) >= second + 8);
}

#[test]
fn both_come_back_to_a_peer_that_died_and_go_on_counting() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _harness = real(folder.path(), listener.local_addr().unwrap(), "east");
    dies(listener);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let emulated = emulate(listener.local_addr().unwrap(), "east", "127.0.0.1:1".parse().unwrap());
    dies(listener);
    assert!(emulated.stats.reconnects.get() >= 2);
}

/// What both have to do when their peer stops to read: the connection is given up, if need be in the middle of a line, and the next
/// one begins with a later line, whole; no number comes twice.
fn hangs(listener: &TcpListener) {
    let mut hung = listener.accept().unwrap().0;
    hung.set_read_timeout(Some(PATIENCE)).unwrap();
    // Not read until another connection comes.
    let mut heard = Heard::accept(listener);
    let (line, value) = heard.line();
    let next = value["sequence"].as_u64().unwrap_or_else(|| panic!("{line}"));
    let mut bytes = Vec::new();
    hung.read_to_end(&mut bytes).unwrap();
    let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let mut last = 0;
    for line in bytes[..whole].split_inclusive(|byte| *byte == b'\n') {
        let value: Value = serde_json::from_slice(line).unwrap();
        let sequence = value["sequence"].as_u64().unwrap();
        assert!(sequence == last + 1 || last == 0, "{last} {sequence}");
        last = sequence;
    }
    assert!(last > 0, "{} bytes", bytes.len());
    // The line that could not leave is lost, torn or whole, and whatever came to nothing while no connection stood.
    assert!(next > last + 1, "{last} {next}");
    beats(&mut heard, 3);
}

/// A listener whose connections take little before their sender has to wait.
fn narrow() -> TcpListener {
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
fn both_give_up_a_peer_that_does_not_read_and_begin_anew_with_a_whole_line() {
    let folder = tempfile::tempdir().unwrap();
    let zone = "z".repeat(16_000);
    let listener = narrow();
    let _harness = real(folder.path(), listener.local_addr().unwrap(), &zone);
    hangs(&listener);
    let listener = narrow();
    let emulated = emulate(listener.local_addr().unwrap(), &zone, "127.0.0.1:1".parse().unwrap());
    hangs(&listener);
    assert_eq!((emulated.stats.reconnects.get(), emulated.stats.links.get()), (1, 1));
}

/// The command line, as other programs start it.
struct Said(Child, mpsc::Receiver<Value>);

impl Said {
    fn start(line: &str) -> Said {
        let mut child = Command::new(PROGRAM).args(line.split(' ')).stdout(Stdio::piped()).spawn().unwrap();
        let (lines, said) = mpsc::channel();
        let out = BufReader::new(child.stdout.take().unwrap());
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                let _ = lines.send(serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}")));
            }
        });
        Said(child, said)
    }
    fn until(&self, wanted: impl Fn(&Value) -> bool) -> Value {
        std::iter::from_fn(|| self.1.recv_timeout(PATIENCE).ok()).find(|said| wanted(said)).unwrap()
    }
    fn term(mut self) -> Value {
        let pid = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
        let end = self.until(|said| said["event"] == "end");
        assert!(self.0.wait().unwrap().success());
        end
    }
}

#[test]
fn the_command_plays_both_says_each_second_what_was_done_and_ends_when_told() {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("c.scm");
    // The service's ports are the system's: it says them in its log.
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
    let servers = Said::start(&format!(
        "emulate servers --count 30 --control {reports} --every 100ms --zones 2 --start-within 100ms"
    ));
    let callers = Said::start(&format!(
        "emulate callers --count 30 --control {xds} --services 3 --zones 2 --start-within 100ms"
    ));
    let tick = callers.until(|said| said["acked"] == 30 && said["holding"] == 30);
    assert!(tick["event"] == "tick" && tick["connected"] == 30 && tick["version"].is_string(), "{tick}");
    assert!(
        tick["sent"].as_u64().unwrap() > 0 && tick["received"].as_u64() > tick["sent"].as_u64(),
        "{tick}"
    );
    let tick = servers.until(|said| said["connected"] == 30);
    for figure in ["at", "cpu", "resident", "descriptors", "messages_sent", "sent"] {
        assert!(tick[figure].as_f64().unwrap() > 0.0, "{figure}: {tick}");
    }
    assert!(tick["acked"].is_null() && (36..=60).contains(&tick["descriptors"].as_u64().unwrap()), "{tick}");
    assert!(servers.term()["messages_sent"].as_u64() >= tick["messages_sent"].as_u64());
    assert_eq!(callers.term()["connected"], 30);
    let span = Said::start(&format!("emulate servers --count 1 --control {reports} --span 100ms"));
    assert_eq!(span.until(|said| said["event"] == "end")["connected"], 0, "its first report is not due yet");
    let pid = rustix::process::Pid::from_child(&control);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert!(control.wait().unwrap().success());
    rest.join().unwrap();
}

#[test]
fn what_cannot_be_played_is_refused_by_its_name() {
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
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && said.contains(wanted), "{line}: {said}");
    }
    let out = Command::new(PROGRAM)
        .args(["hollow", "names", "--customers", "2", "--products", "1"])
        .output()
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&out.stdout).lines().count(), 3);
}
