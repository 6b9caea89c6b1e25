//! One server of the fleet, as the platform starts it: the admission policy on real sockets. The same with a command line
//! is `puffinladder serve`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

const USAGE: &str = "puffinladder-server: one server of the fleet

It takes no arguments; the environment tells it:
  BALANCER_CONFIG        the configuration, a JSON object (examples/server.json is one)
  BALANCER_NAME          its name, if the configuration has none
  BALANCER_LISTEN        where gateways connect, if the configuration does not say
  PUFFINLADDER_SETTINGS  our own settings, S-expressions (deploy/settings.example.scm); optional
  RUST_LOG               levels of the log, as in info,puffinladder_server::txn=trace

With flags: puffinladder serve --help";

/// Exit status where the command line is wrong.
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
            eprintln!("puffinladder-server: {other} is not known; see --help");
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
