//! `puffinladder archive`.

use super::{ask, failed, Ground};
use crate::say::{bar, step, Done, Wrong};
use crate::serve;
use clap::{Args, Subcommand};
use puffinladder_charter::fleet::Archive as Told;
use puffinladder_trace_store::export::export;
use puffinladder_trace_store::serve::{start, Setup};
use puffinladder_trace_store::store::Store;
use puffinladder_trace_store::words::{Answer, Ask};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
#[command(
    args_conflicts_with_subcommands = true,
    after_help = "Examples:\n  puffinladder archive --settings archive.scm\n  puffinladder archive status --at 127.0.0.9:18211\n  \
        puffinladder archive export --settings archive.scm fleet.trace     while it does not run"
)]
pub struct Line {
    /// Settings with an (archive ...) in them
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Tell each piece on standard output, a line of JSON each
    #[arg(long)]
    events: bool,
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
    /// Write all that was gathered as one trace, in the order of time; the archive must not run meanwhile
    #[command(after_help = "Example:\n  puffinladder archive export --settings archive.scm fleet.trace")]
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
            let (name, settings) = serve::settings(line.settings)?;
            let told = serve::section(&name, "archive", settings.archive.clone())?;
            serve::log(&settings);
            serve::runtime()?.block_on(keep(&told, &Ground::usual(line.events)))
        }
        Some(Command::Status { at }) => serve::runtime()?.block_on(async {
            match ask::<_, Answer>(at, &Ask::Status).await.map_err(failed)? {
                Answer::Status { files, done, blocks, bytes, refused } => {
                    println!("{files} files, {done} of them whole, {blocks} blocks, {bytes} bytes, {refused} late effects refused since its start");
                    Ok(())
                }
                other => Err(failed(format!("{at}: says {other:?}"))),
            }
        }),
        Some(Command::Export { settings, into }) => {
            let (name, settings) = serve::settings(settings)?;
            let told = serve::section(&name, "archive", settings.archive)?;
            let folder = Path::new(&told.folder);
            if !folder.join("archive.redb").exists() {
                return Err(Wrong::Failed(format!("{}: there is no archive", told.folder)));
            }
            let (store, _) = Store::open(folder, told.most_bytes).map_err(|e| failed(e.to_string()))?;
            let made = (puffinladder_transport::Clock::system().unix_time() * 1e6) as i64;
            let rows = bar("rows");
            let met = export(&store, &into, made, &mut step(&rows));
            let met = met.map_err(failed)?;
            println!("{} rows, {} doubled left out", met.rows, met.doubled);
            for (_, damage) in &met.damage {
                eprintln!("puffinladder: {damage:?}");
            }
            Ok(())
        }
    }
}

pub async fn keep(told: &Told, ground: &Ground) -> Done {
    let setup = Setup {
        listen: told.listen,
        folder: (&told.folder).into(),
        most_bytes: told.most_bytes,
        most_connections: told.most_connections,
        events: ground.events,
        planted: ground.planted,
    };
    let mut running = start(setup).await.map_err(failed)?;
    match serve::until_told(running.ended()).await? {
        Some(ended) => ended.map_err(|e| failed(e.to_string())),
        None => running.stop().await.map_err(|e| failed(e.to_string())),
    }
}
