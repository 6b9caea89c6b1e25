//! One connection of an instance, an operator or a peer: requests go to the event loop, replies come back over a queue of their own.

use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, MAX_LINE_BYTES};
use puffinladder_transport::{write_line, LineReader, TransportError};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Replies that wait for one connection; beyond that they are dropped, and an instance asks again.
const MAX_QUEUED_REPLIES: usize = 256;
/// How long a connection may be silent: many renewals of the longest usual term.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the other side may leave data unread.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request as it came over a connection.
pub(super) struct IncomingRequest {
    pub request: ReplicaRequest,
    /// Where its reply goes.
    pub reply_to: mpsc::Sender<ReplicaReply>,
}

/// Reads requests until the other side closes, is silent for too long or sends what is not one.
pub(super) async fn handle_connection(
    stream: TcpStream,
    requests: mpsc::Sender<IncomingRequest>,
) -> Result<(), TransportError> {
    let (reader, writer) = stream.into_split();
    let (reply_to, replies) = mpsc::channel(MAX_QUEUED_REPLIES);
    let writer_task = tokio::spawn(write_replies(writer, replies));
    let result = read_requests(LineReader::new(reader, MAX_LINE_BYTES), requests, reply_to).await;
    // Replies may still be queued; whoever closed the connection gets none of them.
    writer_task.abort();
    result
}

async fn read_requests(
    mut lines: LineReader<tokio::net::tcp::OwnedReadHalf>,
    requests: mpsc::Sender<IncomingRequest>,
    reply_to: mpsc::Sender<ReplicaReply>,
) -> Result<(), TransportError> {
    while let Some(request) = lines.read_within(IDLE_TIMEOUT).await? {
        let incoming = IncomingRequest { request, reply_to: reply_to.clone() };
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
