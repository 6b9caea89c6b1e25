//! `puffinladder control`: the control service, and tools for its plans.

mod bench;
mod demo;
mod simulation;
mod watch;

use crate::fleet::ServiceEnvironment;
use crate::serve::runtime;
use crate::terminal::{CommandError, CommandResult};
use clap::{Args, Subcommand};
use puffinladder_control::fleet::{FleetConfig, FleetView, ReportOutcome};
use puffinladder_control::plan::Planner;
use puffinladder_control::report::LoadReport;
use puffinladder_control::resources::SubsetConfig;
use puffinladder_control::serve::{start, ServeConfig, TlsConfig};
use puffinladder_control::service::{PlanSchedule, ServiceConfig};
use puffinladder_control::stream::LeaseConfig;
use puffinladder_leases::protocol::Event;
use puffinladder_settings::ControlSettings;
use std::io::Write;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder control --settings deploy/control.example.scm\n  \
        puffinladder control plan views.json --zone a\n  puffinladder control town"
)]
pub struct ControlArgs {
    /// Settings with a (control ...) section
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Compute the plan for a list of reports without a service: each server's share and the reason for it
    #[command(
        after_help = "VIEWS is a JSON list of reports, as /servers of the debug view lists them under \"report\".\n\n\
        Example:\n  puffinladder control plan views.json --steps 40"
    )]
    Plan {
        /// File of reports; - is standard input
        views: String,
        /// Number of successive plans from the same reports, 250 ms apart, since shares move by steps
        #[arg(long, default_value_t = 1)]
        steps: u32,
        /// Zone whose routes are printed
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        json: bool,
    },
    /// Show servers, proxies and ages of a running service on the terminal
    #[command(after_help = "Example:\n  puffinladder control watch 127.0.0.1:18002")]
    Watch {
        /// Address of the service's debug view
        debug: std::net::SocketAddr,
    },
    /// Demonstrate the service on loopback with two servers and two proxies; one server slows down, the other drains
    #[command(name = "town")]
    Demo {
        /// Duration, s
        #[arg(long, default_value_t = 20)]
        seconds: u32,
    },
    /// Measure planning, pushes to many proxies and staleness, with emulated peers on loopback
    #[command(after_help = "Example:\n  puffinladder control bench --proxies 10,100,1000 --servers 1000")]
    Bench {
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 1000)]
        servers: usize,
        /// Number of pushed changes for each number of proxies
        #[arg(long, default_value_t = 20)]
        changes: usize,
    },
}

fn serve_config(settings: &ControlSettings) -> ServeConfig {
    let fleet = FleetConfig {
        fresh_for: settings.fresh_for,
        expired_after: settings.expired_after,
        panic_threshold: settings.panic_threshold,
        max_servers: settings.max_servers,
        ..FleetConfig::default()
    };
    let lease = LeaseConfig {
        max_decision_age: settings.max_staleness,
        heartbeat_interval: settings.heartbeat_interval,
        ..LeaseConfig::default()
    };
    let service = ServiceConfig {
        fleet,
        lease,
        subsets: SubsetConfig { size: settings.subset_size, ..SubsetConfig::default() },
        schedule: PlanSchedule { interval: settings.plan_interval, ..PlanSchedule::default() },
    };
    let tls = settings.tls.as_ref().map(|tls| TlsConfig {
        certificate: (&tls.certificate).into(),
        key: (&tls.key).into(),
        client_authorities: tls.client_authority.as_ref().map(Into::into),
    });
    ServeConfig {
        service,
        xds: settings.xds_listen,
        reports: settings.report_listen,
        debug: settings.debug_listen,
        snapshot: settings.snapshot_file.as_ref().map(Into::into),
        max_proxies: settings.max_proxies,
        tls,
    }
}

pub fn run(args: ControlArgs) -> CommandResult {
    match args.command {
        None => serve(args.settings),
        Some(Command::Plan { views, steps, zone, json }) => plan(&views, steps, zone.as_deref(), json),
        Some(Command::Watch { debug }) => watch::watch(debug),
        Some(Command::Demo { seconds }) => runtime()?.block_on(demo::run_demo(seconds)),
        Some(Command::Bench { proxies, servers, changes }) => {
            if servers == 0 || changes == 0 || proxies.contains(&0) {
                return Err(CommandError::Usage(
                    "--proxies, --servers and --changes should be 1 or more".into(),
                ));
            }
            runtime()?.block_on(bench::bench(&proxies, servers, changes))
        }
    }
}

/// Runs the service in a fault-injection test until SIGTERM; a silent server is evicted after `evict_after` s. Emits its xDS,
/// report and debug addresses.
pub async fn run_in_test(
    settings: &ControlSettings,
    evict_after: f64,
    environment: &ServiceEnvironment,
) -> CommandResult {
    let mut config = serve_config(settings);
    config.service.fleet.evict_after = evict_after;
    let mut term = signal(SignalKind::terminate())?;
    let running = start(config).await.map_err(std::io::Error::from)?;
    let debug = running.debug.map_or(String::new(), |debug| debug.to_string());
    environment.events.emit(&Event::Ready { listen: format!("{} {} {debug}", running.xds, running.reports) });
    term.recv().await;
    running.stop().await;
    Ok(())
}

fn serve(settings: Option<PathBuf>) -> CommandResult {
    let (name, settings) = crate::serve::load_settings(settings)?;
    let control = crate::serve::require_section(&name, "control", settings.control.clone())?;
    crate::serve::init_logging(&settings);
    runtime()?.block_on(async {
        let running = start(serve_config(&control)).await.map_err(std::io::Error::from)?;
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
                    Ok(()) => tracing::info!("reload: certificates read again, new connections use them"),
                    Err(e) => tracing::error!("reload: keeping the current certificates: {e}"),
                },
            }
        }
        tracing::info!("shutting down on SIGTERM or SIGINT");
        running.stop().await;
        Ok(())
    })
}

fn plan(views: &str, steps: u32, zone: Option<&str>, as_json: bool) -> CommandResult {
    let text = match views {
        "-" => std::io::read_to_string(std::io::stdin())?,
        path => std::fs::read_to_string(path).map_err(|e| CommandError::Failed(format!("{path}: {e}")))?,
    };
    let reports: Vec<LoadReport> = serde_json::from_str(&text)
        .map_err(|e| CommandError::Usage(format!("{views}:{}:{}: {e}", e.line(), e.column())))?;
    let mut fleet = FleetView::new(FleetConfig::default());
    let mut planner = Planner::default();
    let mut plan = None;
    for step in 0..steps.max(1) {
        let now = f64::from(step) * 0.25;
        for (at, report) in reports.iter().enumerate() {
            let sequence = u64::from(step) + 1;
            let report = LoadReport { sequence, created_at: now, ..report.clone() };
            if let ReportOutcome::Invalid(invalid) = fleet.record(now, report) {
                return Err(CommandError::Usage(format!("{views}: report {}: {invalid}", at + 1)));
            }
        }
        plan = planner.plan(now, &fleet);
    }
    let plan =
        plan.ok_or_else(|| CommandError::Failed("no plan: no server of the reports is routable".into()))?;
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
        let targets: Vec<String> =
            z.spill_targets.iter().map(|(to, share)| format!("{to} {share:.2}")).collect();
        let spill = if z.spill > 0.0 {
            format!(", {:.1}% elsewhere: {}", z.spill * 100.0, targets.join(", "))
        } else {
            String::new()
        };
        writeln!(out, "zone {name}: load {:.1} of {:.1} a second{spill}", z.load, z.capacity)?;
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
