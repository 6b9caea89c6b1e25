//! Memory and time of the requests that proxies send: all streams together have one budget, and a request has a time from
//! its first byte to its last.

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use puffinladder_transport::memory::MessageMemory;
use puffinladder_transport::{MemoryBudget, Reservation};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use tonic::body::Body;
use tonic::Status;

/// Limits of the requests on all streams.
#[derive(Clone, Debug)]
pub(super) struct RequestLimits {
    /// Time from the first byte of a request to its last.
    pub timeout: Duration,
    /// Memory of a decoded request per encoded byte.
    pub decoded_bytes_per_byte: usize,
    /// Memory of all streams for requests that are incomplete or not handled.
    pub memory: MemoryBudget,
}

/// Memory of the request that a stream receives. Shared by the stream's body and its task.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestMemory(Arc<Mutex<Option<IncomingRequest>>>);

#[derive(Debug)]
struct IncomingRequest {
    deadline: Instant,
    received: usize,
    memory: MessageMemory,
}

impl RequestMemory {
    /// Returns the memory of a request that has been decoded, to be held until it is handled.
    pub(super) fn complete(&self) -> Option<Reservation> {
        self.take().map(|incoming| incoming.memory.complete())
    }

    fn take(&self) -> Option<IncomingRequest> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn put(&self, incoming: IncomingRequest) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(incoming);
    }
}

impl RequestLimits {
    /// Limits the body of a stream. The stream's task finds its [`RequestMemory`] among the request's extensions.
    pub(super) fn apply(&self, request: http::Request<Body>) -> http::Request<Body> {
        let memory = RequestMemory::default();
        let (mut parts, body) = request.into_parts();
        parts.extensions.insert(memory.clone());
        let frames = self.clone().limited_frames(body, memory);
        http::Request::from_parts(parts, Body::new(StreamBody::new(frames)))
    }

    fn limited_frames(
        self,
        body: Body,
        memory: RequestMemory,
    ) -> impl Stream<Item = Result<Frame<Bytes>, Status>> {
        let state = LimitedBody { limits: self, body, memory };
        stream::try_unfold(state, |mut state| async move {
            let frame = state.next_frame().await?;
            Ok(frame.map(|frame| (frame, state)))
        })
    }
}

struct LimitedBody {
    limits: RequestLimits,
    body: Body,
    memory: RequestMemory,
}

impl LimitedBody {
    /// Returns the next frame once there is memory for it.
    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, Status> {
        let incoming = self.memory.take();
        let frame = match &incoming {
            None => self.body.frame().await,
            Some(incoming) => tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                reclaimed = incoming.memory.reclaimed() => {
                    return Err(Status::resource_exhausted(reclaimed.to_string()));
                }
                () = tokio::time::sleep_until(incoming.deadline) => {
                    let message = format!("request incomplete {:?} after its first byte", self.limits.timeout);
                    return Err(Status::deadline_exceeded(message));
                }
            },
        };
        let Some(frame) = frame.transpose()? else { return Ok(None) };
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length == 0 && incoming.is_none() {
            return Ok(Some(frame));
        }
        let mut incoming = incoming.unwrap_or_else(|| IncomingRequest {
            deadline: Instant::now() + self.limits.timeout,
            received: 0,
            memory: self.limits.memory.begin_message(),
        });
        incoming.received += length;
        let wanted = incoming.received.saturating_mul(self.limits.decoded_bytes_per_byte + 1);
        let granted = incoming.memory.grow_to(wanted).await;
        granted.map_err(|reclaimed| Status::resource_exhausted(reclaimed.to_string()))?;
        incoming.memory.record_received(incoming.received);
        self.memory.put(incoming);
        Ok(Some(frame))
    }
}

#[cfg(test)]
mod tests;
