//! A keeper on sockets. One task owns the [`Core`]; the disk is a thread that brings all saves that wait to disk with one sync; each peer has a
//! task that sends and drops what it can't; each connection has one that reads. Nobody waits for another but the connections, which read
//! no further while too much is unheard.

use crate::core::{Core, Fault, Out, Refusal, Terms};
use crate::log::{Disk, Save};
use crate::members::Change as Turnover;
use crate::store::Store;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::protocol::{Event, EventSink, ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_leases::table::{ChangeKind, LeaseResponse};
use puffinladder_leases::HolderId;
use puffinladder_transport::{connect, encode_line, listen, write_line, Clock, LineReader, RunningService};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc as threads;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, MissedTickBehavior};

/// How a keeper is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub terms: Terms,
    pub listen: SocketAddr,
    /// Where the others are reached; those that the settings don't know by what the log says.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// s between ticks.
    pub tick: f64,
    pub most_connections: usize,
    pub clock: Clock,
    pub events: EventSink,
    /// ms that each sync takes longer: for tests.
    pub sync_pause: Arc<AtomicU64>,
}

/// Lines that are read and not yet heard.
const UNHEARD: usize = 4096;
/// Answers that wait for one connection; an instance asks again.
const ANSWERS: usize = 256;
/// Messages that wait for one peer; consensus says them again.
const MESSAGES: usize = 1024;
/// A connection may be silent for so long, and may leave an answer unread for so long.
const SILENT: Duration = Duration::from_secs(60);
const UNREAD: Duration = Duration::from_secs(2);
/// s until a peer that can't be reached is dialled again: soon, since an election may wait for it.
const AGAIN: Duration = Duration::from_millis(100);

struct Heard {
    ask: ReplicaRequest,
    back: mpsc::Sender<ReplicaReply>,
}

/// Starts a keeper from its disk; it listens when this returns.
pub async fn start(setup: Setup, store: Store, disk: &Disk) -> Result<RunningService<String>, String> {
    let number = store.id();
    let core = Core::new(number, setup.terms.clone(), disk).map_err(|e| e.to_string())?;
    let (stop, stopped) = watch::channel(false);
    let (asks, heard) = mpsc::channel(UNHEARD);
    let handle = move |stream, _| converse(stream, asks.clone());
    let listening = listen("keeper", setup.listen, setup.most_connections, stopped.clone(), handle);
    let listen = listening.await.map_err(|e| e.to_string())?;
    setup.events.emit(&Event::Ready { listen: listen.to_string() });
    tracing::info!("keeper {number} listens on {listen}");
    let desk = tokio::spawn(Desk::new(setup, core, store).work(heard, stopped));
    Ok(RunningService::new(listen, stop, desk))
}

/// One connection: what it asks goes to the desk, what comes back is written by a task of its own.
async fn converse(
    stream: TcpStream,
    asks: mpsc::Sender<Heard>,
) -> Result<(), puffinladder_transport::TransportError> {
    let (from, to) = stream.into_split();
    let (back, answers) = mpsc::channel(ANSWERS);
    let writer = tokio::spawn(answer(to, answers));
    let mut lines = LineReader::new(from, MAX_LINE_BYTES);
    let ended = loop {
        match lines.read_within(SILENT).await {
            Ok(Some(ask)) => {
                if asks.send(Heard { ask, back: back.clone() }).await.is_err() {
                    break Ok(());
                }
            }
            Ok(None) => break Ok(()),
            Err(fault) => break Err(fault),
        }
    };
    // Whoever reads no more may still be told until it closes; nothing is owed to it.
    writer.abort();
    ended
}

async fn answer(mut to: OwnedWriteHalf, mut answers: mpsc::Receiver<ReplicaReply>) {
    while let Some(answer) = answers.recv().await {
        if write_line(&mut to, &answer, UNREAD).await.is_err() {
            return;
        }
    }
}

