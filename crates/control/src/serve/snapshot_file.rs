//! File of the stored snapshot: JSON, replaced atomically.

use crate::service::StoredSnapshot;
use std::io;
use std::path::Path;

/// Error while a stored snapshot is loaded.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("{0}")]
    Read(#[from] io::Error),
    #[error("{0}")]
    Parse(#[from] serde_json::Error),
}

fn read(path: &Path) -> Result<StoredSnapshot, LoadError> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

/// Loads the snapshot of an earlier process. Returns none if the file does not exist or is unreadable.
pub(super) fn load(path: &Path) -> Option<StoredSnapshot> {
    match read(path) {
        Ok(snapshot) => Some(snapshot),
        Err(error) if path.exists() => {
            tracing::warn!("snapshot {} is unreadable, starting without it: {error}", path.display());
            None
        }
        Err(_) => None,
    }
}

fn replace(path: &Path, snapshot: &StoredSnapshot) -> io::Result<()> {
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, serde_json::to_vec(snapshot)?)?;
    std::fs::rename(temporary, path)
}

/// Replaces the stored snapshot through a temporary file. A failure is only logged.
pub(super) fn save(path: &Path, snapshot: &StoredSnapshot) {
    if let Err(error) = replace(path, snapshot) {
        tracing::warn!("snapshot {} was not saved: {error}", path.display());
    }
}
