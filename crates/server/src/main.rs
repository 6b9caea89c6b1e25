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
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("puffinladder-server: {what}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let told = |name: &str| std::env::var(name).ok();
    let path = told("BALANCER_CONFIG").ok_or("BALANCER_CONFIG should name the configuration file")?;
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: {path}: {e}"))?;
    let (name, listen) = (told("BALANCER_NAME"), told("BALANCER_LISTEN"));
    let warrant = puffinladder_charter::read_warrant(&text, name.as_deref(), listen.as_deref())?;
    life::run(warrant)
}
