//! Why the process can't start.

use super::configuration::ConfigurationError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the process can't start. Its text is the one line that the process leaves.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signals could not be registered.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration or the settings can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The log could not be started.
    #[error("no log: {0}")]
    Log(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The address for gateways can't be listened at.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("no thread: {0}")]
    Thread(#[source] io::Error),
    /// A coroutine could not be started.
    #[error("no coroutine: {0}")]
    Coroutine(#[source] io::Error),
    /// The file with the trace's key can't be read.
    #[error("trace.key-file: {file}: {source}")]
    TraceKeyUnreadable {
        /// The file.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file with the trace's key holds no key.
    #[error("trace.key-file: {file}: not 64 hex digits")]
    TraceKeyMalformed {
        /// The file.
        file: String,
    },
    /// The trace's folder can't be made.
    #[error("trace.folder: {folder}: {source}")]
    TraceFolder {
        /// The folder.
        folder: String,
        /// What the system says.
        source: io::Error,
    },
    /// The thread that writes the trace could not be started.
    #[error("no thread for the trace: {0}")]
    TraceThread(#[source] io::Error),
}
