//! `puffinladder control`: the control service, and tools round its plan.

mod bench;
mod fleet;
mod town;
mod watch;

use crate::fleet::Ground;
use crate::say::{Done, Wrong};
use crate::serve::runtime;
use clap::{Args, Subcommand};
use puffinladder_control::fleet::{FleetConfig, FleetView, ReportOutcome};
use puffinladder_control::plan::Planner;
use puffinladder_control::report::LoadReport;
use puffinladder_control::resources::SubsetConfig;
use puffinladder_control::serve::{start, ServeConfig, TlsConfig};
use puffinladder_control::service::{PlanSchedule, ServiceConfig};
use puffinladder_control::stream::LeaseConfig;
use puffinladder_leases::protocol::Event;
use puffinladder_settings::ControlSettings as Told;
use std::io::Write;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder control --settings deploy/control.example.scm\n  \
        puffinladder control plan views.json --zone a\n  puffinladder control town"
)]
pub struct Line {
    /// Settings with a (control ...) in them
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// From servers' reports to the plan, without a service: what each would get, and why
    #[command(
        after_help = "VIEWS is a JSON list of reports, as /servers of the debug view shows them under \"report\".\n\n\
        Example:\n  puffinladder control plan views.json --steps 40"
    )]
    Plan {
        /// - is standard input
        views: String,
        /// Plans made one after the other from the same reports, a quarter of a second apart: shares move step by step
        #[arg(long, default_value_t = 1)]
        steps: u32,
        /// The zone whose routes are shown
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Look at servers, proxies and ages of a running service on the terminal
    #[command(after_help = "Example:\n  puffinladder control watch 127.0.0.1:18002")]
    Watch {
        /// Its debug view
        debug: std::net::SocketAddr,
    },
    /// An example on loopback: two stand-in servers, the service, two stand-in proxies; one server leaves, one slows down
    Town {
        /// s that it plays
        #[arg(long, default_value_t = 20)]
        seconds: u32,
    },
    /// Measure planning, pushes to many proxies and staleness, on stand-ins on loopback
    #[command(after_help = "Example:\n  puffinladder control bench --proxies 10,100,1000 --servers 1000")]
    Bench {
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 1000)]
        servers: usize,
        /// Changes that are pushed, for each number of proxies
        #[arg(long, default_value_t = 20)]
        changes: usize,
    },
}

fn setup(told: &Told) -> ServeConfig {
    let fleet = FleetConfig {
        fresh_for: told.fresh_for,
        expired_after: told.expired_after,
        panic_threshold: told.panic_threshold,
        max_servers: told.max_servers,
        ..FleetConfig::default()
    };
    let lease = LeaseConfig {
        max_decision_age: told.max_staleness,
        heartbeat_interval: told.heartbeat_interval,
        ..LeaseConfig::default()
    };
    let service = ServiceConfig {
        fleet,
        lease,
        subsets: SubsetConfig { size: told.subset_size, ..SubsetConfig::default() },
        schedule: PlanSchedule { interval: told.plan_interval, ..PlanSchedule::default() },
    };
    let tls = told.tls.as_ref().map(|tls| TlsConfig {
        certificate: (&tls.certificate).into(),
        key: (&tls.key).into(),
        client_authorities: tls.client_authority.as_ref().map(Into::into),
    });
    ServeConfig {
        service,
        xds: told.xds_listen,
        reports: told.report_listen,
        debug: told.debug_listen,
        snapshot: told.snapshot_file.as_ref().map(Into::into),
        max_proxies: told.max_proxies,
        tls,
    }
}

pub fn run(line: Line) -> Done {
    match line.command {
        None => serve(line.settings),
        Some(Command::Plan { views, steps, zone, json }) => plan(&views, steps, zone.as_deref(), json),
        Some(Command::Watch { debug }) => watch::watch(debug),
        Some(Command::Town { seconds }) => runtime()?.block_on(town::town(seconds)),
        Some(Command::Bench { proxies, servers, changes }) => {
            if servers == 0 || changes == 0 || proxies.contains(&0) {
                return Err(Wrong::Asked("--proxies, --servers and --changes should be 1 or more".into()));
            }
            runtime()?.block_on(bench::bench(&proxies, servers, changes))
        }
    }
}

