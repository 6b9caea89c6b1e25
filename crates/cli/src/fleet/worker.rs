//! `puffinladder worker`: a process that runs the fleet's tasks that the lease store grants to it.

use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_charter::fleet::{Gather, Steward as WorkerSettings};
use puffinladder_leases::desk;
use puffinladder_leases::turns::Rules;
use puffinladder_leases::words::Event;
use puffinladder_worker::config::{CollectionConfig, ReportingConfig, WorkerConfig};
use puffinladder_worker::incarnation;
use puffinladder_worker::service::start;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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
    /// Settings with a (steward ...) in them
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Tell each grant on standard output, a line of JSON each
    #[arg(long)]
    events: bool,
}

pub fn run(line: Line) -> Done {
    let (name, settings) = serve::settings(line.settings)?;
    let section = serve::section(&name, SECTION, settings.steward.clone())?;
    serve::log(&settings);
    serve::runtime()?.block_on(run_service(&section, &Ground::usual(line.events)))
}

/// Runs a worker until it is stopped, or a later incarnation of it has spoken.
pub async fn run_service(settings: &WorkerSettings, ground: &Ground) -> Done {
    let next = incarnation::next(Path::new(&settings.folder), ground.clock.unix_time());
    let incarnation = next.map_err(|e| failed(e.to_string()))?;
    let config = WorkerConfig {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        replicas: settings.keepers.clone(),
        collection: settings.gather.as_ref().map(collection_config),
        reporting: settings.listen.map(|listen| reporting_config(settings, listen)),
        held_tasks: settings.holds.clone(),
        clock: ground.clock.clone(),
        events: ground.events,
    };
    tracing::info!("worker {}, incarnation {incarnation}", settings.name);
    let mut running = start(config).await.map_err(|e| failed(e.to_string()))?;
    let listen = running.listen.map_or(String::new(), |address| address.to_string());
    ground.events.tell(&Event::Ready { listen });
    match serve::until_told(running.ended()).await? {
        Some(()) => Err(failed(format!("worker {}: a later incarnation of it has spoken", settings.name))),
        None => {
            running.stop().await;
            Ok(())
        }
    }
}

fn collection_config(settings: &Gather) -> CollectionConfig {
    CollectionConfig {
        traces: (&settings.traces).into(),
        trace_store: settings.archive,
        parts: settings.parts as u32,
        list_interval: settings.every,
        max_step: settings.step,
    }
}

fn reporting_config(settings: &WorkerSettings, listen: SocketAddr) -> ReportingConfig {
    let (quota, turns) = (settings.quota.as_ref(), settings.turns.as_ref());
    let turn_rules = turns.map_or_else(Default::default, |turns| Rules {
        most: turns.most,
        zone_share: turns.zone_share,
        span: turns.span,
        silent: turns.silent,
        drift: MAX_CLOCK_DRIFT,
    });
    let coordinator = desk::Told {
        customers: quota.map(|quota| quota.customers.clone()).unwrap_or_default(),
        servers: quota.map_or(1, |quota| quota.servers),
        parts: quota.map_or(1, |quota| quota.parts as u32),
        span: quota.map_or(UNUSED_SPAN, |quota| quota.span),
        drift: MAX_CLOCK_DRIFT,
        turns: turn_rules,
    };
    ReportingConfig {
        listen,
        coordinator,
        quota: quota.is_some(),
        drain_slots: turns.is_some(),
        max_connections: MAX_REPORTING_SERVERS,
    }
}
