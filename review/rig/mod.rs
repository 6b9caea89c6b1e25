//! Stand-ins of the review's cases, on the standard library alone: an agent, a store, a registry, gateways, and the
//! server under test as a process of its own, started with the command `run` of the deploy file.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Multiply-with-carry generator, seeded by the caller.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
    pub fn hex16(&mut self) -> String {
        format!("{:016x}", self.next())
    }
    pub fn hex32(&mut self) -> String {
        format!("{:016x}{:016x}", self.next(), self.next())
    }
}

/// `record.txt` of a case: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &Path) -> Record {
        Record(
            Arc::new(Mutex::new(File::create(folder.join("record.txt")).expect("record.txt"))),
            Instant::now(),
        )
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.1.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.0.lock().unwrap(), "{ms:10.1} {}", text.as_ref());
    }
    /// Writes a line here and on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let digit = BASE64[((n >> (18 - 6 * i)) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let (mut bytes, mut n, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter(|byte| *byte != b'=') {
        let value = BASE64.iter().position(|known| *known == digit).expect("base64") as u32;
        (n, bits) = ((n << 6) | value, bits + 6);
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    bytes
}

/// Returns the field of a flat JSON line without escapes, as the server writes them.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &line[start..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next(),
    }
}

/// What a stand-in platform knows of a request: the agent refuses what never came to its process.
#[derive(Clone, Default)]
struct Known {
    class: String,
    body: Vec<u8>,
    /// Answered, or given up by its gateway.
    over: bool,
}

/// Shape of a run, read from the body of its request: `steps=10,20,30;...` is the work in ms before the first call,
/// between calls and after the last one.
struct Run {
    steps: VecDeque<u64>,
    /// End of the present step; `None` while the run waits for a call.
    until: Option<Instant>,
    call: u32,
    /// Notice that asked for the present call.
    call_notice: u64,
    call_body: Vec<u8>,
    result: Vec<u8>,
    started: Instant,
}

/// A reply that was delivered to a call, as the agent saw it.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub id: String,
    pub call: u32,
    pub expected: String,
    pub got: String,
    /// Time since the notice that asks for this call was written to the link, ms.
    pub notice_age_ms: f64,
}

#[derive(Default)]
struct AgentState {
    known: HashMap<String, Known>,
    runs: HashMap<String, Run>,
    /// Number of runs started for each attempt id.
    started: HashMap<String, u32>,
    ended: HashMap<String, &'static str>,
    notices: VecDeque<(u64, String)>,
    last_notice: u64,
    link: Option<TcpStream>,
    link_number: u64,
    wrong: Vec<Delivery>,
    deliveries: u64,
    notice_written: HashMap<u64, Instant>,
    deaf: bool,
    /// Commands that the next tick reads, with the number of their link.
    unread: Vec<(u64, String)>,
    links: u64,
    refused: u64,
}

/// The stand-in agent. It moves its runs on in ticks; commands are read at once, or in the same ticks before the runs.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
    record: Record,
    reads_in_ticks: bool,
}

impl Agent {
    /// Starts an agent that moves its runs on every 2 ms and reads commands at once.
    pub fn start(record: &Record) -> Agent {
        Agent::with_ticks(record, 2, false)
    }

