//! Calls to the store, each in its own coroutine and on its own connection.
//!
//! Connections are not reused: bytes after a reply could be mistaken for the next one, and on a reused connection a
//! failure does not tell whether the call ran.

use super::http;
use super::ring::{ReadOutcome, RingBuffer};
use crate::limits::Limits;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::clock;
use crate::runtime::lock::lock;
use crate::state::identifiers::AttemptId;
use crate::state::mailbox::{Event, Mailbox};
use may::coroutine::{self, Coroutine};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use puffinladder::Outcome;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Minimum timeout for opening a connection, s.
const MIN_CONNECT_TIMEOUT: f64 = 0.001;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Client of the store.
pub struct StoreClient {
    slots: Mutex<ConnectionSlots>,
    calls: Mutex<Vec<Arc<StoreCall>>>,
    addresses: Arc<PeerAddresses>,
    limits: Arc<Limits>,
}

/// Semaphore for connections to the store, bounded by its share of descriptors.
#[derive(Default)]
struct ConnectionSlots {
    in_use: usize,
    /// Coroutines waiting for a slot, oldest first.
    waiting: VecDeque<Coroutine>,
}

/// Call in progress.
pub struct StoreCall {
    deadline: f64,
    abandoned: AtomicBool,
    finished: AtomicBool,
    /// Part of the reply was received.
    reply_started: AtomicBool,
    /// Wakes the call while it waits for a slot.
    coroutine: Mutex<Option<Coroutine>>,
    /// Wakes the call while it has a connection.
    waker: Mutex<Option<WaitIoWaker>>,
}

/// Decoded reply to a call.
struct CallReply {
    outcome: Outcome,
    body: Vec<u8>,
}

/// Reason why a call has no reply.
enum CallError {
    Abandoned,
    Ended(Outcome),
}

impl StoreClient {
    pub fn new(addresses: Arc<PeerAddresses>, limits: Arc<Limits>) -> StoreClient {
        StoreClient { slots: Mutex::default(), calls: Mutex::default(), addresses, limits }
    }

    /// Starts a call on behalf of a request. Its result is sent to `mailbox` as `Event::Returned` unless the call is
    /// abandoned. `timeout` is in seconds.
    pub fn call(
        self: &Arc<Self>,
        attempt: AttemptId,
        body: Vec<u8>,
        timeout: f64,
        mailbox: &Arc<Mailbox>,
    ) -> Arc<StoreCall> {
        let started_at = clock::now();
        let call = Arc::new(StoreCall {
            deadline: started_at + timeout,
            abandoned: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            reply_started: AtomicBool::new(false),
            coroutine: Mutex::default(),
            waker: Mutex::default(),
        });
        lock(&self.calls).push(call.clone());
        let (client, mailbox, this) = (self.clone(), mailbox.clone(), call.clone());
        may::go!(move || {
            let end = client.execute(&this, &attempt, &body, timeout);
            this.finished.store(true, Ordering::Relaxed);
            let CallReply { outcome, body } = match end {
                Ok(reply) => reply,
                Err(CallError::Ended(outcome)) => CallReply { outcome, body: Vec::new() },
                Err(CallError::Abandoned) => return,
            };
            mailbox.send(Event::Returned { outcome, duration: clock::now() - started_at, body });
        });
        call
    }

    /// Returns the number of connections to the store.
    pub fn open_connections(&self) -> usize {
        lock(&self.slots).in_use
    }

    /// Wakes calls past their deadline, calls with a partial reply that may have stalled, and waiting calls for which a
    /// slot is free because the call that was offered it has ended.
    pub fn wake_overdue(&self, now: f64) {
        let mut slots = lock(&self.slots);
        let free = self.limits.max_store_connections.saturating_sub(slots.in_use);
        let wake_count = free.min(slots.waiting.len());
        slots.waiting.drain(..wake_count).for_each(|waiting| waiting.unpark());
        drop(slots);
        let mut calls = lock(&self.calls);
        calls.retain(|call| !call.finished.load(Ordering::Relaxed));
        let due = |call: &&Arc<StoreCall>| now >= call.deadline || call.reply_started.load(Ordering::Relaxed);
        calls.iter().filter(due).for_each(|call| call.wake());
    }

    /// Executes a call: acquires a slot, connects, sends the request and reads the reply.
    fn execute(
        &self,
        call: &StoreCall,
        attempt: &AttemptId,
        body: &[u8],
        timeout: f64,
    ) -> Result<CallReply, CallError> {
        let _slot = self.acquire_slot(call)?;
        let stream = self.connect(call)?;
        let _ = stream.set_nodelay(true);
        *lock(&call.waker) = Some(stream.waker());
        // Opening the connection may outlast the call. Nothing was sent yet, so the call did not run.
        self.check_pending(call, Outcome::Unreachable)?;
        let mut out = RingBuffer::new(
            self.limits.min_buffer_bytes,
            self.limits.max_head_bytes + self.limits.max_line_bytes,
        );
        let attempt = String::from_utf8_lossy(attempt);
        let wait_ms = (timeout * MILLISECONDS_PER_SECOND).ceil();
        let headers = format!("X-For-Request: {attempt}\r\nX-Wait-Ms: {wait_ms}\r\n");
        if out.push(&http::write_request("POST /query", "store", &headers, body)).is_err() {
            return Err(CallError::Ended(Outcome::NotNeeded));
        }
        self.exchange(call, &stream, out)
    }

