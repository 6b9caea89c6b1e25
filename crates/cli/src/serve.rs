//! What all services of the command line share: their settings, their log, and until when they run.

use crate::say::{Done, Wrong};
use puffinladder_settings::{parse_settings, LogFormat, Settings};
use std::future::Future;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};

/// The settings of a service, from the file named or by PUFFINLADDER_SETTINGS, and the file's name.
pub fn settings(path: Option<PathBuf>) -> Done<(String, Settings)> {
    let path = path.or_else(|| std::env::var_os("PUFFINLADDER_SETTINGS").map(Into::into));
    let path =
        path.ok_or_else(|| Wrong::Asked("--settings or PUFFINLADDER_SETTINGS should name a file".into()))?;
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| Wrong::Failed(format!("{name}: {e}")))?;
    let settings = parse_settings(&name, &text).map_err(|error| Wrong::Asked(error.to_string()))?;
    Ok((name, settings))
}

/// One section of them, which has to be there.
pub fn section<T>(name: &str, key: &str, found: Option<T>) -> Done<T> {
    found.ok_or_else(|| Wrong::Asked(format!("{name}: has no ({key} ...)")))
}

pub fn log(settings: &Settings) {
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

pub fn runtime() -> Done<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}

/// Waits until the service is told to leave, or ends by itself: what that came to.
pub async fn until_told<T>(ended: impl Future<Output = T>) -> Done<Option<T>> {
    let mut term = signal(SignalKind::terminate())?;
    let told = tokio::select! {
        ended = ended => return Ok(Some(ended)),
        _ = term.recv() => None,
        _ = tokio::signal::ctrl_c() => None,
    };
    tracing::info!("was told to leave");
    Ok(told)
}
