//! `puffinladder capacity measure`: what each role costs, by real processes, into a file of points.

use crate::say::{Done, Wrong};
use crate::serve;
use clap::Args;
use puffinladder_capacity::point::{Point, Points, ROLES};
use puffinladder_gauging::series::{all, Series};
use puffinladder_gauging::{Gauge, Stamp};
use puffinladder_trace::expr::parse_span;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

#[derive(Args)]
#[command(
    after_help = "Each role runs as a process of this program on loopback, with its peers played, at three sizes or more along each dimension that\n\
        its cost may grow with. Points of a series replace those that were there of it; a series that fails is told at the end and leaves the old ones.\n\
        It takes about eight minutes; nothing should run beside it.\n\nExamples:\n  \
        puffinladder capacity measure --beside nothing\n  \
        puffinladder capacity measure server keeper --span 10s\n  \
        puffinladder capacity measure server --series customers\n  \
        puffinladder capacity measure --small --points /tmp/points.json"
)]
pub struct Line {
    /// Roles to measure [default: all]
    #[arg(value_name = "ROLE")]
    roles: Vec<String>,
    /// Where the points go
    #[arg(long, value_name = "FILE", default_value = "docs/capacity/points.json")]
    points: PathBuf,
    /// How long each point is measured
    #[arg(long, value_parser = span, default_value = "5s")]
    span: Duration,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// At tiny sizes and beside each other, which says nothing but that it works
    #[arg(long)]
    small: bool,
    /// Only series along this dimension
    #[arg(long, value_name = "NAME")]
    series: Option<String>,
    /// What runs on the machine meanwhile
    #[arg(long, value_name = "TEXT", default_value = "nothing stated")]
    beside: String,
}

fn span(text: &str) -> Result<Duration, String> {
    let us = parse_span(text).and_then(|us| u64::try_from(us).ok()).map(Duration::from_micros);
    let fits = |span: &Duration| (Duration::from_millis(200)..=Duration::from_secs(600)).contains(span);
    us.filter(fits).ok_or_else(|| "should be a span from 200ms to 10m".into())
}

/// The package's version and, in a checkout, its commit.
fn version() -> String {
    let package = env!("CARGO_PKG_VERSION");
    let asked = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let commit =
        asked.ok().filter(|out| out.status.success()).and_then(|out| String::from_utf8(out.stdout).ok());
    commit.map_or(package.into(), |commit| format!("{package} {}", commit.trim()))
}

/// What is asked for, in the order in which it is measured.
fn chosen(line: &Line) -> Done<Vec<Series>> {
    if let Some(role) = line.roles.iter().find(|role| !ROLES.contains(&role.as_str())) {
        return Err(Wrong::Asked(format!("{role}: should be one of {}", ROLES.join(", "))));
    }
    let asked = |role: &str| line.roles.is_empty() || line.roles.iter().any(|asked| asked == role);
    let mut series = all(line.small);
    series.retain(|series| series.run.roles().iter().any(|role| asked(role)));
    if let Some(name) = &line.series {
        series.retain(|series| series.varied == name);
    }
    match series.is_empty() {
        true => Err(Wrong::Asked(
            "there is no such series: see --help, and docs/CAPACITY.md for what is measured".into(),
        )),
        false => Ok(series),
    }
}

fn read(path: &Path) -> Done<Points> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Points::parse(&name, &text).map_err(|fault| Wrong::Asked(fault.to_string())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Points::default()),
        Err(e) => Err(Wrong::Failed(format!("{name}: {e}"))),
    }
}

/// Beside the old file first, then in its place.
fn write(path: &Path, points: &Points) -> Done {
    let part = path.with_extension("part");
    let done = std::fs::write(&part, points.print()).and_then(|()| std::fs::rename(&part, path));
    done.map_err(|e| Wrong::Failed(format!("{}: {e}", path.display())))
}

/// Whether both stand for the same series: role, dimension, and what was held.
fn alike(one: &Point, other: &Point) -> bool {
    let held = |point: &Point| {
        let mut sizes = point.sizes.clone();
        sizes.remove(&point.varied);
        sizes
    };
    one.role == other.role && one.varied == other.varied && held(one) == held(other)
}

fn show(point: &Point) {
    let sizes: Vec<String> = point.sizes.iter().map(|(name, value)| format!("{value} {name}")).collect();
    let figure = |(name, value): (&String, &f64)| match value.abs() {
        large if large >= 100.0 || large == 0.0 => format!("{name} {value:.0}"),
        large if large >= 0.01 => format!("{name} {value:.3}"),
        _ => format!("{name} {value:.2e}"),
    };
    let measures: Vec<String> = point.measures.iter().map(figure).collect();
    println!("{} at {}: {}", point.role, sizes.join(", "), measures.join(", "));
}

pub fn run(line: Line) -> Done {
    let chosen = chosen(&line)?;
    let mut points = read(&line.points)?;
    // Before anything is measured: a folder that is missing would lose it all.
    write(&line.points, &points)?;
    let stamp = Stamp {
        date: jiff::Timestamp::now().strftime("%Y-%m-%d %H:%M").to_string(),
        version: version(),
        cores: std::thread::available_parallelism().map_or(1, |cores| cores.get() as u32),
        beside: line.beside.clone(),
    };
    let program = std::env::current_exe()?;
    let gauge = Gauge { program, seed: line.seed, span: line.span.as_secs_f64(), stamp };
    // Beside each other where times mean nothing, else one after the other.
    let batch = if line.small { chosen.len() } else { 1 };
    let local = tokio::task::LocalSet::new();
    let measured = local.run_until(async {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let mut failed = Vec::new();
        for batch in chosen.chunks(batch) {
            let mut under_way = JoinSet::new();
            for series in batch {
                let (gauge, series) = (gauge.clone(), series.clone());
                under_way.spawn_local(async move { (series.name(), measure(&gauge, &series).await) });
            }
            loop {
                let ended = tokio::select! {
                    ended = under_way.join_next() => ended,
                    // What is under way is dropped, and its processes are killed.
                    _ = term.recv() => return Err(Wrong::Failed("was told to leave".into())),
                    _ = int.recv() => return Err(Wrong::Failed("was told to leave".into())),
                };
                let Some(ended) = ended else { break };
                match ended.map_err(|e| Wrong::Failed(e.to_string()))? {
                    (_, Ok(mut new)) => {
                        new.retain(|point| line.roles.is_empty() || line.roles.contains(&point.role));
                        points.points.retain(|old| !new.iter().any(|new| alike(old, new)));
                        points.points.extend(new);
                        write(&line.points, &points)?;
                    }
                    (name, Err(fault)) => {
                        eprintln!("puffinladder: {fault}");
                        failed.push(name);
                    }
                }
            }
        }
        match failed.is_empty() {
            true => Ok(()),
            false => Err(Wrong::Failed(format!("not measured: {}", failed.join(", ")))),
        }
    });
    serve::runtime()?.block_on(measured)
}

/// All points of a series, or none.
async fn measure(gauge: &Gauge, series: &Series) -> Result<Vec<Point>, String> {
    let mut all = Vec::new();
    for sizes in &series.sizes {
        let points = gauge.take(series, sizes).await?;
        points.iter().for_each(show);
        all.extend(points);
    }
    Ok(all)
}
