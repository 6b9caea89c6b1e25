//! Server binary configured by environment variables. `puffinladder serve` does the same with command line
//! options.
#![forbid(unsafe_code)]

use std::process::ExitCode;

const USAGE: &str = "puffinladder-server: one server of the fleet

Takes no arguments. Environment variables:
  BALANCER_CONFIG        path of the configuration, a JSON object (see examples/server.json)
  BALANCER_NAME          server name, if the configuration has none
  BALANCER_LISTEN        listen address for gateways, if the configuration has none
  PUFFINLADDER_SETTINGS  path of the settings, S-expressions (see deploy/settings.example.scm); optional
  RUST_LOG               log levels, such as info,puffinladder_server::txn=trace

For command line options see: puffinladder serve --help";

/// Exit status for an invalid command line.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next()) {
        (None, _) => serve(),
        (Some("--help" | "-h"), None) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        (Some("--version" | "-V"), None) => {
            println!("puffinladder-server {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        (Some(other), _) => {
            eprintln!("puffinladder-server: unexpected argument {other}; see --help");
            ExitCode::from(USAGE_ERROR)
        }
    }
}

fn serve() -> ExitCode {
    match puffinladder_server::run(&puffinladder_server::Options::default()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("puffinladder-server: {error}");
            ExitCode::FAILURE
        }
    }
}
