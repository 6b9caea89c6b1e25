//! Common to the fleet's services: arguments, settings section, and running until a stop signal.

use super::{failed, ServiceEnvironment};
use crate::serve;
use crate::terminal::CommandResult;
use clap::Args;
use puffinladder_settings::Settings;
use puffinladder_transport::RunningService;
use std::fmt::Display;
use std::path::PathBuf;

/// Arguments that start a service.
#[derive(Args)]
pub struct ServiceArgs {
    /// Settings file with the service's section
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Write events to standard output, one line of JSON each
    #[arg(long)]
    events: bool,
}

impl ServiceArgs {
    /// Reads the settings, starts the log, and returns the section that `select` takes; `key` is its name in the file.
    pub fn load<T>(
        self,
        key: &str,
        select: impl FnOnce(&Settings) -> Option<T>,
    ) -> CommandResult<(T, ServiceEnvironment)> {
        let (name, settings) = serve::load_settings(self.settings)?;
        let section = serve::require_section(&name, key, select(&settings))?;
        serve::init_logging(&settings);
        Ok((section, ServiceEnvironment::production(self.events)))
    }
}

/// Runs a service until it fails, or stops it on SIGTERM or SIGINT.
pub async fn run_until_stopped<E: Display>(mut service: RunningService<E>) -> CommandResult {
    let result = match serve::wait_or_shutdown(service.wait()).await? {
        Some(result) => result,
        None => service.stop().await,
    };
    result.map_err(|e| failed(e.to_string()))
}
