//! A stand-in for the gateways of a server under steady load: requests arrive at random times, and failed ones are tried
//! again. Every request is booked on its [`Machine`] while it is open.

use crate::gateway::{encode_command, unix_time_ms, Gateway};
use crate::machine::{BookedRequest, Machine};
use crate::Monitor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Connections to the server; requests take turns on them.
const CONNECTIONS: usize = 12;
/// Open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 30;
/// Age up to which a request crosses the end of its connection, so that a gateway sends it again.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Pause of the generator between two looks at what is due.
const PACE: Duration = Duration::from_millis(1);

/// Requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    pub name: &'static str,
    /// Whether all attempts of a request carry the same key.
    pub keyed: bool,
    /// Arrivals per second.
    pub rate: f64,
    /// Shortest and longest work, in seconds on a core of speed 1.
    pub work: (f64, f64),
}

/// Requests of all classes, and how their clients behave.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub classes: [ClassLoad; 2],
    /// Least and most memory of a request.
    pub memory_kb: (f64, f64),
    /// Time after which a client gives a request up.
    pub patience: Duration,
    /// Attempts for each request, the first one included.
    pub max_attempts: u32,
    /// Wait before the next attempt.
    pub retry_delay: Duration,
    pub seed: u64,
}

/// Numbers of requests by what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadCounts {
    pub completed: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Given up without an answer.
    pub given_up: usize,
    /// Without an answer when their connection ended, though sent some time before.
    pub lost: usize,
    /// Not sent, since all connections were full.
    pub unsent: usize,
}

#[derive(Clone, Debug)]
struct Attempt {
    class: ClassLoad,
    key: u128,
    request: BookedRequest,
    number: u32,
    due: Instant,
}

#[derive(Debug)]
struct OpenAttempt {
    attempt: Attempt,
    id: String,
    tag: u64,
    connection: usize,
    sent_at: Instant,
}

#[derive(Debug, Default)]
struct LoadState {
    open: HashMap<(usize, u64), OpenAttempt>,
    retries: Vec<Attempt>,
    /// Connections that the server has closed.
    ended: HashSet<usize>,
    counts: LoadCounts,
}

/// Gateways that send a load until they are dropped.
pub struct LoadGenerator {
    state: Arc<Monitor<LoadState>>,
    stopped: Arc<AtomicBool>,
    rate_factor: Arc<AtomicU32>,
    /// Answers stay unread while it is set.
    pub reading_paused: Arc<AtomicBool>,
}

impl LoadGenerator {
    /// Starts sending `load` to the server at `address`.
    pub fn start(address: SocketAddr, machine: &Machine, load: Load) -> LoadGenerator {
        let state: Arc<Monitor<LoadState>> = Arc::default();
        let (stopped, reading_paused) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let rate_factor = Arc::new(AtomicU32::new(1));
        let mut streams = Vec::new();
        for connection in 0..CONNECTIONS {
            let gateway = Gateway::connect(address);
            streams.push(gateway.stream.try_clone().expect("a socket can be cloned"));
            let reader = AnswerReader {
                connection,
                load,
                machine: machine.clone(),
                state: state.clone(),
                paused: reading_paused.clone(),
            };
            thread::spawn(move || reader.run(gateway));
        }
        let sender = Sender {
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            load,
            machine: machine.clone(),
            streams,
            state: state.clone(),
            rate_factor: rate_factor.clone(),
            last_tag: 0,
        };
        let sender_stopped = stopped.clone();
        thread::spawn(move || sender.run(&sender_stopped));
        LoadGenerator { state, stopped, rate_factor, reading_paused }
    }

