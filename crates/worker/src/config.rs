//! Configuration of a worker.

use puffinladder_leases::coordination;
use puffinladder_leases::protocol::EventSink;
use puffinladder_transport::Clock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Unique name of the instance.
    pub name: String,
    /// Zone of the instance.
    pub zone: String,
    /// Incarnation number, which increases with every start.
    pub incarnation: u64,
    /// Addresses of the lease-store replicas by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Task of collecting traces, if enabled.
    pub collection: Option<CollectionConfig>,
    /// Tasks that reply to servers' reports, if any is enabled.
    pub reporting: Option<ReportingConfig>,
    /// Tasks that are leased without any work: other programs query the lease store for the holder.
    pub idle_tasks: Vec<String>,
    /// Clock that lease terms are measured by.
    pub clock: Clock,
    /// Receiver of the worker's events.
    pub events: EventSink,
}

/// Configuration of the tasks that reply to servers' reports.
#[derive(Clone, Debug)]
pub struct ReportingConfig {
    /// Listen address for servers' reports.
    pub listen: SocketAddr,
    /// Settings of the coordinator that plans the replies.
    pub coordinator: coordination::CoordinatorSettings,
    /// Whether the task that divides quotas is enabled.
    pub quota: bool,
    /// Whether the task that limits concurrent drains is enabled.
    pub drain_slots: bool,
    /// Maximum number of connections of servers.
    pub max_connections: usize,
}

/// Configuration of trace collection.
#[derive(Clone, Debug)]
pub struct CollectionConfig {
    /// Directory with one subdirectory of trace files for each server.
    pub traces_directory: PathBuf,
    /// Address of the trace store.
    pub trace_store: SocketAddr,
    /// Number of parts of the task.
    pub parts: u32,
    /// Seconds between scans of the directories.
    pub scan_interval: f64,
    /// Maximum duration of a step, in seconds.
    pub max_step_duration: f64,
}
