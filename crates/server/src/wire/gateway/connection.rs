//! One connection of a gateway: the requests that are open on it, and the bytes that wait to go out.

use super::refusals::Refusals;
use super::tags::UsedTags;
use crate::limits::Limits;
use crate::runtime::clock::Clock;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::lock::lock;
use crate::state::mailbox::{Event, Mailbox};
use crate::wire::resp;
use crate::wire::ring::RingBuffer;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Most digits of a tag.
const TAG_DIGITS: usize = 20;

/// What all connections share.
pub struct ConnectionContext {
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Sizes and times.
    pub limits: Arc<Limits>,
    /// Where gateways' faults are logged.
    pub faults: Arc<FaultLog>,
    /// The longest, s, that a connection which came again and again may lie unused.
    pub max_idle: f64,
    /// Bytes that wait on all connections together.
    pub total_unsent: AtomicUsize,
}

/// What a request keeps of the connection on which its answer is owed; the socket itself may be long gone.
pub struct Connection {
    state: Mutex<ConnectionState>,
    /// Its requests that the agent does not know.
    pub refusals: Refusals,
    waker: WaitIoWaker,
    context: Arc<ConnectionContext>,
}

/// The state of a connection.
pub struct ConnectionState {
    /// What waits to go out.
    pub unsent: RingBuffer,
    /// The requests that are owed an answer, by their tags.
    pub open_requests: HashMap<u64, Arc<Mailbox>>,
    /// The tags that it has used.
    pub used_tags: UsedTags,
    /// Nothing more is taken or written.
    pub closed: bool,
    /// It is to close, unless something comes on it before its coroutine has looked.
    pub close_requested: bool,
    /// When its gateway was asked to leave it, s.
    pub goaway_at: Option<f64>,
    /// When a message came or an answer went last, s.
    pub last_used: f64,
    /// When it was accepted, s.
    pub accepted_at: f64,
    /// How many messages it has brought.
    pub messages: u32,
    /// Since when a message is unfinished; the first one is from the start.
    pub message_started_at: Option<f64>,
    /// A part of a message has been read.
    pub has_partial_message: bool,
    /// It was last asked for health.
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

    /// Takes note of a read: it brought so many complete messages, and nothing else or a part of the next.
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

    /// How long, s, it may lie unused, where those may for `keepalive` that came once: one that came again and again is
    /// likely to come after a few times its by_interval interval.
    pub fn idle_timeout(&self, keepalive: f64, context: &ConnectionContext) -> f64 {
        let limits = &context.limits;
        let by_interval = match self.messages {
            0 | 1 => 0.0,
            more => limits.idle_interval_factor * (self.last_used - self.accepted_at) / f64::from(more),
        };
        let min_timeout = if self.is_health_check { limits.health_check_idle_timeout } else { 0.0 };
        keepalive.max(by_interval.min(context.max_idle)).max(min_timeout)
    }

    /// Whether it may be closed without harm: nothing on it is owed an answer, has yet to be written or is half read.
    /// Half of a first message spares nobody, or those who never end one would hold their places.
    pub fn is_idle(&self) -> bool {
        let partly_read = self.has_partial_message && self.messages > 0;
        !self.closed && self.open_requests.is_empty() && self.unsent.is_empty() && !partly_read
    }
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(context: &Arc<ConnectionContext>, stream: &TcpStream) -> Connection {
        let state = ConnectionState::new(context.clock.now(), &context.limits);
        let refusals = Refusals::default();
        Connection { state: Mutex::new(state), refusals, waker: stream.waker(), context: context.clone() }
    }

    /// The locked state.
    pub fn state(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }

    /// Has its coroutine look at it.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    /// Owes a tag its answer from now on; the mailbox hears if its gateway stops waiting.
    #[cfg(test)]
    pub fn open(&self, tag: u64, mailbox: &Arc<Mailbox>) {
        self.state().open_requests.insert(tag, mailbox.clone());
    }

    /// What waits to go out.
    #[cfg(test)]
    pub fn unsent(&self) -> Vec<u8> {
        self.state().unsent.contiguous().to_vec()
    }

    /// A new mailbox for a tag that is still owed its answer.
    pub fn renew_mailbox(&self, tag: u64) -> Option<Arc<Mailbox>> {
        let mut state = self.state();
        let mailbox = state.open_requests.get_mut(&tag)?;
        *mailbox = Arc::default();
        Some(mailbox.clone())
    }

    /// Gives the one answer that a tag is owed; none goes out where the gateway has stopped waiting.
    pub fn answer(&self, tag: u64, status: &str, fields: &[u8], body: &[u8]) {
        let mut state = self.state();
        if state.open_requests.remove(&tag).is_none() || state.closed {
            return;
        }
        let mut number = Vec::with_capacity(TAG_DIGITS);
        resp::write_decimal(&mut number, tag);
        state.last_used = self.context.clock.now();
        self.write(&mut state, &[&number, status.as_bytes(), fields, body]);
    }

    /// Asks the gateway to leave this connection.
    pub fn write_goaway(&self, state: &mut ConnectionState, now: f64) {
        state.goaway_at = Some(now);
        self.write(state, &[b"0", b"goaway"]);
    }

    /// Writes what the gateway takes now; whether that was all.
    pub fn flush(&self, state: &mut ConnectionState, stream: &TcpStream) -> io::Result<bool> {
        let before = state.unsent.len();
        let written = state.unsent.drain_to(stream.inner());
        self.context.total_unsent.fetch_sub(before - state.unsent.len(), Ordering::Relaxed);
        written
    }

    /// Queues a message. A gateway that leaves too much unread is cut off.
    pub fn write(&self, state: &mut ConnectionState, elements: &[&[u8]]) {
        let size = elements.iter().map(|element| element.len() + 12).sum::<usize>();
        let mut bytes = Vec::with_capacity(64 + size);
        resp::write_array(&mut bytes, elements);
        let limits = &self.context.limits;
        let total = self.context.total_unsent.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
        // Where too much lies unread in all, those close that leave much of it, not whoever is answered next.
        let excessive =
            total > limits.max_total_unsent_bytes && state.unsent.len() > limits.fair_unsent_bytes;
        if excessive || state.unsent.push(&bytes).is_err() {
            self.context.total_unsent.fetch_sub(bytes.len(), Ordering::Relaxed);
            state.closed = true;
            let unread = state.unsent.len();
            let message = format_args!("gateway: a connection closed, {unread} bytes lay unread there");
            self.context.faults.warn(message);
        }
        self.wake();
    }

    /// Ends all that is open: nothing more is taken or owed here.
    pub fn cancel_all(&self) {
        let mut state = self.state();
        state.closed = true;
        state.open_requests.drain().for_each(|(_, mailbox)| mailbox.send(Event::Cancelled));
    }

    /// Drops what has not gone out.
    pub fn discard_unsent(&self) {
        let mut state = self.state();
        self.context.total_unsent.fetch_sub(state.unsent.len(), Ordering::Relaxed);
        state.unsent = RingBuffer::new(1, 1);
    }
}
