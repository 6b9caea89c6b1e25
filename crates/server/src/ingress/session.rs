//! The conversation on one connection of a gateway, from its first message to its close.

use super::decode::RequestDecoder;
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::request::{self, context::RequestContext};
use crate::runtime::clock::Clock;
use crate::runtime::fault_log::FaultLog;
use crate::state::mailbox::{Event, Mailbox};
use crate::wire::gateway::connection::{Connection, ConnectionState};
use crate::wire::gateway::connections::Connections;
use crate::wire::resp::{self, Array, FramingError};
use crate::wire::ring::{ReadOutcome, RingBuffer};
use may::coroutine;
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::Arc;
use thiserror::Error;

/// Bytes that are read at once while a connection closes.
const DISCARD_BYTES: usize = 1024;

/// What the conversations on all connections share.
pub struct SessionContext {
    /// The connections.
    pub connections: Arc<Connections>,
    /// Answers health checks.
    pub dispatcher: Arc<Dispatcher>,
    /// Reads requests.
    pub decoder: RequestDecoder,
    /// Runs requests.
    pub requests: Arc<RequestContext>,
    /// Where gateways' faults are logged.
    pub faults: Arc<FaultLog>,
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Sizes and times.
    pub limits: Arc<Limits>,
}

/// What a gateway did that ends its connection.
#[derive(Debug, Error)]
enum ProtocolViolation {
    #[error(transparent)]
    Framing(#[from] FramingError),
    #[error("a tag that is no number from 1 up")]
    MalformedTag,
    #[error("tag {0} used again")]
    ReusedTag(u64),
    #[error("an unknown verb")]
    UnknownVerb,
    #[error("too many open txns")]
    TooManyOpenRequests,
    #[error("an oversized message")]
    OversizedMessage,
    #[error("no first message")]
    NoFirstMessage,
    #[error("an unfinished message")]
    UnfinishedMessage,
}

/// How a conversation that broke no rule ended.
enum SessionEnd {
    /// The gateway ended it, or it reads nothing: there is nobody to say anything to.
    Disconnected,
    /// It is closed from here, with nothing owed on it.
    Closing,
}

/// Why reading stopped for now.
enum ReadPause {
    /// All that has come is read.
    WouldBlock,
    /// Others have their turn.
    QuotaReached,
    /// Nothing more comes.
    EndOfStream,
}

/// A connection that is served; whatever ends it, its requests count as cancelled.
pub struct Session {
    /// What it shares with the others.
    pub(super) context: Arc<SessionContext>,
    /// The connection.
    pub(super) connection: Arc<Connection>,
    /// Its number among the connections.
    pub(super) serial: usize,
}

impl Session {
    /// Serves the connection to its end.
    pub(super) fn serve(&self, stream: &TcpStream) {
        match self.exchange_messages(stream) {
            Ok(SessionEnd::Disconnected) => {}
            Ok(SessionEnd::Closing) => self.close(stream),
            Err(violation) => {
                self.context.faults.warn(format_args!("gateway: a connection closed: {violation}"));
                self.close(stream);
            }
        }
    }

    /// Reads and writes until the connection ends.
    fn exchange_messages(&self, stream: &TcpStream) -> Result<SessionEnd, ProtocolViolation> {
        let limits = &self.context.limits;
        let mut input = RingBuffer::new(limits.min_buffer_bytes, 2 * limits.max_message_bytes);
        loop {
            let pause = self.read_messages(&mut input, stream)?;
            let mut state = self.connection.state();
            let written = self.connection.flush(&mut state, stream);
            if matches!(pause, ReadPause::EndOfStream) || state.closed || written.is_err() {
                return Ok(SessionEnd::Disconnected);
            }
            if matches!(pause, ReadPause::QuotaReached) {
                drop(state);
                coroutine::yield_now();
                continue;
            }
            // Only now that all that has come is read: a request that crossed the wish to close is served.
            if std::mem::take(&mut state.close_requested) && state.is_idle() {
                state.closed = true;
                return Ok(SessionEnd::Closing);
            }
            self.check_message_timeout(&state, &input)?;
            drop(state);
            stream.wait_io();
        }
    }

    /// Reads until nothing more has come, or others should have their turn.
    fn read_messages(
        &self,
        input: &mut RingBuffer,
        stream: &TcpStream,
    ) -> Result<ReadPause, ProtocolViolation> {
        let limits = &self.context.limits;
        let mut bytes = 0;
        loop {
            match input.fill_from(stream.inner()) {
                Ok(ReadOutcome::Bytes(count)) => bytes += count,
                Ok(ReadOutcome::WouldBlock) => return Ok(ReadPause::WouldBlock),
                Ok(ReadOutcome::Closed) | Err(_) => return Ok(ReadPause::EndOfStream),
            }
            let mut messages = 0;
            while let Some(array) = resp::read_array(input.contiguous(), limits.max_element_bytes)? {
                let size = array.size;
                self.handle_message(&array)?;
                input.consume(size);
                messages += 1;
            }
            self.connection.state().record_read(messages, input.is_empty(), self.context.clock.now());
            if input.len() > limits.max_message_bytes {
                return Err(ProtocolViolation::OversizedMessage);
            }
            if bytes > limits.read_turn_bytes {
                return Ok(ReadPause::QuotaReached);
            }
        }
    }

