//! `puffinladder emulate`: the control traffic of many servers or callers from one process (`docs/emulator.md`).

use crate::serve::runtime;
use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_control::stream::LeaseConfig;
use puffinladder_emulator::callers::{CallersConfig, EmulatedCallers};
use puffinladder_emulator::connection_stats::ConnectionStats;
use puffinladder_emulator::names::{customer, product};
use puffinladder_emulator::process_usage;
use puffinladder_emulator::servers::{EmulatedServers, ServersConfig};
use puffinladder_emulator::traffic::Load;
use puffinladder_trace::expr::parse_span;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep_until, timeout};

#[derive(Args)]
#[command(
    after_help = "Prints one line of JSON each second and at the end: open connections, the traffic on them, and the resources of the \
    process.\nSIGTERM ends it.\n\nExamples:\n  \
    puffinladder emulate servers --count 300 --control 127.0.0.1:18001 --span 10s\n  \
    puffinladder emulate callers --count 2000 --control 127.0.0.1:18000 --services 230 --zones 6"
)]
pub struct EmulateArgs {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Emulate servers that report to control services and, with --stewards, receive quota shares and drain slots
    Servers(ServersArgs),
    /// Emulate callers that receive their routes over xDS
    Callers(CallersArgs),
    /// Print the names that emulated servers use, for the settings of workers and servers
    #[command(after_help = "Example:\n  puffinladder emulate names --customers 15000")]
    Names {
        #[arg(long, default_value_t = 0)]
        customers: usize,
        #[arg(long, default_value_t = 0)]
        products: usize,
    },
}

#[derive(Args)]
struct CommonArgs {
    /// Number of servers or callers
    #[arg(long)]
    count: usize,
    /// Number of the first; give parallel processes disjoint ranges
    #[arg(long, default_value_t = 0)]
    first: usize,
    /// Addresses of all control services: for reports, or for xDS
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<SocketAddr>,
    #[arg(long, default_value_t = 1)]
    zones: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the run [default: until SIGTERM]
    #[arg(long, value_parser = span)]
    span: Option<Duration>,
    /// Time over which the starts are spread evenly
    #[arg(long, value_parser = span_or_none, default_value = "1s")]
    start_within: Duration,
}

#[derive(Args)]
struct ServersArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Addresses of all workers
    #[arg(long, value_delimiter = ',')]
    stewards: Vec<SocketAddr>,
    #[arg(long, default_value_t = 20)]
    customers: usize,
    #[arg(long, default_value_t = 10)]
    products: usize,
    /// Interval between reports
    #[arg(long, value_parser = span, default_value = "250ms")]
    every: Duration,
    /// Requests a second that each server reports
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
    /// Repeat the same load in all reports, so that plans do not change
    #[arg(long)]
    calm: bool,
    /// Servers of the whole fleet, for equal shares of quotas [default: --count]
    #[arg(long)]
    fleet: Option<usize>,
    /// Quota of each customer over the fleet, txns a second
    #[arg(long, default_value_t = 100.0)]
    quota: f64,
    /// Longest wait for a drain slot at SIGTERM, with --stewards
    #[arg(long, value_parser = span_or_none, default_value = "0s")]
    patience: Duration,
}

#[derive(Args)]
struct CallersArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Number of services the callers are spread over
    #[arg(long, default_value_t = 1)]
    services: usize,
    #[arg(long, value_enum, default_value_t = Mode::Delta)]
    mode: Mode,
    /// Bound on a decision's age that the control services use, to compute ages from leases [default: theirs]
    #[arg(long, value_parser = span)]
    bound: Option<Duration>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Mode {
    /// Incremental xDS
    Delta,
    /// State of the world
    State,
}

/// Time for servers to stop after the longest wait for a drain slot.
const SHUTDOWN_SLACK: Duration = Duration::from_secs(2);
/// Longest span that an option accepts.
const MAX_SPAN: Duration = Duration::from_secs(86_400);

fn span_or_none(text: &str) -> Result<Duration, String> {
    let us = parse_span(text).and_then(|us| u64::try_from(us).ok());
    let span = us.map(Duration::from_micros).filter(|span| *span <= MAX_SPAN);
    span.ok_or("should be a span such as 250ms or 10s, a day at the most".into())
}

fn span(text: &str) -> Result<Duration, String> {
    span_or_none(text).and_then(|span| match span >= Duration::from_millis(1) {
        true => Ok(span),
        false => Err("should be 1ms or more".into()),
    })
}

/// One printed line of JSON; the keys are described in `docs/emulator.md`.
#[derive(Serialize)]
struct Snapshot {
    event: &'static str,
    /// Time since the start, s.
    at: f64,
    connected: u64,
    links: u64,
    sent: u64,
    received: u64,
    messages_sent: u64,
    messages_received: u64,
    reconnects: u64,
    cpu: f64,
    resident: u64,
    descriptors: u64,
    #[serde(flatten)]
    callers: Option<CallerFigures>,
}

#[derive(Serialize)]
struct CallerFigures {
    version: Option<String>,
    acked: usize,
    latest: usize,
    holding: usize,
    lag_p50: Option<f64>,
    lag_p99: Option<f64>,
}

