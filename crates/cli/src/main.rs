//! `puffinladder`: one command line for all that the project does.
//!
//! Exit status: 0 where it was done, 1 where it could not be (a file is missing, a disk full, a trace unreadable),
//! 2 where what was asked is wrong (the command line, settings, an expression).
#![forbid(unsafe_code)]

mod capacity;
mod check;
mod control;
mod emulate;
mod fleet;
mod measure;
mod prove;
mod say;
mod serve;
mod trace;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use puffinladder_settings::LogFormat;
use say::Wrong;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Decides inside each server of a fleet what it takes, runs and turns away, and tells afterwards what it did.
#[derive(Parser)]
#[command(
    name = "puffinladder",
    version,
    after_help = "Examples:\n  puffinladder serve --config examples/server.json --settings deploy/settings.example.scm\n  \
                  puffinladder check deploy/settings.example.scm\n  puffinladder trace summarise n1.trace --by product\n\n\
                  Exit status: 0 done, 1 it could not be done, 2 what was asked is wrong"
)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one server of the fleet
    #[command(after_help = "Examples:\n  puffinladder serve --config examples/server.json\n  \
        puffinladder serve --config c.json --settings ours.scm --log-format json --log info,puffinladder_server::txn=trace")]
    Serve {
        /// The configuration as the platform gives it, a JSON object [default: $BALANCER_CONFIG]
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// Our own settings, S-expressions [default: $PUFFINLADDER_SETTINGS, else all off]
        #[arg(long, value_name = "FILE")]
        settings: Option<String>,
        /// How lines of the log are written
        #[arg(long, value_enum)]
        log_format: Option<Format>,
        /// Levels of the log by part; $RUST_LOG wins
        #[arg(long, value_name = "LEVELS")]
        log: Option<String>,
    },
    /// Read settings or a configuration, and print what holds with defaults
    #[command(
        after_help = "Examples:\n  puffinladder check deploy/settings.example.scm\n  puffinladder check examples/server.json"
    )]
    Check {
        /// Settings (S-expressions), or a configuration (JSON)
        file: PathBuf,
    },
    /// Serve the servers' decisions to proxies over xDS
    Control(control::Line),
    /// Run one replica of the lease store, which grants leases on the fleet's tasks
    #[command(alias = "keeper")]
    LeaseStore(fleet::lease_store::Line),
    /// Show the leases on the fleet's tasks; move and pause them
    #[command(alias = "duties")]
    Leases(fleet::leases::Line),
    /// Run the fleet's tasks that the lease store grants
    #[command(alias = "steward")]
    Worker(fleet::worker::Line),
    /// Store collected traces, each block once
    #[command(alias = "archive")]
    TraceStore(fleet::trace_store::Line),
    /// Play many servers or callers in one process, for their control traffic
    #[command(alias = "hollow")]
    Emulate(emulate::Line),
    /// Start many processes, put faults between them, and check what they did
    Prove(prove::Line),
    /// Ask, cut, merge, veil and mend traces
    Trace {
        #[command(subcommand)]
        command: trace::Command,
    },
    /// What of a planned size is carried, by what was measured
    Capacity(capacity::Line),
    /// Print completions for a shell
    #[command(
        after_help = "Example:\n  puffinladder completions bash > ~/.local/share/bash-completion/completions/puffinladder"
    )]
    Completions { shell: Shell },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Format {
    Text,
    Json,
}

fn main() -> ExitCode {
    // clap's own status for a wrong command line is 2 already.
    let done = match Line::parse().command {
        Command::Serve { config, settings, log_format, log } => {
            let log_format = log_format.map(|format| match format {
                Format::Text => LogFormat::Text,
                Format::Json => LogFormat::Json,
            });
            let options = puffinladder_server::Options { config, settings, log_format, log_filter: log };
            puffinladder_server::run(&options).map_err(|e| Wrong::Failed(e.to_string()))
        }
        Command::Check { file } => check::check(&file),
        Command::Control(line) => control::run(line),
        Command::LeaseStore(line) => fleet::lease_store::run(line),
        Command::Leases(line) => fleet::leases::run(line),
        Command::Worker(line) => fleet::worker::run(line),
        Command::TraceStore(line) => fleet::trace_store::run(line),
        Command::Emulate(line) => emulate::run(line),
        Command::Prove(line) => prove::run(line),
        Command::Trace { command } => trace::run(command),
        Command::Capacity(line) => capacity::run(line),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "puffinladder", &mut script);
            std::io::stdout().write_all(&script).map_err(Wrong::from)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Wrong::Quiet) => ExitCode::SUCCESS,
        Err(Wrong::Failed(what)) => {
            eprintln!("puffinladder: {what}");
            ExitCode::from(1)
        }
        Err(Wrong::Asked(what)) => {
            eprintln!("puffinladder: {what}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
