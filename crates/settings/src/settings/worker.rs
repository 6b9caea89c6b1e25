//! Section `steward`: a worker, which runs the tasks that it holds leases for.

use super::fields::{read_address, read_replica_addresses, read_required_address, read_required_text};
use super::format::{self, quoted};
use crate::sexpr::Block;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Settings of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSettings {
    /// Name of the instance. Key `name`.
    pub name: String,
    /// Zone of the instance. Key `zone`, default `default`.
    pub zone: String,
    /// Directory of the incarnation number, which must survive restarts. Key `folder`.
    pub directory: String,
    /// Replicas of the lease store by number. Key `keepers`.
    pub lease_store_replicas: BTreeMap<u64, SocketAddr>,
    /// Tasks that are leased without any work: other programs query the lease store for the holder. Key `holds`.
    pub idle_tasks: Vec<String>,
    /// Task of collecting traces. Key `gather`.
    pub trace_collection: Option<TraceCollectionSettings>,
    /// Address for reports of servers; required by `quota` and `turns`. Key `listen`.
    pub report_listen: Option<SocketAddr>,
    /// Task of dividing tenants' quotas. Key `quota`.
    pub quota: Option<QuotaSettings>,
    /// Task of limiting concurrent drains. Key `turns`.
    pub drain_slots: Option<DrainSlotSettings>,
}

/// Settings of the task that divides tenants' quotas among servers.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Number of parts of the task, equal to the lease store's setting. Key `parts`, default 1.
    pub parts: usize,
    /// Number of servers that an equal share is calculated for. Key `servers`.
    pub servers: usize,
    /// Seconds for which a share of a quota is valid. Key `span`, default 2 s.
    pub quota_validity: f64,
    /// Fleet-wide quota of each tenant, in requests per second. Key `customer`, repeatable.
    pub tenant_quotas: BTreeMap<String, f64>,
}

/// Settings of the task that limits concurrent drains.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSlotSettings {
    /// Maximum number of unavailable servers of the fleet. Key `most`, default 10.
    pub max_unavailable: usize,
    /// Maximum fraction of unavailable servers of a zone; one server is always allowed. Key `zone-share`, default 0.1.
    pub max_zone_fraction: f64,
    /// Seconds that a slot covers: drain, restart and slow start. Key `span`, default 30 s.
    pub slot_duration: f64,
    /// Seconds without a report after which a server counts as unavailable. Key `silent`, default 5 s.
    pub report_timeout: f64,
}

/// Settings of the task that collects sealed trace files.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceCollectionSettings {
    /// Directory with one subdirectory of trace files for each server. Key `traces`.
    pub traces_directory: String,
    /// Address of the trace store. Key `archive`.
    pub trace_store: SocketAddr,
    /// Number of parts of the task, equal to the lease store's setting. Key `parts`, default 1.
    pub parts: usize,
    /// Seconds between scans for newly sealed files. Key `every`, default 1 s.
    pub scan_interval: f64,
    /// Maximum duration of a step, in seconds. Key `step`, default 500 ms.
    pub max_step_duration: f64,
}

impl WorkerSettings {
    pub(super) fn read(block: &Block) -> WorkerSettings {
        let trace_collection = block.block("gather").as_ref().map(TraceCollectionSettings::read);
        let quota = block.block("quota").as_ref().map(QuotaSettings::read);
        let drain_slots = block.block("turns").as_ref().map(DrainSlotSettings::read);
        if (quota.is_some() || drain_slots.is_some()) && !block.has("listen") {
            block.report("listen", "should be given: servers report there");
        }
        let worker = WorkerSettings {
            name: read_required_text(block, "name"),
            zone: block.text("zone").unwrap_or_else(|| "default".into()),
            directory: read_required_text(block, "folder"),
            idle_tasks: block.texts("holds"),
            lease_store_replicas: read_replica_addresses(block, "keepers"),
            trace_collection,
            report_listen: read_address(block, "listen"),
            quota,
            drain_slots,
        };
        block.finish();
        worker
    }
}

