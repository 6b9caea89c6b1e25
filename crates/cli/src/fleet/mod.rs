//! Commands of the fleet's services: the lease store, leases, workers and the trace store.

pub mod common;
pub mod lease_store;
pub mod leases;
pub mod trace_store;
pub mod worker;

use crate::terminal::{CommandError, CommandResult};
use puffinladder_leases::protocol::EventSink;
use puffinladder_trace_store::injected_bug::InjectedBug;
use puffinladder_transport::{Clock, TransportError};
use serde::{de::DeserializeOwned, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

/// Clock, event output and injected faults of a service; fault-injection tests replace the production values.
#[derive(Clone)]
pub struct ServiceEnvironment {
    pub clock: Clock,
    pub events: EventSink,
    /// Delay of each disk sync of a lease store replica, ms.
    pub sync_pause: Arc<AtomicU64>,
    /// Bug in the trace store that the checkers must detect.
    pub injected_bug: Option<InjectedBug>,
}

impl ServiceEnvironment {
    /// Returns the environment outside of tests: the system clock and no injected faults.
    pub fn production(events: bool) -> ServiceEnvironment {
        ServiceEnvironment {
            clock: Clock::system(),
            events: EventSink { enabled: events },
            sync_pause: Arc::default(),
            injected_bug: None,
        }
    }
}

/// Time limit of an operator's request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest reply, bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Reason why a request has no reply.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed before or after the request was sent.
    #[error("{0}: {1}")]
    Transport(SocketAddr, TransportError),
    /// The service closed the connection.
    #[error("{0}: connection closed without a reply")]
    Closed(SocketAddr),
}

impl RequestError {
    /// Returns whether the service may have received the request.
    pub fn may_have_been_received(&self) -> bool {
        !matches!(self, RequestError::Transport(_, TransportError::NotConnected(_)))
    }
}

/// Sends one request to a service and returns its reply.
pub async fn send_request<A: Serialize, B: DeserializeOwned>(
    at: SocketAddr,
    message: &A,
) -> Result<B, RequestError> {
    let reply = puffinladder_transport::request(at, message, REPLY_TIMEOUT, MAX_REPLY_BYTES).await;
    reply.map_err(|error| RequestError::Transport(at, error))?.ok_or(RequestError::Closed(at))
}

fn failed(message: String) -> CommandError {
    CommandError::Failed(message)
}

/// Prints a table with each column as wide as its widest cell.
fn print_table(rows: &[Vec<String>]) -> CommandResult {
    use std::io::Write;
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |at: usize| rows.iter().filter_map(|row| row.get(at)).map(|text| text.chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|at| width(at).unwrap_or(0)).collect();
    let mut out = std::io::stdout().lock();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(text, width)| format!("{text:<width$}", width = *width)).collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}
