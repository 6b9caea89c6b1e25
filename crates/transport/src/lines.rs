//! Messages as lines of JSON: read with a bound on their length, written with a bound on the time.

use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};

/// Why a connection is of no further use.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The other side sent a line that is longer than the bound, in bytes.
    #[error("a line of more than {0} bytes")]
    LineTooLong(usize),
    /// The other side sent a line that is not JSON, or not of the expected type.
    #[error("invalid message: {0}")]
    InvalidMessage(serde_json::Error),
    /// The other side neither sent nor read anything for too long.
    #[error("timed out")]
    TimedOut,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Reads one line after the other, none longer than a bound. A read whose future was dropped half way is resumed by the next one.
pub struct LineReader<R> {
    reader: BufReader<R>,
    max_line_bytes: usize,
    line: Vec<u8>,
    bytes_read: u64,
}

impl<R: AsyncRead + Unpin> LineReader<R> {
    /// A reader of lines of at most `max_line_bytes` each, their line feed included.
    pub fn new(reader: R, max_line_bytes: usize) -> LineReader<R> {
        LineReader { reader: BufReader::new(reader), max_line_bytes, line: Vec::new(), bytes_read: 0 }
    }

    /// Bytes of all complete lines that were read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// The next message; none once the other side has closed the connection, also in the middle of a line.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, TransportError> {
        // One byte more than may be there tells a line that is too long from one that ended early.
        let remaining = (self.max_line_bytes + 1).saturating_sub(self.line.len()) as u64;
        (&mut self.reader).take(remaining).read_until(b'\n', &mut self.line).await?;
        if self.line.last() != Some(&b'\n') {
            return if self.line.len() > self.max_line_bytes {
                Err(TransportError::LineTooLong(self.max_line_bytes))
            } else {
                Ok(None)
            };
        }
        self.bytes_read += self.line.len() as u64;
        let message = serde_json::from_slice(&self.line).map_err(TransportError::InvalidMessage);
        self.line.clear();
        message.map(Some)
    }

    /// The next message, which has to come within `timeout`.
    pub async fn read_within<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<T>, TransportError> {
        tokio::time::timeout(timeout, self.read()).await.unwrap_or(Err(TransportError::TimedOut))
    }
}

/// A message as a line, with its line feed.
pub fn encode_line<T: Serialize>(message: &T) -> std::io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(message)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// Writes a message as a line and returns its bytes; fails where the other side has not read enough of it within `timeout`.
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
