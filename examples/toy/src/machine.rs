//! A stand-in for a machine that falls over under too much work: an agent whose runs share the machine's cores, and a
//! ledger of the memory that its requests occupy.
//!
//! A request occupies memory from [`BOOKING_DELAY`] after it was written, or from the start of its run, until it is
//! settled (answered or given up); a run occupies a multiple of that, and cores while it neither waits for a call nor is
//! paused.

use crate::Monitor;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time from the writing of a request to the booking of its memory.
pub const BOOKING_DELAY: Duration = Duration::from_millis(100);
/// Interval between two steps of the machine.
const STEP_INTERVAL: Duration = Duration::from_millis(2);
/// Number of notices that are retained for a new link.
const RETAINED_NOTICES: usize = 4000;
/// Weight of one step in the busy fraction that the gauges report.
const BUSY_STEP_WEIGHT: f64 = 0.01;

/// Size and speed of a machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineSize {
    pub cores: f64,
    /// Work that a core of the warm machine does, in seconds of work per second.
    pub speed: f64,
    pub memory_kb: f64,
    /// Memory of a run as a multiple of that of a waiting request.
    pub run_factor: f64,
    /// Runs per core that the warm machine survives.
    pub overload_multiple: f64,
    /// Time over which the number of runs is averaged.
    pub overload_window: Duration,
    /// Fraction of its speed with which the machine starts; 1 if it starts warm.
    pub cold_fraction: f64,
    /// Time in which a cold machine warms up.
    pub warm_up: Duration,
}

impl MachineSize {
    /// Returns whether the machine starts cold.
    pub fn starts_cold(&self) -> bool {
        self.cold_fraction < 1.0
    }

    /// Adapts the configuration of a server to this machine.
    pub fn configure(&self, config: &mut Value) {
        let settings = &mut config["settings"];
        let info = &mut settings["FamilyInfo"];
        (info["Cpus"], info["RamKb"]) = (json!(self.cores), json!(self.memory_kb));
        info["Cold"] = json!(self.starts_cold());
        let contract = &mut settings["Contract"];
        contract["Cold"] = json!(self.warm_up.as_millis() as u64);
        contract["ColdShare"] = json!(self.cold_fraction);
    }
}

/// A request that a gateway writes.
#[derive(Clone, Copy, Debug)]
pub struct BookedRequest {
    pub memory_kb: f64,
    /// Work before and after its call, in seconds on a core of speed 1.
    pub work: f64,
}

/// Highest load of a machine, as fractions of what it survives.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakLoad {
    pub memory: f64,
    pub cores: f64,
}

