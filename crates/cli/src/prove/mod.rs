//! `puffinladder prove`: fault-injection tests over real processes, and the hidden command that runs each process.

mod bench;
mod scale;
mod server;

use crate::control;
use crate::fleet::{lease_store, trace_store, worker, ServiceEnvironment};
use crate::serve;
use crate::terminal::{progress_bar, CommandError, CommandResult};
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_leases::protocol::EventSink;
use puffinladder_proving::check::Counts;
use puffinladder_proving::cluster::{run_schedule, ClusterConfig, RunReport};
use puffinladder_proving::measure::quantile;
use puffinladder_proving::process::Program;
use puffinladder_proving::schedule::Schedule;
use puffinladder_proving::shrink::shrink;
use puffinladder_proving::timeline;
use puffinladder_trace_store::injected_bug::InjectedBug;
use puffinladder_transport::Clock;
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder prove schedule.scm --keep runs\n  puffinladder prove random --seed 1 --count 20 --workers 14\n\n\
        A failed run leaves a folder with the schedule, the history, all logs and a plot."
)]
pub struct ProveArgs {
    /// File with a schedule, see docs/ops/owners.md
    schedule: Option<PathBuf>,
    /// Keep the run in a folder here, also when it passes
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Inject a bug into the trace store, which the checkers must detect: forgets-epochs, two-steps
    #[arg(long = "inject", alias = "plant", value_name = "BUG")]
    injected_bug: Option<InjectedBug>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Size of the fleet in drawn schedules.
#[derive(Args)]
struct Size {
    /// Replicas of the lease store
    #[arg(long, alias = "keepers", default_value_t = 3)]
    replicas: u64,
    /// Workers that hold leases
    #[arg(long, alias = "stewards", default_value_t = 4)]
    workers: usize,
    /// Emulated servers that share a quota and drain by slots
    #[arg(long, alias = "seats", default_value_t = 0)]
    quota_servers: usize,
    /// Servers whose traces are collected
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// Parts of the collection task
    #[arg(long, default_value_t = 8)]
    parts: usize,
    /// Duration of traffic and faults, s
    #[arg(long, default_value_t = 8.0)]
    span: f64,
    /// Duration of a lease, s
    #[arg(long, default_value_t = 0.6)]
    term: f64,
}

#[derive(Subcommand)]
enum Command {
    /// Run schedules drawn from seeds
    #[command(
        after_help = "Example:\n  puffinladder prove random --seed 1 --count 500 --workers 16 --jobs 3"
    )]
    Random {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        count: u64,
        /// Schedules run in parallel; an overloaded machine makes runs fail
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Folder for failed runs
        #[arg(long, default_value = "prove-failed")]
        failed: PathBuf,
        /// Shrink the first failing schedule with up to this many runs
        #[arg(long, default_value_t = 0)]
        shrink: usize,
        /// Inject a bug into the trace store
        #[arg(long = "inject", alias = "plant", value_name = "BUG")]
        injected_bug: Option<InjectedBug>,
        #[command(flatten)]
        size: Size,
    },
    /// Measure the time without a lease holder after a fault, and the cost of keepers and instances
    #[command(
        after_help = "Example:\n  puffinladder prove bench --rounds 10\n\nIt takes some minutes, on an otherwise idle machine."
    )]
    Bench {
        /// Runs for each kind of fault, with three faults each
        #[arg(long, default_value_t = 10)]
        rounds: u64,
        /// Numbers of instances for which the cost is measured
        #[arg(long, value_delimiter = ',', default_value = "30,100,300")]
        instances: Vec<usize>,
        /// Parts of the task that the instances share
        #[arg(long, default_value_t = 10_000)]
        parts: usize,
        /// Duration of the cost measurement, s
        #[arg(long, default_value_t = 10.0)]
        span: f64,
    },
    /// Check costs that must not grow with the number of servers and callers, and print a table
    #[command(after_help = "Examples:\n  puffinladder prove scale\n  \
        puffinladder prove scale steady dead --servers 200 --callers 1500 --keep runs\n\n\
        Stories that compare sizes also run with three times as many servers or callers. They check counts that the processes\n\
        report, never times. A failed story leaves its folder, with settings and logs.")]
    Scale(scale::ScaleArgs),
    /// Run one process of a fault-injection test, which controls its clock and disk delays over standard input
    #[command(hide = true)]
    Part {
        kind: ProcessKind,
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        found: bool,
        #[arg(long)]
        join: bool,
        /// Rate of the process's clock
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
        /// Offset of the wall clock, s
        #[arg(long, default_value_t = 0.0, allow_negative_numbers = true)]
        wall: f64,
        /// Bug in the trace store that the checkers must detect
        #[arg(long)]
        plant: Option<InjectedBug>,
        /// Time until a control service evicts a silent server, s
        #[arg(long, default_value_t = 60.0)]
        forget: f64,
        #[command(flatten)]
        server: server::ServerArgs,
    },
}

