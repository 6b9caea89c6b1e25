//! The archive on sockets. A thread owns core and disk: all pieces that wait are judged one by one, written with one sync, and only then
//! answered. A disk that fails ends the process, since what it knows is then ahead of what is kept.

use crate::core::{Core, Write};
use crate::store::{Planted, Store};
use crate::words::{Answer, Ask, Outcome, Source, LINE};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::assignment::part_of;
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::{Event, EventSink};
use puffinladder_transport::{bind, write_line, LineReader, RunningService, TransportError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};

#[derive(Clone, Debug)]
pub struct Setup {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    pub most_bytes: u64,
    pub most_connections: usize,
    pub events: EventSink,
    /// For tests: a bug that the checkers must find.
    pub planted: Option<Planted>,
}

/// Pieces that wait for the disk, and that one sync takes.
const WAITING: usize = 256;
const TOGETHER: usize = 64;
const SILENT: Duration = Duration::from_secs(120);
const UNREAD: Duration = Duration::from_secs(5);

struct Heard {
    ask: Ask,
    back: oneshot::Sender<Answer>,
}

pub async fn start(setup: Setup) -> Result<RunningService<String>, String> {
    let (mut store, core) = Store::open(&setup.folder, setup.most_bytes).map_err(|e| e.to_string())?;
    store.plant(setup.planted);
    let (listener, listen) = bind("archive", setup.listen).await.map_err(|e| e.to_string())?;
    let (stop, stopped) = watch::channel(false);
    let (asks, heard) = mpsc::channel(WAITING);
    let serve = puffinladder_transport::serve_connections(
        listener,
        "archive",
        setup.most_connections,
        stopped,
        move |stream, _| converse(stream, asks.clone()),
    );
    // The desk ends once nobody can ask any more.
    tokio::spawn(serve);
    setup.events.emit(&Event::Ready { listen: listen.to_string() });
    tracing::info!("archive listens on {listen}, {} files known", core.files().count());
    let desk = tokio::task::spawn_blocking(move || work(core, store, heard, setup.events));
    Ok(RunningService::new(listen, stop, desk))
}

async fn converse(stream: TcpStream, asks: mpsc::Sender<Heard>) -> Result<(), TransportError> {
    let (from, mut to) = stream.into_split();
    let mut lines = LineReader::new(from, LINE);
    while let Some(ask) = lines.read_within(SILENT).await? {
        let (back, answer) = oneshot::channel();
        if asks.send(Heard { ask, back }).await.is_err() {
            return Ok(());
        }
        let Ok(answer) = answer.await else { return Ok(()) };
        write_line(&mut to, &answer, UNREAD).await?;
    }
    Ok(())
}

fn work(
    mut core: Core,
    mut store: Store,
    mut heard: mpsc::Receiver<Heard>,
    events: EventSink,
) -> Result<(), String> {
    let mut blocks = core.files().map(|(_, taken)| taken.blocks).sum();
    while let Some(first) = heard.blocking_recv() {
        let mut batch = vec![first];
        while batch.len() < TOGETHER {
            let Ok(next) = heard.try_recv() else { break };
            batch.push(next);
        }
        let (mut writes, mut answers) = (Vec::new(), Vec::new());
        for Heard { ask, back } in batch {
            let answer = judge(&mut core, &mut writes, &mut blocks, ask);
            answers.push((back, answer));
        }
        if !writes.is_empty() {
            store.keep(&writes).map_err(|e| e.to_string())?;
        }
        for (back, (answer, event)) in answers {
            if let Some(event) = event {
                events.emit(&event);
            }
            let _ = back.send(answer);
        }
    }
    tracing::info!("ends with {} files", core.files().count());
    Ok(())
}

/// What becomes of one line; it is answered once the writes are on disk.
fn judge(
    core: &mut Core,
    writes: &mut Vec<(Write, Vec<u8>)>,
    blocks: &mut u64,
    ask: Ask,
) -> (Answer, Option<Event>) {
    match ask {
        Ask::Announce { duty, epoch, parts } => {
            let (verdict, write) = core.announce(&duty, epoch);
            if let Some(write) = write {
                core.note(&write, 0);
                tracing::info!("{duty}: epoch {epoch} begins");
                writes.push((write, Vec::new()));
            }
            let number = core.seen(&duty).number;
            let mine = |source: &Source| part_of(&duty.name, &source.server, parts) == duty.part;
            let taken = core
                .files()
                .filter(|(source, _)| mine(source))
                .map(|(source, taken)| (source.clone(), *taken));
            let taken = if verdict.is_applied() { taken.collect() } else { Vec::new() };
            let event = Event::EffectChecked { task: duty, epoch, number, chunk: None, verdict };
            (Answer::Begun { verdict, number, taken }, Some(event))
        }
        Ask::Put { duty, epoch, number, piece, block } => {
            let block = match BASE64_STANDARD.decode(block) {
                Ok(block) => block,
                Err(e) => return (Answer::Failed(format!("the block: {e}")), None),
            };
            if !block.is_empty() {
                if let Err(bad) = puffinladder_trace::file::unpack(block.clone()) {
                    return (Answer::Failed(format!("the block: {}", bad.0)), None);
                }
            }
            let (outcome, write) = core.put(&duty, epoch, number, &piece, block.len() as u64);
            if let Some(write) = write {
                core.note(&write, block.len() as u64);
                *blocks += u64::from(!block.is_empty());
                writes.push((write, block));
            }
            if let Outcome::Fence(Verdict::Stale { latest: seen }) = outcome {
                tracing::warn!(
                    "{duty}: an effect of epoch {epoch} came late and was refused, {seen} has been here"
                );
            }
            let name = format!("{}/{}#{}", piece.source.server, piece.source.file, piece.place);
            let event = match outcome {
                Outcome::Fence(verdict) => {
                    Some(Event::EffectChecked { task: duty, epoch, number, chunk: Some(name), verdict })
                }
                _ => None,
            };
            (Answer::Put(outcome), event)
        }
        Ask::Status => {
            let files = core.files().count();
            let done = core.files().filter(|(_, taken)| taken.done).count();
            (
                Answer::Status { files, done, blocks: *blocks, bytes: core.bytes(), refused: core.refused },
                None,
            )
        }
    }
}
