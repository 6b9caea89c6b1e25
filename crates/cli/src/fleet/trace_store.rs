//! `puffinladder trace-store`: the trace store as a process, its status, and an export of what it holds.

use super::common::{run_until_stopped, ServiceArgs};
use super::{ask, failed, Ground};
use crate::say::{bar, step, Done, Wrong};
use crate::serve;
use clap::{Args, Subcommand};
use puffinladder_settings::TraceStoreSettings;
use puffinladder_trace_store::export::export;
use puffinladder_trace_store::protocol::{Request, Response};
use puffinladder_trace_store::serve::{start, ServiceConfig};
use puffinladder_trace_store::store::{Store, DATABASE_FILE};
use puffinladder_transport::Clock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The section of the settings that is read.
const SECTION: &str = "archive";
/// Traces give times in us since 1970.
const MICROSECONDS: f64 = 1e6;

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder trace-store --settings archive.scm\n  puffinladder trace-store status --at 127.0.0.9:18211\n  \
        puffinladder trace-store export --settings archive.scm fleet.trace     while it does not run"
)]
pub struct Line {
    #[command(flatten)]
    service: ServiceArgs,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// What it holds
    Status {
        #[arg(long)]
        at: SocketAddr,
    },
    /// Write all that was collected as one trace, in the order of time; the trace store must not run meanwhile
    #[command(after_help = "Example:\n  puffinladder trace-store export --settings archive.scm fleet.trace")]
    Export {
        /// Settings with an (archive ...) in them
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        into: PathBuf,
    },
}

pub fn run(line: Line) -> Done {
    match line.command {
        None => {
            let (section, ground) = line.service.load(SECTION, |settings| settings.trace_store.clone())?;
            serve::runtime()?.block_on(run_service(&section, &ground))
        }
        Some(Command::Status { at }) => serve::runtime()?.block_on(print_status(at)),
        Some(Command::Export { settings, into }) => {
            let (name, settings) = serve::settings(settings)?;
            let section = serve::section(&name, SECTION, settings.trace_store)?;
            export_trace(&section, &into)
        }
    }
}

/// Runs a trace store until it is stopped or can't go on.
pub async fn run_service(settings: &TraceStoreSettings, ground: &Ground) -> Done {
    let config = ServiceConfig {
        listen: settings.listen,
        directory: (&settings.directory).into(),
        max_bytes: settings.max_bytes,
        max_connections: settings.max_connections,
        events: ground.events,
        injected_bug: ground.injected_bug,
    };
    let service = start(config).await.map_err(|e| failed(e.to_string()))?;
    run_until_stopped(service).await
}

async fn print_status(at: SocketAddr) -> Done {
    match ask::<_, Response>(at, &Request::Status).await.map_err(failed)? {
        Response::Status { files, complete_files, blocks, bytes, rejected } => {
            println!("{files} files, {complete_files} of them whole, {blocks} blocks, {bytes} bytes, {rejected} late effects refused since its start");
            Ok(())
        }
        other => Err(failed(format!("{at}: responds {other:?}"))),
    }
}

fn export_trace(settings: &TraceStoreSettings, into: &Path) -> Done {
    let folder = Path::new(&settings.directory);
    if !folder.join(DATABASE_FILE).exists() {
        return Err(Wrong::Failed(format!("{}: there is no archive", settings.directory)));
    }
    let (store, _) = Store::open(folder, settings.max_bytes).map_err(|e| failed(e.to_string()))?;
    let made = (Clock::system().unix_time() * MICROSECONDS) as i64;
    let rows = bar("rows");
    let merged = export(&store, into, made, &mut step(&rows)).map_err(|e| failed(e.to_string()))?;
    println!("{} rows, {} doubled left out", merged.rows, merged.duplicates);
    for (_, damage) in &merged.damage {
        eprintln!("puffinladder: {damage:?}");
    }
    Ok(())
}
