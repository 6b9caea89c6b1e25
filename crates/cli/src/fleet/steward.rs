//! `puffinladder steward`.

use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_charter::fleet::Steward as Told;
use puffinladder_steward::haul;
use puffinladder_steward::life;
use puffinladder_steward::serve::{start, Setup};
use std::path::{Path, PathBuf};

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
    let incarnation = life::next(Path::new(&told.folder), ground.clock.unix()).map_err(failed)?;
    let gather = told.gather.as_ref().map(|gather| haul::Told {
        traces: (&gather.traces).into(),
        archive: gather.archive,
        parts: gather.parts as u32,
        every: gather.every,
        step: gather.step,
    });
    let setup = Setup {
        name: told.name.clone(),
        zone: told.zone.clone(),
        incarnation,
        keepers: told.keepers.clone(),
        gather,
        holds: told.holds.clone(),
        clock: ground.clock.clone(),
        events: ground.events,
    };
    tracing::info!("steward {}, life {incarnation}", told.name);
    let mut running = start(setup);
    ground.events.tell(&puffinladder_owners::words::Event::Ready { listen: String::new() });
    match serve::until_told(running.ended()).await? {
        Some(()) => Err(failed(format!("steward {}: a later life of it has spoken", told.name))),
        None => {
            running.stop().await;
            Ok(())
        }
    }
}
