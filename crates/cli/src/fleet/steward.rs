//! `puffinladder steward`.

use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_charter::fleet::Steward as Told;
use puffinladder_leases::coordination;
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
    let told = serve::section(&name, "steward", settings.steward.clone())?;
    serve::log(&settings);
    serve::runtime()?.block_on(serve_duties(&told, &Ground::usual(line.events)))
}

pub async fn serve_duties(told: &Told, ground: &Ground) -> Done {
    let incarnation = life::next(Path::new(&told.folder), ground.clock.unix_time()).map_err(failed)?;
    let gather = told.gather.as_ref().map(|gather| haul::Told {
        traces: (&gather.traces).into(),
        archive: gather.archive,
        parts: gather.parts as u32,
        every: gather.every,
        step: gather.step,
    });
    let drift = 0.02;
    let desk = told.listen.map(|listen| Reported {
        listen,
        told: coordination::CoordinatorSettings {
            tenant_quotas: told.quota.as_ref().map(|quota| quota.customers.clone()).unwrap_or_default(),
            server_count: told.quota.as_ref().map_or(1, |quota| quota.servers),
            quota_parts: told.quota.as_ref().map_or(1, |quota| quota.parts as u32),
            quota_validity: told.quota.as_ref().map_or(2.0, |quota| quota.span),
            max_clock_drift: drift,
            drain_rules: told.turns.as_ref().map_or_else(Default::default, |turns| {
                puffinladder_leases::drain::DrainRules {
                    max_unavailable: turns.most,
                    max_zone_fraction: turns.zone_share,
                    slot_duration: turns.span,
                    report_timeout: turns.silent,
                    max_clock_drift: drift,
                }
            }),
        },
        quota: told.quota.is_some(),
        turns: told.turns.is_some(),
        most_connections: MOST,
    });
    let setup = Setup {
        name: told.name.clone(),
        zone: told.zone.clone(),
        incarnation,
        keepers: told.keepers.clone(),
        gather,
        desk,
        holds: told.holds.clone(),
        clock: ground.clock.clone(),
        events: ground.events,
    };
    tracing::info!("steward {}, life {incarnation}", told.name);
    let mut running = start(setup).await.map_err(failed)?;
    let listen = running.listen.map_or(String::new(), |at| at.to_string());
    ground.events.emit(&puffinladder_leases::protocol::Event::Ready { listen });
    match serve::until_told(running.ended()).await? {
        Some(()) => Err(failed(format!("steward {}: a later life of it has spoken", told.name))),
        None => {
            running.stop().await;
            Ok(())
        }
    }
}
