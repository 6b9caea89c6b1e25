//! Fatal errors of the replica process.

use crate::replica::ReplicaError;
use crate::store::StoreError;
use thiserror::Error;

/// Fatal error of the replica process.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The replica failed.
    #[error("{0}")]
    Replica(#[from] ReplicaError),
    /// The listen address can't be bound.
    #[error("can't listen: {0}")]
    Listen(std::io::Error),
    /// A write failed, so nothing more may be reported as durable.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The disk thread can't be started.
    #[error("can't start the disk thread: {0}")]
    DiskThread(std::io::Error),
    /// The disk thread panicked.
    #[error("the disk thread panicked")]
    DiskThreadPanicked,
    /// The disk thread ended unexpectedly.
    #[error("the disk thread ended unexpectedly")]
    DiskThreadEnded,
    /// Waiting for the disk thread failed.
    #[error("waiting for the disk thread failed: {0}")]
    Join(#[from] tokio::task::JoinError),
}
