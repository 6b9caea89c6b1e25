//! Stand-ins for the review's scripts: the agent that owns the cores, the store, the roster and gateways, as the users'
//! pages describe them, on loopback addresses and the real clock. Standard library only.
#![allow(dead_code)]

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Whether the disruption is wanted: the variable TROUBLE is not 0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Small generator of random numbers (xorshift), from a seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// A number from 0 to under 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
    pub fn hex(&mut self, digits: usize) -> String {
        let mut text = String::new();
        while text.len() < digits {
            text.push_str(&format!("{:016x}", self.next()));
        }
        text.truncate(digits);
        text
    }
}

/// The record of what was sent, answered and run, a line each.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Opens the file that the variable RECORD names.
    pub fn open() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| could_not_run(&format!("{path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// A line of the result, also on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ends the script as one that could not run.
pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2);
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let letter = BASE64[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for letter in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == letter) else { break };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// A string under a key of a flat JSON object. None of the strings here has an escape.
fn text_field<'a>(line: &'a str, key: &str) -> &'a str {
    let mark = format!("\"{key}\":\"");
    let Some(start) = line.find(&mark).map(|at| at + mark.len()) else { return "" };
    line[start..].find('"').map_or("", |end| &line[start..start + end])
}

/// A whole number under a key of a flat JSON object.
fn number_field(line: &str, key: &str) -> u64 {
    let mark = format!("\"{key}\":");
    let Some(start) = line.find(&mark).map(|at| at + mark.len()) else { return 0 };
    let digits: String = line[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// A try of a request, as the platform knows it.
#[derive(Clone, Debug, Default)]
pub struct Try {
    pub class: String,
    /// Left out of the record, which would be long.
    pub quiet: bool,
    pub body: Vec<u8>,
    pub key: String,
    pub stamped: u64,
    pub written: Option<Instant>,
    /// Answered, given up, or lost with its connection: nothing more is owed.
    pub over: bool,
    pub answer: Option<(String, Vec<u8>)>,
    pub answers: u32,
    pub answered: Option<Instant>,
    pub given_up: bool,
    pub connection_lost: bool,
    /// When each run of it began.
    pub runs: Vec<Instant>,
    /// Results that its runs made.
    pub results: Vec<Vec<u8>>,
    /// Number of calls that the store carried out for it.
    pub calls: u32,
}

/// What the platform knows of all tries, by attempt id.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<HashMap<String, Try>>>);

impl Platform {
    pub fn tries(&self) -> MutexGuard<'_, HashMap<String, Try>> {
        self.0.lock().unwrap()
    }
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Try)) {
        if let Some(known) = self.tries().get_mut(id) {
            change(known);
        }
    }
    pub fn get(&self, id: &str) -> Option<Try> {
        self.tries().get(id).cloned()
    }
    /// Writes a line on a try to the record, unless the try is quiet.
    fn note(&self, record: &Record, id: &str, text: &str) {
        if !self.tries().get(id).is_some_and(|known| known.quiet) {
            record.line(text);
        }
    }
}

/// What a run does: work in seconds before, between and behind its calls.
#[derive(Clone, Debug)]
pub struct Script {
    /// Work before each call, and behind the last one; its length less one is the number of calls.
    pub work: Vec<f64>,
}

type Scripts = Arc<dyn Fn(&str, &Try) -> Script + Send + Sync>;
type Speed = Arc<dyn Fn() -> f64 + Send + Sync>;

struct Run {
    script: Script,
    step: usize,
    /// Notice of the call at which it stands, 0 while it works.
    at_call: u64,
    replies: Vec<u8>,
    started: Instant,
    /// Number of the current piece of work; a finished piece with another number is stale.
    piece: u64,
    paused: bool,
    finished_while_paused: bool,
}

#[derive(Default)]
struct AgentState {
    runs: HashMap<String, Run>,
    notices: VecDeque<(u64, String)>,
    last_notice: u64,
    link: Option<TcpStream>,
    links: u64,
    /// Number of the link that has subscribed; no notice goes out before.
    subscribed: u64,
    pieces: u64,
    cores: f64,
    commands: u64,
}

/// Stand-in for the agent. One link at a time; runs go on without one.
#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<AgentState>>,
    platform: Platform,
    record: Record,
    scripts: Scripts,
    speed: Speed,
    pub halt: &'static str,
    timers: Timers,
    /// Time between the arrival of a command and its reading, and between a notice and its sending, s.
    pub delay: f64,
    /// Whether there is a call between two pieces of work.
    calls: bool,
}