    /// Multiplies the rate of new requests: a crowd of clients comes, or goes with a factor of 1.
    pub fn set_rate_factor(&self, factor: u32) {
        self.rate_factor.store(factor, Ordering::Relaxed);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> LoadCounts {
        self.state.lock().counts
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Reader of one connection's answers.
struct AnswerReader {
    connection: usize,
    load: Load,
    machine: Machine,
    state: Arc<Monitor<LoadState>>,
    paused: Arc<AtomicBool>,
}

impl AnswerReader {
    fn run(self, mut gateway: Gateway) {
        while let Some(response) = gateway.read_response() {
            while self.paused.load(Ordering::Relaxed) {
                thread::sleep(PACE);
            }
            let mut state = self.state.lock();
            let Some(open) = state.open.remove(&(self.connection, response.tag)) else { continue };
            self.machine.settle(&open.id);
            match response.status.as_str() {
                "200" => state.counts.completed += 1,
                "503" => state.counts.rejected += 1,
                _ => state.counts.failed += 1,
            }
            if response.status != "200" && open.attempt.number < self.load.max_attempts {
                let due = Instant::now() + self.load.retry_delay;
                state.retries.push(Attempt { number: open.attempt.number + 1, due, ..open.attempt });
            }
        }
        self.end();
    }

    /// Settles the open requests of the connection, which has ended.
    fn end(&self) {
        let mut state = self.state.lock();
        state.ended.insert(self.connection);
        let open: Vec<OpenAttempt> = state
            .open
            .extract_if(|(connection, _), _| *connection == self.connection)
            .map(|(_, open)| open)
            .collect();
        for open in open {
            self.machine.settle(&open.id);
            state.counts.lost += usize::from(open.sent_at.elapsed() > CROSSING_TIME);
        }
    }
}

/// Sender of all requests.
struct Sender {
    rng: ChaCha8Rng,
    load: Load,
    machine: Machine,
    streams: Vec<TcpStream>,
    state: Arc<Monitor<LoadState>>,
    rate_factor: Arc<AtomicU32>,
    last_tag: u64,
}

impl Sender {
    fn run(mut self, stopped: &AtomicBool) {
        let mut next_arrivals = self.load.classes.map(|_| Instant::now());
        while !stopped.load(Ordering::Relaxed) {
            let now = Instant::now();
            let rate_factor = f64::from(self.rate_factor.load(Ordering::Relaxed));
            for (class, next_arrival) in self.load.classes.into_iter().zip(&mut next_arrivals) {
                while *next_arrival <= now {
                    let attempt = self.new_attempt(class, *next_arrival);
                    self.send(attempt);
                    let gap = -(1.0 - self.rng.random::<f64>()).ln() / class.rate;
                    *next_arrival += Duration::from_secs_f64(gap / rate_factor);
                }
            }
            let due: Vec<Attempt> =
                self.state.lock().retries.extract_if(.., |attempt| attempt.due <= now).collect();
            due.into_iter().for_each(|attempt| self.send(attempt));
            self.give_up_overdue(now);
            thread::sleep(PACE);
        }
        for stream in &self.streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn new_attempt(&mut self, class: ClassLoad, due: Instant) -> Attempt {
        let work = self.rng.random_range(class.work.0..=class.work.1);
        let memory_kb = self.rng.random_range(self.load.memory_kb.0..=self.load.memory_kb.1);
        let request = BookedRequest { memory_kb, work };
        Attempt { class, key: self.rng.random(), request, number: 1, due }
    }

    fn send(&mut self, attempt: Attempt) {
        self.last_tag += 1;
        let tag = self.last_tag;
        let first = tag as usize % CONNECTIONS;
        let id = format!("{:016x}", self.rng.random::<u64>());
        let mut state = self.state.lock();
        let is_free = |&connection: &usize| {
            !state.ended.contains(&connection)
                && state.open.values().filter(|open| open.connection == connection).count()
                    < MAX_OPEN_REQUESTS
        };
        let Some(connection) = (first..CONNECTIONS).chain(0..first).find(is_free) else {
            state.counts.unsent += 1;
            return;
        };
        let message = encode_attempt(&attempt, &id, tag);
        self.machine.book(&id, attempt.request);
        let sent_at = Instant::now();
        let open = OpenAttempt { attempt, id, tag, connection, sent_at };
        state.open.insert((connection, tag), open);
        drop(state);
        // A connection that the server closed fails this write; the request is given up later.
        let _ = self.streams[connection].write_all(&message);
    }

    fn give_up_overdue(&mut self, now: Instant) {
        let mut state = self.state.lock();
        let patience = self.load.patience;
        let overdue: Vec<OpenAttempt> = state
            .open
            .extract_if(|_, open| now.saturating_duration_since(open.sent_at) > patience)
            .map(|(_, open)| open)
            .collect();
        state.counts.given_up += overdue.len();
        drop(state);
        for open in overdue {
            self.machine.settle(&open.id);
            let cancel = encode_command(&[b"CANCEL", open.tag.to_string().as_bytes()]);
            let _ = self.streams[open.connection].write_all(&cancel);
        }
    }
}

fn encode_attempt(attempt: &Attempt, id: &str, tag: u64) -> Vec<u8> {
    let hint_ms = attempt.request.work * 1e3;
    let mut fields = format!(
        "i={id},s={},f=1,t=acme,h={hint_ms:.2},m={:.1},p=0.5",
        unix_time_ms(),
        attempt.request.memory_kb
    );
    if attempt.class.keyed {
        fields.push_str(&format!(",k={:032x}", attempt.key));
    }
    if attempt.number > 1 {
        fields.push_str(",r=1");
    }
    let tag = tag.to_string();
    encode_command(&[b"CALL", tag.as_bytes(), attempt.class.name.as_bytes(), fields.as_bytes(), b"body"])
}