/// A machine that accepts the link of a server.
#[derive(Clone)]
pub struct Machine {
    pub address: SocketAddr,
    state: Arc<Monitor<MachineState>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStage {
    /// Works before its call.
    First,
    /// Waits for the reply to its call.
    Calling,
    /// Works after its call.
    Last,
}

#[derive(Debug)]
struct Run {
    stage: RunStage,
    /// Work left in this stage, in seconds on a core of speed 1.
    work_left: f64,
    paused: bool,
}

#[derive(Debug)]
struct Entry {
    request: BookedRequest,
    written_at: Instant,
    settled: bool,
    run: Option<Run>,
}

#[derive(Debug)]
struct MachineState {
    size: MachineSize,
    started_at: Instant,
    stepped_at: Instant,
    /// Requests that are not settled or still run, by attempt id.
    entries: HashMap<String, Entry>,
    /// Notices that are retained. The first has the sequence number `dropped + 1`.
    notices: VecDeque<Value>,
    dropped: usize,
    link: Option<TcpStream>,
    /// Number of runs on the cores at the steps of the averaging window.
    runs_on_cores: VecDeque<(Instant, usize)>,
    busy: f64,
    load: PeakLoad,
    peak: PeakLoad,
}

impl Machine {
    /// Starts a machine on an ephemeral port.
    pub fn start(size: MachineSize) -> Machine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an ephemeral port is available");
        let address = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(Monitor::from(MachineState::new(size)));
        let machine = Machine { address, state };
        let (accepting, stepping) = (machine.clone(), Arc::downgrade(&machine.state));
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                accepting.serve(link);
            }
        });
        thread::spawn(move || {
            while let Some(state) = stepping.upgrade() {
                state.lock().step(Instant::now());
                drop(state);
                thread::sleep(STEP_INTERVAL);
            }
        });
        machine
    }

    /// Books a request that is about to be written to the server.
    pub fn book(&self, attempt_id: &str, request: BookedRequest) {
        let entry = Entry { request, written_at: Instant::now(), settled: false, run: None };
        self.state.lock().entries.insert(attempt_id.to_owned(), entry);
    }

    /// Records that a request was answered or given up.
    pub fn settle(&self, attempt_id: &str) {
        let mut state = self.state.lock();
        let Some(entry) = state.entries.get_mut(attempt_id) else { return };
        entry.settled = true;
        match &entry.run {
            None => drop(state.entries.remove(attempt_id)),
            Some(run) if run.paused || run.stage == RunStage::Calling => {
                state.end_run(attempt_id, "broken_off", &[]);
            }
            Some(_) => {}
        }
    }

    /// Closes the link. Runs continue.
    pub fn disconnect(&self) {
        self.state.lock().link.take().map(|link| link.shutdown(Shutdown::Both));
    }

    /// Returns the highest load so far.
    pub fn peak(&self) -> PeakLoad {
        self.state.lock().peak
    }

    /// Returns the present load.
    pub fn load(&self) -> PeakLoad {
        self.state.lock().load
    }

    /// Returns the number of runs that have not ended.
    pub fn open_runs(&self) -> usize {
        self.state.lock().entries.values().filter(|entry| entry.run.is_some()).count()
    }

    /// Serves a link in a thread of its own; the link before it ends.
    fn serve(&self, link: TcpStream) {
        link.set_nodelay(true).expect("TCP_NODELAY can be set");
        let own = link.try_clone().expect("a socket can be cloned");
        let old = self.state.lock().link.replace(own);
        old.map(|old| old.shutdown(Shutdown::Both));
        let state = self.state.clone();
        thread::spawn(move || {
            for line in BufReader::new(link).lines().map_while(Result::ok) {
                let Ok(command) = serde_json::from_str::<Value>(&line) else { return };
                state.lock().handle_command(&command);
            }
        });
    }
}

impl MachineState {
    fn new(size: MachineSize) -> MachineState {
        let now = Instant::now();
        MachineState {
            size,
            started_at: now,
            stepped_at: now,
            entries: HashMap::new(),
            notices: VecDeque::new(),
            dropped: 0,
            link: None,
            runs_on_cores: VecDeque::new(),
            busy: 0.0,
            load: PeakLoad::default(),
            peak: PeakLoad::default(),
        }
    }

    /// Returns the present fraction of the full speed.
    fn warmth(&self, now: Instant) -> f64 {
        let progress = (now - self.started_at).as_secs_f64() / self.size.warm_up.as_secs_f64().max(1e-3);
        (self.size.cold_fraction + (1.0 - self.size.cold_fraction) * progress).min(1.0)
    }

    /// Advances the runs on the cores and measures the load.
    fn step(&mut self, now: Instant) {
        let elapsed = (now - self.stepped_at).as_secs_f64();
        self.stepped_at = now;
        let on_cores: Vec<String> = self.ids_on_cores();
        let share = (self.size.cores / on_cores.len().max(1) as f64).min(1.0);
        let work = elapsed * share * self.size.speed * self.warmth(now);
        on_cores.iter().for_each(|id| self.advance_run(id, work));
        let busy = (on_cores.len() as f64 / self.size.cores).min(1.0);
        self.busy += BUSY_STEP_WEIGHT * (busy - self.busy);
        self.measure(now, on_cores.len());
    }

    fn ids_on_cores(&self) -> Vec<String> {
        let on_cores = |entry: &Entry| {
            entry.run.as_ref().is_some_and(|run| !run.paused && run.stage != RunStage::Calling)
        };
        self.entries.iter().filter(|(_, entry)| on_cores(entry)).map(|(id, _)| id.clone()).collect()
    }

    fn advance_run(&mut self, id: &str, work: f64) {
        let entry = self.entries.get_mut(id).expect("a run on the cores has an entry");
        let run = entry.run.as_mut().expect("a request on the cores runs");
        run.work_left -= work;
        if run.work_left > 0.0 {
            return;
        }
        match run.stage {
            RunStage::First if entry.settled => self.end_run(id, "broken_off", &[]),
            RunStage::First => {
                run.stage = RunStage::Calling;
                self.send_notice(json!({"op": "request", "id": id, "body": BASE64_STANDARD.encode("query")}));
            }
            _ => self.end_run(id, "fine", b"result"),
        }
    }

