//! Export of all stored files as one trace, ordered by time.

use crate::protocol::FileId;
use crate::store::{Store, StoreError};
use puffinladder_trace::file::{verify_block, FileMetadata, Writer};
use puffinladder_trace::merge::MergeReport;
use puffinladder_trace::tools::merge;
use puffinladder_trace::Trace;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Server name in the metadata of the merged trace.
const MERGED_SERVER: &str = "merged";

/// An error that aborts an export.
#[derive(Debug, Error)]
pub enum ExportError {
    /// Reading the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored block is damaged.
    #[error("damaged block of {}/{}: {reason}", .file.server, .file.name)]
    DamagedBlock {
        /// File of the block.
        file: FileId,
        /// The defect of the block.
        reason: &'static str,
    },
    /// The exported trace, or a temporary trace beside it, could not be written.
    #[error("can't write {path}: {source}")]
    Write {
        /// Destination of the exported trace.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The temporary traces could not be merged.
    #[error("can't merge traces into {path}: {source}")]
    Merge {
        /// Destination of the exported trace.
        path: PathBuf,
        /// Error of reading or merging.
        source: puffinladder_trace::TraceError,
    },
}

/// Merges all stored files into one trace, which is moved to `destination` once it is complete. `made` is the creation time in
/// the trace's metadata, in us since 1970; `progress` is called with the written and the total number of rows.
pub fn export(
    store: &Store,
    destination: &Path,
    made: i64,
    progress: &mut dyn FnMut(usize, usize),
) -> Result<MergeReport, ExportError> {
    let write_error = |source| ExportError::Write { path: destination.into(), source };
    let merge_error = |source| ExportError::Merge { path: destination.into(), source };
    // Temporary files are on the file system of the destination, so that the final rename is atomic.
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
    let temporary = parts.path().join("merged");
    let out = BufWriter::new(File::create(&temporary).map_err(write_error)?);
    let meta = FileMetadata { node: MERGED_SERVER.into(), created: made };
    let mut writer = Writer::new(out, &meta).map_err(write_error)?;
    let merged = merge(traces, &mut writer, progress).map_err(merge_error)?;
    finish(writer).map_err(write_error)?;
    std::fs::rename(&temporary, destination).map_err(write_error)?;
    Ok(merged)
}

/// Writes the stored blocks of one file as a trace at `path`. Errors contain `destination`.
fn write_stored_file(
    store: &Store,
    file: &FileId,
    path: &Path,
    destination: &Path,
    made: i64,
) -> Result<(), ExportError> {
    let write_error = |source| ExportError::Write { path: destination.into(), source };
    let out = BufWriter::new(File::create(path).map_err(write_error)?);
    let meta = FileMetadata { node: file.server.clone(), created: made };
    let mut writer = Writer::new(out, &meta).map_err(write_error)?;
    store.for_each_block(file, |bytes| {
        let block = verify_block(bytes)
            .map_err(|bad| ExportError::DamagedBlock { file: file.clone(), reason: bad.0 })?;
        writer.write_block(&block).map_err(write_error)
    })?;
    finish(writer).map_err(write_error)
}

fn finish<W: Write>(writer: Writer<W>) -> io::Result<()> {
    writer.seal()?.flush()
}
