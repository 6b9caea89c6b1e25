//! The way to the task that owns the service's state.

use super::traffic::TrafficCounters;
use crate::report::LoadReport;
use crate::service::{ControlService, StreamId};
use crate::stream::{ProxyRequest, Update};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for the service's task: beyond them whoever sends waits, which is back-pressure on their sockets.
const QUEUE_CAPACITY: usize = 16_384;

/// A question about the service's state, asked with the time.
pub(super) type Query = Box<dyn FnOnce(&ControlService, f64) + Send>;

/// What the service's task is sent.
pub(super) enum Message {
    /// A server reported.
    Report(LoadReport),
    /// A proxy opened a stream.
    OpenStream { id: StreamId, node: String, zone: String, incremental: bool, updates: mpsc::Sender<Update> },
    /// A proxy sent a request.
    Request { id: StreamId, request: ProxyRequest },
    /// A stream ended.
    CloseStream { id: StreamId },
    /// Somebody wants to know something.
    Query(Query),
}

/// The way to the service's state.
#[derive(Clone)]
pub struct ServiceHandle {
    messages: mpsc::Sender<Message>,
    /// Streams that may be open at once.
    pub max_proxies: usize,
    /// What goes over the service's connections.
    pub traffic: Arc<TrafficCounters>,
}

impl ServiceHandle {
    /// A handle, and the queue that the service's task reads.
    pub(super) fn new(max_proxies: usize) -> (ServiceHandle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        (ServiceHandle { messages, max_proxies, traffic: Arc::default() }, queue)
    }

    /// Sends a message; waits while the queue is full. Nothing happens once the service has ended.
    pub(super) async fn send(&self, message: Message) {
        let _ = self.messages.send(message).await;
    }

    /// What a query finds, asked with the service's time in seconds; none once the service has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&ControlService, f64) -> T + Send + 'static,
    ) -> Option<T> {
        let (result_sender, result) = oneshot::channel();
        let run_query =
            move |service: &ControlService, now: f64| drop(result_sender.send(query(service, now)));
        self.send(Message::Query(Box::new(run_query))).await;
        result.await.ok()
    }
}
