//! The number of a worker's incarnation: it rises with every start, whatever the wall clock says by then.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The file that holds the number of the last incarnation.
const INCARNATION_FILE: &str = "life";
/// The next number is written here first, and moved over [`INCARNATION_FILE`] once it is durable.
const TEMPORARY_FILE: &str = "life.new";
/// Numbers start from the wall clock, in us since 1970.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Why a worker has no number to start under.
#[derive(Debug, Error)]
pub enum IncarnationError {
    /// The file is damaged. Without it the number comes from the wall clock, which is above the last one once the worker has been down for a while.
    #[error("{0}: not a number; remove it if this worker has not run for ten minutes")]
    NotANumber(PathBuf),
    /// The file can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
}

/// The number of the incarnation that starts now, durable before it is returned: above all earlier ones and, where they are lost, above what the wall clock
/// gave them. `unix_time` is in seconds since 1970.
pub fn next(directory: &Path, unix_time: f64) -> Result<u64, IncarnationError> {
    let path = directory.join(INCARNATION_FILE);
    let failed = |source| IncarnationError::Io { path: path.clone(), source };
    fs::create_dir_all(directory).map_err(failed)?;
    let last = match fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| IncarnationError::NotANumber(path.clone()))?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => 0u64,
        Err(e) => return Err(failed(e)),
    };
    let incarnation = last.saturating_add(1).max((unix_time * MICROSECONDS_PER_SECOND) as u64);
    write_durably(directory, &path, incarnation).map_err(failed)?;
    Ok(incarnation)
}

fn write_durably(directory: &Path, path: &Path, incarnation: u64) -> io::Result<()> {
    let temporary = directory.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    writeln!(file, "{incarnation}")?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    File::open(directory)?.sync_all()
}

#[cfg(test)]
mod tests;