/// A thread that calls closures at their time, in order.
#[derive(Clone)]
pub struct Timers {
    queue: Arc<(Mutex<BinaryHeap<Timer>>, Condvar)>,
    serial: Arc<AtomicU64>,
}

struct Timer {
    at: Instant,
    serial: u64,
    act: Box<dyn FnOnce() + Send>,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Timer) -> bool {
        self.serial == other.serial
    }
}
impl Eq for Timer {}
impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Timer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timer {
    fn cmp(&self, other: &Timer) -> std::cmp::Ordering {
        other.at.cmp(&self.at).then(other.serial.cmp(&self.serial))
    }
}

impl Timers {
    pub fn start() -> Timers {
        let timers = Timers { queue: Arc::default(), serial: Arc::default() };
        let queue = timers.queue.clone();
        thread::spawn(move || loop {
            let mut waiting = queue.0.lock().unwrap();
            let due = waiting.peek().map(|timer| timer.at);
            match due {
                Some(at) if at <= Instant::now() => {
                    let timer = waiting.pop().unwrap();
                    drop(waiting);
                    (timer.act)();
                }
                Some(at) => {
                    let wait = at.saturating_duration_since(Instant::now());
                    drop(queue.1.wait_timeout(waiting, wait).unwrap());
                }
                None => drop(queue.1.wait(waiting).unwrap()),
            }
        });
        timers
    }
    pub fn after(&self, seconds: f64, act: impl FnOnce() + Send + 'static) {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let at = Instant::now() + Duration::from_secs_f64(seconds.max(0.0));
        self.queue.0.lock().unwrap().push(Timer { at, serial, act: Box::new(act) });
        self.queue.1.notify_one();
    }
}

impl Agent {
    pub fn new(
        platform: &Platform,
        record: &Record,
        cores: f64,
        halt: &'static str,
        scripts: impl Fn(&str, &Try) -> Script + Send + Sync + 'static,
    ) -> Agent {
        let state = AgentState { cores, ..AgentState::default() };
        Agent {
            state: Arc::new(Mutex::new(state)),
            platform: platform.clone(),
            record: record.clone(),
            scripts: Arc::new(scripts),
            speed: Arc::new(|| 1.0),
            halt,
            timers: Timers::start(),
            delay: 0.0,
            calls: true,
        }
    }

    /// Sets how fast the machine works now; 1 is its full speed. Asked at the start of each piece of work.
    pub fn with_speed(mut self, speed: impl Fn() -> f64 + Send + Sync + 'static) -> Agent {
        self.speed = Arc::new(speed);
        self
    }

    /// Runs make no calls: their pieces of work follow each other.
    pub fn without_calls(mut self) -> Agent {
        self.calls = false;
        self
    }

    pub fn with_delay(mut self, delay: f64) -> Agent {
        self.delay = delay;
        self
    }

    fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap()
    }

    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// Listens at an address of its own.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let agent = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let agent = agent.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let number = {
            let mut state = self.state();
            state.links += 1;
            if let Some(old) = state.link.replace(stream.try_clone().unwrap()) {
                let _ = old.shutdown(Shutdown::Both);
            }
            state.links
        };
        self.record.line(&format!("agent: link {number} opened"));
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while matches!(lines.read_line(&mut line), Ok(count) if count > 0) && line.ends_with('\n') {
            if self.delay > 0.0 {
                let (agent, text) = (self.clone(), line.clone());
                self.timers.after(self.delay, move || agent.command(number, &text));
            } else {
                self.command(number, &line);
            }
            line.clear();
        }
        self.record.line(&format!("agent: link {number} ended"));
    }

    /// Breaks the link. What was not read yet is lost; what was not sent yet follows on the next one.
    pub fn break_link(&self) {
        let mut state = self.state();
        state.links += 1;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.line("agent: the link breaks");
    }

    fn write(&self, number: u64, line: String) {
        self.write_with(&mut self.state(), number, line);
    }

    fn write_with(&self, state: &mut AgentState, number: u64, line: String) {
        let write = move |state: &mut AgentState| {
            if state.links == number {
                if let Some(link) = &mut state.link {
                    let _ = link.write_all(line.as_bytes());
                }
            }
        };
        if self.delay > 0.0 {
            let agent = self.clone();
            self.timers.after(self.delay, move || write(&mut agent.state()));
        } else {
            write(state);
        }
    }

    /// Sends a numbered notice. `mark` is called with its number before anybody can answer it.
    fn notice(&self, fields: &str, mark: impl FnOnce(&mut AgentState, u64)) {
        {
            let mut state = self.state();
            state.last_notice += 1;
            let seq = state.last_notice;
            mark(&mut state, seq);
            let line = format!("{{\"seq\":{seq},{fields}}}\n");
            state.notices.push_back((seq, line.clone()));
            if state.notices.len() > 4000 {
                state.notices.pop_front();
            }
            let number = state.subscribed;
            self.write_with(&mut state, number, line);
        }
    }

    fn command(&self, number: u64, line: &str) {
        if self.state().links != number {
            return;
        }
        let id = text_field(line, "id").to_string();
        match text_field(line, "op") {
            "subscribe" => {
                let from = number_field(line, "seq");
                // Greeting and missed notices go out as one, so that no later notice comes between them.
                let mut lines = String::from("{\"op\":\"greeting\",\"end\":\"running\",\"ms\":5}\n");
                let mut state = self.state();
                state.notices.iter().filter(|(seq, _)| *seq > from).for_each(|(_, line)| lines += line);
                state.subscribed = number;
                // Queued before the lock is released: a notice that comes now is queued behind it.
                self.write_with(&mut state, number, lines);
            }
            "launch" => self.launch(number, &id, text_field(line, "class"), text_field(line, "body")),
            "freeze" => self.freeze(number, &id),
            "thaw" => self.thaw(&id),
            "deliver" => self.resume(&id, Some(from_base64(text_field(line, "body"))), 0),
            "forgo" => self.resume(&id, None, number_field(line, "seq")),
            "sample" => {
                let (runnable, cores) = {
                    let state = self.state();
                    let working = state.runs.values().filter(|run| run.at_call == 0 && !run.paused).count();
                    (working as f64, state.cores)
                };
                let busy = (runnable / cores).min(1.0);
                let tag = text_field(line, "tag");
                let answer = format!(
                    "{{\"op\":\"sampled\",\"tag\":\"{tag}\",\"values\":[{busy:.3},{runnable},0.1,4]}}\n"
                );
                self.write(number, answer);
            }
            other => self.record.line(&format!("agent: unknown command {other}")),
        }
    }

    fn refuse(&self, number: u64, command: &str, id: &str) {
        self.record.line(&format!("agent: refuses {command} {id}"));
        self.write(number, format!("{{\"op\":\"refusal\",\"end\":\"{command}\",\"id\":\"{id}\"}}\n"));
    }

    fn launch(&self, number: u64, id: &str, class: &str, body: &str) {
        let Some(known) = self.platform.get(id) else { return self.refuse(number, "launch", id) };
        if known.class != class || known.body != from_base64(body) {
            return self.refuse(number, "launch", id);
        }
        if self.state().runs.contains_key(id) {
            return self.record.line(&format!("agent: launch {id}: runs already"));
        }
        if known.over {
            self.record.line(&format!("agent: launch {id}: is over, nothing started"));
            let fields = format!("\"op\":\"outcome\",\"id\":\"{id}\",\"end\":\"late\",\"ms\":0,\"body\":\"\"");
            return self.notice(&fields, |_, _| {});
        }
        let script = (self.scripts)(id, &known);
        let text = format!("agent: run of {id} begins ({class} {}), link {number}", known.key);
        self.platform.note(&self.record, id, &text);
        self.platform.change(id, |known| known.runs.push(Instant::now()));
        let run = Run {
            script,
            step: 0,
            at_call: 0,
            replies: Vec::new(),
            started: Instant::now(),
            piece: 0,
            paused: false,
            finished_while_paused: false,
        };
        self.state().runs.insert(id.to_string(), run);
        self.work(id);
    }

    /// Starts the next piece of work of a run.
    fn work(&self, id: &str) {
        let speed = (self.speed)();
        let (seconds, piece) = {
            let mut state = self.state();
            state.pieces += 1;
            let piece = state.pieces;
            let Some(run) = state.runs.get_mut(id) else { return };
            run.piece = piece;
            (run.script.work[run.step] / speed, piece)
        };
        let (agent, id) = (self.clone(), id.to_string());
        self.timers.after(seconds, move || agent.worked(&id, piece));
    }

    /// A piece of work has ended: the run reaches its next call, or its end.
    fn worked(&self, id: &str, piece: u64) {
        let over = self.platform.get(id).is_some_and(|known| known.over);
        let last = {
            let mut state = self.state();
            let Some(run) = state.runs.get_mut(id).filter(|run| run.piece == piece) else { return };
            if run.paused {
                run.finished_while_paused = true;
                return;
            }
            run.step += 1;
            run.step == run.script.work.len()
        };
        if last {
            return self.end(id, "fine");
        }
        if !self.calls {
            return self.work(id);
        }
        if over {
            return self.end(id, "broken_off");
        }
        let step = self.state().runs.get(id).map_or(0, |run| run.step);
        let body = base64(format!("call {step} of {id}").as_bytes());
        self.platform.note(&self.record, id, &format!("agent: run of {id} stands at call {step}"));
        self.notice(&format!("\"op\":\"request\",\"id\":\"{id}\",\"body\":\"{body}\""), |state, seq| {
            if let Some(run) = state.runs.get_mut(id) {
                run.at_call = seq;
            }
        });
    }

    fn end(&self, id: &str, end: &str) {
        let Some(run) = self.state().runs.remove(id) else { return };
        let serial = self.platform.get(id).map_or(0, |known| known.runs.len());
        let result = match end {
            "fine" => format!("result {serial} of {id}").into_bytes(),
            _ => Vec::new(),
        };
        if end == "fine" {
            self.platform.change(id, |known| known.results.push(result.clone()));
        }
        self.platform.note(&self.record, id, &format!("agent: run of {id} ends: {end}"));
        let (ms, body) = (run.started.elapsed().as_millis(), base64(&result));
        let fields =
            format!("\"op\":\"outcome\",\"id\":\"{id}\",\"end\":\"{end}\",\"ms\":{ms},\"body\":\"{body}\"");
        self.notice(&fields, |_, _| {});
    }

    /// The platform saw the end of a request: a run that stands at a call, or is paused, ends.
    pub fn request_over(&self, id: &str) {
        let ends = self.state().runs.get(id).is_some_and(|run| run.at_call != 0 || run.paused);
        if ends {
            self.end(id, "broken_off");
        }
    }

    fn freeze(&self, number: u64, id: &str) {
        if self.halt == "silent" {
            return self.refuse(number, "freeze", id);
        }
        let over = self.platform.get(id).is_none_or(|known| known.over);
        let working = self.state().runs.get(id).is_some_and(|run| run.at_call == 0);
        if !working {
            return;
        }
        if over || self.halt == "drop" {
            return self.end(id, "broken_off");
        }
        if let Some(run) = self.state().runs.get_mut(id) {
            run.paused = true;
        }
    }

    fn thaw(&self, id: &str) {
        let piece = {
            let mut state = self.state();
            let Some(run) = state.runs.get_mut(id).filter(|run| run.paused) else { return };
            run.paused = false;
            std::mem::take(&mut run.finished_while_paused).then_some(run.piece)
        };
        if let Some(piece) = piece {
            self.worked(id, piece);
        }
    }

    fn resume(&self, id: &str, reply: Option<Vec<u8>>, seq: u64) {
        {
            let mut state = self.state();
            let Some(run) = state.runs.get_mut(id).filter(|run| run.at_call != 0) else { return };
            if reply.is_none() && run.at_call != seq {
                return;
            }
            run.at_call = 0;
            run.replies.extend(reply.unwrap_or_default());
        }
        self.work(id);
    }
}

