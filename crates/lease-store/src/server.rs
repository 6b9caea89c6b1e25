//! Replica process on sockets.
//!
//! The event loop owns the [`Replica`]. A disk thread makes all queued writes durable with one sync. Each peer has a
//! task that sends messages and drops those it can't send. Each connection has a task that reads requests and one that
//! writes replies; reading pauses while too many requests are unhandled.

mod connection;
mod counters;
mod disk;
mod error;
mod event_loop;
mod peers;
mod pending_replies;

pub use error::ServerError;

use crate::durable::DurableState;
use crate::replica::{Replica, ReplicaConfig};
use crate::store::Store;
use connection::{handle_connection, request_limits};
use event_loop::EventLoop;
use puffinladder_leases::protocol::{Event, EventSink};
use puffinladder_transport::{listen, Clock, RunningService};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Maximum number of requests that were read and not yet handled: one for each instance of a large fleet.
const MAX_UNHANDLED_REQUESTS: usize = 4096;

/// Options of the replica process.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Configuration shared by all replicas.
    pub replica: ReplicaConfig,
    /// Listen address; port 0 lets the system choose a port.
    pub listen: SocketAddr,
    /// Addresses of the other replicas by number. They take precedence over the addresses in the log.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Interval between ticks (s).
    pub tick_interval: f64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Clock for lease times.
    pub clock: Clock,
    /// Destination of events.
    pub events: EventSink,
    /// Delay of each sync (ms), for tests.
    pub sync_delay: Arc<AtomicU64>,
}

/// Starts a replica from its durable state. It is listening when this function returns.
///
/// # Errors
/// Returns an error if the durable state can't be used or the listen address can't be bound.
pub async fn start(
    options: ServerOptions,
    store: Store,
    durable: &DurableState,
) -> Result<RunningService<ServerError>, ServerError> {
    let number = store.id();
    let replica = Replica::new(number, options.replica.clone(), durable)?;
    let (stop, stopped) = watch::channel(false);
    let (requests, unhandled) = mpsc::channel(MAX_UNHANDLED_REQUESTS);
    let limits = request_limits();
    let handle = move |stream, _| handle_connection(stream, limits.clone(), requests.clone());
    let max_connections = options.max_connections;
    let address = listen("lease-store replica", options.listen, max_connections, stopped.clone(), handle)
        .await
        .map_err(ServerError::Listen)?;
    options.events.emit(&Event::Ready { listen: address.to_string() });
    tracing::info!("lease-store replica {number} listens on {address}");
    let event_loop = EventLoop::new(options, replica, stopped.clone());
    let main_task = tokio::spawn(event_loop.run(store, unhandled, stopped));
    Ok(RunningService::new(address, stop, main_task))
}