impl QuotaSettings {
    fn read(block: &Block) -> QuotaSettings {
        let tenant_quotas = read_tenant_quotas(block);
        let quota = QuotaSettings {
            parts: block.count("parts", 1, 1..=10_000),
            servers: block.count("servers", 1, 1..=10_000),
            quota_validity: block.duration("span", 2.0, 0.1..=600.0),
            tenant_quotas,
        };
        block.require("servers");
        block.finish();
        quota
    }
}

fn read_tenant_quotas(block: &Block) -> BTreeMap<String, f64> {
    let mut quotas = BTreeMap::new();
    for tenant in block.blocks("customer") {
        let name = read_required_text(&tenant, "name");
        let quota = tenant.number("rate", 0.0, 0.001..=1e9);
        tenant.require("rate");
        if quotas.insert(name.clone(), quota).is_some() {
            tenant.report("name", format!("{name:?} stands here twice"));
        }
        tenant.finish();
    }
    quotas
}

impl DrainSlotSettings {
    fn read(block: &Block) -> DrainSlotSettings {
        let slots = DrainSlotSettings {
            max_unavailable: block.count("most", 10, 1..=10_000),
            max_zone_fraction: block.number("zone-share", 0.1, 0.0..=1.0),
            slot_duration: block.duration("span", 30.0, 0.1..=3600.0),
            report_timeout: block.duration("silent", 5.0, 0.1..=600.0),
        };
        block.finish();
        slots
    }
}

impl TraceCollectionSettings {
    fn read(block: &Block) -> TraceCollectionSettings {
        let collection = TraceCollectionSettings {
            traces_directory: read_required_text(block, "traces"),
            trace_store: read_required_address(block, "archive"),
            parts: block.count("parts", 1, 1..=100_000),
            scan_interval: block.duration("every", 1.0, 0.01..=3600.0),
            max_step_duration: block.duration("step", 0.5, 0.01..=60.0),
        };
        block.finish();
        collection
    }
}

impl fmt::Display for WorkerSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(steward (name {}) (zone {})", quoted(&self.name), quoted(&self.zone))?;
        write!(f, " (folder {})", quoted(&self.directory))?;
        write!(f, "\n  (keepers {})", format::format_replica_addresses(&self.lease_store_replicas))?;
        if !self.idle_tasks.is_empty() {
            let names: Vec<String> = self.idle_tasks.iter().map(|name| quoted(name)).collect();
            write!(f, "\n  (holds {})", names.join(" "))?;
        }
        if let Some(collection) = &self.trace_collection {
            write!(f, "\n  {collection}")?;
        }
        if let Some(listen) = self.report_listen {
            write!(f, "\n  (listen \"{listen}\")")?;
        }
        if let Some(quota) = &self.quota {
            write!(f, "\n  {quota}")?;
        }
        if let Some(slots) = &self.drain_slots {
            write!(f, "\n  {slots}")?;
        }
        f.write_str(")")
    }
}

impl fmt::Display for QuotaSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(quota (parts {}) (servers {})", self.parts, self.servers)?;
        write!(f, " (span {}s)", self.quota_validity)?;
        for (name, rate) in &self.tenant_quotas {
            write!(f, "\n    (customer (name {}) (rate {rate}))", quoted(name))?;
        }
        f.write_str(")")
    }
}

impl fmt::Display for DrainSlotSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(turns (most {}) (zone-share {})", self.max_unavailable, self.max_zone_fraction)?;
        write!(f, " (span {}s) (silent {}s))", self.slot_duration, self.report_timeout)
    }
}

impl fmt::Display for TraceCollectionSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(gather (traces {})", quoted(&self.traces_directory))?;
        write!(f, " (archive \"{}\") (parts {})", self.trace_store, self.parts)?;
        write!(f, " (every {}s) (step {}s))", self.scan_interval, self.max_step_duration)
    }
}