/// Sends to one peer, and dials it again after a while when that fails. What can't be sent is dropped.
async fn courier(
    mut at: watch::Receiver<Option<SocketAddr>>,
    mut messages: mpsc::Receiver<Vec<u8>>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut stream: Option<TcpStream> = None;
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            _ = stopped.changed() => return,
        };
        let Some(message) = message else { return };
        if at.has_changed().unwrap_or(false) {
            stream = None;
        }
        let Some(to) = *at.borrow_and_update() else { continue };
        if stream.is_none() {
            stream = connect(to).await.ok();
            if stream.is_none() {
                tokio::time::sleep(AGAIN).await;
                // What waited meanwhile is old by now.
                while messages.try_recv().is_ok() {}
                continue;
            }
        }
        let Ok(bytes) = encode_line(&ReplicaRequest::PeerMessage(BASE64_STANDARD.encode(&message))) else {
            continue;
        };
        if let Some(open) = &mut stream {
            let written = tokio::time::timeout(UNREAD, open.write_all(&bytes)).await;
            if !matches!(written, Ok(Ok(()))) {
                stream = None;
            }
        }
    }
}

struct Peer {
    messages: mpsc::Sender<Vec<u8>>,
    at: watch::Sender<Option<SocketAddr>>,
}

/// The task that owns the core.
struct Desk {
    setup: Setup,
    core: Core,
    store: Option<Store>,
    peers: BTreeMap<u64, Peer>,
    /// The connection that an instance was heard on last.
    instances: BTreeMap<HolderId, mpsc::Sender<ReplicaReply>>,
    /// Operators that wait, by token.
    waiting: BTreeMap<u64, mpsc::Sender<ReplicaReply>>,
    tokens: u64,
    led: bool,
    counts: BTreeMap<String, u64>,
    /// Raised by the disk's thread with each sync.
    syncs: Arc<AtomicU64>,
}

impl Desk {
    fn new(setup: Setup, core: Core, store: Store) -> Desk {
        Desk {
            setup,
            core,
            store: Some(store),
            peers: BTreeMap::new(),
            instances: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tokens: 0,
            led: false,
            counts: BTreeMap::new(),
            syncs: Arc::default(),
        }
    }

