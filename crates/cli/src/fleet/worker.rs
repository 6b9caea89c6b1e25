//! `puffinladder worker`: a process that runs the fleet's tasks that the lease store grants to it.

use super::common::ServiceArgs;
use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_leases::coordination;
use puffinladder_leases::drain::DrainRules;
use puffinladder_leases::protocol::Event;
use puffinladder_settings::{TraceCollectionSettings, WorkerSettings};
use puffinladder_worker::config::{CollectionConfig, ReportingConfig, WorkerConfig};
use puffinladder_worker::incarnation;
use puffinladder_worker::service::start;
use std::net::SocketAddr;
use std::path::Path;

/// The section of the settings that is read.
const SECTION: &str = "steward";
/// Servers that may report to one worker at once.
const MAX_REPORTING_SERVERS: usize = 10_000;
/// How far the clocks of two machines may drift apart, as a share of the time that passes.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// For workers that divide no quota: seconds that a share of one would hold.
const UNUSED_SPAN: f64 = 2.0;

#[derive(Args)]
#[command(
    after_help = "A worker asks the lease store for the tasks that it can do and does those that it is granted, for as long as it is.\n\
        SIGTERM hands them over first.\n\nExample:\n  puffinladder worker --settings steward.scm"
)]
pub struct Line {
    #[command(flatten)]
    service: ServiceArgs,
}

pub fn run(line: Line) -> Done {
    let (section, ground) = line.service.load(SECTION, |settings| settings.worker.clone())?;
    serve::runtime()?.block_on(run_service(&section, &ground))
}

/// Runs a worker until it is stopped, or a later incarnation of it has spoken.
pub async fn run_service(settings: &WorkerSettings, ground: &Ground) -> Done {
    let next = incarnation::next(Path::new(&settings.directory), ground.clock.unix_time());
    let incarnation = next.map_err(|e| failed(e.to_string()))?;
    let config = WorkerConfig {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        replicas: settings.lease_store_replicas.clone(),
        collection: settings.trace_collection.as_ref().map(collection_config),
        reporting: settings.report_listen.map(|listen| reporting_config(settings, listen)),
        idle_tasks: settings.idle_tasks.clone(),
        clock: ground.clock.clone(),
        events: ground.events,
    };
    tracing::info!("worker {}, incarnation {incarnation}", settings.name);
    let mut running = start(config).await.map_err(|e| failed(e.to_string()))?;
    let listen = running.report_address.map_or(String::new(), |address| address.to_string());
    ground.events.emit(&Event::Ready { listen });
    match serve::until_told(running.wait()).await? {
        Some(()) => Err(failed(format!("worker {}: a later incarnation of it has spoken", settings.name))),
        None => {
            running.stop().await;
            Ok(())
        }
    }
}

fn collection_config(settings: &TraceCollectionSettings) -> CollectionConfig {
    CollectionConfig {
        traces_directory: (&settings.traces_directory).into(),
        trace_store: settings.trace_store,
        parts: settings.parts as u32,
        scan_interval: settings.scan_interval,
        max_step_duration: settings.max_step_duration,
    }
}

fn reporting_config(settings: &WorkerSettings, listen: SocketAddr) -> ReportingConfig {
    let (quota, turns) = (settings.quota.as_ref(), settings.drain_slots.as_ref());
    let turn_rules = turns.map_or_else(Default::default, |turns| DrainRules {
        max_unavailable: turns.max_unavailable,
        max_zone_fraction: turns.max_zone_fraction,
        slot_duration: turns.slot_duration,
        report_timeout: turns.report_timeout,
        max_clock_drift: MAX_CLOCK_DRIFT,
    });
    let coordinator = coordination::CoordinatorSettings {
        tenant_quotas: quota.map(|quota| quota.tenant_quotas.clone()).unwrap_or_default(),
        server_count: quota.map_or(1, |quota| quota.servers),
        quota_parts: quota.map_or(1, |quota| quota.parts as u32),
        quota_validity: quota.map_or(UNUSED_SPAN, |quota| quota.quota_validity),
        max_clock_drift: MAX_CLOCK_DRIFT,
        drain_rules: turn_rules,
    };
    ReportingConfig {
        listen,
        coordinator,
        quota: quota.is_some(),
        drain_slots: turns.is_some(),
        max_connections: MAX_REPORTING_SERVERS,
    }
}
