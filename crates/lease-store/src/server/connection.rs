//! Connection of an instance, an operator or a peer. Requests go to the event loop; replies return through a queue
//! per connection.

use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_transport::{
    write_line, LineLimits, LineReader, MemoryBudget, Reservation, SenderNames, TransportError,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// Maximum number of queued replies per connection. Further replies are dropped, and instances retry.
const MAX_QUEUED_REPLIES: usize = 256;
/// Requests of one connection that were read and not handled. It is read no further meanwhile.
const MAX_UNHANDLED_REQUESTS: usize = 64;
/// Instances that one connection may speak for; a worker's speaks for one.
const MAX_INSTANCES: usize = 64;
/// Time without a request after which a connection is closed; well above the renewal interval.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first byte of a request to its last; peers in other regions send snapshots.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory of a decoded request per byte of its line; lists of short names take the most.
const DECODED_BYTES_PER_BYTE: usize = 10;
/// Memory of all connections for requests that are incomplete or not handled, bytes. Holds one request of the maximum size.
const REQUEST_MEMORY_BYTES: usize = (DECODED_BYTES_PER_BYTE + 1) * MAX_LINE_BYTES;
/// Maximum duration of a write to a connection.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Request received on a connection.
pub(super) struct IncomingRequest {
    pub request: ReplicaRequest,
    /// Queue for its reply.
    pub reply_to: mpsc::Sender<ReplicaReply>,
    /// Memory of the request, released when it is handled.
    pub memory: Option<Reservation>,
    /// Place among the unhandled requests of its connection.
    pub place: OwnedSemaphorePermit,
}

/// Returns the limits of requests, with the memory that all connections share.
pub(super) fn request_limits() -> LineLimits {
    LineLimits {
        max_line_bytes: MAX_LINE_BYTES,
        line_timeout: LINE_TIMEOUT,
        decoded_bytes_per_byte: DECODED_BYTES_PER_BYTE,
        memory: MemoryBudget::new(REQUEST_MEMORY_BYTES),
    }
}

/// Reads requests until the connection is closed, idle for too long, or receives an invalid line.
pub(super) async fn handle_connection(
    stream: TcpStream,
    limits: LineLimits,
    requests: mpsc::Sender<IncomingRequest>,
) -> Result<(), TransportError> {
    let (reader, writer) = stream.into_split();
    let (reply_to, replies) = mpsc::channel(MAX_QUEUED_REPLIES);
    let writer_task = tokio::spawn(write_replies(writer, replies));
    let result = read_requests(LineReader::with_limits(reader, limits), requests, reply_to).await;
    // Queued replies are discarded, as the connection is closed.
    writer_task.abort();
    result
}

async fn read_requests(
    mut lines: LineReader<tokio::net::tcp::OwnedReadHalf>,
    requests: mpsc::Sender<IncomingRequest>,
    reply_to: mpsc::Sender<ReplicaReply>,
) -> Result<(), TransportError> {
    let places = Arc::new(Semaphore::new(MAX_UNHANDLED_REQUESTS));
    let mut instances = SenderNames::new(MAX_INSTANCES);
    while let Some(request) = lines.read_within(IDLE_TIMEOUT).await? {
        if let ReplicaRequest::Renew(request) = &request {
            instances.admit(&request.holder.instance)?;
        }
        let memory = lines.take_reservation();
        let Ok(place) = places.clone().acquire_owned().await else { break };
        let incoming = IncomingRequest { request, reply_to: reply_to.clone(), memory, place };
        if requests.send(incoming).await.is_err() {
            break;
        }
    }
    Ok(())
}

async fn write_replies(mut writer: OwnedWriteHalf, mut replies: mpsc::Receiver<ReplicaReply>) {
    while let Some(reply) = replies.recv().await {
        if write_line(&mut writer, &reply, WRITE_TIMEOUT).await.is_err() {
            return;
        }
    }
}
