//! Reading side of the agent connection: connects, reads notices and dispatches them to requests.

use super::link::AgentLink;
use super::notice::{self, MalformedBody, Notice};
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::clock;
use crate::runtime::fault_log::FaultLog;
use crate::runtime::wait_queue::WaitQueue;
use crate::state::identifiers::AttemptId;
use crate::state::mailbox::Event;
use crate::wire::ring::{ReadOutcome, RingBuffer};
use may::io::WaitIo;
use may::net::TcpStream;
use puffinladder::Gauges;
use puffinladder_settings::ServerConfig;
use serde_json::Value;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Reason why the connection ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("closed by the agent")]
    Closed,
    #[error("line is not valid JSON: {0}")]
    MalformedLine(#[from] serde_json::Error),
    #[error(transparent)]
    MalformedBody(#[from] MalformedBody),
    #[error("line exceeds the limit of {limit} bytes")]
    OversizedLine { limit: usize },
    #[error("address of the agent changed to {0}")]
    AddressChanged(SocketAddr),
    #[error("agent does not read commands or did not answer the replay mark")]
    Unresponsive,
}

/// Reader that maintains the connection and dispatches notices.
pub struct AgentReader {
    /// Sending side of the connection.
    pub link: Arc<AgentLink>,
    /// Provides the requests that notices refer to.
    pub dispatcher: Arc<Dispatcher>,
    /// Provides the agent's address.
    pub addresses: Arc<PeerAddresses>,
    /// Configuration with the meters.
    pub config: Arc<ServerConfig>,
    /// Logs faults of the agent.
    pub faults: Arc<FaultLog>,
    /// Paces reconnection attempts.
    pub housekeeping: Arc<WaitQueue>,
    pub limits: Arc<Limits>,
}

impl AgentReader {
    /// Maintains the connection until the process exits.
    pub fn run(&self) {
        let mut last_notice = 0;
        let mut unreachable = false;
        loop {
            let address = self.addresses.get().agent;
            match TcpStream::connect_timeout(&address, self.limits.connect_timeout) {
                Ok(stream) => {
                    unreachable = false;
                    let _ = stream.set_nodelay(true);
                    let previous_notice = last_notice;
                    let Err(error) = self.run_link(address, &stream, &mut last_notice);
                    self.link.close();
                    tracing::warn!("agent: connection to {address} lost after notice {last_notice}: {error}");
                    // Reconnects without delay if the connection delivered notices or the address changed.
                    if last_notice > previous_notice || self.addresses.get().agent != address {
                        continue;
                    }
                }
                Err(error) if !std::mem::replace(&mut unreachable, true) => {
                    tracing::warn!("agent: cannot connect to {address}: {error}");
                }
                Err(_) => {}
            }
            self.housekeeping.wait();
        }
    }

    /// Reads notices and writes commands until the connection ends.
    fn run_link(
        &self,
        address: SocketAddr,
        stream: &TcpStream,
        last_notice: &mut u64,
    ) -> Result<Infallible, LinkError> {
        let mut input = RingBuffer::new(self.limits.min_buffer_bytes, self.limits.max_line_bytes);
        self.link.subscribe(stream.waker(), *last_notice);
        loop {
            self.read_available(&mut input, stream, last_notice)?;
            let current = self.addresses.get().agent;
            if current != address {
                return Err(LinkError::AddressChanged(current));
            }
            self.link.flush(stream.inner()).ok_or(LinkError::Unresponsive)??;
            stream.wait_io();
        }
    }

    /// Reads and handles lines until no bytes are available.
    fn read_available(
        &self,
        input: &mut RingBuffer,
        stream: &TcpStream,
        last_notice: &mut u64,
    ) -> Result<(), LinkError> {
        loop {
            match input.fill_from(stream.inner())? {
                ReadOutcome::Bytes(_) => {}
                ReadOutcome::WouldBlock => return Ok(()),
                ReadOutcome::Closed => return Err(LinkError::Closed),
            }
            while let Some(end) = input.contiguous().iter().position(|&b| b == b'\n') {
                let line = serde_json::from_slice(&input.contiguous()[..end])?;
                input.consume(end + 1);
                self.handle_line(&line, last_notice)?;
            }
            if input.is_full() {
                return Err(LinkError::OversizedLine { limit: self.limits.max_line_bytes });
            }
        }
    }

    /// Handles one line of the agent.
    fn handle_line(&self, line: &Value, last_notice: &mut u64) -> Result<(), LinkError> {
        if let Some(sequence) = notice::sequence_number(line) {
            if sequence <= *last_notice {
                return Ok(());
            }
            if sequence > *last_notice + 1 {
                tracing::warn!("agent: notices {} to {} are missing", *last_notice + 1, sequence - 1);
                self.dispatcher.mark_outcomes_uncertain(clock::now());
            }
            // Advanced before parsing: a malformed notice would otherwise be replayed on every new connection.
            *last_notice = sequence;
        }
        match Notice::parse(line)? {
            Notice::Greeting { state } => {
                tracing::info!("agent: connected, agent is {state}");
                // On the first connection there are no notices to replay.
                if self.link.mark_replay(clock::now()) {
                    self.resume_commands();
                }
            }
            Notice::ReplayEnd => self.resume_commands(),
            Notice::Gauges { tag, values } => self.receive_gauges(tag, values),
            Notice::AtCall { sequence, body } => self.send_event(line, Event::AtCall { sequence, body }),
            Notice::Ended { outcome, duration, body } => {
                self.send_event(line, Event::Ended { outcome, duration, body })
            }
            Notice::Refusal { command } => {
                let id = notice::string_field(line, "id");
                self.faults.warn(format_args!("agent: refused command {command} for request {id}"));
                if command == "launch" {
                    self.send_event(line, Event::Refused);
                }
            }
            Notice::Unknown => tracing::debug!("agent: ignoring unknown notice: {line}"),
        }
        Ok(())
    }

    /// Accepts commands if they were held back: replay is complete, and requests resend unconfirmed commands.
    fn resume_commands(&self) {
        if self.link.accept_commands() {
            self.dispatcher.resume_all();
            self.dispatcher.start();
        }
    }

    fn receive_gauges(&self, tag: &str, values: &[Value]) {
        let mut gauges = Gauges::default();
        for (value, meter) in values.iter().zip(&self.config.policy.gauges) {
            meter.record(value.as_f64().unwrap_or_default(), &mut gauges);
        }
        if let Ok(tag) = tag.parse() {
            if self.link.confirm(tag) {
                self.dispatcher.resume_all();
            }
            self.dispatcher.receive_gauges(tag, gauges);
        }
    }

    /// Sends an event to the request named by the line.
    fn send_event(&self, line: &Value, event: Event) {
        let id = notice::string_field(line, "id");
        let attempt = AttemptId::try_from(id.as_bytes()).ok();
        match attempt.and_then(|attempt| self.dispatcher.record_run_notice(&attempt)) {
            Some(mailbox) => mailbox.send(event),
            None => {
                let op = notice::string_field(line, "op");
                self.faults.warn(format_args!("agent: {op} for unknown request {id}"));
            }
        }
    }
}
