//! `puffinladder emulate`: many servers, or callers, in one process, for their control traffic alone (`docs/emulator.md`).

use crate::say::{Done, Wrong};
use crate::serve::runtime;
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
    after_help = "Each second, and at the end, one line of JSON on standard output says how many are connected, what went over \
    their connections,\nand what the process uses. SIGTERM ends it.\n\nExamples:\n  \
    puffinladder emulate servers --count 300 --control 127.0.0.1:18001 --span 10s\n  \
    puffinladder emulate callers --count 2000 --control 127.0.0.1:18000 --services 230 --zones 6"
)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Servers that report to control services and, with --stewards, take parts of quotas and turns
    Servers(ServersArgs),
    /// Callers that take their routing over xDS
    Callers(CallersArgs),
    /// Print the names that emulated servers use, for settings of stewards and servers
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
    /// How many
    #[arg(long)]
    count: usize,
    /// The number of the first of them: processes beside each other play different ones
    #[arg(long, default_value_t = 0)]
    first: usize,
    /// Addresses of all control services: for reports, or for xDS
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<SocketAddr>,
    #[arg(long, default_value_t = 1)]
    zones: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Ends after so long [default: at SIGTERM]
    #[arg(long, value_parser = span)]
    span: Option<Duration>,
    /// They start evenly over this time
    #[arg(long, value_parser = span_or_none, default_value = "1s")]
    start_within: Duration,
}

#[derive(Args)]
struct ServersArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Addresses of all stewards
    #[arg(long, value_delimiter = ',')]
    stewards: Vec<SocketAddr>,
    #[arg(long, default_value_t = 20)]
    customers: usize,
    #[arg(long, default_value_t = 10)]
    products: usize,
    /// From one report to the next
    #[arg(long, value_parser = span, default_value = "250ms")]
    every: Duration,
    /// Requests a second that one server would be asked
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
    /// Each says the same in all its reports, so that nothing is decided anew
    #[arg(long)]
    calm: bool,
    /// Servers of the whole fleet, for equal shares of quotas [default: --count]
    #[arg(long)]
    fleet: Option<usize>,
    /// Each customer's quota over the fleet, txns a second
    #[arg(long, default_value_t = 100.0)]
    quota: f64,
    /// How long servers with stewards wait for their turns at SIGTERM
    #[arg(long, value_parser = span_or_none, default_value = "0s")]
    patience: Duration,
}

#[derive(Args)]
struct CallersArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Services that they belong to
    #[arg(long, default_value_t = 1)]
    services: usize,
    #[arg(long, value_enum, default_value_t = Mode::Delta)]
    mode: Mode,
    /// The control services' bound on a decision's age: ages are read off leases by it [default: their default]
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

/// Time that servers have to end beyond their patience.
const SHUTDOWN_SLACK: Duration = Duration::from_secs(2);
/// The longest span: longer ones are mistakes.
const DAY: Duration = Duration::from_secs(86_400);

fn span_or_none(text: &str) -> Result<Duration, String> {
    let us = parse_span(text).and_then(|us| u64::try_from(us).ok());
    let span = us.map(Duration::from_micros).filter(|span| *span <= DAY);
    span.ok_or("should be a span such as 250ms or 10s, a day at the most".into())
}

fn span(text: &str) -> Result<Duration, String> {
    span_or_none(text).and_then(|span| match span >= Duration::from_millis(1) {
        true => Ok(span),
        false => Err("should be 1ms or more".into()),
    })
}

/// A line of what it prints; the keys are described in `docs/emulator.md`.
#[derive(Serialize)]
struct Snapshot {
    event: &'static str,
    /// Seconds since the start.
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

pub fn run(line: Line) -> Done {
    match line.command {
        Command::Servers(line) => {
            let config = line.config()?;
            runtime()?.block_on(async {
                let servers = EmulatedServers::start(&config);
                let stats = servers.stats.clone();
                print_snapshots(&line.common, &stats, |_| None).await?;
                let started = Instant::now();
                // Whoever waits for a drain slot past its patience was stopped in the middle of it.
                let late =
                    timeout(config.drain_patience + SHUTDOWN_SLACK, servers.shut_down()).await.is_err();
                if late {
                    eprintln!(
                        "puffinladder: not all had left after {:.1} s",
                        started.elapsed().as_secs_f64()
                    );
                }
                Ok(())
            })
        }
        Command::Callers(line) => {
            let config = line.config()?;
            runtime()?.block_on(async {
                let callers = EmulatedCallers::start(&config);
                print_snapshots(&line.common, &callers.stats, |end| Some(caller_figures(&callers, end))).await
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
    /// Checks what would show as another failure later on; `each` is the connections of one server or caller.
    fn check(&self, each: usize) -> Done {
        if self.count == 0 {
            return Err(Wrong::Asked("--count: should be 1 or more".into()));
        }
        if self.count.checked_add(self.first).is_none_or(|last| last > 1 << 24) {
            return Err(Wrong::Asked("--first, --count: numbers go up to 16777216".into()));
        }
        let needed = self.count as u64 * each as u64;
        process_usage::check_descriptors(needed).map_err(|error| {
            let text = format!(
                "--count: {needed} connections are needed and {error}: play fewer, in more processes"
            );
            Wrong::Asked(text)
        })
    }
}

impl ServersArgs {
    fn config(&self) -> Done<ServersConfig> {
        let common = &self.common;
        common.check(common.control.len() + self.stewards.len())?;
        for (key, value) in [("--rate", self.rate), ("--quota", self.quota)] {
            if !(0.0..=1e6).contains(&value) {
                return Err(Wrong::Asked(format!("{key}: should be from 0 to 1000000")));
            }
        }
        for (key, value, most) in
            [("--customers", self.customers, 100_000), ("--products", self.products, 10_000)]
        {
            if value > most {
                return Err(Wrong::Asked(format!("{key}: should be {most} or less")));
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
    fn config(&self) -> Done<CallersConfig> {
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

/// What callers hold by now; latencies of the last second, or of all at the end.
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

/// Prints a line each second until the time is over or a signal ends it, and one then.
async fn print_snapshots(
    common: &CommonArgs,
    stats: &ConnectionStats,
    mut callers: impl FnMut(bool) -> Option<CallerFigures>,
) -> Done {
    let started = tokio::time::Instant::now();
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let end = common.span.map(|span| started + span);
    let mut print = |event| -> Done {
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
        let ends = end.is_some_and(|end| end <= next);
        tokio::select! {
            () = sleep_until(end.filter(|_| ends).unwrap_or(next)) => {}
            _ = term.recv() => return print("end"),
            _ = int.recv() => return print("end"),
        }
        if ends {
            return print("end");
        }
        print("tick")?;
        next += Duration::from_secs(1);
    }
}
