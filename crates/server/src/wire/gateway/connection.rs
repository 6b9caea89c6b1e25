//! State of a gateway connection: its open requests and its unsent bytes.

use super::refusals::Refusals;
use super::tags::UsedTags;
use crate::limits::Limits;
use crate::runtime::clock;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::lock::lock;
use crate::runtime::request_slots::RequestSlots;
use crate::state::mailbox::{Event, Mailbox};
use crate::wire::resp;
use crate::wire::ring::RingBuffer;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Maximum number of digits in a tag.
const TAG_DIGITS: usize = 20;

/// State shared by all connections.
pub struct ConnectionContext {
    pub limits: Arc<Limits>,
    /// Logs faults of gateways.
    pub faults: Arc<FaultLog>,
    /// Maximum idle timeout of a connection that is derived from its interval between messages, s.
    pub max_idle: f64,
    /// Unsent bytes of all connections.
    pub total_unsent: AtomicUsize,
}

/// Gateway connection. Outlives its socket while requests refer to it.
pub struct Connection {
    state: Mutex<ConnectionState>,
    /// Requests of this connection that the agent refused.
    pub refusals: Refusals,
    /// Slots of its requests, those that were taken back or answered while their run goes on included.
    pub slots: RequestSlots,
    waker: WaitIoWaker,
    context: Arc<ConnectionContext>,
}

pub struct ConnectionState {
    /// Bytes not yet written to the socket.
    pub unsent: RingBuffer,
    /// Mailboxes of unanswered requests by tag.
    pub open_requests: HashMap<u64, Arc<Mailbox>>,
    pub used_tags: UsedTags,
    /// No more messages are accepted or written.
    pub closed: bool,
    /// The session should close the connection, unless a message arrives first.
    pub close_requested: bool,
    /// Time at which goaway was sent, s.
    pub goaway_at: Option<f64>,
    /// Time of the last message or answer, s.
    pub last_used: f64,
    /// Time at which the connection was accepted, s.
    pub accepted_at: f64,
    pub messages: u32,
    /// Start time of the incomplete message, s. The first message starts with the connection.
    pub message_started_at: Option<f64>,
    /// Whether part of a message was read.
    pub has_partial_message: bool,
    /// Whether the last message was a health check.
    pub is_health_check: bool,
}

impl ConnectionState {
    fn new(now: f64, limits: &Limits) -> ConnectionState {
        ConnectionState {
            unsent: RingBuffer::new(limits.min_buffer_bytes, limits.max_unsent_bytes),
            open_requests: HashMap::new(),
            used_tags: UsedTags::default(),
            closed: false,
            close_requested: false,
            goaway_at: None,
            last_used: now,
            accepted_at: now,
            messages: 0,
            message_started_at: Some(now),
            has_partial_message: false,
            is_health_check: false,
        }
    }

    /// Records a read of `complete` messages; the rest of the input is a part of the next one, or empty.
    pub fn record_read(&mut self, complete: u32, input_empty: bool, now: f64) {
        self.messages = self.messages.saturating_add(complete);
        if complete > 0 || input_empty {
            self.message_started_at = None;
        }
        if !input_empty {
            self.message_started_at.get_or_insert(now);
        }
        self.has_partial_message = !input_empty;
    }

    /// Returns the idle timeout, s: `keepalive`, or longer for a connection with several messages, in proportion to their
    /// mean interval.
    pub fn idle_timeout(&self, keepalive: f64, context: &ConnectionContext) -> f64 {
        let limits = &context.limits;
        let by_interval = match self.messages {
            0 | 1 => 0.0,
            more => limits.idle_interval_factor * (self.last_used - self.accepted_at) / f64::from(more),
        };
        let min_timeout = if self.is_health_check { limits.health_check_idle_timeout } else { 0.0 };
        keepalive.max(by_interval.min(context.max_idle)).max(min_timeout)
    }

    /// Returns whether the connection can be closed without losing requests or answers. A partial first message does not
    /// keep the connection open, since clients that never complete one could occupy all connections.
    pub fn is_idle(&self) -> bool {
        let partly_read = self.has_partial_message && self.messages > 0;
        !self.closed && self.open_requests.is_empty() && self.unsent.is_empty() && !partly_read
    }
}

