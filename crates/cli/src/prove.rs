//! `puffinladder prove`: the proving ground, and the processes that it starts.

use crate::fleet::{archive, keeper, steward, Ground};
use crate::say::Done;
use crate::serve;
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_links::Clock;
use puffinladder_owners::words::Events;
use std::io::BufRead;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

#[derive(Args)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One process of the ground; its clock and its disk are at the ground's mercy, which tells it on standard input
    #[command(hide = true)]
    Part {
        kind: Kind,
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        found: bool,
        #[arg(long)]
        join: bool,
        /// How fast its clock runs, and how far its wall clock is off, s
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        #[arg(long, default_value_t = 0.0, allow_negative_numbers = true)]
        wall: f64,
        /// A bug that the checkers must find
        #[arg(long)]
        forgets_epochs: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Keeper,
    Steward,
    Archive,
}

pub fn run(line: Line) -> Done {
    match line.command {
        Command::Part { kind, settings, found, join, rate, wall, forgets_epochs } => {
            let clock = Clock::skewed(rate, wall);
            let ground =
                Ground { clock, events: Events(true), sync_pause: Default::default(), forgets_epochs };
            part(kind, settings, found, join, &ground)
        }
    }
}

fn part(kind: Kind, settings: PathBuf, found: bool, join: bool, ground: &Ground) -> Done {
    let (name, settings) = serve::settings(Some(settings))?;
    serve::log(&settings);
    let told = ground.clone();
    std::thread::spawn(move || heed(&told));
    let runtime = serve::runtime()?;
    match kind {
        Kind::Keeper => {
            let begin = match (found, join) {
                (true, _) => keeper::Begin::Found,
                (_, true) => keeper::Begin::Join,
                _ => keeper::Begin::Open,
            };
            let told = serve::section(&name, "keeper", settings.keeper)?;
            runtime.block_on(keeper::keep(&told, begin, ground))
        }
        Kind::Steward => {
            let told = serve::section(&name, "steward", settings.steward)?;
            runtime.block_on(steward::serve_duties(&told, ground))
        }
        Kind::Archive => {
            let told = serve::section(&name, "archive", settings.archive)?;
            runtime.block_on(archive::keep(&told, ground))
        }
    }
}

/// Does what the ground says, a line each: `rate 1.01`, `wall 86400`, `sync 2000`. Once it is gone, so is this process.
fn heed(ground: &Ground) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let Some((what, value)) = line.split_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        match what {
            "rate" => ground.clock.pace(value),
            "wall" => ground.clock.step(value),
            "sync" => ground.sync_pause.store(value as u64, Ordering::Relaxed),
            _ => {}
        }
    }
    std::process::exit(3);
}
