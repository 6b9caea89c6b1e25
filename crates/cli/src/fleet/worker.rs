//! `puffinladder worker`: runs the tasks that the lease store grants to this process.

use super::common::ServiceArgs;
use super::{failed, ServiceEnvironment};
use crate::serve;
use crate::terminal::CommandResult;
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

/// Section of the settings file.
const SECTION: &str = "steward";
/// Limit of the servers that report to one worker.
const MAX_REPORTING_SERVERS: usize = 10_000;
/// Largest drift between the clocks of two machines, as a share of the elapsed time.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Validity of quota shares, s, for workers that divide no quota.
const DEFAULT_QUOTA_VALIDITY: f64 = 2.0;

#[derive(Args)]
#[command(
    after_help = "A worker requests leases on the tasks that it supports, and runs each task while it holds the lease.\n\
        On SIGTERM it releases its leases before it exits.\n\nExample:\n  puffinladder worker --settings steward.scm"
)]
pub struct WorkerArgs {
    #[command(flatten)]
    service: ServiceArgs,
}

pub fn run(args: WorkerArgs) -> CommandResult {
    let (section, environment) = args.service.load(SECTION, |settings| settings.worker.clone())?;
    serve::runtime()?.block_on(run_service(&section, &environment))
}

/// Runs a worker until it is stopped, or until the lease store reports a later incarnation of it.
pub async fn run_service(settings: &WorkerSettings, environment: &ServiceEnvironment) -> CommandResult {
    let incarnation = incarnation::next(Path::new(&settings.directory), environment.clock.unix_time())
        .map_err(|e| failed(e.to_string()))?;
    let config = WorkerConfig {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        replicas: settings.lease_store_replicas.clone(),
        collection: settings.trace_collection.as_ref().map(collection_config),
        reporting: settings.report_listen.map(|listen| reporting_config(settings, listen)),
        idle_tasks: settings.idle_tasks.clone(),
        clock: environment.clock.clone(),
        events: environment.events,
    };
    tracing::info!("worker {}, incarnation {incarnation}", settings.name);
    let mut running = start(config).await.map_err(|e| failed(e.to_string()))?;
    let listen = running.report_address.map_or(String::new(), |address| address.to_string());
    environment.events.emit(&Event::Ready { listen });
    match serve::wait_or_shutdown(running.wait()).await? {
        Some(()) => Err(failed(format!("worker {}: superseded by a later incarnation", settings.name))),
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
    let (quota, drain_slots) = (settings.quota.as_ref(), settings.drain_slots.as_ref());
    let drain_rules = drain_slots.map_or_else(Default::default, |drain_slots| DrainRules {
        max_unavailable: drain_slots.max_unavailable,
        max_zone_fraction: drain_slots.max_zone_fraction,
        slot_duration: drain_slots.slot_duration,
        report_timeout: drain_slots.report_timeout,
        max_clock_drift: MAX_CLOCK_DRIFT,
    });
    let coordinator = coordination::CoordinatorSettings {
        tenant_quotas: quota.map(|quota| quota.tenant_quotas.clone()).unwrap_or_default(),
        server_count: quota.map_or(1, |quota| quota.servers),
        quota_parts: quota.map_or(1, |quota| quota.parts as u32),
        quota_validity: quota.map_or(DEFAULT_QUOTA_VALIDITY, |quota| quota.quota_validity),
        max_clock_drift: MAX_CLOCK_DRIFT,
        drain_rules,
    };
    ReportingConfig {
        listen,
        coordinator,
        quota: quota.is_some(),
        drain_slots: drain_slots.is_some(),
        max_connections: MAX_REPORTING_SERVERS,
    }
}