    async fn work(
        mut self,
        mut heard: mpsc::Receiver<Heard>,
        mut stopped: watch::Receiver<bool>,
    ) -> Result<(), String> {
        let (saves, to_save) = threads::channel::<Vec<Save>>();
        let (saved, mut on_disk) = mpsc::unbounded_channel();
        let (store, pause, syncs) = (self.store.take(), self.setup.sync_pause.clone(), self.syncs.clone());
        let disk = std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || store.map_or(Ok(()), |store| keep(&store, &to_save, &saved, &pause, &syncs)))
            .map_err(|e| format!("no thread for the disk: {e}"))?;
        let mut tick = interval(self.setup.clock.sleep_duration(self.setup.tick));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(512);
        loop {
            tokio::select! {
                count = heard.recv_many(&mut batch, 512) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let now = self.setup.clock.now();
                    for Heard { ask, back } in batch.drain(..) {
                        self.heed(now, ask, back, &stopped);
                    }
                }
                _ = tick.tick() => {
                    // What was read before a pause is heard before time moves.
                    let now = self.setup.clock.now();
                    while let Ok(Heard { ask, back }) = heard.try_recv() {
                        self.heed(now, ask, back, &stopped);
                    }
                    self.core.tick(now);
                }
                number = on_disk.recv() => match number {
                    Some(number) => self.core.saved(number),
                    // The thread has ended: the disk failed, and no answer may say that something is on it.
                    None => return Err(disk.join().map_or("the disk's thread".into(), |r| r.err().unwrap_or_default())),
                },
                _ = stopped.changed() => {
                    drop(saves);
                    let ended = tokio::task::spawn_blocking(move || disk.join()).await;
                    tracing::info!("ends at entry {}", self.core.applied());
                    return ended.map_err(|e| e.to_string())?.map_err(|_| "the disk's thread".to_string())?;
                }
            }
            let now = self.setup.clock.now();
            let out = self.core.pump(now).map_err(|e: Fault| e.to_string())?;
            if !self.carry(out, &saves, &stopped) {
                continue; // the disk's thread has ended; its fault comes next
            }
        }
    }

    fn count(&mut self, what: &str, by: u64) {
        match self.counts.get_mut(what) {
            Some(count) => *count += by,
            None => drop(self.counts.insert(what.to_string(), by)),
        }
    }

    fn heed(
        &mut self,
        now: f64,
        ask: ReplicaRequest,
        back: mpsc::Sender<ReplicaReply>,
        stopped: &watch::Receiver<bool>,
    ) {
        match ask {
            ReplicaRequest::Renew(said) => {
                self.count("lines", 1);
                let owner = said.holder.clone();
                match self.core.say(said) {
                    Ok(()) => drop(self.instances.insert(owner, back)),
                    Err(refusal) => self.refuse(refusal, &back),
                }
            }
            ReplicaRequest::PeerMessage(text) => {
                self.count("messages", 1);
                let read = BASE64_STANDARD.decode(text).map_err(|e| e.to_string());
                if let Err(what) = read.and_then(|bytes| self.core.hear(&bytes)) {
                    self.count("messages-unfit", 1);
                    tracing::debug!("from a peer: {what}");
                }
            }
            ReplicaRequest::Status => {
                let (up, mut counts) = (now, self.counts.clone());
                counts.insert("syncs".into(), self.syncs.load(Ordering::Relaxed));
                let status = puffinladder_leases::protocol::ReplicaStatus {
                    uptime: up,
                    counts,
                    ..self.core.status(now)
                };
                let _ = back.try_send(ReplicaReply::Status(Box::new(status)));
            }
            ReplicaRequest::Tasks => {
                let token = self.token();
                match self.core.read(token) {
                    Ok(()) => drop(self.waiting.insert(token, back)),
                    Err(refusal) => self.refuse(refusal, &back),
                }
            }
            ReplicaRequest::Command(command) => {
                let token = self.token();
                match self.core.command(now, token, command) {
                    Ok(()) => drop(self.waiting.insert(token, back)),
                    Err(refusal) => self.refuse(refusal, &back),
                }
            }
            ReplicaRequest::AddReplica { number, address } => {
                self.turn_over(Turnover::Add { number, address }, back, stopped)
            }
            ReplicaRequest::RemoveReplica { number } => {
                self.turn_over(Turnover::Remove(number), back, stopped)
            }
        }
    }

    fn turn_over(
        &mut self,
        change: Turnover,
        back: mpsc::Sender<ReplicaReply>,
        stopped: &watch::Receiver<bool>,
    ) {
        let token = self.token();
        match self.core.change(token, change) {
            Ok(()) => drop(self.waiting.insert(token, back)),
            Err(refusal) => self.refuse(refusal, &back),
        }
        self.meet(stopped);
    }

    /// Numbers of what operators asked, never 0; answers to those who have gone are forgotten.
    fn token(&mut self) -> u64 {
        self.waiting.retain(|_, back| !back.is_closed());
        self.tokens += 1;
        self.tokens
    }

    fn refuse(&mut self, refusal: Refusal, back: &mpsc::Sender<ReplicaReply>) {
        self.count("refused", 1);
        let answer = match refusal {
            Refusal::NotLeading(leader) => {
                let address = leader.and_then(|number| self.core.members().joined.get(&number).cloned());
                ReplicaReply::NotLeader { leader, address }
            }
            other => ReplicaReply::Failed(other.to_string()),
        };
        let _ = back.try_send(answer);
    }

    /// Whether the disk's thread took what is to be saved.
    fn carry(
        &mut self,
        out: Out,
        saves: &threads::Sender<Vec<Save>>,
        stopped: &watch::Receiver<bool>,
    ) -> bool {
        if !out.saves.is_empty() && saves.send(out.saves).is_err() {
            return false;
        }
        for turnover in &out.turnovers {
            tracing::info!("keepers: {turnover:?}, now {:?} vote", self.core.voters());
        }
        if !out.turnovers.is_empty() {
            self.meet(stopped);
        }
        for (to, bytes) in out.send {
            if !self.peers.contains_key(&to) {
                self.meet(stopped);
            }
            self.count("bytes-to-peers", bytes.len() as u64);
            let taken = self.peers.get(&to).is_some_and(|peer| peer.messages.try_send(bytes).is_ok());
            self.count("messages-dropped", u64::from(!taken));
        }
        for told in out.told {
            self.tell(told);
        }
        for (token, done) in out.done {
            if let Some(back) = self.waiting.remove(&token) {
                let _ = back.try_send(done.map_or_else(ReplicaReply::Failed, |()| ReplicaReply::Done));
            }
        }
        for token in out.read {
            if let Some(back) = self.waiting.remove(&token) {
                let table = self.core.table();
                let duties = ReplicaReply::Tasks {
                    leases: table.lease_rows(),
                    instances: table.instance_rows(),
                    at: table.now(),
                };
                let _ = back.try_send(duties);
            }
        }
        for change in out.changes {
            let what = match change.kind {
                ChangeKind::Granted => "given to",
                ChangeKind::Revoked => "taken back from",
                ChangeKind::Ended => "no longer of",
            };
            self.count(&change.counter_name(), 1);
            if self.core.leads() {
                tracing::info!(
                    "{} {what} {}, epoch {}: {}",
                    change.task,
                    change.holder,
                    change.epoch,
                    change.cause
                );
            }
            self.setup.events.emit(&Event::Change(change));
        }
        let leads = self.core.leads();
        if leads && !self.led {
            let (keeper, term) = (self.core.id(), self.core.term());
            tracing::info!("keeper {keeper} leads, term {term}");
            self.setup.events.emit(&Event::BecameLeader { replica: keeper, term });
            self.count("led", 1);
        }
        if self.led && !leads {
            tracing::info!("keeper {} leads no more", self.core.id());
            // Instances find the next one sooner than by silence.
            let leader = self.core.leader().filter(|id| *id != self.core.id());
            // Operators' commands have been answered above; what waits still are reads.
            let waiting = std::mem::take(&mut self.waiting).into_values();
            for back in std::mem::take(&mut self.instances).into_values().chain(waiting) {
                let _ = back.try_send(ReplicaReply::NotLeader { leader, address: None });
            }
        }
        self.led = leads;
        true
    }

    fn tell(&mut self, told: LeaseResponse) {
        let owner = told.holder.clone();
        self.count("told", 1);
        let sent = self.instances.get(&owner).map(|back| back.try_send(ReplicaReply::Lease(told)));
        if matches!(sent, Some(Err(mpsc::error::TrySendError::Closed(_)))) {
            self.instances.remove(&owner);
        }
    }

    /// A way to each keeper that there is by now.
    fn meet(&mut self, stopped: &watch::Receiver<bool>) {
        let numbers = self.core.peers();
        for number in &numbers {
            let joined = self.core.members().joined.get(number).and_then(|text| text.parse().ok());
            let address = self.setup.peers.get(number).copied().or(joined);
            match self.peers.get(number) {
                Some(peer) if *peer.at.borrow() == address => {}
                Some(peer) => drop(peer.at.send(address)),
                None => {
                    let (messages, queue) = mpsc::channel(MESSAGES);
                    let (at, where_to) = watch::channel(address);
                    tokio::spawn(courier(where_to, queue, stopped.clone()));
                    self.peers.insert(*number, Peer { messages, at });
                }
            }
        }
        self.peers.retain(|number, _| numbers.contains(number));
    }
}

/// The disk's thread: all that waits becomes durable with one sync.
fn keep(
    store: &Store,
    saves: &threads::Receiver<Vec<Save>>,
    saved: &mpsc::UnboundedSender<u64>,
    pause: &AtomicU64,
    syncs: &AtomicU64,
) -> Result<(), String> {
    while let Ok(mut all) = saves.recv() {
        all.extend(saves.try_iter().flatten());
        match pause.load(Ordering::Relaxed) {
            0 => {}
            slow => std::thread::sleep(Duration::from_millis(slow)),
        }
        store.keep(&all).map_err(|e| e.to_string())?;
        syncs.fetch_add(1, Ordering::Relaxed);
        if let Some(last) = all.iter().map(|save| save.number).max().filter(|number| *number > 0) {
            if saved.send(last).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
