//! `puffinladder capacity`: what of a planned size is carried, by the points that were measured, and whether the page says so.

mod bounds;
mod measure;

use crate::say::{Done, Wrong};
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
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure what each role costs, by real processes at three sizes or more
    Measure(measure::Line),
    /// From a size and the points the page's tables: what is carried, what is not, what is not known
    #[command(
        after_help = "Examples:\n  puffinladder capacity plan\n  puffinladder capacity plan other.scm\n  \
        puffinladder capacity plan --write docs/CAPACITY.md"
    )]
    Plan {
        #[arg(value_name = "PLAN.scm", default_value = "deploy/capacity.scm")]
        plan: PathBuf,
        #[command(flatten)]
        from: From,
        /// Put the tables into this page's blocks instead of printing them
        #[arg(long, value_name = "PAGE")]
        write: Option<PathBuf>,
    },
    /// Fail where the page's tables are not what `plan` prints
    #[command(
        after_help = "Examples:\n  puffinladder capacity check\n  puffinladder capacity check docs/CAPACITY.md --plan deploy/capacity.scm"
    )]
    Check {
        #[arg(value_name = "PAGE", default_value = "docs/CAPACITY.md")]
        page: PathBuf,
        #[arg(long, value_name = "PLAN.scm", default_value = "deploy/capacity.scm")]
        plan: PathBuf,
        #[command(flatten)]
        from: From,
    },
}

#[derive(Args)]
struct From {
    /// What was measured
    #[arg(long, value_name = "FILE", default_value = "docs/capacity/points.json")]
    points: PathBuf,
}

/// A file's text, if it is not longer than any of ours may be.
fn text(file: &Path) -> Result<String, Wrong> {
    let wrong = |what: String| Wrong::Failed(format!("{}: {what}", file.display()));
    let opened = std::fs::File::open(file).map_err(|e| wrong(e.to_string()))?;
    let mut text = String::new();
    opened.take(MOST_BYTES as u64 + 1).read_to_string(&mut text).map_err(|e| wrong(e.to_string()))?;
    if text.len() > MOST_BYTES {
        return Err(wrong(format!("longer than {MOST_BYTES} bytes")));
    }
    Ok(text)
}

fn plan_of(file: &Path) -> Result<Plan, Wrong> {
    plan::read(&file.display().to_string(), &text(file)?).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Wrong::Asked(lines.join("\n"))
    })
}

fn tables_of(plan: &Path, points: &Path) -> Result<Vec<Table>, Wrong> {
    let plan = plan_of(plan)?;
    let points = Points::parse(&points.display().to_string(), &text(points)?)
        .map_err(|fault| Wrong::Failed(fault.to_string()))?;
    Ok(tables(&plan, &points, &bounds::of_the_code()))
}

pub fn run(line: Line) -> Done {
    match line.command {
        Command::Measure(line) => measure::run(line),
        Command::Plan { plan, from, write } => {
            let tables = tables_of(&plan, &from.points)?;
            let Some(file) = write else {
                let mut out = std::io::stdout().lock();
                for table in &tables {
                    writeln!(out, "## {}\n\n{}", table.name, table.text)?;
                }
                return Ok(());
            };
            let name = file.display();
            let page = page::write(&text(&file)?, &tables)
                .map_err(|fault| Wrong::Failed(format!("{name}:{fault}")))?;
            // Whole or not at all: half a page would pass for one that somebody shortened.
            let beside = file.with_extension("md.new");
            let done = std::fs::write(&beside, page).and_then(|()| std::fs::rename(&beside, &file));
            done.map_err(|e| Wrong::Failed(format!("{name}: {e}")))
        }
        Command::Check { page, plan, from } => {
            let tables = tables_of(&plan, &from.points)?;
            page::check(&text(&page)?, &tables).map_err(|fault| {
                let name = page.display();
                Wrong::Failed(format!(
                    "{name}:{fault}\nrefresh it with: puffinladder capacity plan --write {name}"
                ))
            })
        }
    }
}
