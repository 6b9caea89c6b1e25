//! Calls to the store, each in a coroutine and on a connection of its own.
//!
//! Connections are not used twice: what came too much behind a reply could be taken for the next one's, and a break on a
//! connection that lay unused can't be told from a call that ran.

use super::http;
use super::ring::{ReadOutcome, RingBuffer};
use crate::limits::Limits;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::clock::Clock;
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

/// The shortest time, s, for which a connection is tried.
const MIN_CONNECT_TIMEOUT: f64 = 0.001;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Makes calls to the store.
pub struct StoreClient {
    slots: Mutex<ConnectionSlots>,
    /// The calls that are out.
    calls: Mutex<Vec<Arc<StoreCall>>>,
    addresses: Arc<PeerAddresses>,
    clock: Arc<Clock>,
    limits: Arc<Limits>,
}

/// The store's share of descriptors.
#[derive(Default)]
struct ConnectionSlots {
    in_use: usize,
    /// Who waits for one, longest first.
    waiting: VecDeque<Coroutine>,
}

/// A call that is out.
pub struct StoreCall {
    deadline: f64,
    abandoned: AtomicBool,
    finished: AtomicBool,
    /// A part of the reply has come.
    reply_started: AtomicBool,
    /// How to wake it while it waits for a slot.
    coroutine: Mutex<Option<Coroutine>>,
    /// How to wake it while it has a connection.
    waker: Mutex<Option<WaitIoWaker>>,
}

/// A reply that was read.
struct CallReply {
    outcome: Outcome,
    body: Vec<u8>,
}

/// How a call without a readable reply ended.
enum CallError {
    Abandoned,
    Ended(Outcome),
}

impl StoreClient {
    /// A client without calls.
    pub fn new(addresses: Arc<PeerAddresses>, clock: Arc<Clock>, limits: Arc<Limits>) -> StoreClient {
        StoreClient { slots: Mutex::default(), calls: Mutex::default(), addresses, clock, limits }
    }

    /// Makes a call on behalf of a request, whose mailbox gets `Event::Returned` unless it abandons the call. `limit` is
    /// the longest that the call may take, s.
    pub fn call(
        self: &Arc<Self>,
        attempt: AttemptId,
        body: Vec<u8>,
        limit: f64,
        mailbox: &Arc<Mailbox>,
    ) -> Arc<StoreCall> {
        let started_at = self.clock.now();
        let call = Arc::new(StoreCall {
            deadline: started_at + limit,
            abandoned: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            reply_started: AtomicBool::new(false),
            coroutine: Mutex::default(),
            waker: Mutex::default(),
        });
        lock(&self.calls).push(call.clone());
        let (client, mailbox, this) = (self.clone(), mailbox.clone(), call.clone());
        may::go!(move || {
            let end = client.execute(&this, &attempt, &body, limit);
            this.finished.store(true, Ordering::Relaxed);
            let CallReply { outcome, body } = match end {
                Ok(reply) => reply,
                Err(CallError::Ended(outcome)) => CallReply { outcome, body: Vec::new() },
                Err(CallError::Abandoned) => return,
            };
            mailbox.send(Event::Returned { outcome, took: client.clock.now() - started_at, body });
        });
        call
    }

    /// Connections to the store.
    pub fn open_connections(&self) -> usize {
        lock(&self.slots).in_use
    }

    /// Wakes calls whose time is up, those whose reply may have stopped half way, and those for whom there is a slot that
    /// was offered to one that no longer wants it.
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

    /// Makes a call, from its slot to its reply.
    fn execute(
        &self,
        call: &StoreCall,
        attempt: &AttemptId,
        body: &[u8],
        limit: f64,
    ) -> Result<CallReply, CallError> {
        let _slot = self.take_slot(call)?;
        let stream = self.connect(call)?;
        let _ = stream.set_nodelay(true);
        *lock(&call.waker) = Some(stream.waker());
        // A slow connection may outlast the call's time, or its run: not a byte has gone, so nothing need run.
        self.check_pending(call, Outcome::Unreachable)?;
        let mut out = RingBuffer::new(
            self.limits.min_buffer_bytes,
            self.limits.max_head_bytes + self.limits.max_line_bytes,
        );
        let attempt = String::from_utf8_lossy(attempt);
        let wait_ms = (limit * MILLISECONDS_PER_SECOND).ceil();
        let headers = format!("X-For-Request: {attempt}\r\nX-Wait-Ms: {wait_ms}\r\n");
        if out.push(&http::write_request("POST /query", "store", &headers, body)).is_err() {
            return Err(CallError::Ended(Outcome::NotNeeded));
        }
        self.exchange(call, &stream, out)
    }

    /// A slot in the store's share of descriptors; waiting for one counts in the call's limit.
    fn take_slot<'a>(&'a self, call: &StoreCall) -> Result<SlotGuard<'a>, CallError> {
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

    /// A connection that never came up proves that no call ran.
    fn connect(&self, call: &StoreCall) -> Result<TcpStream, CallError> {
        let unreachable = CallError::Ended(Outcome::Unreachable);
        loop {
            let Some(address) = self.addresses.get().store else { return Err(unreachable) };
            // Bounded before it becomes a duration, which has no room for a customer's endless timeout.
            let remaining = call.deadline - self.clock.now();
            let remaining = remaining.clamp(MIN_CONNECT_TIMEOUT, self.limits.connect_timeout.as_secs_f64());
            match TcpStream::connect_timeout(&address, Duration::from_secs_f64(remaining)) {
                Ok(stream) => return Ok(stream),
                // It moved meanwhile.
                Err(_) if self.addresses.get().store != Some(address) => {}
                Err(_) => return Err(unreachable),
            }
        }
    }

    /// Sends the request and reads the reply. Once a byte may have gone, a broken connection proves nothing.
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
            // A reply that stops half way does not go on: what it lacks was never meant to come.
            if !input.is_empty() {
                let now = self.clock.now();
                call.reply_started.store(true, Ordering::Relaxed);
                if now - *reply_started_at.get_or_insert(now) > limits.reply_stall_timeout {
                    return Err(CallError::Ended(Outcome::ConnectionLost));
                }
            }
            stream.wait_io();
        }
    }

    /// Reads until the reply is complete, or nothing more has come.
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
                    tracing::debug!("store: a call broke off: {error}");
                    return Err(CallError::Ended(Outcome::ConnectionLost));
                }
            }
        }
    }

    /// Whether to go on waiting; past its deadline the call has ended as `late`.
    fn check_pending(&self, call: &StoreCall, expired: Outcome) -> Result<(), CallError> {
        if call.abandoned.load(Ordering::Relaxed) {
            return Err(CallError::Abandoned);
        }
        if self.clock.now() >= call.deadline {
            return Err(CallError::Ended(expired));
        }
        Ok(())
    }
}

impl StoreCall {
    /// The run has ended, so nobody wants the reply: the connection closes.
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

/// What a reply proves, and never more.
fn outcome_of(status: u16, not_run: bool) -> Outcome {
    match (status, not_run) {
        (200, _) => Outcome::Completed,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NotNeeded,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// A slot among the store's connections, given on when its call is over.
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
