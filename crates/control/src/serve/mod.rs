//! The service on sockets. One task owns the [`Core`] and is told everything through one bounded queue; streams, reports and
//! the debug view are tasks of their own that never touch it.

pub mod ads;
pub mod meters;
pub mod reports;
pub mod tls;
pub mod view;

use crate::core::{Core, Id, Snapshot, Told};
use crate::stream::{Cut, Push, Request};
use crate::view::Report;
use meters::Meters;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tls::Certificates;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, MissedTickBehavior};

/// How the service is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub told: Told,
    /// Where proxies, servers and people connect; the last may be left out.
    pub xds: SocketAddr,
    pub reports: SocketAddr,
    pub debug: Option<SocketAddr>,
    /// What outlives the process, if anything is to.
    pub snapshot: Option<PathBuf>,
    pub most_proxies: usize,
    /// PEM files of the certificate and its key; with a client authority proxies must show theirs.
    pub tls: Option<Tls>,
}

#[derive(Clone, Debug)]
pub struct Tls {
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub clients: Option<PathBuf>,
}

/// Messages that wait for the core: beyond them whoever sends waits, which is back-pressure on their sockets.
const QUEUE: usize = 16_384;
/// Responses that wait for one stream's socket: one of each type may be out.
const WAITING: usize = 8;
/// The way to each stream's task.
type Streams = HashMap<Id, mpsc::Sender<Push>>;
/// How often time passes for the core.
const TICK: Duration = Duration::from_millis(50);
/// How often a snapshot is written where it changed.
const SAVE: Duration = Duration::from_secs(1);

/// What the core's task is told.
pub enum Word {
    Report(Report),
    Open {
        id: Id,
        node: String,
        zone: String,
        incremental: bool,
        out: mpsc::Sender<Push>,
    },
    Request {
        id: Id,
        request: Request,
    },
    Close {
        id: Id,
    },
    /// A question of the debug view, with the time.
    Ask(Question),
}

type Question = Box<dyn FnOnce(&Core, f64) + Send>;

/// The way to the core's task.
#[derive(Clone)]
pub struct Desk {
    words: mpsc::Sender<Word>,
    pub most_proxies: usize,
    pub meters: Arc<Meters>,
}

impl Desk {
    /// Waits while the queue is full; nothing happens once the service ends.
    pub async fn tell(&self, word: Word) {
        let _ = self.words.send(word).await;
    }
    /// What a question finds.
    pub async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Core, f64) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, found) = oneshot::channel();
        let ask = move |core: &Core, now: f64| drop(answer.send(question(core, now)));
        self.tell(Word::Ask(Box::new(ask))).await;
        found.await.ok()
    }
}

fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64())
}

/// Reads what an earlier process left. A file that can't be read is none: the service begins without.
fn load(path: &Path) -> Option<Snapshot> {
    let read = std::fs::read(path).map_err(|e| e.to_string());
    match read.and_then(|bytes| serde_json::from_slice(&bytes).map_err(|e| e.to_string())) {
        Ok(snapshot) => Some(snapshot),
        Err(e) if path.exists() => {
            tracing::warn!("snapshot: {}: {e}: begins without", path.display());
            None
        }
        Err(_) => None,
    }
}

/// Writes a snapshot beside the old one, then in its place. One that can't be written is told, and the service goes on.
fn keep_snapshot(path: &Path, snapshot: &Snapshot) {
    let save = || -> io::Result<()> {
        let part = path.with_extension("part");
        std::fs::write(&part, serde_json::to_vec(snapshot)?)?;
        std::fs::rename(part, path)
    };
    if let Err(e) = save() {
        tracing::warn!("snapshot: {}: {e}", path.display());
    }
}

/// A running service.
pub struct Running {
    pub xds: SocketAddr,
    pub reports: SocketAddr,
    pub debug: Option<SocketAddr>,
    pub desk: Desk,
    certificates: Option<Arc<Certificates>>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Ends it: streams are closed in good order, so that proxies turn to another at once.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        for task in self.tasks {
            let _ = tokio::time::timeout(Duration::from_secs(2), task).await;
        }
    }
    /// Reads certificates anew, if it has any.
    pub fn reload(&self) -> io::Result<()> {
        self.certificates.as_ref().map_or(Ok(()), |certificates| certificates.reload())
    }
    /// Ends it as a kill would.
    pub fn kill(self) {
        self.tasks.iter().for_each(|task| task.abort());
    }
}

