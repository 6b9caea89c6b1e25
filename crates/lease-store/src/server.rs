//! A replica as a process on sockets. One task, the event loop, owns the [`Replica`]. A thread makes all writes that wait durable with one sync.
//! Each peer has a task that sends to it and drops what it can't send; each connection has one that reads, and one that writes. Only
//! connections wait for the others: they read no further while too many requests are unhandled.

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
use connection::handle_connection;
use event_loop::EventLoop;
use puffinladder_leases::protocol::{Event, EventSink};
use puffinladder_transport::{listen, Clock, RunningService};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Requests that were read from connections and not yet handled: enough for one from each instance of a large fleet.
const MAX_UNHANDLED_REQUESTS: usize = 4096;

/// Settings of the process.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Settings that all replicas share.
    pub replica: ReplicaConfig,
    /// Where it listens; port 0 lets the system choose one.
    pub listen: SocketAddr,
    /// Addresses of the other replicas by number. Members that are not named here are reached where the log says.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// s between ticks.
    pub tick_interval: f64,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// The clock that leases are timed by.
    pub clock: Clock,
    /// Where events of its history go.
    pub events: EventSink,
    /// ms that each sync is delayed: for tests.
    pub sync_delay: Arc<AtomicU64>,
}

/// Starts a replica from its disk; it listens when this returns.
///
/// # Errors
/// The durable state can't be used, or the address can't be listened on.
pub async fn start(
    options: ServerOptions,
    store: Store,
    durable: &DurableState,
) -> Result<RunningService<ServerError>, ServerError> {
    let number = store.id();
    let replica = Replica::new(number, options.replica.clone(), durable)?;
    let (stop, stopped) = watch::channel(false);
    let (requests, unhandled) = mpsc::channel(MAX_UNHANDLED_REQUESTS);
    let handle = move |stream, _| handle_connection(stream, requests.clone());
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
