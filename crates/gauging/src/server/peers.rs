//! Whom a server speaks with, each with the moments that the added latency is reckoned from.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_reports::compact::FormatOffer;
use puffinladder_toy::gateway::{encode_command, unix_time_ms};
use puffinladder_transport::{connect, write_line, LineReader};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Mean s of a run at the agent.
const RUN: f64 = 0.01;
/// Longest line of the server's to its agent, and of a report.
const LINE: usize = 1 << 20;
const REPORT: usize = 64 << 20;
/// Longest element of an answer.
const ELEMENT: usize = 64 << 10;
/// s in which the offered formats have to leave.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// s of an answer to a health check.
const CHECK: Duration = Duration::from_secs(2);

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    puffinladder_transport::bind("a stand-in", any).await.map_err(|e| e.to_string())
}

/// When each launch came and, once it is written, its outcome.
type Runs = Arc<Mutex<HashMap<String, (Instant, Option<Instant>)>>>;

/// The agent that owns the cores: each run takes a drawn time, and all of them have cores.
pub struct Agent {
    pub at: SocketAddr,
    runs: Runs,
    _task: JoinSet<()>,
}

enum Say {
    Line(Value),
    Outcome(String, Vec<u8>),
}

impl Agent {
    pub async fn open(seed: u64) -> Result<Agent, String> {
        let (listener, at) = listen().await?;
        let runs = Runs::default();
        let mut task = JoinSet::new();
        let known = runs.clone();
        task.spawn(async move {
            let mut links = JoinSet::new();
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            while let Ok((link, _)) = listener.accept().await {
                let _ = link.set_nodelay(true);
                links.spawn(talk(link, known.clone(), chance.random()));
            }
        });
        Ok(Agent { at, runs, _task: task })
    }
}

async fn talk(link: TcpStream, runs: Runs, seed: u64) {
    let (from, to) = link.into_split();
    let (out, says) = mpsc::unbounded_channel();
    let mut work = JoinSet::new();
    work.spawn(write(to, says, runs.clone()));
    let mut lines = LineReader::new(from, LINE);
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let Ok(run) = Exp::new(1.0 / RUN) else { return };
    while let Ok(Some(line)) = lines.read::<Value>().await {
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        match line["op"].as_str() {
            Some("subscribe") => {
                drop(out.send(Say::Line(json!({"op": "greeting", "end": "running", "ms": 5}))))
            }
            Some("sample") => {
                let open = lock(&runs).values().filter(|(_, written)| written.is_none()).count() as f64;
                let values = [(open / 4.0).min(1.0), open, 0.1, 2.0];
                let _ = out.send(Say::Line(json!({"op": "sampled", "tag": line["tag"], "values": values})));
            }
            Some("launch") => {
                lock(&runs).insert(id.clone(), (Instant::now(), None));
                let body =
                    BASE64_STANDARD.decode(line["body"].as_str().unwrap_or_default()).unwrap_or_default();
                let (out, takes) = (out.clone(), Duration::from_secs_f64(run.sample(&mut chance)));
                work.spawn(async move {
                    tokio::time::sleep(takes).await;
                    let _ = out.send(Say::Outcome(id, body));
                });
            }
            _ => {}
        }
        // Ended runs are forgotten, so that their number does not grow.
        while work.try_join_next().is_some() {}
    }
}