/// What the store does with a call: its answer, after so many seconds.
#[derive(Clone, Debug)]
pub struct StoreAnswer {
    pub after: f64,
    pub status: u16,
    pub not_run: bool,
}

/// Starts a stand-in for the store.
pub fn start_store(
    platform: &Platform,
    record: &Record,
    answer: impl Fn(&str) -> StoreAnswer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let (platform, record, answer) = (platform.clone(), record.clone(), Arc::new(answer));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (platform, record, answer) = (platform.clone(), record.clone(), answer.clone());
            thread::spawn(move || {
                let _ = serve_store(stream, &platform, &record, &*answer);
            });
        }
    });
    address
}

fn serve_store(
    stream: TcpStream,
    platform: &Platform,
    record: &Record,
    answer: &dyn Fn(&str) -> StoreAnswer,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (mut id, mut length, mut line) = (String::new(), 0usize, String::new());
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let trimmed = line.trim_end();
            if trimmed.is_empty() {
                break;
            }
            let (name, value) = trimmed.split_once(':').unwrap_or((trimmed, ""));
            match name.to_ascii_lowercase().as_str() {
                "x-for-request" => id = value.trim().to_string(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let StoreAnswer { after, status, not_run } = answer(&id);
        if !not_run {
            platform.change(&id, |known| known.calls += 1);
        }
        platform.note(record, &id, &format!("store: call for {id}: {}", String::from_utf8_lossy(&body)));
        sleep(after);
        let reply = format!("reply to {}", String::from_utf8_lossy(&body));
        let extra = if not_run { "X-Not-Run: 1\r\n" } else { "" };
        let head = format!("HTTP/1.1 {status} S\r\n{extra}Content-Length: {}\r\n\r\n", reply.len());
        writer.write_all(&[head.as_bytes(), reply.as_bytes()].concat())?;
    }
}

/// Starts a stand-in for the roster: each report is answered 204.
pub fn start_roster() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let mut bytes = [0; 2048];
                if matches!(stream.read(&mut bytes), Ok(count) if count > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    let _ = stream.read(&mut bytes);
                }
            });
        }
    });
    address
}

