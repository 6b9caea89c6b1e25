//! `puffinladder prove scale`: runs the scale tests at a given size.

use crate::serve;
use crate::terminal::{CommandError, CommandResult};
use clap::Args;
use puffinladder_proving::scale::scenarios::run_scenario;
use puffinladder_proving::scale::{Assertion, FleetConfig, FleetSize, Scenario};
use std::io::Write;
use std::path::PathBuf;

#[derive(Args)]
pub struct ScaleArgs {
    /// Stories: steady, budget, change, restart, zone, cut, slow, dead [default: all]
    stories: Vec<Scenario>,
    #[arg(long, default_value_t = 60)]
    servers: usize,
    #[arg(long, default_value_t = 200)]
    callers: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keep every run in a folder here, also those that pass
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Fewest servers or callers: stories kill a sixth and slow a third of them.
const MIN_SIZE: usize = 12;
/// Most servers or callers: larger numbers are reserved for those that stories add.
const MAX_SIZE: usize = 15_000;

/// Runs the selected stories and prints their tables.
pub fn scale(args: ScaleArgs) -> CommandResult {
    for (key, value) in [("--servers", args.servers), ("--callers", args.callers)] {
        if !(MIN_SIZE..=MAX_SIZE).contains(&value) {
            return Err(CommandError::Usage(format!("{key}: should be from {MIN_SIZE} to {MAX_SIZE}")));
        }
    }
    let size = FleetSize { servers: args.servers, callers: args.callers };
    let setup = FleetConfig {
        program: std::env::current_exe()?,
        folder: args.keep.clone().unwrap_or_else(|| "prove-failed".into()),
        keep: args.keep.is_some(),
        seed: args.seed,
    };
    let stories = if args.stories.is_empty() { Scenario::ALL.to_vec() } else { args.stories };
    let runtime = serve::runtime()?;
    let mut out = std::io::stdout().lock();
    let (mut check_count, mut failed) = (0, Vec::new());
    for story in stories {
        let report = runtime.block_on(run_scenario(story, size, &setup));
        write!(out, "{report}")?;
        out.flush()?;
        check_count += report.assertions.len();
        for folder in &report.kept_folders {
            eprintln!("puffinladder: {story}: kept in {}", folder.display());
        }
        if !report.passed() {
            let count = report.assertions.iter().filter(|row| !Assertion::passed(row)).count();
            failed.push(format!(
                "{story} ({} of {})",
                count + usize::from(report.error.is_some()),
                report.assertions.len()
            ));
        }
    }
    if failed.is_empty() {
        writeln!(
            out,
            "{check_count} checks passed: {} servers, {} callers, seed {}",
            size.servers, size.callers, args.seed
        )?;
        return Ok(());
    }
    Err(CommandError::Failed(format!("failed checks: {}", failed.join(", "))))
}