pub fn run(args: EmulateArgs) -> CommandResult {
    match args.command {
        Command::Servers(args) => {
            let config = args.config()?;
            runtime()?.block_on(async {
                let servers = EmulatedServers::start(&config);
                let stats = servers.stats.clone();
                print_snapshots(&args.common, &stats, |_| None).await?;
                let started = Instant::now();
                let timed_out =
                    timeout(config.drain_patience + SHUTDOWN_SLACK, servers.shut_down()).await.is_err();
                if timed_out {
                    eprintln!(
                        "puffinladder: some emulated servers still ran after {:.1} s",
                        started.elapsed().as_secs_f64()
                    );
                }
                Ok(())
            })
        }
        Command::Callers(args) => {
            let config = args.config()?;
            runtime()?.block_on(async {
                let callers = EmulatedCallers::start(&config);
                print_snapshots(&args.common, &callers.stats, |end| Some(caller_figures(&callers, end))).await
            })
        }
        Command::Names { customers, products } => {
            let mut out = std::io::stdout().lock();
            for number in 0..customers {
                writeln!(out, "customer {}", customer(number))?;
            }
            for number in 0..products {
                writeln!(out, "product {}", product(number))?;
            }
            Ok(())
        }
    }
}

impl CommonArgs {
    /// Validates the numbers and the descriptor limit, for `connections_each` connections of one server or caller.
    fn check(&self, connections_each: usize) -> CommandResult {
        if self.count == 0 {
            return Err(CommandError::Usage("--count: should be 1 or more".into()));
        }
        if self.count.checked_add(self.first).is_none_or(|last| last > 1 << 24) {
            return Err(CommandError::Usage("--first, --count: numbers go up to 16777216".into()));
        }
        let needed = self.count as u64 * connections_each as u64;
        process_usage::check_descriptors(needed).map_err(|error| {
            let text = format!(
                "--count: {needed} connections are needed and {error}: emulate fewer in each of more processes"
            );
            CommandError::Usage(text)
        })
    }
}

impl ServersArgs {
    fn config(&self) -> CommandResult<ServersConfig> {
        let common = &self.common;
        common.check(common.control.len() + self.stewards.len())?;
        for (key, value) in [("--rate", self.rate), ("--quota", self.quota)] {
            if !(0.0..=1e6).contains(&value) {
                return Err(CommandError::Usage(format!("{key}: should be from 0 to 1000000")));
            }
        }
        for (key, value, max) in
            [("--customers", self.customers, 100_000), ("--products", self.products, 10_000)]
        {
            if value > max {
                return Err(CommandError::Usage(format!("{key}: should be {max} or less")));
            }
        }
        Ok(ServersConfig {
            count: common.count,
            first: common.first,
            control: common.control.clone(),
            workers: self.stewards.clone(),
            load: Load {
                products: self.products,
                customers: self.customers,
                rate: self.rate,
                calm: self.calm,
            },
            report_interval: self.every,
            zones: common.zones,
            seed: common.seed,
            start_within: common.start_within,
            fleet_size: self.fleet.unwrap_or(common.count),
            quota: self.quota,
            drain_patience: self.patience,
        })
    }
}

impl CallersArgs {
    fn config(&self) -> CommandResult<CallersConfig> {
        let common = &self.common;
        common.check(1)?;
        Ok(CallersConfig {
            count: common.count,
            first: common.first,
            control: common.control.clone(),
            services: self.services,
            zones: common.zones,
            incremental: matches!(self.mode, Mode::Delta),
            seed: common.seed,
            start_within: common.start_within,
            lease: self.bound.unwrap_or(Duration::from_secs_f64(LeaseConfig::default().max_decision_age)),
        })
    }
}

/// Counts callers by state; latencies cover the last second, or the whole run at the end.
fn caller_figures(callers: &EmulatedCallers, end: bool) -> CallerFigures {
    let counts = callers.counts();
    let mut latencies = callers.latencies();
    let latency = if end { latencies.total() } else { latencies.take_recent() };
    CallerFigures {
        version: latencies.highest().map(|version| version.to_string()),
        acked: counts.acknowledged,
        latest: counts.latest,
        holding: counts.holding,
        lag_p50: latency.map(|latency| latency.p50),
        lag_p99: latency.map(|latency| latency.p99),
    }
}

/// Prints a line each second until the span ends or a signal arrives, and a last line then.
async fn print_snapshots(
    common: &CommonArgs,
    stats: &ConnectionStats,
    mut callers: impl FnMut(bool) -> Option<CallerFigures>,
) -> CommandResult {
    let started = tokio::time::Instant::now();
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let deadline = common.span.map(|span| started + span);
    let mut print = |event| -> CommandResult {
        let snapshot = Snapshot {
            event,
            at: started.elapsed().as_secs_f64(),
            connected: stats.connected.get(),
            links: stats.links.get(),
            sent: stats.sent.get(),
            received: stats.received.get(),
            messages_sent: stats.messages_sent.get(),
            messages_received: stats.messages_received.get(),
            reconnects: stats.reconnects.get(),
            cpu: process_usage::cpu_seconds(),
            resident: process_usage::resident_bytes(),
            descriptors: process_usage::open_descriptors(),
            callers: callers(event == "end"),
        };
        let line = serde_json::to_string(&snapshot).map_err(std::io::Error::from)?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")?;
        Ok(out.flush()?)
    };
    let mut next = started + Duration::from_secs(1);
    loop {
        let last = deadline.is_some_and(|deadline| deadline <= next);
        tokio::select! {
            () = sleep_until(deadline.filter(|_| last).unwrap_or(next)) => {}
            _ = term.recv() => return print("end"),
            _ = int.recv() => return print("end"),
        }
        if last {
            return print("end");
        }
        print("tick")?;
        next += Duration::from_secs(1);
    }
}
