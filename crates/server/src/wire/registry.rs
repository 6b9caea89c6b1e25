//! Periodic health reports to the registry. Failures affect no other component.

use super::http::{self, ReplyError};
use super::ring::{ReadOutcome, RingBuffer};
use crate::dispatcher::Dispatcher;
use crate::limits::Limits;
use crate::runtime::addresses::PeerAddresses;
use crate::runtime::clock;
use crate::runtime::wait_queue::WaitQueue;
use crate::wire::agent::link::AgentLink;
use may::net::TcpStream;
use puffinladder_settings::ServerConfig;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a report failed.
#[derive(Debug, Error)]
enum ReportError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Reply(#[from] ReplyError),
    #[error("expected status 2xx, got {0}")]
    Status(u16),
}

/// Reporter of this server's health to the registry.
pub struct RegistryReporter {
    /// Provides health and drain state.
    pub dispatcher: Arc<Dispatcher>,
    /// Reports start once the agent is up.
    pub agent: Arc<AgentLink>,
    /// Provides the registry's address.
    pub addresses: Arc<PeerAddresses>,
    /// Provides the server's name.
    pub config: Arc<ServerConfig>,
    /// Paces the checks for due reports.
    pub housekeeping: Arc<WaitQueue>,
    pub limits: Arc<Limits>,
}

impl RegistryReporter {
    /// Sends reports until the process exits.
    pub fn run(&self) {
        let (mut next_report_at, mut succeeded, mut reported_to) = (0.0, true, None);
        loop {
            let now = clock::now();
            let registry = self.addresses.get().registry;
            // A registry at a new address may not know this server, so it gets a report at once.
            let due = now >= next_report_at || reported_to != Some(registry);
            if due && self.agent.is_greeted() && !self.is_withdrawing() {
                next_report_at = now + self.limits.report_interval.as_secs_f64();
                reported_to = Some(registry);
                let result = self.report(registry);
                if let Err(error) = &result {
                    if succeeded {
                        tracing::warn!("registry: failed to report to {registry}: {error}");
                    }
                }
                succeeded = result.is_ok();
            }
            self.housekeeping.wait();
        }
    }

    /// Returns whether the server withdraws by not reporting: it drains, and the endpoint list does not follow health.
    fn is_withdrawing(&self) -> bool {
        let draining = self.dispatcher.kill_time().is_some();
        draining && !self.config.policy.settings.endpoints_follow_health
    }

    /// Sends one report on a new connection, so that earlier reports and their replies cannot affect it.
    fn report(&self, registry: SocketAddr) -> Result<(), ReportError> {
        let limits = &self.limits;
        let mut stream = TcpStream::connect_timeout(&registry, limits.report_timeout)?;
        stream.set_read_timeout(Some(limits.report_timeout))?;
        stream.set_write_timeout(Some(limits.report_timeout))?;
        let deadline = clock::now() + limits.report_timeout.as_secs_f64();
        let duty = if self.dispatcher.healthy() { "on" } else { "off" };
        let body = format!("{{\"duty\":\"{duty}\"}}");
        let target = format!("PUT /roster/{}", self.config.name);
        stream.write_all(&http::write_request(&target, "roster", "", body.as_bytes()))?;
        let mut input =
            RingBuffer::new(limits.min_buffer_bytes, limits.max_head_bytes + limits.max_reply_bytes);
        while clock::now() < deadline {
            if !matches!(input.fill_from(&mut stream)?, ReadOutcome::Bytes(_)) {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            let reply = http::read_reply(input.contiguous(), limits.max_head_bytes, limits.max_reply_bytes)?;
            if let Some(reply) = reply {
                return match reply.status {
                    200..=299 => Ok(()),
                    status => Err(ReportError::Status(status)),
                };
            }
        }
        Err(io::Error::from(io::ErrorKind::TimedOut).into())
    }
}
