//! Section `keeper`: a replica of the lease store.

use super::fields::{read_replica_addresses, read_required_address, read_required_text};
use super::format::{self, quoted, write_optional};
use crate::sexpr::Block;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A task that the lease store grants leases for.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct TaskSettings {
    /// Name of the task. Key `name`.
    pub name: String,
    /// Number of parts, which are leased separately. Key `parts`, default 1.
    pub parts: usize,
    /// Preferred zone of holders. Key `zone`.
    pub zone: Option<String>,
}

/// Settings of a replica of the lease store. Tasks and lease parameters must be the same at all replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseStoreSettings {
    /// Number of this replica, from 1. It identifies the replica's disk and must not be reused once the disk is lost. Key `number`.
    pub replica_id: u64,
    /// Listen address. Key `listen`.
    pub listen: SocketAddr,
    /// Directory of the replica's database. Key `folder`.
    pub directory: String,
    /// Initial replicas by number, this one included. Key `peers`.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Tasks that leases are granted for. Key `duty`, repeatable.
    pub tasks: Vec<TaskSettings>,
    /// Seconds for which a lease is valid without renewal. Key `term`, default 2 s.
    pub lease_duration: f64,
    /// Maximum relative drift between the clocks of holders and replicas. Key `drift`, default 0.02.
    pub max_clock_drift: f64,
    /// Seconds without progress after which a holder with pending work loses its part. Key `stall`, default 10 s.
    pub stall_timeout: f64,
    /// Seconds for which a stalled holder is excluded from that part. Key `barred`, default 60 s.
    pub exclusion_time: f64,
    /// Number of expired sessions of an instance within `flap_window` above which it gets no leases for `flap_backoff`. Key
    /// `flaps`, default 3.
    pub flap_limit: usize,
    /// Seconds over which expired sessions are counted. Key `flap-span`, default 60 s.
    pub flap_window: f64,
    /// Seconds for which a flapping instance gets no leases. Key `flap-rest`, default 30 s.
    pub flap_backoff: f64,
    /// No lease is granted while more instances became silent within this many seconds than are still reporting. Key `panic`,
    /// default 5 s.
    pub panic_window: f64,
    /// Seconds without a membership change before parts are moved to balance the load. Key `calm`, default 2 s.
    pub rebalance_delay: f64,
    /// Maximum number of concurrent moves of parts. Key `moves`, default 64.
    pub max_moves: usize,
    /// Tick interval in seconds; ten ticks without a leader start an election. Key `tick`, default 30 ms.
    pub tick_interval: f64,
    /// Maximum number of open connections. Key `most-connections`, default 2000.
    pub max_connections: usize,
}

impl TaskSettings {
    fn read(block: &Block) -> TaskSettings {
        let task = TaskSettings {
            name: read_required_text(block, "name"),
            parts: block.count("parts", 1, 1..=100_000),
            zone: block.text("zone"),
        };
        block.finish();
        task
    }
}

impl LeaseStoreSettings {
    pub(super) fn read(block: &Block) -> LeaseStoreSettings {
        let store = LeaseStoreSettings {
            replica_id: block.count("number", 0, 1..=1_000_000) as u64,
            listen: read_required_address(block, "listen"),
            directory: read_required_text(block, "folder"),
            peers: read_replica_addresses(block, "peers"),
            tasks: block.blocks("duty").iter().map(TaskSettings::read).collect(),
            lease_duration: block.duration("term", 2.0, 0.2..=600.0),
            max_clock_drift: block.number("drift", 0.02, 0.0..=0.5),
            stall_timeout: block.duration("stall", 10.0, 0.4..=86_400.0),
            exclusion_time: block.duration("barred", 60.0, 0.0..=86_400.0),
            flap_limit: block.count("flaps", 3, 1..=1000),
            flap_window: block.duration("flap-span", 60.0, 0.0..=86_400.0),
            flap_backoff: block.duration("flap-rest", 30.0, 0.0..=86_400.0),
            panic_window: block.duration("panic", 5.0, 0.0..=3600.0),
            rebalance_delay: block.duration("calm", 2.0, 0.0..=3600.0),
            max_moves: block.count("moves", 64, 1..=10_000),
            tick_interval: block.duration("tick", 0.03, 0.005..=1.0),
            max_connections: block.count("most-connections", 2000, 8..=100_000),
        };
        store.report_inconsistencies(block);
        block.finish();
        store
    }

    fn report_inconsistencies(&self, block: &Block) {
        if !block.has("number") {
            let cause = "it stands for this keeper's disk, and is never used again once that is lost";
            block.report("number", format!("should be given: {cause}"));
        }
        if self.stall_timeout < 2.0 * self.lease_duration {
            block.report("stall", "should be two terms at the least");
        }
        if let Some(name) = self.first_duplicate_task() {
            block.report("duty", format!("{name:?} stands here twice"));
        }
    }

    fn first_duplicate_task(&self) -> Option<&str> {
        let mut names: Vec<&str> = self.tasks.iter().map(|task| task.name.as_str()).collect();
        names.sort_unstable();
        names.windows(2).find(|pair| pair[0] == pair[1]).map(|pair| pair[0])
    }
}

impl fmt::Display for TaskSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(duty (name {}) (parts {})", quoted(&self.name), self.parts)?;
        write_optional(f, " ", "zone", self.zone.as_ref())?;
        f.write_str(")")
    }
}

impl fmt::Display for LeaseStoreSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(keeper\n  (number {}) (listen \"{}\")", self.replica_id, self.listen)?;
        writeln!(f, " (folder {})", quoted(&self.directory))?;
        writeln!(f, "  (peers {})", format::format_replica_addresses(&self.peers))?;
        for task in &self.tasks {
            writeln!(f, "  {task}")?;
        }
        write!(f, "  (term {}s) (drift {})", self.lease_duration, self.max_clock_drift)?;
        writeln!(f, " (stall {}s) (barred {}s)", self.stall_timeout, self.exclusion_time)?;
        write!(f, "  (flaps {}) (flap-span {}s)", self.flap_limit, self.flap_window)?;
        writeln!(f, " (flap-rest {}s)", self.flap_backoff)?;
        write!(f, "  (panic {}s) (calm {}s)", self.panic_window, self.rebalance_delay)?;
        writeln!(f, " (moves {})", self.max_moves)?;
        write!(f, "  (tick {}s) (most-connections {}))", self.tick_interval, self.max_connections)
    }
}
