//! `puffinladder trace-store`: runs the trace store, shows its status, and exports its contents.

use super::common::{run_until_stopped, ServiceArgs};
use super::{failed, send_request, ServiceEnvironment};
use crate::serve;
use crate::terminal::{progress_bar, progress_callback, CommandError, CommandResult};
use clap::{Args, Subcommand};
use puffinladder_settings::TraceStoreSettings;
use puffinladder_trace_store::export::export;
use puffinladder_trace_store::protocol::{Request, Response};
use puffinladder_trace_store::serve::{start, ServiceConfig};
use puffinladder_trace_store::store::{Store, DATABASE_FILE};
use puffinladder_transport::Clock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Section of the settings file.
const SECTION: &str = "archive";
/// Traces hold times in us since 1970.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder trace-store --settings archive.scm\n  puffinladder trace-store status --at 127.0.0.9:18211\n  \
        puffinladder trace-store export --settings archive.scm fleet.trace     while the store is stopped"
)]
pub struct TraceStoreArgs {
    #[command(flatten)]
    service: ServiceArgs,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Show the number of files, blocks and bytes
    Status {
        #[arg(long)]
        at: SocketAddr,
    },
    /// Write all collected traces as one, ordered by time; the trace store must be stopped
    #[command(after_help = "Example:\n  puffinladder trace-store export --settings archive.scm fleet.trace")]
    Export {
        /// Settings with an (archive ...) section
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        into: PathBuf,
    },
}

pub fn run(args: TraceStoreArgs) -> CommandResult {
    match args.command {
        None => {
            let (section, environment) =
                args.service.load(SECTION, |settings| settings.trace_store.clone())?;
            serve::runtime()?.block_on(run_service(&section, &environment))
        }
        Some(Command::Status { at }) => serve::runtime()?.block_on(print_status(at)),
        Some(Command::Export { settings, into }) => {
            let (name, settings) = serve::load_settings(settings)?;
            let section = serve::require_section(&name, SECTION, settings.trace_store)?;
            export_trace(&section, &into)
        }
    }
}

/// Runs a trace store until it is stopped or fails.
pub async fn run_service(settings: &TraceStoreSettings, environment: &ServiceEnvironment) -> CommandResult {
    let config = ServiceConfig {
        listen: settings.listen,
        directory: (&settings.directory).into(),
        max_bytes: settings.max_bytes,
        max_connections: settings.max_connections,
        events: environment.events,
        injected_bug: environment.injected_bug,
    };
    let service = start(config).await.map_err(|e| failed(e.to_string()))?;
    run_until_stopped(service).await
}

async fn print_status(at: SocketAddr) -> CommandResult {
    match send_request::<_, Response>(at, &Request::Status)
        .await
        .map_err(|error| failed(error.to_string()))?
    {
        Response::Status { files, complete_files, blocks, bytes, rejected } => {
            println!("{files} files, {complete_files} of them complete, {blocks} blocks, {bytes} bytes, {rejected} stale writes rejected since the start");
            Ok(())
        }
        other => Err(failed(format!("{at}: unexpected reply {other:?}"))),
    }
}

fn export_trace(settings: &TraceStoreSettings, into: &Path) -> CommandResult {
    let folder = Path::new(&settings.directory);
    if !folder.join(DATABASE_FILE).exists() {
        return Err(CommandError::Failed(format!("{}: there is no archive", settings.directory)));
    }
    let (store, _) = Store::open(folder, settings.max_bytes).map_err(|e| failed(e.to_string()))?;
    let created_at = (Clock::system().unix_time() * MICROSECONDS_PER_SECOND) as i64;
    let bar = progress_bar("rows");
    let merged =
        export(&store, into, created_at, &mut progress_callback(&bar)).map_err(|e| failed(e.to_string()))?;
    println!("{} rows, {} duplicates skipped", merged.rows, merged.duplicates);
    for (_, damage) in &merged.damage {
        eprintln!("puffinladder: {damage:?}");
    }
    Ok(())
}
