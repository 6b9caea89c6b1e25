//! How a worker is set up.

use puffinladder_leases::coordination;
use puffinladder_leases::protocol::EventSink;
use puffinladder_transport::Clock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How a worker is set up.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// The instance's name, which no other has.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Rises with every start.
    pub incarnation: u64,
    /// The replicas of the lease store by their numbers.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// The task to collect traces, if it may hold it.
    pub collection: Option<CollectionConfig>,
    /// The tasks that answer servers' reports, if it may hold any.
    pub reporting: Option<ReportingConfig>,
    /// Further tasks that it holds without doing anything: whoever asks the lease store learns who holds them.
    pub idle_tasks: Vec<String>,
    /// The clock that terms are measured by.
    pub clock: Clock,
    /// Where it tells what it does.
    pub events: EventSink,
}

/// How the tasks that answer servers' reports are set up.
#[derive(Clone, Debug)]
pub struct ReportingConfig {
    /// Where servers report.
    pub listen: SocketAddr,
    /// What the answers are made by.
    pub coordinator: coordination::CoordinatorSettings,
    /// Whether the worker may hold the task that divides quotas.
    pub quota: bool,
    /// Whether the worker may hold the task that lets servers drain.
    pub drain_slots: bool,
    /// Servers that may report at once.
    pub max_connections: usize,
}

/// How traces are collected.
#[derive(Clone, Debug)]
pub struct CollectionConfig {
    /// The folder that holds a folder of trace files for each server.
    pub traces_directory: PathBuf,
    /// Where the trace store listens.
    pub trace_store: SocketAddr,
    /// How many parts the task has.
    pub parts: u32,
    /// Seconds between two listings of the folders.
    pub scan_interval: f64,
    /// Seconds that a step may take at the most.
    pub max_step_duration: f64,
}
