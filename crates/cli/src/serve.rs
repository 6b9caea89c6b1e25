//! Common to all services of the command line: settings, logging, the runtime and shutdown by signal.

use crate::terminal::{CommandError, CommandResult};
use puffinladder_settings::{parse_settings, LogFormat, Settings};
use std::future::Future;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};

/// Reads the settings file at `path`, or else at PUFFINLADDER_SETTINGS, and returns its name and contents.
pub fn load_settings(path: Option<PathBuf>) -> CommandResult<(String, Settings)> {
    let path = path.or_else(|| std::env::var_os("PUFFINLADDER_SETTINGS").map(Into::into));
    let path = path.ok_or_else(|| {
        CommandError::Usage("--settings or PUFFINLADDER_SETTINGS should name a settings file".into())
    })?;
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| CommandError::Failed(format!("{name}: {e}")))?;
    let settings = parse_settings(&name, &text).map_err(|error| CommandError::Usage(error.to_string()))?;
    Ok((name, settings))
}

/// Returns a section of the settings file `name`, or a usage error that names the missing `key`.
pub fn require_section<T>(name: &str, key: &str, section: Option<T>) -> CommandResult<T> {
    section.ok_or_else(|| CommandError::Usage(format!("{name}: has no ({key} ...)")))
}

/// Starts logging to standard error; RUST_LOG takes precedence over the filter of the settings.
pub fn init_logging(settings: &Settings) {
    let levels = std::env::var("RUST_LOG").ok().or_else(|| settings.log.filter.clone());
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    let filter =
        tracing_subscriber::EnvFilter::builder().parse_lossy(levels.unwrap_or_else(|| "info".into()));
    let log = log.with_env_filter(filter);
    match settings.log.format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}

/// Returns a multi-threaded runtime.
pub fn runtime() -> CommandResult<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}

/// Waits for the service or for SIGTERM or SIGINT, and returns the service's result, or `None` after a signal.
pub async fn wait_or_shutdown<T>(service: impl Future<Output = T>) -> CommandResult<Option<T>> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        result = service => return Ok(Some(result)),
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    tracing::info!("shutting down on SIGTERM or SIGINT");
    Ok(None)
}
