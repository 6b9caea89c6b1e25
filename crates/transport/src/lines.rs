//! Messages as lines of JSON: reads limit the length of a line, the time that it takes and the memory of all lines together;
//! writes have a timeout.

use crate::memory::{MemoryBudget, MemoryReclaimed, MessageMemory, Reservation, SMALL_MESSAGE_BYTES};
use serde::{de::DeserializeOwned, Serialize};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::time::Instant;

/// Growth of the buffer of a line. The freed smaller buffers add up to a third of the last one.
const GROWTH_FACTOR: usize = 4;

/// An error after which a connection must be closed.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The peer sent a line longer than this limit, in bytes.
    #[error("received a line longer than {0} bytes")]
    LineTooLong(usize),
    /// The peer did not send the rest of a line in time.
    #[error("line incomplete {0:?} after its first byte")]
    LineTooSlow(Duration),
    /// The memory for incomplete lines is used up, and this peer is the slowest.
    #[error(transparent)]
    MemoryReclaimed(#[from] MemoryReclaimed),
    /// The peer sent messages under more names than this.
    #[error("more than {0} names on one connection")]
    TooManyNames(usize),
    /// The peer sent a line that is not JSON or not of the expected type.
    #[error("invalid message: {0}")]
    InvalidMessage(serde_json::Error),
    /// The peer did not send or read a message within the timeout.
    #[error("timed out")]
    TimedOut,
    /// The connection could not be opened, so nothing was sent.
    #[error("{0}")]
    NotConnected(std::io::Error),
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Limits of the lines of one listener.
#[derive(Clone, Debug)]
pub struct LineLimits {
    /// Maximum length of a line, including the line feed, bytes.
    pub max_line_bytes: usize,
    /// Time from the first byte of a line to its last.
    pub line_timeout: Duration,
    /// Memory of a decoded message per byte of its line.
    pub decoded_bytes_per_byte: usize,
    /// Memory of all connections for lines that are incomplete or not handled.
    pub memory: MemoryBudget,
}

/// Reader of lines of limited length. Reads are cancel-safe: the next one resumes where a dropped future stopped.
pub struct LineReader<R> {
    reader: BufReader<R>,
    limits: LineLimits,
    line: Vec<u8>,
    /// Memory and deadline of the line that is being received.
    incoming: Option<IncomingLine>,
    /// Memory of the last message, until it is taken or the next line begins.
    last_message: Option<Reservation>,
    bytes_read: u64,
}

struct IncomingLine {
    deadline: Option<Instant>,
    memory: MessageMemory,
}

impl IncomingLine {
    /// Waits for `action`, but no longer than the line may take or its memory is granted.
    async fn limit<T>(
        &self,
        line_timeout: Duration,
        action: impl Future<Output = std::io::Result<T>>,
    ) -> Result<T, TransportError> {
        let deadline = self.deadline;
        let timed_out = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = action => Ok(done?),
            reclaimed = self.memory.reclaimed() => Err(reclaimed.into()),
            () = timed_out => Err(TransportError::LineTooSlow(line_timeout)),
        }
    }
}

impl<R: AsyncRead + Unpin> LineReader<R> {
    /// Creates a reader for a connection that this process has opened: lines of at most `max_line_bytes` each, including the
    /// line feed, in the time that [`LineReader::read_within`] gives them.
    pub fn new(reader: R, max_line_bytes: usize) -> LineReader<R> {
        let memory = MemoryBudget::new(usize::MAX);
        let limits =
            LineLimits { max_line_bytes, line_timeout: Duration::MAX, decoded_bytes_per_byte: 0, memory };
        LineReader::with_limits(reader, limits)
    }

    /// Creates a reader for an accepted connection.
    pub fn with_limits(reader: R, limits: LineLimits) -> LineReader<R> {
        LineReader {
            reader: BufReader::new(reader),
            limits,
            line: Vec::new(),
            incoming: None,
            last_message: None,
            bytes_read: 0,
        }
    }

    /// Returns the number of bytes of all complete lines read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Returns the memory of the message that was read last, to be held until it is handled. Otherwise it is released with the
    /// next read.
    pub fn take_reservation(&mut self) -> Option<Reservation> {
        self.last_message.take()
    }

    /// Reads the next message. Returns `None` if the peer closed the connection, even in the middle of a line.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, TransportError> {
        self.last_message = None;
        if !self.receive_line().await? {
            return Ok(None);
        }
        let Some(incoming) = self.incoming.as_mut() else { return Ok(None) };
        let decoded = self.line.len().saturating_mul(self.limits.decoded_bytes_per_byte);
        incoming.memory.grow_to(self.line.len() + decoded).await?;
        self.bytes_read += self.line.len() as u64;
        let message = serde_json::from_slice(&self.line).map_err(TransportError::InvalidMessage);
        self.last_message = self.incoming.take().map(|incoming| incoming.memory.complete());
        self.line.clear();
        self.line.shrink_to(SMALL_MESSAGE_BYTES);
        message.map(Some)
    }

    /// Receives the rest of the line. Returns whether it is complete; if not, the peer has closed the connection.
    async fn receive_line(&mut self) -> Result<bool, TransportError> {
        while self.line.last() != Some(&b'\n') {
            let available = match &self.incoming {
                None => self.reader.fill_buf().await?,
                Some(line) => line.limit(self.limits.line_timeout, self.reader.fill_buf()).await?,
            };
            if available.is_empty() {
                return Ok(false);
            }
            let end = available.iter().position(|&byte| byte == b'\n');
            let count = end.map_or(available.len(), |end| end + 1);
            let length = self.line.len() + count;
            if length > self.limits.max_line_bytes {
                return Err(TransportError::LineTooLong(self.limits.max_line_bytes));
            }
            let LineLimits { line_timeout, memory, .. } = &self.limits;
            let incoming = self.incoming.get_or_insert_with(|| IncomingLine {
                deadline: Instant::now().checked_add(*line_timeout),
                memory: memory.begin_message(),
            });
            if length > self.line.capacity() {
                let capacity = grown_capacity(length, self.limits.max_line_bytes);
                incoming.memory.grow_to(capacity).await?;
                self.line.reserve_exact(capacity - self.line.len());
            }
            self.line.extend_from_slice(&self.reader.buffer()[..count]);
            self.reader.consume(count);
            incoming.memory.record_received(length);
        }
        Ok(true)
    }

    /// Reads the next message as [`LineReader::read`] does, within `timeout`.
    pub async fn read_within<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<T>, TransportError> {
        tokio::time::timeout(timeout, self.read()).await.unwrap_or(Err(TransportError::TimedOut))
    }
}

/// Returns the capacity of a buffer that must hold `length` bytes of a line.
fn grown_capacity(length: usize, max_line_bytes: usize) -> usize {
    let mut capacity = SMALL_MESSAGE_BYTES;
    while capacity < length {
        capacity *= GROWTH_FACTOR;
    }
    capacity.min(max_line_bytes).max(length)
}

/// Encodes a message as a line, including the line feed.
pub fn encode_line<T: Serialize>(message: &T) -> std::io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(message)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// Writes a message as a line within `timeout` and returns its length in bytes.
pub async fn write_line<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &T,
    timeout: Duration,
) -> Result<u64, TransportError> {
    let bytes = encode_line(message)?;
    let written = tokio::time::timeout(timeout, writer.write_all(&bytes)).await;
    written.map_err(|_| TransportError::TimedOut)??;
    Ok(bytes.len() as u64)
}

#[cfg(test)]
mod tests;
