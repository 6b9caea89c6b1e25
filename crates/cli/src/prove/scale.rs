//! `puffinladder prove scale`: the scale tests, at any size.

use crate::say::{Done, Wrong};
use crate::serve;
use clap::Args;
use puffinladder_proving::scale::scenarios::run_scenario;
use puffinladder_proving::scale::{Assertion, FleetConfig, FleetSize, Scenario};
use std::io::Write;
use std::path::PathBuf;

#[derive(Args)]
pub struct Line {
    /// steady, budget, change, restart, zone, cut, slow, dead [default: all]
    stories: Vec<Scenario>,
    #[arg(long, default_value_t = 60)]
    servers: usize,
    #[arg(long, default_value_t = 200)]
    callers: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keep every run in a folder here, whatever came of it
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Of each: a sixth is lost, a third beside them reads slowly, and numbers from 60,000 on are for those who come beside.
const LEAST: usize = 12;
const MOST: usize = 15_000;

pub fn scale(line: Line) -> Done {
    for (key, value) in [("--servers", line.servers), ("--callers", line.callers)] {
        if !(LEAST..=MOST).contains(&value) {
            return Err(Wrong::Asked(format!("{key}: should be from {LEAST} to {MOST}")));
        }
    }
    let size = FleetSize { servers: line.servers, callers: line.callers };
    let setup = FleetConfig {
        program: std::env::current_exe()?,
        folder: line.keep.clone().unwrap_or_else(|| "prove-failed".into()),
        keep: line.keep.is_some(),
        seed: line.seed,
    };
    let stories = if line.stories.is_empty() { Scenario::ALL.to_vec() } else { line.stories };
    let runtime = serve::runtime()?;
    let mut out = std::io::stdout().lock();
    let (mut asserted, mut bad) = (0, Vec::new());
    for story in stories {
        let told = runtime.block_on(run_scenario(story, size, &setup));
        write!(out, "{told}")?;
        out.flush()?;
        asserted += told.assertions.len();
        for folder in &told.kept_folders {
            eprintln!("puffinladder: {story}: kept in {}", folder.display());
        }
        if !told.passed() {
            let count = told.assertions.iter().filter(|row| !Assertion::passed(row)).count();
            bad.push(format!(
                "{story} ({} of {})",
                count + usize::from(told.error.is_some()),
                told.assertions.len()
            ));
        }
    }
    if bad.is_empty() {
        writeln!(
            out,
            "{asserted} things hold: {} servers, {} callers, seed {}",
            size.servers, size.callers, line.seed
        )?;
        return Ok(());
    }
    Err(Wrong::Failed(format!("what does not hold: {}", bad.join(", "))))
}
