//! The connection to the trace store, with one request at a time.

use crate::transfer_error::TransferError;
use puffinladder_trace_store::protocol::{Request, Response};
use puffinladder_transport::{connect, write_line, LineReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Longest response, in bytes: sufficient for the progress of a million files.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Time limit of writing a request. Steps usually have a shorter one.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) struct StoreConnection {
    lines: LineReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl StoreConnection {
    pub async fn open(address: SocketAddr) -> Result<StoreConnection, TransferError> {
        let stream = connect(address).await.map_err(|source| TransferError::Connect { address, source })?;
        let (reader, writer) = stream.into_split();
        Ok(StoreConnection { lines: LineReader::new(reader, MAX_RESPONSE_BYTES), writer })
    }

    /// Sends a request and waits for its response without a timeout.
    pub async fn request(&mut self, request: &Request) -> Result<Response, TransferError> {
        write_line(&mut self.writer, request, WRITE_TIMEOUT).await?;
        self.lines.read().await?.ok_or(TransferError::ClosedByStore)
    }
}
