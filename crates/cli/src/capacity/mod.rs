//! `puffinladder capacity`: what a fleet of a planned size needs, by what was measured.

mod measure;

use crate::say::Done;
use clap::{Args, Subcommand};

#[derive(Args)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure what each role costs, by real processes at three sizes or more
    Measure(measure::Line),
}

pub fn run(line: Line) -> Done {
    match line.command {
        Command::Measure(line) => measure::run(line),
    }
}
