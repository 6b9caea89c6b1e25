//! `puffinladder`: the command line of the project.
//!
//! Exit status: 0 on success, 1 on a failure at run time (a missing file, a full disk, an unreadable trace), 2 on invalid
//! input (the command line, settings, an expression).
#![forbid(unsafe_code)]

mod capacity;
mod check;
mod control;
mod emulate;
mod fleet;
mod measure;
mod prove;
mod serve;
mod terminal;
mod trace;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use puffinladder_settings::LogFormat;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use terminal::CommandError;

/// Admission control inside each server of a fleet, with the services and tools around it.
#[derive(Parser)]
#[command(
    name = "puffinladder",
    version,
    after_help = "Examples:\n  puffinladder serve --config examples/server.json --settings deploy/settings.example.scm\n  \
                  puffinladder check deploy/settings.example.scm\n  puffinladder trace summarise n1.trace --by product\n\n\
                  Exit status: 0 success, 1 failure, 2 invalid command line, settings or expression"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one server of the fleet
    #[command(after_help = "Examples:\n  puffinladder serve --config examples/server.json\n  \
        puffinladder serve --config c.json --settings ours.scm --log-format json --log info,puffinladder_server::txn=trace")]
    Serve {
        /// The platform's configuration, a JSON object [default: $BALANCER_CONFIG]
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// Settings file, S-expressions [default: $PUFFINLADDER_SETTINGS, else all features off]
        #[arg(long, value_name = "FILE")]
        settings: Option<String>,
        /// Format of the log lines
        #[arg(long, value_enum)]
        log_format: Option<LogFormatArg>,
        /// Log levels by module; $RUST_LOG takes precedence
        #[arg(long, value_name = "LEVELS")]
        log: Option<String>,
    },
    /// Validate settings or a configuration, and print the result with defaults
    #[command(
        after_help = "Examples:\n  puffinladder check deploy/settings.example.scm\n  puffinladder check examples/server.json"
    )]
    Check {
        /// Settings (S-expressions), or a configuration (JSON)
        file: PathBuf,
    },
    /// Serve the servers' decisions to proxies over xDS
    Control(control::ControlArgs),
    /// Run one replica of the lease store, which grants leases on the fleet's tasks
    #[command(alias = "keeper")]
    LeaseStore(fleet::lease_store::LeaseStoreArgs),
    /// Show the leases on the fleet's tasks; move and pause them
    #[command(alias = "duties")]
    Leases(fleet::leases::LeasesArgs),
    /// Run the fleet's tasks that the lease store grants
    #[command(alias = "steward")]
    Worker(fleet::worker::WorkerArgs),
    /// Store collected traces, each block once
    #[command(alias = "archive")]
    TraceStore(fleet::trace_store::TraceStoreArgs),
    /// Emulate the control traffic of many servers or callers in one process
    #[command(alias = "hollow")]
    Emulate(emulate::EmulateArgs),
    /// Run many processes, inject faults between them, and check their histories
    Prove(prove::ProveArgs),
    /// Query, cut, merge, anonymise and repair traces
    Trace {
        #[command(subcommand)]
        command: trace::Command,
    },
    /// Compare a planned fleet size with measured costs
    Capacity(capacity::CapacityArgs),
    /// Print completions for a shell
    #[command(
        after_help = "Example:\n  puffinladder completions bash > ~/.local/share/bash-completion/completions/puffinladder"
    )]
    Completions { shell: Shell },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum LogFormatArg {
    Text,
    Json,
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Serve { config, settings, log_format, log } => {
            let log_format = log_format.map(|format| match format {
                LogFormatArg::Text => LogFormat::Text,
                LogFormatArg::Json => LogFormat::Json,
            });
            let options = puffinladder_server::Options { config, settings, log_format, log_filter: log };
            puffinladder_server::run(&options).map_err(|e| CommandError::Failed(e.to_string()))
        }
        Command::Check { file } => check::check(&file),
        Command::Control(args) => control::run(args),
        Command::LeaseStore(args) => fleet::lease_store::run(args),
        Command::Leases(args) => fleet::leases::run(args),
        Command::Worker(args) => fleet::worker::run(args),
        Command::TraceStore(args) => fleet::trace_store::run(args),
        Command::Emulate(args) => emulate::run(args),
        Command::Prove(args) => prove::run(args),
        Command::Trace { command } => trace::run(command),
        Command::Capacity(args) => capacity::run(args),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut CommandLine::command(), "puffinladder", &mut script);
            std::io::stdout().write_all(&script).map_err(CommandError::from)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::OutputClosed) => ExitCode::SUCCESS,
        Err(CommandError::Failed(message)) => {
            eprintln!("puffinladder: {message}");
            ExitCode::from(1)
        }
        Err(CommandError::Usage(message)) => {
            eprintln!("puffinladder: {message}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
