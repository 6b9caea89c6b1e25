//! The connection to a replica of the lease store: a task that connects, sends requests and reads responses. It reports events
//! with the number of the connection, so that the worker can ignore late events of an earlier connection.

use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_transport::{connect, write_line, LineReader, TransportError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Queued requests per connection; few, since each request supersedes the previous ones.
const MAX_WAITING_REQUESTS: usize = 4;
/// Time limit of writing a request.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// An event of a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// The connection was opened.
    Connected,
    /// The replica sent a response.
    Response(ReplicaReply),
    /// The connection failed or was closed.
    Closed(ConnectionError),
}

/// The reason why a connection ended.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// Connecting failed.
    #[error("connecting failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The replica closed the connection.
    #[error("closed by the replica")]
    ClosedByReplica,
    /// Reading or writing failed.
    #[error("{0}")]
    Transport(#[from] TransportError),
}

/// An event with the number of its connection.
#[derive(Debug)]
pub struct NumberedEvent {
    /// Number of the connection.
    pub connection: u64,
    /// The event.
    pub event: ConnectionEvent,
}

/// Handle of a connection or a connection attempt, which is aborted when the handle is dropped.
pub struct ReplicaConnection {
    /// Number of the connection; increases with each connection of a worker.
    pub number: u64,
    requests: mpsc::Sender<ReplicaRequest>,
    task: JoinHandle<()>,
}

impl ReplicaConnection {
    /// Spawns a task that connects to a replica and sends its events to `events`.
    pub fn open(number: u64, address: SocketAddr, events: mpsc::Sender<NumberedEvent>) -> ReplicaConnection {
        let (requests, queue) = mpsc::channel(MAX_WAITING_REQUESTS);
        let task = tokio::spawn(async move {
            if let Err(error) = run(number, address, queue, &events).await {
                let event = ConnectionEvent::Closed(error);
                let _ = events.send(NumberedEvent { connection: number, event }).await;
            }
        });
        ReplicaConnection { number, requests, task }
    }

    /// Queues a request. Returns false if the queue is full or the connection has ended.
    pub fn send(&self, request: ReplicaRequest) -> bool {
        self.requests.try_send(request).is_ok()
    }
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Transfers requests and responses until the connection fails or the worker drops its handle.
async fn run(
    number: u64,
    address: SocketAddr,
    mut requests: mpsc::Receiver<ReplicaRequest>,
    events: &mpsc::Sender<NumberedEvent>,
) -> Result<(), ConnectionError> {
    let numbered = |event| NumberedEvent { connection: number, event };
    let stream = connect(address).await?;
    if events.send(numbered(ConnectionEvent::Connected)).await.is_err() {
        return Ok(());
    }
    let (reader, mut writer) = stream.into_split();
    let mut lines = LineReader::new(reader, MAX_LINE_BYTES);
    loop {
        tokio::select! {
            read = lines.read() => {
                let response = read?.ok_or(ConnectionError::ClosedByReplica)?;
                if events.send(numbered(ConnectionEvent::Response(response))).await.is_err() {
                    return Ok(());
                }
            }
            request = requests.recv() => {
                let Some(request) = request else { return Ok(()) };
                write_line(&mut writer, &request, WRITE_TIMEOUT).await?;
            }
        }
    }
}