    /// All that has come is read: what is unfinished now has had its time. Answers that are owed go out first.
    fn check_message_timeout(
        &self,
        state: &ConnectionState,
        input: &RingBuffer,
    ) -> Result<(), ProtocolViolation> {
        let timeout = self.context.limits.message_timeout;
        let timed_out = |since| self.context.clock.now() - since > timeout;
        if !state.open_requests.is_empty() || !state.message_started_at.is_some_and(timed_out) {
            return Ok(());
        }
        Err(match input.is_empty() {
            true => ProtocolViolation::NoFirstMessage,
            false => ProtocolViolation::UnfinishedMessage,
        })
    }

    /// One message of a gateway.
    fn handle_message(&self, array: &Array) -> Result<(), ProtocolViolation> {
        let limits = &self.context.limits;
        let tag = resp::parse_decimal(array.element(1)).filter(|&tag| tag > 0);
        let tag = tag.ok_or(ProtocolViolation::MalformedTag)?;
        let mut state = self.connection.state();
        // What stands behind the message at which it was cut off is not taken: its answer could not go out.
        if state.closed {
            return Ok(());
        }
        state.last_used = self.context.clock.now();
        match array.element(0) {
            b"CANCEL" => {
                if let Some(mailbox) = state.open_requests.remove(&tag) {
                    mailbox.send(Event::Cancelled);
                }
                return Ok(());
            }
            b"CALL" | b"CHECK" => {}
            _ => return Err(ProtocolViolation::UnknownVerb),
        }
        if !state.used_tags.insert(tag, limits.max_remembered_tags) {
            return Err(ProtocolViolation::ReusedTag(tag));
        }
        state.is_health_check = array.element(0) == b"CHECK";
        if state.is_health_check {
            self.answer_health_check(&mut state, array.element(1));
            return Ok(());
        }
        if state.open_requests.len() >= limits.max_open_requests {
            return Err(ProtocolViolation::TooManyOpenRequests);
        }
        let mailbox = Arc::new(Mailbox::default());
        state.open_requests.insert(tag, mailbox.clone());
        drop(state);
        self.start_request(array, tag, mailbox);
        Ok(())
    }

    fn answer_health_check(&self, state: &mut ConnectionState, tag: &[u8]) {
        let dispatcher = &self.context.dispatcher;
        let word: &[u8] = if dispatcher.healthy() { b"serving" } else { b"not_serving" };
        let mut fields = Vec::new();
        dispatcher.write_load_signal(&mut fields);
        self.connection.write(state, &[tag, word, &fields]);
    }

    fn start_request(&self, array: &Array, tag: u64, mailbox: Arc<Mailbox>) {
        let context = &self.context;
        match context.decoder.decode(array) {
            Ok(received) => {
                request::start(&context.requests, received, mailbox, self.connection.clone(), tag);
            }
            Err(error) => {
                context.faults.warn(format_args!("gateway: tag {tag} failed unread: {error}"));
                self.connection.answer(tag, "500", &[], &[]);
            }
        }
    }

    /// Frees its place: nothing more is taken or owed here.
    fn deregister(&self) {
        self.context.connections.remove(self.serial);
        self.connection.cancel_all();
    }

    /// Ends the connection: what is written goes out, then FIN, and what still comes is read and discarded for a while.
    /// Closed over unread bytes it would be reset, and the reset overtakes answers that are on their way. What is
    /// discarded was never taken: its gateway sends it once more.
    fn close(&self, stream: &TcpStream) {
        let (context, connection) = (&*self.context, &self.connection);
        self.deregister();
        context.connections.begin_closing(connection);
        let deadline = context.clock.now() + context.limits.closing_timeout;
        let mut bytes_left = context.limits.max_closing_bytes;
        let mut shut_down = false;
        loop {
            if !shut_down {
                match connection.flush(&mut connection.state(), stream) {
                    Ok(true) => shut_down = stream.shutdown(Shutdown::Write).is_ok(),
                    Ok(false) => {}
                    Err(_) => return,
                }
            }
            let mut bytes = [0; DISCARD_BYTES];
            match stream.inner().read(&mut bytes) {
                Ok(0) => return,
                Ok(count) if count < bytes_left => {
                    bytes_left -= count;
                    continue;
                }
                Ok(_) => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            if context.clock.now() > deadline || !context.connections.is_closing(connection) {
                return;
            }
            stream.wait_io();
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.deregister();
        self.context.connections.end_closing(&self.connection);
        self.connection.discard_unsent();
    }
}
