//! What the fleet's services share on the command line: their arguments, their section of the settings, and how long they run.

use super::{failed, Ground};
use crate::say::Done;
use crate::serve;
use clap::Args;
use puffinladder_settings::Settings;
use puffinladder_transport::RunningService;
use std::fmt::Display;
use std::path::PathBuf;

/// Arguments that start a service.
#[derive(Args)]
pub struct ServiceArgs {
    /// Settings file with the service's section in it
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Write each event to standard output, a line of JSON each
    #[arg(long)]
    events: bool,
}

impl ServiceArgs {
    /// Reads the settings, starts the log, and returns the section that `select` takes; `key` is its name in the file.
    pub fn load<T>(self, key: &str, select: impl FnOnce(&Settings) -> Option<T>) -> Done<(T, Ground)> {
        let (name, settings) = serve::settings(self.settings)?;
        let section = serve::section(&name, key, select(&settings))?;
        serve::log(&settings);
        Ok((section, Ground::usual(self.events)))
    }
}

/// Runs a service until it fails or the process is told to stop, and then stops it.
pub async fn run_until_stopped<E: Display>(mut service: RunningService<E>) -> Done {
    let ended = match serve::until_told(service.wait()).await? {
        Some(ended) => ended,
        None => service.stop().await,
    };
    ended.map_err(|e| failed(e.to_string()))
}
