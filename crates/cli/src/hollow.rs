//! `puffinladder hollow`: many servers, or callers, in one process, for their control traffic alone (`docs/hollow.md`).

use crate::say::{Done, Wrong};
use crate::serve::runtime;
use clap::{Args, Subcommand, ValueEnum};
use puffinladder_control::stream::LeaseConfig;
use puffinladder_hollow::callers::{self, Callers};
use puffinladder_hollow::counts::Counts;
use puffinladder_hollow::draw::{customer, product, Load};
use puffinladder_hollow::figures;
use puffinladder_hollow::servers::{self, Servers};
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
    puffinladder hollow servers --count 300 --control 127.0.0.1:18001 --span 10s\n  \
    puffinladder hollow callers --count 2000 --control 127.0.0.1:18000 --services 230 --zones 6"
)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Servers that report to control services and, with --stewards, take parts of quotas and turns
    Servers(ServersLine),
    /// Callers that take their routing over xDS
    Callers(CallersLine),
    /// Print the names that hollow servers use, for settings of stewards and servers
    #[command(after_help = "Example:\n  puffinladder hollow names --customers 15000")]
    Names {
        #[arg(long, default_value_t = 0)]
        customers: usize,
        #[arg(long, default_value_t = 0)]
        products: usize,
    },
}

#[derive(Args)]
struct Common {
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
struct ServersLine {
    #[command(flatten)]
    common: Common,
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
struct CallersLine {
    #[command(flatten)]
    common: Common,
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

/// Most of a span: a day. Longer ones are mistakes.
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

/// A line of what it prints.
#[derive(Serialize)]
struct Said {
    event: &'static str,
    /// s since it began.
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
    callers: Option<OfCallers>,
}

#[derive(Serialize)]
struct OfCallers {
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
            let told = line.told()?;
            runtime()?.block_on(async {
                let players = Servers::start(&told);
                let counts = players.counts.clone();
                go(&line.common, &counts, |_| None).await?;
                let begun = Instant::now();
                // Whoever waits for a turn past its patience was stopped in the middle of it.
                let late = timeout(told.patience + Duration::from_secs(2), players.leave()).await.is_err();
                if late {
                    eprintln!("puffinladder: not all had left after {:.1} s", begun.elapsed().as_secs_f64());
                }
                Ok(())
            })
        }
        Command::Callers(line) => {
            let told = line.told()?;
            runtime()?.block_on(async {
                let players = Callers::start(&told);
                go(&line.common, &players.counts, |end| Some(of(&players, end))).await
            })
        }
        Command::Names { customers, products } => {
            let mut out = std::io::stdout().lock();
            for at in 0..customers {
                writeln!(out, "customer {}", customer(at))?;
            }
            for at in 0..products {
                writeln!(out, "product {}", product(at))?;
            }
            Ok(())
        }
    }
}

impl Common {
    /// Faults that would show as something else later on; `each` is the connections of one player.
    fn check(&self, each: usize) -> Done {
        if self.count == 0 {
            return Err(Wrong::Asked("--count: should be 1 or more".into()));
        }
        if self.count.checked_add(self.first).is_none_or(|last| last > 1 << 24) {
            return Err(Wrong::Asked("--first, --count: numbers go up to 16777216".into()));
        }
        let needed = self.count as u64 * each as u64;
        figures::room(needed).map_err(|most| {
            let text = format!(
                "--count: {needed} connections are needed and {most} descriptors are left to the process: play fewer, in more processes"
            );
            Wrong::Asked(text)
        })
    }
}

impl ServersLine {
    fn told(&self) -> Done<servers::Told> {
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
        Ok(servers::Told {
            count: common.count,
            first: common.first,
            control: common.control.clone(),
            stewards: self.stewards.clone(),
            load: Load {
                products: self.products,
                customers: self.customers,
                rate: self.rate,
                calm: self.calm,
            },
            every: self.every,
            zones: common.zones,
            seed: common.seed,
            start_within: common.start_within,
            fleet: self.fleet.unwrap_or(common.count),
            quota: self.quota,
            patience: self.patience,
        })
    }
}

impl CallersLine {
    fn told(&self) -> Done<callers::Told> {
        let common = &self.common;
        common.check(1)?;
        Ok(callers::Told {
            count: common.count,
            first: common.first,
            control: common.control.clone(),
            services: self.services,
            zones: common.zones,
            incremental: matches!(self.mode, Mode::Delta),
            seed: common.seed,
            start_within: common.start_within,
            bound: self.bound.unwrap_or(Duration::from_secs_f64(LeaseConfig::default().max_decision_age)),
        })
    }
}

fn of(players: &Callers, end: bool) -> OfCallers {
    let standing = players.standing();
    let mut lags = players.lags();
    let lag = if end { lags.all() } else { lags.lately() };
    OfCallers {
        version: lags.highest().map(|(epoch, number)| format!("{epoch}.{number}")),
        acked: standing.acked,
        latest: standing.latest,
        holding: standing.holding,
        lag_p50: lag.map(|lag| lag.0),
        lag_p99: lag.map(|lag| lag.1),
    }
}

/// Says a line each second until the time is over or it is told to end, and one then.
async fn go(common: &Common, counts: &Counts, mut callers: impl FnMut(bool) -> Option<OfCallers>) -> Done {
    let begun = tokio::time::Instant::now();
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let end = common.span.map(|span| begun + span);
    let mut said = |event| -> Done {
        let said = Said {
            event,
            at: begun.elapsed().as_secs_f64(),
            connected: counts.connected.get(),
            links: counts.links.get(),
            sent: counts.sent.get(),
            received: counts.received.get(),
            messages_sent: counts.messages_sent.get(),
            messages_received: counts.messages_received.get(),
            reconnects: counts.reconnects.get(),
            cpu: figures::cpu(),
            resident: figures::resident(),
            descriptors: figures::descriptors(),
            callers: callers(event == "end"),
        };
        let line = serde_json::to_string(&said).map_err(std::io::Error::from)?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")?;
        Ok(out.flush()?)
    };
    let mut next = begun + Duration::from_secs(1);
    loop {
        let ends = end.is_some_and(|end| end <= next);
        tokio::select! {
            () = sleep_until(end.filter(|_| ends).unwrap_or(next)) => {}
            _ = term.recv() => return said("end"),
            _ = int.recv() => return said("end"),
        }
        if ends {
            return said("end");
        }
        said("tick")?;
        next += Duration::from_secs(1);
    }
}