    /// Starts an agent that moves its runs on every `tick_ms`, and reads commands then too if `reads_in_ticks`.
    pub fn with_ticks(record: &Record, tick_ms: u64, reads_in_ticks: bool) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            record: record.clone(),
            reads_in_ticks,
        };
        agent.accept(listener);
        let stepping = agent.clone();
        thread::spawn(move || loop {
            sleep_ms(tick_ms);
            stepping.step();
        });
        agent
    }

    fn accept(&self, listener: TcpListener) {
        let agent = self.clone();
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let _ = link.set_nodelay(true);
                let agent = agent.clone();
                thread::spawn(move || agent.serve(link));
            }
        });
    }

    /// Records that a request is about to be written to the server.
    pub fn book(&self, id: &str, class: &str, body: &[u8]) {
        let known = Known { class: class.into(), body: body.to_vec(), over: false };
        self.state.lock().unwrap().known.insert(id.into(), known);
    }

    /// Records that a request was answered or given up.
    pub fn over(&self, id: &str) {
        if let Some(known) = self.state.lock().unwrap().known.get_mut(id) {
            known.over = true;
        }
    }

    /// Listens at one more address, with the same runs and notices.
    pub fn listen_again(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        self.accept(listener);
        address
    }

    /// Loses the commands of `ms` before the break, and breaks the link then.
    pub fn lose_and_break(&self, ms: u64) {
        self.state.lock().unwrap().deaf = true;
        sleep_ms(ms);
        self.break_link();
        self.state.lock().unwrap().deaf = false;
    }

    /// Closes the link. Runs continue.
    pub fn break_link(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
            self.record.line("agent: link broken");
        }
    }

    pub fn is_linked(&self) -> bool {
        self.state.lock().unwrap().link.is_some()
    }

    /// Returns how often runs were started for this attempt id.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.state.lock().unwrap().started.get(id).copied().unwrap_or(0)
    }

    /// Returns the end of the run of this attempt id, if it has ended.
    pub fn end_of(&self, id: &str) -> Option<&'static str> {
        self.state.lock().unwrap().ended.get(id).copied()
    }

    pub fn open_runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    pub fn started(&self) -> usize {
        self.state.lock().unwrap().started.len()
    }

    pub fn wrong_deliveries(&self) -> Vec<Delivery> {
        self.state.lock().unwrap().wrong.clone()
    }

    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.state.lock().unwrap();
        (state.deliveries, state.links, state.refused)
    }

    fn serve(&self, link: TcpStream) {
        let mut own = 0;
        for line in BufReader::new(link.try_clone().unwrap()).lines() {
            let Ok(line) = line else { break };
            let mut state = self.state.lock().unwrap();
            if field(&line, "op") == Some("subscribe") {
                let after: u64 = field(&line, "seq").unwrap().parse().unwrap();
                if let Some(old) = state.link.replace(link.try_clone().unwrap()) {
                    let _ = old.shutdown(Shutdown::Both);
                }
                state.links += 1;
                state.link_number += 1;
                own = state.link_number;
                state.send("{\"op\":\"greeting\",\"end\":\"running\",\"ms\":5}");
                let missed: Vec<String> = state
                    .notices
                    .iter()
                    .filter(|(seq, _)| *seq > after)
                    .map(|(_, line)| line.clone())
                    .collect();
                missed.iter().for_each(|line| state.send(line));
                self.record.line(format!("agent: subscribe after {after}, {} notices again", missed.len()));
            } else if own == state.link_number && !state.deaf && self.reads_in_ticks {
                state.unread.push((own, line));
            } else if own == state.link_number && !state.deaf {
                self.command(&mut state, &line);
            }
        }
        let mut state = self.state.lock().unwrap();
        if own == state.link_number {
            state.link = None;
        }
    }

    fn command(&self, state: &mut AgentState, line: &str) {
        let id = field(line, "id").unwrap_or_default().to_string();
        let body = || base64_decode(field(line, "body").unwrap_or_default());
        let op = field(line, "op").unwrap_or_default();
        match op {
            "sample" => {
                let tag = field(line, "tag").unwrap_or_default().to_string();
                let runs = state.runs.values().filter(|run| run.until.is_some()).count();
                let busy = (runs as f64 / 6.0).min(1.0);
                state.send(&format!(
                    "{{\"op\":\"sampled\",\"tag\":\"{tag}\",\"values\":[{busy},{runs},0.1,4]}}"
                ));
            }
            "launch" => {
                let class = field(line, "class").unwrap_or_default();
                let genuine =
                    state.known.get(&id).filter(|known| known.class == class && known.body == body());
                let Some(known) = genuine.cloned() else {
                    state.refused += 1;
                    self.record.line(format!("agent: refused launch {id}"));
                    return state.send(&format!("{{\"op\":\"refusal\",\"end\":\"launch\",\"id\":\"{id}\"}}"));
                };
                if state.runs.contains_key(&id) {
                    return self.record.line(format!("agent: launch {id} again, runs already"));
                }
                if known.over || state.ended.contains_key(&id) {
                    self.record.line(format!("agent: launch {id}, late"));
                    return state.outcome(&id, "late", 0, b"");
                }
                *state.started.entry(id.clone()).or_default() += 1;
                self.record.line(format!("agent: run {id} {}", String::from_utf8_lossy(&known.body)));
                let text = String::from_utf8_lossy(&known.body).into_owned();
                let steps =
                    text.strip_prefix("steps=").and_then(|rest| rest.split(';').next()).unwrap_or("5");
                let mut steps: VecDeque<u64> = steps.split(',').map(|step| step.parse().unwrap()).collect();
                let first = steps.pop_front().unwrap();
                let until = Some(Instant::now() + Duration::from_millis(first));
                let result = format!("result of {id}:").into_bytes();
                let started = Instant::now();
                let run =
                    Run { steps, until, call: 0, call_notice: 0, call_body: Vec::new(), result, started };
                state.runs.insert(id, run);
            }
            "deliver" => {
                let got = String::from_utf8_lossy(&body()).into_owned();
                let written =
                    state.runs.get(&id).and_then(|run| state.notice_written.get(&run.call_notice)).copied();
                let Some(run) = state.runs.get_mut(&id).filter(|run| run.until.is_none()) else {
                    // The page names no answer to this, so none is given.
                    return self.record.line(format!("agent: deliver {id}, which waits for no call: {got}"));
                };
                let expected = format!("reply to {}", String::from_utf8_lossy(&run.call_body));
                let step = run.steps.pop_front().unwrap_or(1);
                run.until = Some(Instant::now() + Duration::from_millis(step));
                run.result.extend_from_slice(format!("[{got}]").as_bytes());
                let call = run.call;
                self.record.line(format!("agent: deliver {id} call {call}: {got}"));
                state.deliveries += 1;
                if got != expected {
                    let notice_age_ms = written.map_or(-1.0, |at| at.elapsed().as_secs_f64() * 1e3);
                    self.record.line(format!(
                        "agent: WRONG reply for {id} call {call}: expected {expected}, got {got}"
                    ));
                    state.wrong.push(Delivery { id, call, expected, got, notice_age_ms });
                }
            }
            "forgo" => {
                let seq: u64 = field(line, "seq").unwrap().parse().unwrap();
                let run = state.runs.get_mut(&id).filter(|run| run.until.is_none() && run.call_notice == seq);
                if let Some(run) = run {
                    run.until =
                        Some(Instant::now() + Duration::from_millis(run.steps.pop_front().unwrap_or(1)));
                    self.record.line(format!("agent: forgo {id} call {}", run.call));
                }
            }
            "freeze" => {
                if state.runs.get(&id).is_some_and(|run| run.until.is_some()) {
                    state.end(&id, "broken_off", b"");
                    self.record.line(format!("agent: freeze {id}"));
                }
            }
            other => self.record.line(format!("agent: {other} {id}")),
        }
    }

    /// Moves the runs on: those whose step is over call or end.
    fn step(&self) {
        let mut state = self.state.lock().unwrap();
        for (link, line) in std::mem::take(&mut state.unread) {
            if link == state.link_number && state.link.is_some() {
                self.command(&mut state, &line);
            }
        }
        let now = Instant::now();
        let due: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| run.until.is_some_and(|until| until <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let over = state.known.get(&id).is_some_and(|known| known.over);
            let seq = state.last_notice + 1;
            let run = state.runs.get_mut(&id).unwrap();
            if run.steps.is_empty() {
                let result = run.result.clone();
                state.end(&id, "fine", &result);
                self.record.line(format!("agent: run {id} ended fine"));
                continue;
            }
            if over {
                state.end(&id, "broken_off", b"");
                self.record.line(format!("agent: run {id} broken off at a call"));
                continue;
            }
            run.until = None;
            run.call += 1;
            run.call_notice = seq;
            run.call_body = format!("call {} of {id}", run.call).into_bytes();
            let (call, body) = (run.call, base64_encode(&run.call_body));
            state.notify(|seq| {
                format!("{{\"op\":\"request\",\"seq\":{seq},\"id\":\"{id}\",\"body\":\"{body}\"}}")
            });
            self.record.line(format!("agent: run {id} waits for call {call}, notice {seq}"));
        }
        // A run that waits for a call ends once its request is over.
        let waiting: Vec<String> = state
            .runs
            .iter()
            .filter(|(id, run)| run.until.is_none() && state.known.get(*id).is_some_and(|known| known.over))
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            state.end(&id, "broken_off", b"");
            self.record.line(format!("agent: run {id} broken off at a call"));
        }
    }
}