    fn measure(&mut self, now: Instant, on_cores: usize) {
        let window = self.size.overload_window;
        self.runs_on_cores.push_back((now, on_cores));
        while self.runs_on_cores.front().is_some_and(|(at, _)| now - *at > window) {
            self.runs_on_cores.pop_front();
        }
        let total: usize = self.runs_on_cores.iter().map(|(_, runs)| runs).sum();
        let mean = total as f64 / self.runs_on_cores.len() as f64;
        let survivable = self.size.cores * (1.0 + (self.size.overload_multiple - 1.0) * self.warmth(now));
        let memory: f64 = self.entries.values().map(|entry| self.occupied_memory(now, entry)).sum();
        self.load = PeakLoad { memory: memory / self.size.memory_kb, cores: mean / survivable };
        self.peak.memory = self.peak.memory.max(self.load.memory);
        self.peak.cores = self.peak.cores.max(self.load.cores);
    }

    fn occupied_memory(&self, now: Instant, entry: &Entry) -> f64 {
        match entry.run {
            Some(_) => entry.request.memory_kb * self.size.run_factor,
            None if now - entry.written_at >= BOOKING_DELAY => entry.request.memory_kb,
            None => 0.0,
        }
    }

    fn handle_command(&mut self, command: &Value) {
        let id = command["id"].as_str().unwrap_or_default();
        match command["op"].as_str().unwrap_or_default() {
            "subscribe" => self.greet(command["seq"].as_u64().unwrap_or_default() as usize),
            "launch" => self.launch(id),
            "freeze" => self.freeze(id),
            "deliver" | "forgo" => self.resume_after_call(id),
            "sample" => {
                let values = [self.busy, self.runs_on_cores.back().map_or(0.0, |(_, runs)| *runs as f64)];
                let values = [values[0], values[1], self.load.memory, 1.0];
                self.send(&json!({"op": "sampled", "tag": command["tag"], "values": values}));
            }
            _ => {}
        }
    }

    fn greet(&mut self, last_notice: usize) {
        let state = if self.size.starts_cold() { "starting" } else { "running" };
        self.send(&json!({"op": "greeting", "end": state, "ms": 5}));
        let missed = last_notice.saturating_sub(self.dropped);
        let notices: Vec<Value> = self.notices.iter().skip(missed).cloned().collect();
        notices.iter().for_each(|notice| self.send(notice));
    }

    fn launch(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else {
            // A settled request without a run has no entry any more.
            return self.send_outcome(id, "late", &[]);
        };
        if entry.run.is_none() {
            let work_left = entry.request.work / 2.0;
            entry.run = Some(Run { stage: RunStage::First, work_left, paused: false });
        }
    }

    fn freeze(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let settled = entry.settled;
        let Some(run) = &mut entry.run else { return };
        if run.stage == RunStage::Calling {
            return;
        }
        run.paused = true;
        if settled {
            self.end_run(id, "broken_off", &[]);
        }
    }

    fn resume_after_call(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let work_left = entry.request.work / 2.0;
        if let Some(run) = entry.run.as_mut().filter(|run| run.stage == RunStage::Calling) {
            (run.stage, run.work_left) = (RunStage::Last, work_left);
        }
    }

    /// Ends a run; its request waits for the answer, unless it was settled before.
    fn end_run(&mut self, id: &str, end: &str, result: &[u8]) {
        let entry = self.entries.get_mut(id).expect("a run has an entry");
        entry.run = None;
        if entry.settled {
            self.entries.remove(id);
        }
        self.send_outcome(id, end, result);
    }

    fn send_outcome(&mut self, id: &str, end: &str, result: &[u8]) {
        let body = BASE64_STANDARD.encode(result);
        self.send_notice(json!({"op": "outcome", "id": id, "end": end, "ms": 1.5, "body": body}));
    }

    fn send_notice(&mut self, mut notice: Value) {
        notice["seq"] = json!(self.dropped + self.notices.len() + 1);
        self.notices.push_back(notice.clone());
        if self.notices.len() > RETAINED_NOTICES {
            self.notices.pop_front();
            self.dropped += 1;
        }
        self.send(&notice);
    }

    fn send(&mut self, line: &Value) {
        if let Some(link) = &mut self.link {
            // A failed write loses nothing: the server receives the retained notices when it subscribes again.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
}