/// A connection of a gateway.
#[derive(Clone)]
pub struct Gateway {
    stream: Arc<Mutex<TcpStream>>,
    tags: Arc<Mutex<HashMap<u64, String>>>,
    next_tag: Arc<AtomicU64>,
    platform: Platform,
    record: Record,
    agent: Agent,
    pub ended: Arc<AtomicBool>,
    pub leaving: Arc<AtomicBool>,
}

/// A request to be sent.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub key: String,
    pub body: Vec<u8>,
    pub again: bool,
    pub memory: f64,
    pub hint_ms: f64,
    pub rank: f64,
    pub gateway: u32,
    /// Left out of the record, which would be long.
    pub quiet: bool,
}

impl Gateway {
    pub fn connect(
        server: SocketAddr,
        platform: &Platform,
        record: &Record,
        agent: &Agent,
    ) -> io::Result<Gateway> {
        let stream = TcpStream::connect(server)?;
        stream.set_nodelay(true)?;
        let gateway = Gateway {
            stream: Arc::new(Mutex::new(stream.try_clone()?)),
            tags: Arc::default(),
            next_tag: Arc::new(AtomicU64::new(1)),
            platform: platform.clone(),
            record: record.clone(),
            agent: agent.clone(),
            ended: Arc::default(),
            leaving: Arc::default(),
        };
        let reader = gateway.clone();
        thread::spawn(move || reader.read(stream));
        Ok(gateway)
    }

    pub fn open(&self) -> usize {
        self.tags.lock().unwrap().len()
    }

    fn read(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(array) = read_array(&mut reader) {
            let tag: u64 = String::from_utf8_lossy(&array[0]).parse().unwrap_or(0);
            let word = String::from_utf8_lossy(array.get(1).map_or(&[][..], |word| word)).into_owned();
            if tag == 0 {
                self.leaving.store(true, Ordering::SeqCst);
                self.record.line("gateway: goaway");
                continue;
            }
            let Some(id) = self.tags.lock().unwrap().remove(&tag) else { continue };
            let fields = String::from_utf8_lossy(array.get(2).map_or(&[][..], |f| f)).into_owned();
            let body = array.get(3).cloned().unwrap_or_default();
            self.platform.note(&self.record, &id, &format!("gateway: answer to {id}: {word} {fields}"));
            self.platform.change(&id, |known| {
                known.answers += 1;
                known.over = true;
                known.answered.get_or_insert(Instant::now());
                known.answer.get_or_insert((word, body));
            });
            self.agent.request_over(&id);
        }
        self.ended.store(true, Ordering::SeqCst);
        let open: Vec<String> = self.tags.lock().unwrap().drain().map(|(_, id)| id).collect();
        for id in open {
            self.record.line(&format!("gateway: connection ended without an answer to {id}"));
            self.platform.change(&id, |known| (known.connection_lost, known.over) = (true, true));
            self.agent.request_over(&id);
        }
    }

