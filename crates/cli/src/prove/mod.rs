//! `puffinladder prove`: the proving ground, and the processes that it starts.

mod bench;
mod scale;
mod seat;

use crate::control;
use crate::fleet::{lease_store, trace_store, worker, Ground};
use crate::say::{bar, Done, Wrong};
use crate::serve;
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
        What fails leaves a folder with the schedule, the history, all logs and a picture."
)]
pub struct Line {
    /// A schedule, see docs/ops/owners.md
    schedule: Option<PathBuf>,
    /// Keep the run in a folder here, whatever came of it
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Inject a bug into the trace store, which the checkers must find: forgets-epochs, two-steps
    #[arg(long = "inject", alias = "plant", value_name = "BUG")]
    injected_bug: Option<InjectedBug>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct Size {
    /// Replicas of the lease store
    #[arg(long, alias = "keepers", default_value_t = 3)]
    replicas: u64,
    /// Workers that hold leases
    #[arg(long, alias = "stewards", default_value_t = 4)]
    workers: usize,
    /// Stand-in servers that share a quota and drain by slots
    #[arg(long, alias = "seats", default_value_t = 0)]
    quota_servers: usize,
    /// Servers whose traces are gathered
    #[arg(long, default_value_t = 8)]
    servers: usize,
    /// Parts of that duty
    #[arg(long, default_value_t = 8)]
    parts: usize,
    /// s of traffic and faults
    #[arg(long, default_value_t = 8.0)]
    span: f64,
    /// s of a grant's term
    #[arg(long, default_value_t = 0.6)]
    term: f64,
}

#[derive(Subcommand)]
enum Command {
    /// Schedules drawn from seeds, one after the other or several at once
    #[command(
        after_help = "Example:\n  puffinladder prove random --seed 1 --count 500 --workers 16 --jobs 3"
    )]
    Random {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        count: u64,
        /// Schedules at once; too many, and it is the machine that fails
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Where runs that failed are kept
        #[arg(long, default_value = "prove-failed")]
        failed: PathBuf,
        /// Cut a schedule that fails down to the least that does, with so many tries
        #[arg(long, default_value_t = 0)]
        shrink: usize,
        /// Inject a bug into the trace store
        #[arg(long = "inject", alias = "plant", value_name = "BUG")]
        injected_bug: Option<InjectedBug>,
        #[command(flatten)]
        size: Size,
    },
    /// Measure: how long the fleet goes without an owner, and what keepers and instances cost
    #[command(
        after_help = "Example:\n  puffinladder prove bench --rounds 10\n\nIt takes some minutes; nothing should run beside it."
    )]
    Bench {
        /// Runs of each kind, three owners hit in each
        #[arg(long, default_value_t = 10)]
        rounds: u64,
        /// Instances that ask the keepers, for the cost
        #[arg(long, value_delimiter = ',', default_value = "30,100,300")]
        instances: Vec<usize>,
        /// Parts that they own together
        #[arg(long, default_value_t = 10_000)]
        parts: usize,
        /// s for which the cost is measured
        #[arg(long, default_value_t = 10.0)]
        span: f64,
    },
    /// Control services with many servers and callers round them: what must not grow with them, as one table
    #[command(after_help = "Examples:\n  puffinladder prove scale\n  \
        puffinladder prove scale steady dead --servers 200 --callers 1500 --keep runs\n\n\
        Stories that compare play three times as many servers, or callers, too. Judged by counts that the processes\n\
        report, never by time. What fails leaves its folder, with settings and logs.")]
    Scale(scale::Line),
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
        plant: Option<InjectedBug>,
        /// s until a control service forgets a silent server
        #[arg(long, default_value_t = 60.0)]
        forget: f64,
        #[command(flatten)]
        seat: seat::Told,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Keeper,
    Steward,
    Archive,
    Seat,
    Control,
}

pub fn run(line: Line) -> Done {
    match (line.command, line.schedule) {
        (None, None) => Err(Wrong::Asked("a schedule or a command should be given, see --help".into())),
        (None, Some(path)) => one(&path, line.keep, line.injected_bug),
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
            random(seed, count, jobs.max(1), failed, shrink, injected_bug, &size)
        }
        (Some(Command::Bench { rounds, instances, parts, span }), _) => {
            let setup = ground(std::env::temp_dir(), false, None)?;
            bench::bench(&setup, rounds, &instances, parts, span)
        }
        (Some(Command::Scale(line)), _) => scale::scale(line),
        (Some(Command::Part { kind, settings, found, join, rate, wall, plant, forget, seat }), _) => {
            let clock = Clock::skewed(rate, wall);
            let ground = Ground {
                clock,
                events: EventSink { enabled: true },
                sync_pause: Default::default(),
                injected_bug: plant,
            };
            part(kind, settings, found, join, forget, &seat, &ground)
        }
    }
}

/// How the ground starts the processes: as this program's hidden command.
fn ground(folder: PathBuf, keep: bool, plant: Option<InjectedBug>) -> Done<ClusterConfig> {
    let path = std::env::current_exe()?;
    let program = Program { path, leading_args: vec!["prove".into(), "part".into()] };
    Ok(ClusterConfig { program, folder, keep, injected_bug: plant })
}

