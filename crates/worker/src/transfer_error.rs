//! Why a transfer of traces ended before its time.

use puffinladder_trace_store::protocol::Response;
use puffinladder_transport::TransportError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a step ended before its time.
#[derive(Debug, Error)]
pub enum TransferError {
    /// The trace store can't be reached.
    #[error("the trace store at {address}: {source}")]
    Connect {
        /// Where it should listen.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The connection to the trace store failed.
    #[error("the trace store: {0}")]
    Transport(#[from] TransportError),
    /// The trace store closed the connection.
    #[error("the trace store closed the connection")]
    ClosedByStore,
    /// No connection to the trace store is open.
    #[error("not connected to the trace store")]
    NotConnected,
    /// The trace store did not respond within the step.
    #[error("the trace store does not respond within the step")]
    TimedOut,
    /// The trace store has no capacity left.
    #[error("the trace store is full")]
    StoreFull,
    /// The response does not fit the request.
    #[error("the trace store responds {0:?}")]
    UnexpectedResponse(Response),
    /// The servers' folders can't be listed.
    #[error("{path}: {source}")]
    List {
        /// The folder that holds them.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// A task that reads files panicked.
    #[error("{0}")]
    ReaderPanicked(#[from] JoinError),
}