/// Serves on the proving ground until it is told to leave, and says where: proxies, servers, people. A silent server is forgotten after `forget` s.
pub async fn on_ground(told: &Told, forget: f64, ground: &Ground) -> Done {
    let mut setup = setup(told);
    setup.service.fleet.evict_after = forget;
    let mut term = signal(SignalKind::terminate())?;
    let running = start(setup).await.map_err(std::io::Error::from)?;
    let debug = running.debug.map_or(String::new(), |debug| debug.to_string());
    ground.events.emit(&Event::Ready { listen: format!("{} {} {debug}", running.xds, running.reports) });
    term.recv().await;
    running.stop().await;
    Ok(())
}

fn serve(settings: Option<PathBuf>) -> Done {
    let (name, settings) = crate::serve::settings(settings)?;
    let told = crate::serve::section(&name, "control", settings.control.clone())?;
    crate::serve::log(&settings);
    runtime()?.block_on(async {
        let running = start(setup(&told)).await.map_err(std::io::Error::from)?;
        tracing::info!("xds on {}, reports on {}", running.xds, running.reports);
        if let Some(view) = running.debug {
            tracing::info!("debug view on http://{view}");
        }
        let (mut term, mut hup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = tokio::signal::ctrl_c() => break,
                _ = hup.recv() => match running.reload_certificates() {
                    Ok(()) => tracing::info!("reload: new connections get the certificates as they are now"),
                    Err(e) => tracing::error!("reload: nothing changed: {e}"),
                },
            }
        }
        tracing::info!("was told to leave");
        running.stop().await;
        Ok(())
    })
}

fn plan(views: &str, steps: u32, zone: Option<&str>, as_json: bool) -> Done {
    let text = match views {
        "-" => std::io::read_to_string(std::io::stdin())?,
        path => std::fs::read_to_string(path).map_err(|e| Wrong::Failed(format!("{path}: {e}")))?,
    };
    let reports: Vec<LoadReport> = serde_json::from_str(&text)
        .map_err(|e| Wrong::Asked(format!("{views}:{}:{}: {e}", e.line(), e.column())))?;
    let mut fleet = FleetView::new(FleetConfig::default());
    let mut planner = Planner::default();
    let mut made = None;
    for step in 0..steps.max(1) {
        let now = f64::from(step) * 0.25;
        for (at, report) in reports.iter().enumerate() {
            let sequence = u64::from(step) + 1;
            let report = LoadReport { sequence, created_at: now, ..report.clone() };
            if let ReportOutcome::Invalid(invalid) = fleet.record(now, report) {
                return Err(Wrong::Asked(format!("{views}: report {}: {invalid}", at + 1)));
            }
        }
        made = planner.plan(now, &fleet);
    }
    let plan = made.ok_or_else(|| Wrong::Failed("no plan: nobody could be routed to".into()))?;
    let mut out = std::io::stdout().lock();
    if as_json {
        writeln!(out, "{}", serde_json::to_string_pretty(&plan).map_err(std::io::Error::from)?)?;
        return Ok(());
    }
    writeln!(
        out,
        "{:<20} {:<10} {:>8} {:>8} {:>10} {:>10} {:>7}  held",
        "server", "zone", "share", "target", "says", "carries", "belief"
    )?;
    for s in &plan.shares {
        let (why, name) = (&s.explanation, &s.instance);
        writeln!(
            out,
            "{name:<20} {:<10} {:>8.4} {:>8.4} {:>10.1} {:>10.1} {:>7.2}  {}",
            s.zone,
            s.weight,
            why.target_weight,
            why.reported_capacity,
            why.effective_capacity,
            why.confidence,
            why.limited_by
        )?;
    }
    for (name, z) in &plan.zones {
        let to: Vec<String> = z.spill_targets.iter().map(|(to, share)| format!("{to} {share:.2}")).collect();
        let to = if z.spill > 0.0 {
            format!(", {:.1}% elsewhere: {}", z.spill * 100.0, to.join(", "))
        } else {
            String::new()
        };
        writeln!(out, "zone {name}: load {:.1} of {:.1} a second{to}", z.load, z.capacity)?;
    }
    for drop in &plan.drops {
        writeln!(out, "drop {:.1}% of {} of {}", drop.fraction * 100.0, drop.product, drop.customer)?;
    }
    if let Some(zone) = zone {
        for route in plan.routes(zone) {
            let (server, weight) = (route.server, route.weight);
            writeln!(out, "from {zone} to {} ({}): {weight:.4}", server.instance, server.address)?;
        }
    }
    Ok(())
}