impl AgentState {
    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn notify(&mut self, line: impl FnOnce(u64) -> String) {
        self.last_notice += 1;
        let (seq, line) = (self.last_notice, line(self.last_notice));
        self.notices.push_back((seq, line.clone()));
        if self.notices.len() > 4000 {
            self.notices.pop_front();
        }
        self.notice_written.insert(seq, Instant::now());
        self.send(&line);
    }

    fn outcome(&mut self, id: &str, end: &str, ms: u64, body: &[u8]) {
        let body = base64_encode(body);
        self.notify(|seq| {
            format!("{{\"op\":\"outcome\",\"seq\":{seq},\"id\":\"{id}\",\"end\":\"{end}\",\"ms\":{ms},\"body\":\"{body}\"}}")
        });
    }

    fn end(&mut self, id: &str, end: &'static str, body: &[u8]) {
        let ms = self.runs.remove(id).map_or(0, |run| run.started.elapsed().as_millis() as u64);
        self.ended.insert(id.into(), end);
        self.outcome(id, end, ms, body);
    }
}

/// Reads an HTTP request with a body. Returns its head and body.
fn read_http(stream: &TcpStream) -> Option<(String, Vec<u8>)> {
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// How the stand-in store treats a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    Reply,
    /// No reply; the connection stays open.
    Never,
    /// The call has run, and the connection is reset instead of a reply.
    Reset,
}

