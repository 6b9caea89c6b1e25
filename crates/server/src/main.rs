//! puffinladder's decisions on real sockets: one server of the fleet.

mod clock;
mod desk;
mod life;
mod limits;
mod lock;
mod memory;
mod txn;
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    match life::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("puffinladder-server: {what}");
            ExitCode::FAILURE
        }
    }
}