fn one(path: &Path, keep: Option<PathBuf>, plant: Option<InjectedBug>) -> Done {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Wrong::Failed(format!("{name}: {e}")))?;
    let schedule = Schedule::read(&name, &text).map_err(|faults| {
        Wrong::Asked(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let folder = keep.clone().unwrap_or_else(|| "prove-failed".into());
    let setup = ground(folder, keep.is_some(), plant)?;
    let run = serve::runtime()?.block_on(run_schedule(&schedule, &setup)).map_err(Wrong::Failed)?;
    tell(&run, schedule.seed)?;
    if run.failures.is_empty() {
        println!("{}", sum(&run.counts, run.rows));
        return Ok(());
    }
    Err(Wrong::Failed(format!("{} things do not hold", run.failures.len())))
}

fn sum(counts: &Counts, rows: usize) -> String {
    format!(
        "{rows} rows gathered once each, {} effects, {} grants, {} leaders, {} repeats, {} late effects refused; \
         {} parts of a quota held, {} servers left by a turn",
        counts.effects, counts.grants, counts.leaders, counts.duplicate_effects, counts.stale_effects, counts.quota_parts, counts.drain_slots
    )
}

/// Says what failed, and draws what is kept.
fn tell(run: &RunReport, seed: u64) -> Done {
    for failure in &run.failures {
        eprintln!("puffinladder: seed {seed}: {failure}");
    }
    if let Some(folder) = &run.folder {
        let drawn = timeline::render_svg(&format!("schedule {seed}"), &run.history)
            .map_err(|e| Wrong::Failed(e.to_string()))?;
        std::fs::write(folder.join("run.svg"), drawn)?;
        eprintln!("puffinladder: seed {seed}: kept in {}", folder.display());
    }
    Ok(())
}

fn random(
    seed: u64,
    count: u64,
    jobs: usize,
    failed: PathBuf,
    tries: usize,
    plant: Option<InjectedBug>,
    size: &Schedule,
) -> Done {
    let setup = ground(failed, false, plant)?;
    let runtime = serve::runtime()?;
    let shown = bar("schedules");
    shown.set_length(count);
    let (mut counts, mut rows, mut bad) = (Counts::default(), 0, Vec::new());
    let (mut owned, mut late) = (Vec::new(), 0.0f64);
    let mut next = seed;
    let mut done = 0;
    let begin = |seed: u64| {
        let (schedule, setup) = (Schedule::generate(seed, size), setup.clone());
        async move { (seed, run_schedule(&schedule, &setup).await) }
    };
    runtime.block_on(async {
        let mut under_way = tokio::task::JoinSet::new();
        while done < count {
            while under_way.len() < jobs && next < seed + count {
                under_way.spawn(begin(next));
                next += 1;
            }
            let Some(ended) = under_way.join_next().await else { break };
            let (of, run) = ended.map_err(|e| Wrong::Failed(e.to_string()))?;
            done += 1;
            shown.set_position(done);
            let run = run.map_err(|what| Wrong::Failed(format!("seed {of}: {what}")))?;
            tell(&run, of)?;
            counts += run.counts;
            rows += run.rows;
            late = late.max(run.scheduling_delay);
            if run.failures.is_empty() {
                owned.push(run.reassignment_time);
            } else {
                bad.push(of);
            }
        }
        Done::Ok(())
    })?;
    shown.finish_and_clear();
    owned.sort_by(f64::total_cmp);
    println!("{count} schedules from seed {seed}: {}", sum(&counts, rows));
    println!("all owned again {:.2} s after the last fault in the median, {:.2} at p99; the ground was late by {late:.3} s at the most", quantile(&owned, 0.5), quantile(&owned, 0.99));
    if bad.is_empty() {
        return Ok(());
    }
    if tries > 0 {
        let first = Schedule::generate(bad[0], size);
        eprintln!("puffinladder: cuts seed {} down", bad[0]);
        let fails = |schedule: &Schedule| {
            runtime.block_on(run_schedule(schedule, &setup)).is_ok_and(|run| !run.failures.is_empty())
        };
        println!("{}", shrink(&first, tries, fails));
    }
    Err(Wrong::Failed(format!("schedules {bad:?} failed")))
}

fn part(
    kind: Kind,
    settings: PathBuf,
    found: bool,
    join: bool,
    forget: f64,
    seat: &seat::Told,
    ground: &Ground,
) -> Done {
    let (name, settings) = serve::settings(Some(settings))?;
    serve::log(&settings);
    let told = ground.clone();
    std::thread::spawn(move || heed(&told));
    let runtime = serve::runtime()?;
    match kind {
        Kind::Keeper => {
            let begin = match (found, join) {
                (true, _) => lease_store::StartMode::Bootstrap,
                (_, true) => lease_store::StartMode::Join,
                _ => lease_store::StartMode::Open,
            };
            let told = serve::section(&name, "keeper", settings.lease_store)?;
            runtime.block_on(lease_store::run_replica(&told, begin, ground))
        }
        Kind::Steward => {
            let told = serve::section(&name, "steward", settings.worker)?;
            runtime.block_on(worker::run_service(&told, ground))
        }
        Kind::Control => {
            let told = serve::section(&name, "control", settings.control)?;
            runtime.block_on(control::on_ground(&told, forget, ground))
        }
        Kind::Seat => runtime.block_on(seat::sit(seat, ground)),
        Kind::Archive => {
            let told = serve::section(&name, "archive", settings.trace_store)?;
            runtime.block_on(trace_store::run_service(&told, ground))
        }
    }
}

/// Does what the ground says, a line each: `rate 1.01`, `wall 86400`, `sync 2000`. Once it is gone, so is this process.
fn heed(ground: &Ground) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let Some((what, value)) = line.split_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        match what {
            "rate" => ground.clock.set_rate(value),
            "wall" => ground.clock.set_wall_offset(value),
            "sync" => ground.sync_pause.store(value as u64, Ordering::Relaxed),
            _ => {}
        }
    }
    std::process::exit(3);
}