/// The stand-in store: `reply to BODY`, after a delay in ms.
pub fn start_store(
    record: &Record,
    delay_ms: u64,
    decide: impl Fn(&str) -> StoreAnswer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (record, decide) = (record.clone(), Arc::new(decide));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (record, decide) = (record.clone(), decide.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Some((_, body)) = read_http(&stream) else { return };
                let text = String::from_utf8_lossy(&body).into_owned();
                record.line(format!("store: {text}"));
                sleep_ms(delay_ms);
                let answer = decide(&text);
                if answer == StoreAnswer::Never {
                    let mut rest = [0; 64];
                    let _ = stream.read(&mut rest);
                }
                if answer == StoreAnswer::Reply {
                    let reply = format!("reply to {text}");
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len());
                    let _ = stream.write_all((head + &reply).as_bytes());
                    let mut rest = [0; 64];
                    let _ = stream.read(&mut rest);
                }
            });
        }
    });
    address
}

/// The stand-in registry: answers each report with 204.
pub fn start_registry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                if read_http(&stream).is_some() {
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                }
            });
        }
    });
    address
}

/// Returns an address of the loopback range that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The server under test.
pub struct Server {
    child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

impl Server {
    /// Starts the server with the command `run` of the deploy file, from the root of the checkout.
    pub fn start(root: &Path, config: &str, listen: SocketAddr) -> Server {
        let deploy =
            std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a line `run`");
        let run = run.trim_end().trim_end_matches('"');
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), listen.port()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("configuration");
        let log = File::create(folder.join("server.log")).expect("log");
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", listen.to_string())
            .env("TMPDIR", &folder)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the server starts");
        Server { child, listen, folder }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Replaces the configuration.
    pub fn reconfigure(&self, config: &str) {
        let file = self.folder.join("config.json");
        let new = self.folder.join("config.new");
        std::fs::write(&new, config).expect("configuration");
        std::fs::rename(&new, &file).expect("configuration");
        self.signal(SIGHUP);
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("server.log")).unwrap_or_default()
    }

