//! `puffinladder steward`.

use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_leases::desk;
use puffinladder_settings::WorkerSettings as Told;
use puffinladder_worker::haul;
use puffinladder_worker::life;
use puffinladder_worker::serve::{start, Reported, Setup};
use std::path::{Path, PathBuf};

/// Servers that may report to one steward at once.
const MOST: usize = 10_000;

#[derive(Args)]
#[command(
    after_help = "A steward asks the keepers for the duties that it can do and does those that it is granted, for as long as it is.\n\
        SIGTERM hands them over first.\n\nExample:\n  puffinladder steward --settings steward.scm"
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
    let told = serve::section(&name, "steward", settings.worker.clone())?;
    serve::log(&settings);
    serve::runtime()?.block_on(serve_duties(&told, &Ground::usual(line.events)))
}

pub async fn serve_duties(told: &Told, ground: &Ground) -> Done {
    let incarnation = life::next(Path::new(&told.directory), ground.clock.unix_time()).map_err(failed)?;
    let gather = told.trace_collection.as_ref().map(|gather| haul::Told {
        traces: (&gather.traces_directory).into(),
        archive: gather.trace_store,
        parts: gather.parts as u32,
        every: gather.scan_interval,
        step: gather.max_step_duration,
    });
    let drift = 0.02;
    let desk = told.report_listen.map(|listen| Reported {
        listen,
        told: desk::Told {
            customers: told.quota.as_ref().map(|quota| quota.customer_rates.clone()).unwrap_or_default(),
            servers: told.quota.as_ref().map_or(1, |quota| quota.servers),
            parts: told.quota.as_ref().map_or(1, |quota| quota.parts as u32),
            span: told.quota.as_ref().map_or(2.0, |quota| quota.share_duration),
            drift,
            turns: told.drain_slots.as_ref().map_or_else(Default::default, |turns| {
                puffinladder_leases::turns::Rules {
                    most: turns.max_draining,
                    zone_share: turns.max_zone_share,
                    span: turns.slot_duration,
                    silent: turns.silence_timeout,
                    drift,
                }
            }),
        },
        quota: told.quota.is_some(),
        turns: told.drain_slots.is_some(),
        most_connections: MOST,
    });
    let setup = Setup {
        name: told.name.clone(),
        zone: told.zone.clone(),
        incarnation,
        keepers: told.lease_stores.clone(),
        gather,
        desk,
        holds: told.idle_tasks.clone(),
        clock: ground.clock.clone(),
        events: ground.events,
    };
    tracing::info!("steward {}, life {incarnation}", told.name);
    let mut running = start(setup).await.map_err(failed)?;
    let listen = running.listen.map_or(String::new(), |at| at.to_string());
    ground.events.tell(&puffinladder_leases::words::Event::Ready { listen });
    match serve::until_told(running.ended()).await? {
        Some(()) => Err(failed(format!("steward {}: a later life of it has spoken", told.name))),
        None => {
            running.stop().await;
            Ok(())
        }
    }
}
