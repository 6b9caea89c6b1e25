//! The trace-store service. One thread owns index and database: it handles a batch of queued requests, commits their writes with
//! one sync, and then sends the responses. A storage failure ends the service, since the index is then ahead of the database.

use crate::index::TraceIndex;
use crate::injected_bug::InjectedBug;
use crate::protocol::{Request, Response, MAX_LINE_BYTES};
use crate::requests::RequestHandler;
use crate::store::{Store, StoreError};
use puffinladder_leases::protocol::{Event, EventSink};
use puffinladder_transport::{
    listen, write_line, LineLimits, LineReader, MemoryBudget, RunningService, SenderNames, TransportError,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};

/// Configuration of a trace store.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Listen address; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// Directory of the database.
    pub directory: PathBuf,
    /// Maximum total size of stored blocks, in bytes.
    pub max_bytes: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Receiver of the store's events.
    pub events: EventSink,
    /// Bug that fault tests inject.
    pub injected_bug: Option<InjectedBug>,
}

/// An error at the start of a trace store.
#[derive(Debug, Error)]
#[error(transparent)]
pub enum StartError {
    /// The database could not be opened.
    Store(#[from] StoreError),
    /// The listener could not be bound.
    Listen(#[from] std::io::Error),
}

/// Queued requests; connections are not read while the queue is full.
const MAX_WAITING_REQUESTS: usize = 256;
/// Maximum number of requests per sync, which bounds the wait of the first one.
const MAX_BATCH: usize = 64;
/// Tasks that one connection may announce; a worker collects for one.
const MAX_TASKS_PER_CONNECTION: usize = 64;
/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time from the first byte of a request to its last.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory of a decoded request per byte of its line: its block as text, as bytes, and as a pending write.
const DECODED_BYTES_PER_BYTE: usize = 3;
/// Memory of all connections for requests that are incomplete or not handled, bytes. Holds two requests of the maximum size.
const REQUEST_MEMORY_BYTES: usize = 2 * (DECODED_BYTES_PER_BYTE + 1) * MAX_LINE_BYTES;
/// Time limit of writing a response, after which a connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request, and the channel for its response.
struct PendingRequest {
    request: Request,
    respond_to: oneshot::Sender<Response>,
}

/// Starts a trace store, which is listening when this function returns.
pub async fn start(config: ServiceConfig) -> Result<RunningService<StoreError>, StartError> {
    let (mut store, index) = Store::open(&config.directory, config.max_bytes)?;
    store.inject_bug(config.injected_bug);
    let (stop, stopped) = watch::channel(false);
    let (requests, queue) = mpsc::channel(MAX_WAITING_REQUESTS);
    // The main task ends when the listener and all connections have dropped their senders.
    let limits = LineLimits {
        max_line_bytes: MAX_LINE_BYTES,
        line_timeout: LINE_TIMEOUT,
        decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        memory: MemoryBudget::new(REQUEST_MEMORY_BYTES),
    };
    let handle = move |stream, _| handle_connection(stream, limits.clone(), requests.clone());
    let address = listen("trace store", config.listen, config.max_connections, stopped, handle).await?;
    config.events.emit(&Event::Ready { listen: address.to_string() });
    tracing::info!("trace store listens on {address}, {} files indexed", index.files().count());
    let main_task = tokio::task::spawn_blocking(move || process_requests(index, store, queue, config.events));
    Ok(RunningService::new(address, stop, main_task))
}

async fn handle_connection(
    stream: TcpStream,
    limits: LineLimits,
    requests: mpsc::Sender<PendingRequest>,
) -> Result<(), TransportError> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = LineReader::with_limits(reader, limits);
    let mut tasks = SenderNames::new(MAX_TASKS_PER_CONNECTION);
    while let Some(request) = lines.read_within(IDLE_TIMEOUT).await? {
        if let Request::Announce { task, .. } = &request {
            tasks.admit(&task.name)?;
        }
        let (respond_to, response) = oneshot::channel();
        if requests.send(PendingRequest { request, respond_to }).await.is_err() {
            return Ok(());
        }
        let Ok(response) = response.await else { return Ok(()) };
        write_line(&mut writer, &response, WRITE_TIMEOUT).await?;
    }
    Ok(())
}

/// Processes requests until all senders are dropped or the database fails.
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
    tracing::info!("trace store stopped, {} files indexed", handler.file_count());
    Ok(())
}

/// Returns the first request and those queued behind it, up to [`MAX_BATCH`].
fn collect_batch(first: PendingRequest, queue: &mut mpsc::Receiver<PendingRequest>) -> Vec<PendingRequest> {
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH {
        let Ok(next) = queue.try_recv() else { break };
        batch.push(next);
    }
    batch
}
