//! Connections of the xDS listener: their number is limited, and each must begin HTTP/2 in time.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Sleep;
use tonic::transport::server::Connected;

/// Time for the connection preface of HTTP/2.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of the connection preface of HTTP/2 (RFC 9113, 3.4), bytes.
const PREFACE_BYTES: usize = 24;

/// Limit on the number of connections.
pub(super) struct ConnectionLimit(Arc<Semaphore>);

impl ConnectionLimit {
    pub(super) fn new(max_connections: usize) -> ConnectionLimit {
        ConnectionLimit(Arc::new(Semaphore::new(max_connections)))
    }

    /// Counts an accepted connection until it is dropped. Returns none at the limit: the connection is closed.
    pub(super) fn admit<S>(&self, accepted: io::Result<S>) -> Option<io::Result<CountedConnection<S>>> {
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => return Some(Err(error)),
        };
        let Ok(permit) = self.0.clone().try_acquire_owned() else {
            tracing::debug!("xds: rejected connection: limit reached");
            return None;
        };
        let preface = Some(AwaitedPreface {
            timeout: Box::pin(tokio::time::sleep(PREFACE_TIMEOUT)),
            missing_bytes: PREFACE_BYTES,
        });
        Some(Ok(CountedConnection { stream, preface, _permit: permit }))
    }
}

/// Preface that has not been received whole.
struct AwaitedPreface {
    timeout: Pin<Box<Sleep>>,
    missing_bytes: usize,
}

/// Connection that counts against the limit.
pub(super) struct CountedConnection<S> {
    stream: S,
    preface: Option<AwaitedPreface>,
    _permit: OwnedSemaphorePermit,
}

impl<S: Connected> Connected for CountedConnection<S> {
    type ConnectInfo = S::ConnectInfo;

    fn connect_info(&self) -> S::ConnectInfo {
        self.stream.connect_info()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedConnection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let Some(preface) = &mut self.preface else { return read };
        if read.is_pending() {
            return preface.timeout.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        let received = buffer.filled().len() - filled_before;
        preface.missing_bytes = preface.missing_bytes.saturating_sub(received);
        if preface.missing_bytes == 0 {
            self.preface = None;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedConnection<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
