//! Errors of transferring traces.

use puffinladder_trace_store::protocol::Response;
use puffinladder_transport::TransportError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// An error that ends a transfer step.
#[derive(Debug, Error)]
pub enum TransferError {
    /// Connecting to the trace store failed.
    #[error("can't connect to the trace store at {address}: {source}")]
    Connect {
        /// Address of the trace store.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection to the trace store failed.
    #[error("connection to the trace store failed: {0}")]
    Transport(#[from] TransportError),
    /// The trace store closed the connection.
    #[error("the trace store closed the connection")]
    ClosedByStore,
    /// There is no open connection to the trace store.
    #[error("not connected to the trace store")]
    NotConnected,
    /// The trace store did not respond within the step.
    #[error("the trace store did not respond within the step")]
    TimedOut,
    /// The trace store has reached its capacity.
    #[error("the trace store is full")]
    StoreFull,
    /// The response does not match the request.
    #[error("unexpected response from the trace store: {0:?}")]
    UnexpectedResponse(Response),
    /// The servers' directories could not be listed.
    #[error("can't list {path}: {source}")]
    List {
        /// The directory that contains them.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A task that reads files panicked.
    #[error("reading trace files failed: {0}")]
    ReaderPanicked(#[from] JoinError),
}