    /// Waits until a health check is answered with `serving`.
    pub fn wait_until_serving(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let _ = stream.write_all(&resp(&[b"CHECK", b"1", b""]));
                let mut bytes = [0; 256];
                let count = stream.read(&mut bytes).unwrap_or(0);
                if String::from_utf8_lossy(&bytes[..count]).contains("\r\nserving\r\n") {
                    return true;
                }
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Encodes a RESP array of bulk strings.
pub fn resp(elements: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        bytes.extend_from_slice(format!("${}\r\n", element.len()).as_bytes());
        bytes.extend_from_slice(element);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Reads a RESP array of bulk strings.
fn read_resp(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = |kind: char, reader: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(kind)?.parse().ok()
    };
    let elements = count('*', reader)?;
    let mut array = Vec::new();
    for _ in 0..elements {
        let length = count('$', reader)?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        array.push(bytes);
    }
    Some(array)
}

/// One try, as a gateway sends it.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub class: &'static str,
    pub key: Option<String>,
    pub body: String,
    pub repeat: bool,
    pub hint_ms: f64,
    pub memory_kb: f64,
}

/// An answer, with its tag left out.
#[derive(Clone, Debug)]
pub struct Answer {
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
    pub after_ms: f64,
}

#[derive(Default)]
struct GatewayState {
    open: HashMap<u64, (String, Instant)>,
    answers: HashMap<String, Vec<Answer>>,
    closed: bool,
    goaway: bool,
}

/// One connection of a gateway.
#[derive(Clone)]
pub struct Gateway {
    stream: Arc<TcpStream>,
    state: Arc<(Mutex<GatewayState>, Condvar)>,
    last_tag: Arc<AtomicU64>,
    agent: Option<Agent>,
    record: Record,
    number: u32,
}

impl Gateway {
    /// Connects. `agent` is told of the requests of a usual gateway, and not of those of a bad client.
    pub fn connect(
        server: SocketAddr,
        number: u32,
        agent: Option<&Agent>,
        record: &Record,
    ) -> std::io::Result<Gateway> {
        let stream = TcpStream::connect(server)?;
        stream.set_nodelay(true)?;
        let gateway = Gateway {
            stream: Arc::new(stream),
            state: Arc::default(),
            last_tag: Arc::default(),
            agent: agent.cloned(),
            record: record.clone(),
            number,
        };
        let reading = gateway.clone();
        thread::spawn(move || reading.read());
        Ok(gateway)
    }