    /// Sends a request. Returns its tag, or `None` if the connection can't be used.
    pub fn send(&self, call: &Call) -> Option<u64> {
        let tag = self.next_tag.fetch_add(1, Ordering::SeqCst);
        let stamped = unix_ms();
        let mut fields = format!("i={},s={stamped},f={}", call.id, call.gateway);
        if !call.tenant.is_empty() {
            fields += &format!(",t={}", call.tenant);
        }
        if call.again {
            fields += ",r=1";
        }
        if call.hint_ms > 0.0 {
            fields += &format!(",h={:.2}", call.hint_ms);
        }
        fields += &format!(",m={:.1},p={:.4}", call.memory, call.rank);
        if !call.key.is_empty() {
            fields += &format!(",k={}", call.key);
        }
        let known = Try {
            class: call.class.clone(),
            quiet: call.quiet,
            body: call.body.clone(),
            key: call.key.clone(),
            stamped,
            written: Some(Instant::now()),
            ..Try::default()
        };
        self.platform.tries().insert(call.id.clone(), known);
        self.tags.lock().unwrap().insert(tag, call.id.clone());
        let tag_text = tag.to_string();
        let parts: [&[u8]; 5] =
            [b"CALL", tag_text.as_bytes(), call.class.as_bytes(), fields.as_bytes(), &call.body];
        let again = if call.again { ", a further try" } else { "" };
        let text = format!("gateway: sends {} ({} {}{again})", call.id, call.class, call.key);
        self.platform.note(&self.record, &call.id, &text);
        if self.write(&parts).is_err() {
            self.tags.lock().unwrap().remove(&tag);
            self.platform.change(&call.id, |known| (known.connection_lost, known.over) = (true, true));
            return None;
        }
        Some(tag)
    }

    fn write(&self, parts: &[&[u8]]) -> io::Result<()> {
        let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
        for part in parts {
            bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        self.stream.lock().unwrap().write_all(&bytes)
    }

    /// Gives a request up, if it is not answered yet.
    pub fn cancel(&self, tag: u64) {
        let Some(id) = self.tags.lock().unwrap().remove(&tag) else { return };
        self.record.line(&format!("gateway: gives up {id}"));
        self.platform.change(&id, |known| (known.given_up, known.over) = (true, true));
        let _ = self.write(&[b"CANCEL", tag.to_string().as_bytes()]);
        self.agent.request_over(&id);
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// Reads an array of bulk strings.
fn read_array(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut count = |reader: &mut dyn BufRead, mark: char| -> Option<usize> {
        line.clear();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let elements = count(reader, '*')?;
    let mut array = Vec::new();
    for _ in 0..elements {
        let length = count(reader, '$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        array.push(bytes);
    }
    Some(array)
}

/// A server under test, started by the command of the deploy file.
pub struct Server {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// Returns the command after `name` in the deploy file.
fn deploy_command(root: &str, name: &str) -> String {
    let path = format!("{root}/deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| could_not_run(&format!("{path}: {e}")));
    let line = text.lines().find(|line| line.starts_with(&format!("{name} =")));
    let command = line.and_then(|line| line.split('"').nth(1)).map(String::from);
    command.unwrap_or_else(|| could_not_run("the deploy file has no such command"))
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Addresses and limits of a server.
pub struct ServerSetup<'a> {
    pub name: &'a str,
    pub agent: SocketAddr,
    pub roster: SocketAddr,
    pub store: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub stop_ms: u32,
    /// The settings, a JSON object.
    pub settings: &'a str,
}

impl Server {
    /// Starts a server and waits until it answers a health check.
    pub fn start(setup: &ServerSetup) -> Server {
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| ".".into())).join(setup.name);
        std::fs::create_dir_all(&folder).expect("the working folder");
        let address = free_address();
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{address}\",\"agent\":\"{}\",\"roster\":\"{}\",\"store\":\"{}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{},\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"settings\":{}}}",
            setup.name,
            setup.agent,
            setup.roster,
            setup.store,
            setup.stop_ms,
            setup.memory_mb,
            setup.sockets,
            setup.settings
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).expect("the configuration");
        let log = File::create(folder.join("log.txt")).expect("the log");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command(&root, "run")])
            .current_dir(&root)
            .env("BALANCER_NAME", setup.name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| could_not_run(&format!("the server: {e}")));
        // The script ends what this file still names, however the case ends.
        std::fs::write(folder.join("pid"), child.id().to_string()).expect("the file of the process id");
        let mut server = Server { child, address, folder };
        server.wait_until_ready();
        server
    }

    fn wait_until_ready(&mut self) {
        for _ in 0..300 {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"*2\r\n$5\r\nCHECK\r\n$1\r\n1\r\n");
                if read_array(&mut BufReader::new(stream)).is_some() {
                    return;
                }
            }
            if !self.is_running() {
                break;
            }
            sleep(0.1);
        }
        self.kill();
        could_not_run("the server answers no health check");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.folder.join("pid"));
    }

    /// The server's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}
