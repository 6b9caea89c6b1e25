//! Why the process can't start or can't go on.

use crate::replica::ReplicaError;
use crate::store::StoreError;
use thiserror::Error;

/// Why a replica's process ends.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The replica can't start or can't go on.
    #[error("{0}")]
    Replica(#[from] ReplicaError),
    /// The address can't be listened on.
    #[error("{0}")]
    Listen(std::io::Error),
    /// A write failed: no answer may say any more that something is on disk.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The system gives no thread for the disk.
    #[error("no thread for the disk: {0}")]
    DiskThread(std::io::Error),
    /// The disk's thread panicked.
    #[error("the disk's thread panicked")]
    DiskThreadPanicked,
    /// The disk's thread ended while it was needed.
    #[error("the disk's thread ended")]
    DiskThreadEnded,
    /// Waiting for the disk's thread failed.
    #[error("{0}")]
    Join(#[from] tokio::task::JoinError),
}