async fn write(mut to: OwnedWriteHalf, mut says: mpsc::UnboundedReceiver<Say>, runs: Runs) {
    let mut notices = 0;
    while let Some(say) = says.recv().await {
        let line = match say {
            Say::Line(line) => line,
            Say::Outcome(id, body) => {
                notices += 1;
                let mut runs = lock(&runs);
                let Some((begun, written)) = runs.get_mut(&id) else { continue };
                *written = Some(Instant::now());
                let ms = begun.elapsed().as_secs_f64() * 1e3;
                let body = BASE64_STANDARD.encode(body);
                json!({"op": "outcome", "id": id, "end": "fine", "ms": ms, "body": body, "seq": notices})
            }
        };
        if to.write_all(format!("{line}\n").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The control service: reads reports, offers the formats that a real one offers, and counts.
pub struct Sink {
    pub at: SocketAddr,
    counts: Arc<(AtomicU64, AtomicU64)>,
    _task: JoinSet<()>,
}

impl Sink {
    pub async fn open() -> Result<Sink, String> {
        let (listener, at) = listen().await?;
        let counts = Arc::<(AtomicU64, AtomicU64)>::default();
        let mut task = JoinSet::new();
        let heard = counts.clone();
        task.spawn(async move {
            let mut links = JoinSet::new();
            while let Ok((link, _)) = listener.accept().await {
                let heard = heard.clone();
                links.spawn(async move {
                    let (reader, mut writer) = link.into_split();
                    let mut lines = LineReader::new(reader, REPORT);
                    let (mut read, mut offered) = (0, false);
                    // What is no JSON ends it: then reports stay out, and the point fails.
                    while let Ok(Some(_)) = lines.read::<serde::de::IgnoredAny>().await {
                        heard.0.fetch_add(lines.bytes_read() - read, Ordering::Relaxed);
                        heard.1.fetch_add(1, Ordering::Relaxed);
                        read = lines.bytes_read();
                        if !offered {
                            let offer = FormatOffer::supported();
                            offered = write_line(&mut writer, &offer, OFFER_TIMEOUT).await.is_ok();
                        }
                    }
                });
            }
        });
        Ok(Sink { at, counts, _task: task })
    }

    /// Bytes and lines so far.
    pub fn heard(&self) -> (u64, u64) {
        (self.counts.0.load(Ordering::Relaxed), self.counts.1.load(Ordering::Relaxed))
    }
}

/// Whether a server says that it serves.
pub async fn serving(server: SocketAddr) -> bool {
    let check = async {
        let mut link = connect(server).await.ok()?;
        link.write_all(&encode_command(&[b"CHECK", b"1", b""])).await.ok()?;
        answer(&mut BufReader::new(link)).await.ok()?.get(1).map(|word| word == b"serving")
    };
    matches!(tokio::time::timeout(CHECK, check).await, Ok(Some(true)))
}

/// One array of bulk strings.
async fn answer(from: &mut BufReader<impl AsyncRead + Unpin>) -> std::io::Result<Vec<Vec<u8>>> {
    async fn number(from: &mut BufReader<impl AsyncRead + Unpin>, sign: u8) -> std::io::Result<usize> {
        let mut line = Vec::new();
        from.take(32).read_until(b'\n', &mut line).await?;
        let digits = line.strip_prefix(&[sign]).and_then(|rest| rest.strip_suffix(b"\r\n"));
        let value = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
        value.filter(|value| *value <= ELEMENT).ok_or_else(|| std::io::ErrorKind::InvalidData.into())
    }
    let count = number(from, b'*').await?;
    let mut elements = Vec::new();
    for _ in 0..count {
        let mut element = vec![0; number(from, b'$').await? + 2];
        from.read_exact(&mut element).await?;
        element.truncate(element.len() - 2);
        elements.push(element);
    }
    Ok(elements)
}

#[derive(Default)]
struct Shared {
    settled: AtomicU64,
    answered: AtomicU64,
    added: Mutex<Vec<f64>>,
}

/// Callers that send at drawn moments, however many answers are awaited.
pub struct Callers {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// What is awaited on one connection, by tag: when it was written, and its name.
type Awaited = Arc<Mutex<HashMap<u64, (Instant, String)>>>;

/// Names are new over all points of a run.
static NAMES: AtomicU64 = AtomicU64::new(1);

impl Callers {
    pub async fn open(
        server: SocketAddr,
        count: usize,
        rate: f64,
        routes: usize,
        customers: usize,
        seed: u64,
        agent: &Agent,
    ) -> Result<Callers, String> {
        let shared = Arc::<Shared>::default();
        let mut tasks = JoinSet::new();
        for one in 0..count {
            let link = connect(server).await.map_err(|e| format!("a caller: {e}"))?;
            let (from, to) = link.into_split();
            let awaited = Awaited::default();
            let chance = ChaCha8Rng::seed_from_u64(seed ^ (one as u64 + 1) << 32);
            tasks.spawn(send(to, rate / count as f64, routes, customers, chance, awaited.clone()));
            tasks.spawn(read(from, awaited, agent.runs.clone(), shared.clone()));
        }
        Ok(Callers { shared, _tasks: tasks })
    }

    /// Settled, and answered at all, so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.settled.load(Ordering::Relaxed), self.shared.answered.load(Ordering::Relaxed))
    }
    pub fn count_from_now(&self) {
        lock(&self.shared.added).clear();
    }
    /// s that were added to each settled request.
    pub fn added(&self) -> Vec<f64> {
        lock(&self.shared.added).clone()
    }
}

async fn send(
    mut to: OwnedWriteHalf,
    rate: f64,
    routes: usize,
    customers: usize,
    mut chance: ChaCha8Rng,
    awaited: Awaited,
) {
    let Ok(between) = Exp::new(rate) else { return };
    let mut due = tokio::time::Instant::now();
    for tag in 1u64.. {
        due += Duration::from_secs_f64(between.sample(&mut chance));
        tokio::time::sleep_until(due).await;
        let name = format!("{:016x}", NAMES.fetch_add(1, Ordering::Relaxed));
        let route = super::route(chance.random_range(0..routes));
        let customer = super::customer(chance.random_range(0..customers));
        let fields = format!("i={name},s={},f=1,t={customer},h=10.5,m=20.5,p=0.5", unix_time_ms());
        let bytes = encode_command(&[
            b"CALL",
            tag.to_string().as_bytes(),
            route.as_bytes(),
            fields.as_bytes(),
            b"work",
        ]);
        lock(&awaited).insert(tag, (Instant::now(), name));
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn read(from: OwnedReadHalf, awaited: Awaited, runs: Runs, shared: Arc<Shared>) {
    let mut from = BufReader::new(from);
    while let Ok(elements) = answer(&mut from).await {
        let came = Instant::now();
        let tag = elements.first().and_then(|tag| std::str::from_utf8(tag).ok()?.parse().ok()).unwrap_or(0);
        // A notice to leave has tag 0.
        let Some((sent, name)) = lock(&awaited).remove(&tag) else { continue };
        shared.answered.fetch_add(1, Ordering::Relaxed);
        let run = lock(&runs).remove(&name);
        if elements.get(1).is_some_and(|word| word == b"200") {
            shared.settled.fetch_add(1, Ordering::Relaxed);
            if let Some((begun, Some(written))) = run {
                let added = came.duration_since(sent).saturating_sub(written.duration_since(begun));
                lock(&shared.added).push(added.as_secs_f64());
            }
        }
    }
}

#[cfg(test)]
mod tests;
