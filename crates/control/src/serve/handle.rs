//! Handle to the task that owns the service's state.

use super::traffic::TrafficCounters;
use crate::report::LoadReport;
use crate::service::{ControlService, StreamId};
use crate::stream::{ProxyRequest, Update};
use puffinladder_transport::Reservation;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the message queue. When it is full, senders wait, which applies back-pressure to their sockets.
const QUEUE_CAPACITY: usize = 16_384;

/// Function that reads the service's state; gets the service's time in seconds.
pub(super) type Query = Box<dyn FnOnce(&ControlService, f64) + Send>;

/// Message to the service's task.
pub(super) enum Message {
    /// A server sent a report. Its memory is released when it is handled.
    Report { report: LoadReport, memory: Option<Reservation> },
    /// A proxy opened a stream.
    OpenStream { id: StreamId, node: String, zone: String, incremental: bool, updates: mpsc::Sender<Update> },
    /// A proxy sent a request. Its memory is released when it is handled.
    Request { id: StreamId, request: ProxyRequest, memory: Option<Reservation> },
    /// A stream was closed.
    CloseStream { id: StreamId },
    /// A task reads the state.
    Query(Query),
}

/// Handle to the service's state.
#[derive(Clone)]
pub struct ServiceHandle {
    messages: mpsc::Sender<Message>,
    /// Maximum number of open streams.
    pub max_proxies: usize,
    /// Counters of the service's connections.
    pub traffic: Arc<TrafficCounters>,
}

impl ServiceHandle {
    /// Creates a handle and the queue that the service's task reads.
    pub(super) fn new(max_proxies: usize) -> (ServiceHandle, mpsc::Receiver<Message>) {
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        (ServiceHandle { messages, max_proxies, traffic: Arc::default() }, queue)
    }

    /// Sends a message; waits while the queue is full. The message is dropped if the service has stopped.
    pub(super) async fn send(&self, message: Message) {
        let _ = self.messages.send(message).await;
    }

    /// Runs a query with the service's time in seconds. Returns none if the service has stopped.
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