/// Kind of process that `part` runs.
#[derive(Clone, Copy, ValueEnum)]
enum ProcessKind {
    Keeper,
    Steward,
    Archive,
    #[value(name = "seat")]
    Server,
    Control,
}

pub fn run(args: ProveArgs) -> CommandResult {
    match (args.command, args.schedule) {
        (None, None) => {
            Err(CommandError::Usage("a schedule or a command should be given, see --help".into()))
        }
        (None, Some(path)) => run_schedule_file(&path, args.keep, args.injected_bug),
        (Some(Command::Random { seed, count, jobs, failed, shrink, injected_bug, size }), _) => {
            let size = Schedule {
                replicas: size.replicas,
                workers: size.workers,
                quota_servers: size.quota_servers,
                servers: size.servers,
                parts: size.parts,
                duration: size.span,
                lease_term: size.term,
                ..Schedule::default()
            };
            run_random(seed, count, jobs.max(1), failed, shrink, injected_bug, &size)
        }
        (Some(Command::Bench { rounds, instances, parts, span }), _) => {
            let setup = test_setup(std::env::temp_dir(), false, None)?;
            bench::bench(&setup, rounds, &instances, parts, span)
        }
        (Some(Command::Scale(args)), _) => scale::scale(args),
        (Some(Command::Part { kind, settings, found, join, rate, wall, plant, forget, server }), _) => {
            let environment = ServiceEnvironment {
                clock: Clock::skewed(rate, wall),
                events: EventSink { enabled: true },
                sync_pause: Default::default(),
                injected_bug: plant,
            };
            run_process(kind, settings, found, join, forget, &server, &environment)
        }
    }
}

/// Returns a setup that starts processes as this program's hidden command `prove part`.
fn test_setup(folder: PathBuf, keep: bool, plant: Option<InjectedBug>) -> CommandResult<ClusterConfig> {
    let path = std::env::current_exe()?;
    let program = Program { path, leading_args: vec!["prove".into(), "part".into()] };
    Ok(ClusterConfig { program, folder, keep, injected_bug: plant, starts_leased: false })
}

