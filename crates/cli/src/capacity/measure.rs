//! `puffinladder capacity measure`: measures the cost of each role with real processes, and writes a file of points.

use crate::serve;
use crate::terminal::{CommandError, CommandResult};
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
    after_help = "Each role runs as a process of this program on loopback with emulated peers, at three sizes or more along each dimension that\n\
        its cost may grow with. The points of a series replace its earlier points; a series that fails is listed at the end and keeps them.\n\
        It takes about eight minutes, on an otherwise idle machine.\n\nExamples:\n  \
        puffinladder capacity measure --beside nothing\n  \
        puffinladder capacity measure server keeper --span 10s\n  \
        puffinladder capacity measure server --series customers\n  \
        puffinladder capacity measure --small --points /tmp/points.json"
)]
pub struct MeasureArgs {
    /// Roles to measure [default: all]
    #[arg(value_name = "ROLE")]
    roles: Vec<String>,
    /// File of the points
    #[arg(long, value_name = "FILE", default_value = "docs/capacity/points.json")]
    points: PathBuf,
    /// Duration of each measurement
    #[arg(long, value_parser = span, default_value = "5s")]
    span: Duration,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Use tiny sizes, all series in parallel; tests the command, but its times mean nothing
    #[arg(long)]
    small: bool,
    /// Measure only series along this dimension
    #[arg(long, value_name = "NAME")]
    series: Option<String>,
    /// Note on other load of the machine, stored with the points
    #[arg(long, value_name = "TEXT", default_value = "nothing stated")]
    beside: String,
}

fn span(text: &str) -> Result<Duration, String> {
    let us = parse_span(text).and_then(|us| u64::try_from(us).ok()).map(Duration::from_micros);
    let fits = |span: &Duration| (Duration::from_millis(200)..=Duration::from_secs(600)).contains(span);
    us.filter(fits).ok_or_else(|| "should be a span from 200ms to 10m".into())
}

/// Returns the package's version and, in a checkout, the commit.
fn version() -> String {
    let package = env!("CARGO_PKG_VERSION");
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let commit =
        output.ok().filter(|out| out.status.success()).and_then(|out| String::from_utf8(out.stdout).ok());
    commit.map_or(package.into(), |commit| format!("{package} {}", commit.trim()))
}

/// Returns the series that the arguments select, in the order of measurement.
fn select_series(args: &MeasureArgs) -> CommandResult<Vec<Series>> {
    if let Some(role) = args.roles.iter().find(|role| !ROLES.contains(&role.as_str())) {
        return Err(CommandError::Usage(format!("{role}: should be one of {}", ROLES.join(", "))));
    }
    let selected = |role: &str| args.roles.is_empty() || args.roles.iter().any(|name| name == role);
    let mut series = all(args.small);
    series.retain(|series| series.run.roles().iter().any(|role| selected(role)));
    if let Some(name) = &args.series {
        series.retain(|series| series.varied == name);
    }
    match series.is_empty() {
        true => Err(CommandError::Usage(
            "no such series: see --help, and docs/CAPACITY.md for the measured series".into(),
        )),
        false => Ok(series),
    }
}

fn read_points(path: &Path) -> CommandResult<Points> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Points::parse(&name, &text).map_err(|fault| CommandError::Usage(fault.to_string())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Points::default()),
        Err(e) => Err(CommandError::Failed(format!("{name}: {e}"))),
    }
}

/// Writes the points to a temporary file and renames it into place.
fn write_points(path: &Path, points: &Points) -> CommandResult {
    let temporary = path.with_extension("part");
    let written = std::fs::write(&temporary, points.print()).and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|e| CommandError::Failed(format!("{}: {e}", path.display())))
}

/// Tells whether two points belong to one series: same role, varied dimension and fixed sizes.
fn same_series(first: &Point, second: &Point) -> bool {
    let fixed_sizes = |point: &Point| {
        let mut sizes = point.sizes.clone();
        sizes.remove(&point.varied);
        sizes
    };
    first.role == second.role && first.varied == second.varied && fixed_sizes(first) == fixed_sizes(second)
}

fn print_point(point: &Point) {
    let sizes: Vec<String> = point.sizes.iter().map(|(name, value)| format!("{value} {name}")).collect();
    let figure = |(name, value): (&String, &f64)| match value.abs() {
        large if large >= 100.0 || large == 0.0 => format!("{name} {value:.0}"),
        large if large >= 0.01 => format!("{name} {value:.3}"),
        _ => format!("{name} {value:.2e}"),
    };
    let measures: Vec<String> = point.measures.iter().map(figure).collect();
    println!("{} at {}: {}", point.role, sizes.join(", "), measures.join(", "));
}

pub fn run(args: MeasureArgs) -> CommandResult {
    let series = select_series(&args)?;
    let mut points = read_points(&args.points)?;
    // Checks that the file is writable before the measurements.
    write_points(&args.points, &points)?;
    let stamp = Stamp {
        date: jiff::Timestamp::now().strftime("%Y-%m-%d %H:%M").to_string(),
        version: version(),
        cores: std::thread::available_parallelism().map_or(1, |cores| cores.get() as u32),
        beside: args.beside.clone(),
    };
    let program = std::env::current_exe()?;
    let gauge = Gauge { program, seed: args.seed, span: args.span.as_secs_f64(), stamp };
    // In parallel at tiny sizes, where times mean nothing.
    let batch_size = if args.small { series.len() } else { 1 };
    let local = tokio::task::LocalSet::new();
    let measured = local.run_until(async {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let mut failed = Vec::new();
        for batch in series.chunks(batch_size) {
            let mut running = JoinSet::new();
            for series in batch {
                let (gauge, series) = (gauge.clone(), series.clone());
                running.spawn_local(async move { (series.name(), measure(&gauge, &series).await) });
            }
            loop {
                let joined = tokio::select! {
                    joined = running.join_next() => joined,
                    // Dropping the running tasks kills their processes.
                    _ = term.recv() => return Err(CommandError::Failed("interrupted by SIGTERM or SIGINT".into())),
                    _ = int.recv() => return Err(CommandError::Failed("interrupted by SIGTERM or SIGINT".into())),
                };
                let Some(joined) = joined else { break };
                match joined.map_err(|e| CommandError::Failed(e.to_string()))? {
                    (_, Ok(mut new)) => {
                        new.retain(|point| args.roles.is_empty() || args.roles.contains(&point.role));
                        points.points.retain(|old| !new.iter().any(|new| same_series(old, new)));
                        points.points.extend(new);
                        write_points(&args.points, &points)?;
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
            false => Err(CommandError::Failed(format!("not measured: {}", failed.join(", ")))),
        }
    });
    serve::runtime()?.block_on(measured)
}

/// Measures all points of a series, or fails with none.
async fn measure(gauge: &Gauge, series: &Series) -> Result<Vec<Point>, String> {
    let mut measured = Vec::new();
    for sizes in &series.sizes {
        let points = gauge.take(series, sizes).await?;
        points.iter().for_each(print_point);
        measured.extend(points);
    }
    Ok(measured)
}
