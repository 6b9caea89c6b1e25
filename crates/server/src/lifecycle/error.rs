//! Startup errors.

use super::configuration::ConfigurationError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Error that prevents the process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// Signal handlers could not be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration or the settings could not be loaded.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The logger could not be installed.
    #[error("cannot install the logger: {0}")]
    Log(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The listening socket for gateways could not be opened.
    #[error("listen: cannot bind {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// System error.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start thread: {0}")]
    Thread(#[source] io::Error),
    /// A coroutine could not be started.
    #[error("cannot start coroutine: {0}")]
    Coroutine(#[source] io::Error),
    /// The trace key file could not be read.
    #[error("trace.key-file: cannot read {file}: {source}")]
    TraceKeyUnreadable {
        /// Path of the file.
        file: String,
        /// System error.
        source: io::Error,
    },
    /// The trace key file does not contain a key.
    #[error("trace.key-file: {file}: expected 64 hex digits")]
    TraceKeyMalformed {
        /// Path of the file.
        file: String,
    },
    /// The trace directory could not be created.
    #[error("trace.folder: cannot create {folder}: {source}")]
    TraceFolder {
        /// Path of the directory.
        folder: String,
        /// System error.
        source: io::Error,
    },
    /// The trace recorder's thread could not be started.
    #[error("cannot start the trace recorder's thread: {0}")]
    TraceThread(#[source] io::Error),
}
