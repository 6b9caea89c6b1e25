//! The incarnation number of a worker, which increases with every start regardless of the wall clock.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File with the number of the last incarnation.
const INCARNATION_FILE: &str = "life";
/// File that the next number is written to before it replaces [`INCARNATION_FILE`].
const TEMPORARY_FILE: &str = "life.new";
/// Converts the wall-clock time to microseconds, the lower bound of incarnation numbers.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The reason why no incarnation number is available.
#[derive(Debug, Error)]
pub enum IncarnationError {
    /// The file is damaged. Without it the number is the wall-clock time, which exceeds the last number after some downtime.
    #[error("{0}: not a number; remove the file if this worker has not run for ten minutes")]
    NotANumber(PathBuf),
    /// The file could not be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Returns the number of a new incarnation once it is durable. It exceeds the last stored number and is at least `unix_time`,
/// given in seconds since 1970, so that it also increases if the file was lost.
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