impl Connection {
    /// Creates the state of a newly accepted connection.
    pub fn new(context: &Arc<ConnectionContext>, stream: &TcpStream) -> Connection {
        let state = ConnectionState::new(clock::now(), &context.limits);
        let refusals = Refusals::default();
        let slots = RequestSlots::new(context.limits.max_connection_requests);
        Connection {
            state: Mutex::new(state),
            refusals,
            slots,
            waker: stream.waker(),
            context: context.clone(),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }

    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Registers a request under a tag.
    #[cfg(test)]
    pub fn open(&self, tag: u64, mailbox: &Arc<Mailbox>) {
        self.state().open_requests.insert(tag, mailbox.clone());
    }

    /// Returns the bytes not yet written.
    #[cfg(test)]
    pub fn unsent(&self) -> Vec<u8> {
        self.state().unsent.contiguous().to_vec()
    }

    /// Replaces the mailbox of an unanswered request. Returns `None` if the request is no longer open.
    pub fn renew_mailbox(&self, tag: u64) -> Option<Arc<Mailbox>> {
        let mut state = self.state();
        let mailbox = state.open_requests.get_mut(&tag)?;
        *mailbox = Arc::default();
        Some(mailbox.clone())
    }

    /// Answers the request with this tag, unless it was answered or cancelled before.
    pub fn answer(&self, tag: u64, status: &str, fields: &[u8], body: &[u8]) {
        let mut state = self.state();
        if state.open_requests.remove(&tag).is_none() || state.closed {
            return;
        }
        let mut number = Vec::with_capacity(TAG_DIGITS);
        resp::write_decimal(&mut number, tag);
        state.last_used = clock::now();
        self.write(&mut state, &[&number, status.as_bytes(), fields, body]);
    }

    /// Sends goaway, which asks the gateway to close the connection.
    pub fn write_goaway(&self, state: &mut ConnectionState, now: f64) {
        state.goaway_at = Some(now);
        self.write(state, &[b"0", b"goaway"]);
    }

    /// Writes unsent bytes until the socket would block. Returns whether all were written.
    pub fn flush(&self, state: &mut ConnectionState, stream: &TcpStream) -> io::Result<bool> {
        let before = state.unsent.len();
        let written = state.unsent.drain_to(stream.inner());
        self.context.total_unsent.fetch_sub(before - state.unsent.len(), Ordering::Relaxed);
        written
    }

    /// Queues a message. Closes the connection if the gateway reads too slowly.
    pub fn write(&self, state: &mut ConnectionState, elements: &[&[u8]]) {
        let size = elements.iter().map(|element| element.len() + 12).sum::<usize>();
        let mut bytes = Vec::with_capacity(64 + size);
        resp::write_array(&mut bytes, elements);
        let limits = &self.context.limits;
        let total = self.context.total_unsent.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
        // Over the total limit, only connections that exceed their fair share are closed.
        let excessive =
            total > limits.max_total_unsent_bytes && state.unsent.len() > limits.fair_unsent_bytes;
        if excessive || state.unsent.push(&bytes).is_err() {
            self.context.total_unsent.fetch_sub(bytes.len(), Ordering::Relaxed);
            state.closed = true;
            let unsent = state.unsent.len();
            let message = format_args!(
                "gateway: closing connection: {unsent} bytes unsent and {total} on all connections, limits {} and {}",
                limits.max_unsent_bytes, limits.max_total_unsent_bytes
            );
            self.context.faults.warn(message);
        }
        self.wake();
    }

    /// Marks the connection closed and cancels its open requests.
    pub fn cancel_all(&self) {
        let mut state = self.state();
        state.closed = true;
        state.open_requests.drain().for_each(|(_, mailbox)| mailbox.send(Event::Cancelled));
    }

    /// Discards unsent bytes.
    pub fn discard_unsent(&self) {
        let mut state = self.state();
        self.context.total_unsent.fetch_sub(state.unsent.len(), Ordering::Relaxed);
        state.unsent = RingBuffer::new(1, 1);
    }
}
