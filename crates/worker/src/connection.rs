//! The connection to a replica of the lease store: a task that connects, sends requests and reads responses. What happens on it comes to the worker as events,
//! each with the number of the connection, so that a late event of an earlier connection is told from those of the present one.

use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_transport::{connect, write_line, LineReader, TransportError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Requests that wait for a replica that does not read: few, since the next request repeats all that this one says.
const MAX_WAITING_REQUESTS: usize = 4;
/// A replica that does not read a request for so long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What happened on a connection.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// It is open.
    Connected,
    /// The replica sent a response.
    Response(ReplicaReply),
    /// It is over.
    Closed(ConnectionError),
}

/// Why a connection is over.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The replica can't be reached.
    #[error("can't be reached: {0}")]
    Connect(#[from] std::io::Error),
    /// The replica closed it.
    #[error("closed the connection")]
    ClosedByReplica,
    /// Reading or writing failed.
    #[error("{0}")]
    Transport(#[from] TransportError),
}

/// An event, and the connection that it happened on.
#[derive(Debug)]
pub struct NumberedEvent {
    /// The connection's number.
    pub connection: u64,
    /// What happened.
    pub event: ConnectionEvent,
}

/// A connection, or the attempt at one. It ends when this is dropped.
pub struct ReplicaConnection {
    /// Each connection of a worker has a higher one.
    pub number: u64,
    requests: mpsc::Sender<ReplicaRequest>,
    task: JoinHandle<()>,
}

impl ReplicaConnection {
    /// Begins to connect; all that happens goes to `events`.
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

    /// Hands over a request to be sent at once, and returns whether it was taken: too many may be waiting.
    pub fn send(&self, request: ReplicaRequest) -> bool {
        self.requests.try_send(request).is_ok()
    }
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Carries requests and responses until the connection fails, or the worker is gone.
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
