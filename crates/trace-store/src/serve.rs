//! The trace store as a process. One thread owns index and database: all requests that wait are judged one by one, written with one sync, and only then
//! answered. A disk that fails ends the process, since its index is then ahead of what is stored.

use crate::index::TraceIndex;
use crate::injected_bug::InjectedBug;
use crate::protocol::{Request, Response, MAX_LINE_BYTES};
use crate::requests::RequestHandler;
use crate::store::{Store, StoreError};
use puffinladder_leases::protocol::{Event, EventSink};
use puffinladder_transport::{listen, write_line, LineReader, RunningService, TransportError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};

/// How a trace store is set up.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Where it listens; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// The folder of its database.
    pub directory: PathBuf,
    /// Bytes that the stored blocks may take.
    pub max_bytes: u64,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Where it tells what it does.
    pub events: EventSink,
    /// For tests: a bug that the checkers must find.
    pub injected_bug: Option<InjectedBug>,
}

/// Why a trace store can't start.
#[derive(Debug, Error)]
#[error(transparent)]
pub enum StartError {
    /// Its database can't be opened.
    Store(#[from] StoreError),
    /// It can't listen.
    Listen(#[from] std::io::Error),
}

/// Requests that wait for the database; past them connections are read no further.
const MAX_WAITING_REQUESTS: usize = 256;
/// Requests that one sync covers: a bound on how long the first of them waits.
const MAX_BATCH: usize = 64;
/// A connection without a request for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// A connection that does not read a response for so long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request, and the connection that waits for its response.
struct PendingRequest {
    request: Request,
    respond_to: oneshot::Sender<Response>,
}

/// Starts a trace store; it listens when this returns.
pub async fn start(config: ServiceConfig) -> Result<RunningService<StoreError>, StartError> {
    let (mut store, index) = Store::open(&config.directory, config.max_bytes)?;
    store.inject_bug(config.injected_bug);
    let (stop, stopped) = watch::channel(false);
    let (requests, queue) = mpsc::channel(MAX_WAITING_REQUESTS);
    // The main task ends once no connection can send a request any more.
    let handle = move |stream, _| handle_connection(stream, requests.clone());
    let address = listen("trace store", config.listen, config.max_connections, stopped, handle).await?;
    config.events.emit(&Event::Ready { listen: address.to_string() });
    tracing::info!("trace store listens on {address}, {} files known", index.files().count());
    let main_task = tokio::task::spawn_blocking(move || process_requests(index, store, queue, config.events));
    Ok(RunningService::new(address, stop, main_task))
}

async fn handle_connection(
    stream: TcpStream,
    requests: mpsc::Sender<PendingRequest>,
) -> Result<(), TransportError> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = LineReader::new(reader, MAX_LINE_BYTES);
    while let Some(request) = lines.read_within(IDLE_TIMEOUT).await? {
        let (respond_to, response) = oneshot::channel();
        if requests.send(PendingRequest { request, respond_to }).await.is_err() {
            return Ok(());
        }
        let Ok(response) = response.await else { return Ok(()) };
        write_line(&mut writer, &response, WRITE_TIMEOUT).await?;
    }
    Ok(())
}

/// Answers requests until no connection can send one any more, or the database fails.
fn process_requests(
    index: TraceIndex,
    mut store: Store,
    mut queue: mpsc::Receiver<PendingRequest>,
    events: EventSink,
) -> Result<(), StoreError> {
    let mut handler = RequestHandler::new(index);
    while let Some(first) = queue.blocking_recv() {
        let mut replies = Vec::new();
        for PendingRequest { request, respond_to } in collect_batch(first, &mut queue) {
            replies.push((respond_to, handler.handle(request)));
        }
        let writes = handler.take_pending_writes();
        if !writes.is_empty() {
            store.commit(&writes)?;
        }
        for (respond_to, reply) in replies {
            if let Some(event) = reply.event {
                events.emit(&event);
            }
            let _ = respond_to.send(reply.response);
        }
    }
    tracing::info!("ends with {} files", handler.file_count());
    Ok(())
}

/// The first request, and those that wait behind it already.
fn collect_batch(first: PendingRequest, queue: &mut mpsc::Receiver<PendingRequest>) -> Vec<PendingRequest> {
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH {
        let Ok(next) = queue.try_recv() else { break };
        batch.push(next);
    }
    batch
}