/// Starts the service; it listens when this returns.
pub async fn start(setup: Setup) -> io::Result<Running> {
    let at = |what: &'static str, addr: SocketAddr| {
        move |e: io::Error| io::Error::other(format!("{what} {addr}: {e}"))
    };
    let xds = TcpListener::bind(setup.xds).await.map_err(at("xds", setup.xds))?;
    let reports = TcpListener::bind(setup.reports).await.map_err(at("reports", setup.reports))?;
    let debug = match setup.debug {
        Some(addr) => Some(TcpListener::bind(addr).await.map_err(at("debug", addr))?),
        None => None,
    };
    let (words, queue) = mpsc::channel(QUEUE);
    let (stop, stopped) = watch::channel(false);
    let desk = Desk { words, most_proxies: setup.most_proxies, meters: Arc::default() };
    let snapshot = setup.snapshot.as_deref().and_then(load);
    // Above every earlier life's, whatever became of the clock or the file.
    let epoch = snapshot.as_ref().map_or(0, |s| s.epoch + 1).max(unix() as u64);
    let snapshot = snapshot.map(|snapshot| {
        let age = unix() - snapshot.made_unix;
        (snapshot, age)
    });
    let core = Core::new(0.0, setup.told.clone(), epoch, snapshot);
    let running = Running {
        xds: xds.local_addr()?,
        reports: reports.local_addr()?,
        debug: debug.as_ref().map(TcpListener::local_addr).transpose()?,
        desk: desk.clone(),
        certificates: setup.tls.map(Certificates::new).transpose()?.map(Arc::new),
        stop,
        tasks: Vec::new(),
    };
    let mut tasks = vec![
        tokio::spawn(work(core, queue, setup.snapshot.clone(), stopped.clone())),
        tokio::spawn(reports::listen(reports, desk.clone(), stopped.clone())),
    ];
    tasks.push(tokio::spawn(ads::serve(xds, desk.clone(), running.certificates.clone(), stopped.clone())));
    if let Some(debug) = debug {
        tasks.push(tokio::spawn(view::listen(debug, desk, stopped)));
    }
    Ok(Running { tasks, ..running })
}

/// The core's task.
async fn work(
    mut core: Core,
    mut queue: mpsc::Receiver<Word>,
    keep: Option<PathBuf>,
    mut stopped: watch::Receiver<bool>,
) {
    let begun = Instant::now();
    let mut streams = Streams::new();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut saving: Option<JoinHandle<()>> = None;
    let mut saved_at = Instant::now();
    let mut words = Vec::with_capacity(256);
    loop {
        tokio::select! {
            count = queue.recv_many(&mut words, 256) => {
                if count == 0 {
                    return;
                }
                for word in words.drain(..) {
                    heed(&mut core, &mut streams, begun.elapsed().as_secs_f64(), word);
                }
            }
            _ = tick.tick() => {
                let now = begun.elapsed().as_secs_f64();
                for (id, push) in core.tick(now) {
                    hand(&mut core, &mut streams, id, push);
                }
                // One at a time, into one file.
                let idle = saving.as_ref().is_none_or(JoinHandle::is_finished);
                if let (Some(path), true) = (&keep, idle && saved_at.elapsed() >= SAVE) {
                    if let Some(snapshot) = core.snapshot(now, unix()) {
                        saved_at = Instant::now();
                        let path = path.clone();
                        // Off the core's task: a slow disk holds up no proxy.
                        saving = Some(tokio::task::spawn_blocking(move || keep_snapshot(&path, &snapshot)));
                    }
                }
            }
            _ = stopped.changed() => {
                if let Some(saving) = saving {
                    let _ = saving.await;
                }
                let now = begun.elapsed().as_secs_f64();
                if let (Some(path), Some(snapshot)) = (&keep, core.snapshot(now, unix())) {
                    keep_snapshot(path, &snapshot);
                }
                let serial = core.serial();
                tracing::info!("ends at plan {}.{}", serial.epoch, serial.number);
                return;
            }
        }
    }
}

/// Hands a response to its stream's task. One whose queue is full reads too slowly, and is cut.
fn hand(core: &mut Core, streams: &mut Streams, id: Id, push: Result<Push, Cut>) {
    let handed = match (push, streams.get(&id)) {
        (Ok(push), Some(out)) => {
            let handed = out.try_send(push).is_ok();
            core.totals.waiting_most = core.totals.waiting_most.max(out.max_capacity() - out.capacity());
            handed
        }
        _ => false,
    };
    if !handed {
        core.close(id);
        // Its task sees the queue closed and ends the stream.
        streams.remove(&id);
    }
}

fn heed(core: &mut Core, streams: &mut Streams, now: f64, word: Word) {
    match word {
        Word::Report(report) => {
            let instance = report.instance.clone();
            if let crate::view::Verdict::Impossible(what) = core.report(now, report) {
                tracing::warn!("report of {instance:.64} refused: {what}");
            }
        }
        Word::Open { id, node, zone, incremental, out } => {
            streams.insert(id, out);
            core.open(now, id, &node, &zone, incremental);
        }
        Word::Request { id, request } => {
            if let Some(fault) = &request.fault {
                tracing::warn!("stream {id}: a proxy refused {:?}: {fault:.200}", request.kind);
            }
            match core.request(now, id, &request) {
                Ok(pushes) => pushes.into_iter().for_each(|push| hand(core, streams, id, Ok(push))),
                Err(cut) => {
                    tracing::warn!("stream {id} cut: {cut:?}");
                    streams.remove(&id);
                }
            }
        }
        Word::Close { id } => {
            streams.remove(&id);
            core.close(id);
        }
        Word::Ask(question) => question(core, now),
    }
}