    fn read(&self) {
        let mut reader = BufReader::new(&*self.stream);
        while let Some(array) = read_resp(&mut reader) {
            let text =
                |index: usize| String::from_utf8_lossy(array.get(index).map_or(&[][..], |e| e)).into_owned();
            let tag: u64 = text(0).parse().unwrap_or(0);
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            if tag == 0 {
                state.goaway = true;
                continue;
            }
            let Some((id, sent)) = state.open.remove(&tag) else { continue };
            let body = array.get(3).cloned().unwrap_or_default();
            let after_ms = sent.elapsed().as_secs_f64() * 1e3;
            let answer = Answer { word: text(1), fields: text(2), body, after_ms };
            self.record.line(format!(
                "gateway {}: answer to {id}: {} {} {}",
                self.number,
                answer.word,
                answer.fields,
                String::from_utf8_lossy(&answer.body)
            ));
            state.answers.entry(id.clone()).or_default().push(answer);
            drop(state);
            if let Some(agent) = &self.agent {
                agent.over(&id);
            }
            changed.notify_all();
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.closed = true;
        if let Some(agent) = &self.agent {
            state.open.values().for_each(|(id, _)| agent.over(id));
        }
        changed.notify_all();
    }

    /// Encodes a try and counts it as open.
    pub fn prepare(&self, attempt: &Try) -> Vec<u8> {
        let tag = self.last_tag.fetch_add(1, Ordering::Relaxed) + 1;
        if let Some(agent) = &self.agent {
            agent.book(&attempt.id, attempt.class, attempt.body.as_bytes());
        }
        let mut fields = format!(
            "i={},s={},f={},t=acme,h={:.2},m={:.1},p=0.5000",
            attempt.id,
            unix_ms(),
            self.number,
            attempt.hint_ms,
            attempt.memory_kb
        );
        if attempt.repeat {
            fields.push_str(",r=1");
        }
        match &attempt.key {
            Some(key) => fields.push_str(&format!(",k={key}")),
            // What a read is about: one of some thousand subjects.
            None => fields.push_str(&format!(",o={:016x}", tag % 4000 + 1)),
        }
        let bytes = resp(&[
            b"CALL",
            tag.to_string().as_bytes(),
            attempt.class.as_bytes(),
            fields.as_bytes(),
            attempt.body.as_bytes(),
        ]);
        self.state.0.lock().unwrap().open.insert(tag, (attempt.id.clone(), Instant::now()));
        self.record
            .line(format!("gateway {}: CALL {tag} {} {fields} {}", self.number, attempt.class, attempt.body));
        bytes
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        (&*self.stream).write_all(bytes).is_ok()
    }

    pub fn send(&self, attempt: &Try) -> bool {
        let bytes = self.prepare(attempt);
        self.write(&bytes)
    }

    pub fn open(&self) -> usize {
        self.state.0.lock().unwrap().open.len()
    }

    pub fn is_usable(&self) -> bool {
        let state = self.state.0.lock().unwrap();
        !state.closed && !state.goaway
    }

    pub fn answers_to(&self, id: &str) -> Vec<Answer> {
        self.state.0.lock().unwrap().answers.get(id).cloned().unwrap_or_default()
    }

    pub fn all_answers(&self) -> HashMap<String, Vec<Answer>> {
        self.state.0.lock().unwrap().answers.clone()
    }

    /// Waits for the answer to a try, for the connection's end or for the time-out.
    pub fn wait_for(&self, id: &str, timeout_ms: u64) -> Option<Answer> {
        let (lock, changed) = &*self.state;
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        let mut state = lock.lock().unwrap();
        loop {
            if let Some(answer) = state.answers.get(id).and_then(|answers| answers.first()) {
                return Some(answer.clone());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || state.closed {
                return None;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Figures of a small deployment, after `dar-balancing` as the pages give it; `extra` replaces whole keys by text.
pub struct Deployment {
    pub agent: SocketAddr,
    pub registry: SocketAddr,
    pub store: SocketAddr,
    pub listen: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub stop_ms: u32,
}

impl Deployment {
    pub fn config(&self) -> String {
        let Deployment { agent, registry, store, listen, memory_mb, sockets, stop_ms } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","agent":"{agent}","roster":"{registry}","store":"{store}",
"seed":"8c1f30d27a5be964","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"settings":{{
 "Callers":{{"MarksRetry":true}},
 "Contract":{{"AnswerSlack":80.0,"Cold":18000.0,"ColdShare":0.2,"Fall":1500.0,"FallMultiple":5.0,"StopSendingWithin":2000.0}},
 "DomainType":"server",
 "FamilyInfo":{{"Below":"next_hop","CallsOut":0.0,"ClassCalls":[true,true],"ClassSkipWorth":[0.6,0.0],"Cold":false,"Cpus":6,
  "DeepChecks":false,"DepWindow":5000.0,"Halt":"pause","Heeded":1000.0,"Idle":30000.0,"KeyKb":12.52,"Lingers":200.0,
  "ListFollows":false,"Meters":["cpu_busy","runnable","mem_used","sockets"],"PassesDeadline":false,"RamKb":16770.0,
  "RunFactor":8.0,"ShareFor":0.0,"Signal":"min_rank","TellsGone":true,"Upstreams":3}},
 "Lanes":[{{"DedupWindow":5000.0,"Effect":"safe","GiveUp":17000.0,"Importance":1.0,"LateShare":0.0,"Name":"bid-status","Promise":4300.0}},
  {{"DedupWindow":51858.0,"Effect":"keyed","GiveUp":17000.0,"Importance":3.0,"LateShare":0.0,"Name":"bid-submit","Promise":6500.0}}],
 "Limits":{{"CpuUsPerRequest":0.0,"CpuUsPerS":60000,"MaxRetryAfter":1000.0,"RetryAfter":true}},
 "OverShareWorth":0.05,"Period":4.0,"Report":{{"Fields":[],"Source":"silent"}},"SelfIndex":0,"Servers":4,"Stage":0,
 "Tenants":[{{"Name":"acme","QuotaRps":2000.0,"Share":1.0}}],
 "Tiers":["bid-front","bid-ledger"],"WorthBy":"work","Zone":0,"Zones":["ubungo","kinondoni"]}}}}
"#
        )
    }
}

/// Returns whether the disruption is wanted: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the seed of the run: `SEED`, or the time.
pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or_else(unix_ms)
}
