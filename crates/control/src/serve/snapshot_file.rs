//! The file of the stored snapshot: JSON, replaced as a whole.

use crate::service::StoredSnapshot;
use std::io;
use std::path::Path;

/// Why a stored snapshot can't be used.
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

/// Reads what an earlier process left. A file that can't be read counts as none: the service starts without.
pub(super) fn load(path: &Path) -> Option<StoredSnapshot> {
    match read(path) {
        Ok(snapshot) => Some(snapshot),
        Err(error) if path.exists() => {
            tracing::warn!("snapshot: {}: {error}: starting without it", path.display());
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

/// Writes a snapshot beside the old one, then in its place. A failure is logged, and the service goes on.
pub(super) fn save(path: &Path, snapshot: &StoredSnapshot) {
    if let Err(error) = replace(path, snapshot) {
        tracing::warn!("snapshot: {}: {error}", path.display());
    }
}