    /// Waits for a connection slot. The wait counts towards the call's timeout.
    fn acquire_slot<'a>(&'a self, call: &StoreCall) -> Result<SlotGuard<'a>, CallError> {
        *lock(&call.coroutine) = Some(coroutine::current());
        loop {
            {
                let mut slots = lock(&self.slots);
                if slots.in_use < self.limits.max_store_connections {
                    slots.in_use += 1;
                    return Ok(SlotGuard(self));
                }
                slots.waiting.push_back(coroutine::current());
            }
            self.check_pending(call, Outcome::Rejected)?;
            coroutine::park();
        }
    }

    /// Connects to the store. A failure proves that the call did not run.
    fn connect(&self, call: &StoreCall) -> Result<TcpStream, CallError> {
        let unreachable = CallError::Ended(Outcome::Unreachable);
        loop {
            let Some(address) = self.addresses.get().store else { return Err(unreachable) };
            // Clamped first: `Duration` cannot represent a very long timeout.
            let remaining = call.deadline - clock::now();
            let remaining = remaining.clamp(MIN_CONNECT_TIMEOUT, self.limits.connect_timeout.as_secs_f64());
            match TcpStream::connect_timeout(&address, Duration::from_secs_f64(remaining)) {
                Ok(stream) => return Ok(stream),
                // The address changed while connecting.
                Err(_) if self.addresses.get().store != Some(address) => {}
                Err(_) => return Err(unreachable),
            }
        }
    }

    /// Sends the request and reads the reply. After the first byte is sent, a lost connection does not tell whether the
    /// call ran.
    fn exchange(
        &self,
        call: &StoreCall,
        stream: &TcpStream,
        mut out: RingBuffer,
    ) -> Result<CallReply, CallError> {
        let limits = &self.limits;
        let mut input =
            RingBuffer::new(limits.min_buffer_bytes, limits.max_head_bytes + limits.max_reply_bytes);
        let mut reply_started_at = None;
        loop {
            if out.drain_to(stream.inner()).is_err() {
                return Err(CallError::Ended(Outcome::ConnectionLost));
            }
            if let Some(reply) = self.read_available(&mut input, stream)? {
                return Ok(reply);
            }
            self.check_pending(call, Outcome::TimedOut)?;
            // A partial reply that stalls counts as a lost connection.
            if !input.is_empty() {
                let now = clock::now();
                call.reply_started.store(true, Ordering::Relaxed);
                if now - *reply_started_at.get_or_insert(now) > limits.reply_stall_timeout {
                    return Err(CallError::Ended(Outcome::ConnectionLost));
                }
            }
            stream.wait_io();
        }
    }

    /// Reads until the reply is complete. Returns `None` if no more bytes are available.
    fn read_available(
        &self,
        input: &mut RingBuffer,
        stream: &TcpStream,
    ) -> Result<Option<CallReply>, CallError> {
        loop {
            match input.fill_from(stream.inner()) {
                Ok(ReadOutcome::Bytes(_)) => {}
                Ok(ReadOutcome::WouldBlock) => return Ok(None),
                Ok(ReadOutcome::Closed) | Err(_) => return Err(CallError::Ended(Outcome::ConnectionLost)),
            }
            match http::read_reply(
                input.contiguous(),
                self.limits.max_head_bytes,
                self.limits.max_reply_bytes,
            ) {
                Ok(None) => {}
                Ok(Some(reply)) => {
                    let outcome = outcome_of(reply.status, reply.not_run);
                    return Ok(Some(CallReply { outcome, body: reply.body.to_vec() }));
                }
                Err(error) => {
                    tracing::debug!("store: reply rejected: {error}");
                    return Err(CallError::Ended(Outcome::ConnectionLost));
                }
            }
        }
    }

    /// Fails if the call was abandoned, or with outcome `expired` if it is past its deadline.
    fn check_pending(&self, call: &StoreCall, expired: Outcome) -> Result<(), CallError> {
        if call.abandoned.load(Ordering::Relaxed) {
            return Err(CallError::Abandoned);
        }
        if clock::now() >= call.deadline {
            return Err(CallError::Ended(expired));
        }
        Ok(())
    }
}

impl StoreCall {
    /// Abandons the call because its run has ended. The connection is closed.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Relaxed);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = &*lock(&self.waker) {
            waker.wakeup();
        } else if let Some(coroutine) = &*lock(&self.coroutine) {
            coroutine.unpark();
        }
    }
}

/// Maps a reply to the outcome that it proves.
fn outcome_of(status: u16, not_run: bool) -> Outcome {
    match (status, not_run) {
        (200, _) => Outcome::Completed,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotNeeded,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// Connection slot, released on drop.
struct SlotGuard<'a>(&'a StoreClient);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut slots = lock(&self.0.slots);
        slots.in_use -= 1;
        if let Some(next) = slots.waiting.pop_front() {
            next.unpark();
        }
    }
}

#[cfg(test)]
mod tests;
