//! Writes what was collected as one trace, in the order of time.

use crate::protocol::FileId;
use crate::store::{Store, StoreError};
use puffinladder_trace::file::{unpack, Meta, Writer};
use puffinladder_trace::merge::Met;
use puffinladder_trace::tools::merge;
use puffinladder_trace::Trace;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The server that the merged trace names as its own.
const MERGED_SERVER: &str = "merged";

/// Why nothing was exported.
#[derive(Debug, Error)]
pub enum ExportError {
    /// The store can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored block is damaged.
    #[error("{}/{}: {reason}", .file.server, .file.name)]
    DamagedBlock {
        /// The block's file.
        file: FileId,
        /// What is wrong with the block.
        reason: &'static str,
    },
    /// The exported trace, or one of the traces that it is merged of, can't be written.
    #[error("{path}: {source}")]
    Write {
        /// Where the exported trace is to be.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The traces that were written can't be merged.
    #[error("{path}: {source}")]
    Merge {
        /// Where the exported trace is to be.
        path: PathBuf,
        /// What failed.
        source: puffinladder_trace::Fault,
    },
}

/// Merges all stored files into one trace at `destination`, which appears there once it is complete. `made` is the time that the trace names, in us since 1970;
/// `progress` is told how many rows of how many are written.
pub fn export(
    store: &Store,
    destination: &Path,
    made: i64,
    progress: &mut dyn FnMut(usize, usize),
) -> Result<Met, ExportError> {
    let write_error = |source| ExportError::Write { path: destination.into(), source };
    let merge_error = |source| ExportError::Merge { path: destination.into(), source };
    // Beside the trace itself, so that there is space for both or for none.
    let directory =
        destination.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let parts = tempfile::tempdir_in(directory).map_err(write_error)?;
    let mut traces = Vec::new();
    for (position, file) in store.files()?.iter().enumerate() {
        let path = parts.path().join(format!("{position}.trace"));
        write_stored_file(store, file, &path, destination, made)?;
        let reader = BufReader::new(File::open(&path).map_err(write_error)?);
        traces.push((Trace::open(reader).map_err(merge_error)?, 0));
    }
    let temporary = parts.path().join("whole");
    let out = BufWriter::new(File::create(&temporary).map_err(write_error)?);
    let meta = Meta { node: MERGED_SERVER.into(), made };
    let mut writer = Writer::new(out, &meta).map_err(write_error)?;
    let merged = merge(traces, &mut writer, progress).map_err(merge_error)?;
    finish(writer).map_err(write_error)?;
    std::fs::rename(&temporary, destination).map_err(write_error)?;
    Ok(merged)
}

/// Writes the stored blocks of one file as a trace at `path`. Errors name the exported trace.
fn write_stored_file(
    store: &Store,
    file: &FileId,
    path: &Path,
    destination: &Path,
    made: i64,
) -> Result<(), ExportError> {
    let write_error = |source| ExportError::Write { path: destination.into(), source };
    let out = BufWriter::new(File::create(path).map_err(write_error)?);
    let meta = Meta { node: file.server.clone(), made };
    let mut writer = Writer::new(out, &meta).map_err(write_error)?;
    store.for_each_block(file, |bytes| {
        let block =
            unpack(bytes).map_err(|bad| ExportError::DamagedBlock { file: file.clone(), reason: bad.0 })?;
        writer.block(&block).map_err(write_error)
    })?;
    finish(writer).map_err(write_error)
}

fn finish<W: Write>(writer: Writer<W>) -> io::Result<()> {
    writer.seal()?.flush()
}
