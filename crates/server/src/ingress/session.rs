//! Session of one gateway connection, from its first message to its close.

use super::decode::RequestDecoder;
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::request::{self, context::RequestContext};
use crate::runtime::clock;
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

/// Buffer size for reads from a closing connection.
const DISCARD_BYTES: usize = 1024;

/// State shared by all sessions.
pub struct SessionContext {
    pub connections: Arc<Connections>,
    /// Answers health checks.
    pub dispatcher: Arc<Dispatcher>,
    pub decoder: RequestDecoder,
    /// State shared by all requests.
    pub requests: Arc<RequestContext>,
    /// Logs faults of gateways.
    pub faults: Arc<FaultLog>,
    pub limits: Arc<Limits>,
}

/// Protocol violation by a gateway, which closes its connection.
#[derive(Debug, Error)]
enum ProtocolViolation {
    #[error(transparent)]
    Framing(#[from] FramingError),
    #[error("invalid tag \"{0}\"; expected a decimal number from 1")]
    MalformedTag(String),
    #[error("tag {0} was already used on this connection")]
    ReusedTag(u64),
    #[error("unknown command \"{0}\"; expected CALL, CANCEL or CHECK")]
    UnknownCommand(String),
    #[error("more than {limit} requests open")]
    TooManyOpenRequests { limit: usize },
    #[error("incomplete message of {length} bytes exceeds the limit of {limit}")]
    OversizedMessage { length: usize, limit: usize },
    #[error("no message within {timeout} s")]
    NoFirstMessage { timeout: f64 },
    #[error("message incomplete after {timeout} s: {received} bytes received")]
    UnfinishedMessage { timeout: f64, received: usize },
}

/// End of a session without a protocol violation.
enum SessionEnd {
    /// The gateway closed the connection or does not read from it.
    Disconnected,
    /// The server closes the connection, with no answers pending.
    Closing,
}

/// Reason why reading paused.
enum ReadPause {
    /// No more bytes are available.
    WouldBlock,
    /// The connection has used its read quota; other coroutines run first.
    QuotaReached,
    /// The stream ended or failed.
    EndOfStream,
}

/// Connection being served. Its open requests are cancelled on drop.
pub struct Session {
    /// State shared by all sessions.
    pub(super) context: Arc<SessionContext>,
    pub(super) connection: Arc<Connection>,
    pub(super) serial: usize,
}

impl Session {
    /// Serves the connection until it closes.
    pub(super) fn serve(&self, stream: &TcpStream) {
        match self.exchange_messages(stream) {
            Ok(SessionEnd::Disconnected) => {}
            Ok(SessionEnd::Closing) => self.close(stream),
            Err(violation) => {
                self.context.faults.warn(format_args!("gateway: closing connection: {violation}"));
                self.answer_open_requests(stream);
                self.close(stream);
            }
        }
    }

    /// Exchanges messages until the connection ends.
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
            // Checked after all available bytes are read, so that a request sent before the close is served.
            if std::mem::take(&mut state.close_requested) && state.is_idle() {
                state.closed = true;
                return Ok(SessionEnd::Closing);
            }
            self.check_message_timeout(&state, &input)?;
            drop(state);
            stream.wait_io();
        }
    }

    /// Reads and handles messages until no bytes are available or the read quota is used.
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
            self.connection.state().record_read(messages, input.is_empty(), clock::now());
            if input.len() > limits.max_message_bytes {
                let (length, limit) = (input.len(), limits.max_message_bytes);
                return Err(ProtocolViolation::OversizedMessage { length, limit });
            }
            if bytes > limits.read_turn_bytes {
                return Ok(ReadPause::QuotaReached);
            }
        }
    }

    /// Fails if a message is incomplete past its timeout. Connections with open requests are exempt until answered.
    fn check_message_timeout(
        &self,
        state: &ConnectionState,
        input: &RingBuffer,
    ) -> Result<(), ProtocolViolation> {
        let timeout = self.context.limits.message_timeout;
        let timed_out = |since| clock::now() - since > timeout;
        if !state.open_requests.is_empty() || !state.message_started_at.is_some_and(timed_out) {
            return Ok(());
        }
        Err(match input.is_empty() {
            true => ProtocolViolation::NoFirstMessage { timeout },
            false => ProtocolViolation::UnfinishedMessage { timeout, received: input.len() },
        })
    }

    /// Handles one message of a gateway.
    fn handle_message(&self, array: &Array) -> Result<(), ProtocolViolation> {
        let limits = &self.context.limits;
        let tag = resp::parse_decimal(array.element(1)).filter(|&tag| tag > 0);
        let tag = tag.ok_or_else(|| ProtocolViolation::MalformedTag(resp::excerpt(array.element(1))))?;
        let mut state = self.connection.state();
        // Messages after the close are ignored: their answers could not be sent.
        if state.closed {
            return Ok(());
        }
        state.last_used = clock::now();
        match array.element(0) {
            b"CANCEL" => {
                if let Some(mailbox) = state.open_requests.remove(&tag) {
                    mailbox.send(Event::Cancelled);
                }
                return Ok(());
            }
            b"CALL" | b"CHECK" => {}
            command => return Err(ProtocolViolation::UnknownCommand(resp::excerpt(command))),
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
            let limit = limits.max_open_requests;
            return Err(ProtocolViolation::TooManyOpenRequests { limit });
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
                context.faults.warn(format_args!("gateway: tag {tag}: invalid request: {error}"));
                self.connection.answer(tag, "500", &[], &[]);
            }
        }
    }

    /// Waits until the open requests are answered or the connection ends, without reading on: what was read before a
    /// violation is still owed its answer.
    fn answer_open_requests(&self, stream: &TcpStream) {
        loop {
            let mut state = self.connection.state();
            let written = self.connection.flush(&mut state, stream);
            if state.open_requests.is_empty() || state.closed || written.is_err() {
                return;
            }
            drop(state);
            stream.wait_io();
        }
    }

    /// Removes the connection from the served ones and cancels its open requests.
    fn deregister(&self) {
        self.context.connections.remove(self.serial);
        self.connection.cancel_all();
    }

    /// Closes the connection gracefully: flushes pending output, sends FIN, then reads and discards input until a deadline.
    /// Closing a socket with unread input would send RST, which can destroy answers in transit. Gateways resend discarded
    /// requests.
    fn close(&self, stream: &TcpStream) {
        let (context, connection) = (&*self.context, &self.connection);
        self.deregister();
        context.connections.begin_closing(connection);
        let deadline = clock::now() + context.limits.closing_timeout;
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
            if clock::now() > deadline || !context.connections.is_closing(connection) {
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