fn run_schedule_file(path: &Path, keep: Option<PathBuf>, plant: Option<InjectedBug>) -> CommandResult {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| CommandError::Failed(format!("{name}: {e}")))?;
    let schedule = Schedule::read(&name, &text).map_err(|faults| {
        CommandError::Usage(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let folder = keep.clone().unwrap_or_else(|| "prove-failed".into());
    let setup = test_setup(folder, keep.is_some(), plant)?;
    let run = serve::runtime()?.block_on(run_schedule(&schedule, &setup)).map_err(CommandError::Failed)?;
    report_failures(&run, schedule.seed)?;
    if run.failures.is_empty() {
        println!("{}", summary_text(&run.counts, run.rows));
        return Ok(());
    }
    Err(CommandError::Failed(format!("{} checks failed", run.failures.len())))
}

fn summary_text(counts: &Counts, rows: usize) -> String {
    format!(
        "{rows} rows collected once each, {} effects, {} grants, {} leaders, {} repeats, {} stale effects rejected; \
         {} quota shares applied, {} servers drained by a slot",
        counts.effects, counts.grants, counts.leaders, counts.duplicate_effects, counts.stale_effects, counts.quota_parts, counts.drain_slots
    )
}

/// Prints the failures of a run, and plots the history of a kept run.
fn report_failures(run: &RunReport, seed: u64) -> CommandResult {
    for failure in &run.failures {
        eprintln!("puffinladder: seed {seed}: {failure}");
    }
    if let Some(folder) = &run.folder {
        let svg = timeline::render_svg(&format!("schedule {seed}"), &run.history)
            .map_err(|e| CommandError::Failed(e.to_string()))?;
        std::fs::write(folder.join("run.svg"), svg)?;
        eprintln!("puffinladder: seed {seed}: kept in {}", folder.display());
    }
    Ok(())
}

/// Runs `count` schedules drawn from seeds, and shrinks the first that fails.
fn run_random(
    seed: u64,
    count: u64,
    jobs: usize,
    failed: PathBuf,
    tries: usize,
    plant: Option<InjectedBug>,
    size: &Schedule,
) -> CommandResult {
    let setup = test_setup(failed, false, plant)?;
    let runtime = serve::runtime()?;
    let bar = progress_bar("schedules");
    bar.set_length(count);
    let (mut counts, mut rows, mut failed_seeds) = (Counts::default(), 0, Vec::new());
    let (mut recovery_times, mut late) = (Vec::new(), 0.0f64);
    let mut next = seed;
    let mut completed = 0;
    let start = |seed: u64| {
        let (schedule, setup) = (Schedule::generate(seed, size), setup.clone());
        async move { (seed, run_schedule(&schedule, &setup).await) }
    };
    runtime.block_on(async {
        let mut running = tokio::task::JoinSet::new();
        while completed < count {
            while running.len() < jobs && next < seed + count {
                running.spawn(start(next));
                next += 1;
            }
            let Some(joined) = running.join_next().await else { break };
            let (run_seed, run) = joined.map_err(|e| CommandError::Failed(e.to_string()))?;
            completed += 1;
            bar.set_position(completed);
            let run = run.map_err(|error| CommandError::Failed(format!("seed {run_seed}: {error}")))?;
            report_failures(&run, run_seed)?;
            counts += run.counts;
            rows += run.rows;
            late = late.max(run.scheduling_delay);
            if run.failures.is_empty() {
                recovery_times.push(run.reassignment_time);
            } else {
                failed_seeds.push(run_seed);
            }
        }
        CommandResult::Ok(())
    })?;
    bar.finish_and_clear();
    recovery_times.sort_by(f64::total_cmp);
    println!("{count} schedules from seed {seed}: {}", summary_text(&counts, rows));
    println!("time from the last fault until all parts have holders: median {:.2} s, p99 {:.2} s; faults injected at most {late:.3} s late", quantile(&recovery_times, 0.5), quantile(&recovery_times, 0.99));
    if failed_seeds.is_empty() {
        return Ok(());
    }
    if tries > 0 {
        let first = Schedule::generate(failed_seeds[0], size);
        eprintln!("puffinladder: shrinking the schedule of seed {}", failed_seeds[0]);
        let fails = |schedule: &Schedule| {
            runtime.block_on(run_schedule(schedule, &setup)).is_ok_and(|run| !run.failures.is_empty())
        };
        println!("{}", shrink(&first, tries, fails));
    }
    Err(CommandError::Failed(format!("schedules {failed_seeds:?} failed")))
}

/// Runs one process of a test.
fn run_process(
    kind: ProcessKind,
    settings: PathBuf,
    found: bool,
    join: bool,
    evict_after: f64,
    server: &server::ServerArgs,
    environment: &ServiceEnvironment,
) -> CommandResult {
    let (name, settings) = serve::load_settings(Some(settings))?;
    serve::init_logging(&settings);
    let handle = environment.clone();
    std::thread::spawn(move || apply_commands(&handle));
    let runtime = serve::runtime()?;
    match kind {
        ProcessKind::Keeper => {
            let start_mode = match (found, join) {
                (true, _) => lease_store::StartMode::Bootstrap,
                (_, true) => lease_store::StartMode::Join,
                _ => lease_store::StartMode::Open,
            };
            let section = serve::require_section(&name, "keeper", settings.lease_store)?;
            runtime.block_on(lease_store::run_replica(&section, start_mode, environment))
        }
        ProcessKind::Steward => {
            let section = serve::require_section(&name, "steward", settings.worker)?;
            runtime.block_on(worker::run_service(&section, environment))
        }
        ProcessKind::Control => {
            let section = serve::require_section(&name, "control", settings.control)?;
            runtime.block_on(control::run_in_test(&section, evict_after, environment))
        }
        ProcessKind::Server => runtime.block_on(server::run_server(server, environment)),
        ProcessKind::Archive => {
            let section = serve::require_section(&name, "archive", settings.trace_store)?;
            runtime.block_on(trace_store::run_service(&section, environment))
        }
    }
}

/// Applies commands from standard input, one a line: `rate 1.01`, `wall 86400`, `sync 2000`. Exits at the end of the input, so that the
/// process does not outlive the test.
fn apply_commands(environment: &ServiceEnvironment) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let Some((command, value)) = line.split_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        match command {
            "rate" => environment.clock.set_rate(value),
            "wall" => environment.clock.set_wall_offset(value),
            "sync" => environment.sync_pause.store(value as u64, Ordering::Relaxed),
            _ => {}
        }
    }
    std::process::exit(3);
}
