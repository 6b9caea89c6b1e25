//! `puffinladder capacity`: measures the cost of each role, compares a planned size with it, and checks the page of the results.

mod bounds;
mod measure;

use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand};
use puffinladder_capacity::page;
use puffinladder_capacity::plan::{self, Plan};
use puffinladder_capacity::point::{Points, MOST_BYTES};
use puffinladder_capacity::tables::{tables, Table};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

#[derive(Args)]
#[command(after_help = "Examples, from the root of the checkout:\n  puffinladder capacity plan\n  \
    puffinladder capacity plan other.scm --points points.json\n  \
    puffinladder capacity plan --write docs/CAPACITY.md\n  puffinladder capacity check")]
pub struct CapacityArgs {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure the cost of each role with real processes at three sizes or more
    Measure(measure::MeasureArgs),
    /// Print the tables of the page for a planned size: within capacity, beyond it, or not measured
    #[command(
        after_help = "Examples:\n  puffinladder capacity plan\n  puffinladder capacity plan other.scm\n  \
        puffinladder capacity plan --write docs/CAPACITY.md"
    )]
    Plan {
        #[arg(value_name = "PLAN.scm", default_value = "deploy/capacity.scm")]
        plan: PathBuf,
        #[command(flatten)]
        from: PointsArgs,
        /// Write the tables into the blocks of this page instead of printing them
        #[arg(long, value_name = "PAGE")]
        write: Option<PathBuf>,
    },
    /// Fail if the page's tables differ from those that `plan` prints
    #[command(
        after_help = "Examples:\n  puffinladder capacity check\n  puffinladder capacity check docs/CAPACITY.md --plan deploy/capacity.scm"
    )]
    Check {
        #[arg(value_name = "PAGE", default_value = "docs/CAPACITY.md")]
        page: PathBuf,
        #[arg(long, value_name = "PLAN.scm", default_value = "deploy/capacity.scm")]
        plan: PathBuf,
        #[command(flatten)]
        from: PointsArgs,
    },
}

#[derive(Args)]
struct PointsArgs {
    /// File of measured points
    #[arg(long, value_name = "FILE", default_value = "docs/capacity/points.json")]
    points: PathBuf,
}

/// Reads a file of at most `MOST_BYTES` bytes.
fn read_text(file: &Path) -> Result<String, CommandError> {
    let failed = |message: String| CommandError::Failed(format!("{}: {message}", file.display()));
    let opened = std::fs::File::open(file).map_err(|e| failed(e.to_string()))?;
    let mut text = String::new();
    opened.take(MOST_BYTES as u64 + 1).read_to_string(&mut text).map_err(|e| failed(e.to_string()))?;
    if text.len() > MOST_BYTES {
        return Err(failed(format!("longer than {MOST_BYTES} bytes")));
    }
    Ok(text)
}

fn load_plan(file: &Path) -> Result<Plan, CommandError> {
    plan::read(&file.display().to_string(), &read_text(file)?).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        CommandError::Usage(lines.join("\n"))
    })
}

fn load_tables(plan: &Path, points: &Path) -> Result<Vec<Table>, CommandError> {
    let plan = load_plan(plan)?;
    let points = Points::parse(&points.display().to_string(), &read_text(points)?)
        .map_err(|fault| CommandError::Failed(fault.to_string()))?;
    Ok(tables(&plan, &points, &bounds::code_limits()))
}

pub fn run(args: CapacityArgs) -> CommandResult {
    match args.command {
        Command::Measure(args) => measure::run(args),
        Command::Plan { plan, from, write } => {
            let tables = load_tables(&plan, &from.points)?;
            let Some(file) = write else {
                let mut out = std::io::stdout().lock();
                for table in &tables {
                    writeln!(out, "## {}\n\n{}", table.name, table.text)?;
                }
                return Ok(());
            };
            let name = file.display();
            let page = page::write(&read_text(&file)?, &tables)
                .map_err(|fault| CommandError::Failed(format!("{name}:{fault}")))?;
            // Renamed into place, so that a failed write leaves the old page.
            let temporary = file.with_extension("md.new");
            let written = std::fs::write(&temporary, page).and_then(|()| std::fs::rename(&temporary, &file));
            written.map_err(|e| CommandError::Failed(format!("{name}: {e}")))
        }
        Command::Check { page, plan, from } => {
            let tables = load_tables(&plan, &from.points)?;
            page::check(&read_text(&page)?, &tables).map_err(|fault| {
                let name = page.display();
                CommandError::Failed(format!(
                    "{name}:{fault}\nrefresh it with: puffinladder capacity plan --write {name}"
                ))
            })
        }
    }
}
