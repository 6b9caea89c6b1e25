//! The reading side of the agent's link: connects, reads notices and hands them to the requests.

use super::link::AgentLink;
use super::notice::{self, MalformedBody, Notice};
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::clock::Clock;
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

/// Why the link ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("closed by the agent")]
    Closed,
    #[error("a line that is not JSON: {0}")]
    MalformedLine(#[from] serde_json::Error),
    #[error(transparent)]
    MalformedBody(#[from] MalformedBody),
    #[error("an oversized line")]
    OversizedLine,
    #[error("the agent is found elsewhere now")]
    AddressChanged,
    #[error("it reads too slowly or answers no sample")]
    Unresponsive,
}

/// Holds the link open, and what its notices concern.
pub struct AgentReader {
    /// The sending side.
    pub link: Arc<AgentLink>,
    /// Whose requests the notices are about.
    pub dispatcher: Arc<Dispatcher>,
    /// Where the agent is found.
    pub addresses: Arc<PeerAddresses>,
    /// The configuration, for its meters.
    pub config: Arc<ServerConfig>,
    /// Where notices that concern nobody are logged.
    pub faults: Arc<FaultLog>,
    /// The pace of connecting anew.
    pub housekeeping: Arc<WaitQueue>,
    /// The process's clock.
    pub clock: Arc<Clock>,
    /// Sizes and times.
    pub limits: Arc<Limits>,
}

impl AgentReader {
    /// Holds the link open for as long as the process lives.
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
                    tracing::warn!("agent: link lost behind notice {last_notice}: {error}");
                    // A link that brought something is sought again at once, and so is an agent that moved.
                    if last_notice > previous_notice || self.addresses.get().agent != address {
                        continue;
                    }
                }
                Err(error) if !std::mem::replace(&mut unreachable, true) => {
                    tracing::warn!("agent: not reached yet: {error}");
                }
                Err(_) => {}
            }
            self.housekeeping.wait();
        }
    }

    /// Reads and writes until the link ends.
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
            if self.addresses.get().agent != address {
                return Err(LinkError::AddressChanged);
            }
            self.link.flush(stream.inner()).ok_or(LinkError::Unresponsive)??;
            stream.wait_io();
        }
    }

    /// Reads until nothing more has come.
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
                return Err(LinkError::OversizedLine);
            }
        }
    }

    /// One line of the agent.
    fn handle_line(&self, line: &Value, last_notice: &mut u64) -> Result<(), LinkError> {
        if let Some(sequence) = notice::sequence_number(line) {
            if sequence <= *last_notice {
                return Ok(());
            }
            // Counted before it is read further: one that can't be read would come again on every new link.
            if sequence > *last_notice + 1 {
                tracing::warn!("agent: notices {} to {} are missing", *last_notice + 1, sequence - 1);
                self.dispatcher.note_missing_notices(self.clock.now());
            }
            *last_notice = sequence;
        }
        match Notice::parse(line)? {
            Notice::Greeting { state } => {
                tracing::info!("agent: link is up, the agent is {state}");
                // The first link has nothing old to replay.
                if self.link.mark_replay(self.clock.now()) {
                    self.resume_commands();
                }
            }
            Notice::ReplayEnd => self.resume_commands(),
            Notice::Gauges { tag, values } => self.receive_gauges(tag, values),
            Notice::AtCall { sequence, body } => self.send_event(line, Event::AtCall { sequence, body }),
            Notice::Ended { outcome, took, body } => {
                self.send_event(line, Event::Ended { outcome, took, body })
            }
            Notice::Refusal { command } => {
                let id = notice::string_field(line, "id");
                self.faults.warn(format_args!("agent: {command} refused for {id}"));
                if command == "launch" {
                    self.send_event(line, Event::Refused);
                }
            }
            Notice::Unknown => tracing::debug!("agent: ignored: {line}"),
        }
        Ok(())
    }

    /// Lets commands out, if they were kept back: all old notices are read, and requests send again what was not read.
    fn resume_commands(&self) {
        if self.link.open() {
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
            self.link.confirm(tag);
            self.dispatcher.receive_gauges(tag, gauges);
        }
    }

    /// Hands an event to the request that the line names.
    fn send_event(&self, line: &Value, event: Event) {
        let id = notice::string_field(line, "id");
        let attempt = AttemptId::try_from(id.as_bytes()).ok();
        match attempt.and_then(|attempt| self.dispatcher.hear_of(&attempt)) {
            Some(mailbox) => mailbox.send(event),
            None => {
                let op = notice::string_field(line, "op");
                self.faults.warn(format_args!("agent: {op} for a request that is not in hand: {id}"));
            }
        }
    }
}
