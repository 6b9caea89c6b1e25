//! Lists the trace files of servers and reads their blocks.

use crate::collection::{mark_finished, part_for_server, ListedFile, TraceFile};
use crate::transfer_error::TransferError;
use puffinladder_trace::file::{encode_notes, encode_rows, BlockKind, EncodedBlock, IndexEntry};
use puffinladder_trace::{Names, Trace, TraceError};
use puffinladder_trace_store::index::is_valid_name;
use puffinladder_trace_store::protocol::{FileId, MAX_LINE_BYTES};
use std::fs::{self, File};
use std::io::BufReader;
use std::path::Path;

/// Extension of trace files.
const EXTENSION: &str = ".trace";
/// Longest block that is collected, in bytes, so that its base64 form fits into a request.
const MAX_BLOCK_BYTES: usize = MAX_LINE_BYTES / 2;

/// An open trace file.
pub(crate) struct OpenFile {
    pub id: FileId,
    trace: Trace<BufReader<File>>,
}

/// A block of a file. Its bytes are empty if it is unreadable or too long, so that the rest of the file is still collected.
pub(crate) struct ReadBlock {
    /// Its file, reused for the next block.
    pub file: OpenFile,
    pub bytes: Vec<u8>,
    /// Whether it is the last block of the file.
    pub last: bool,
}

/// Lists the trace files of all servers that belong to a part. Unreadable directories of servers are skipped.
pub(crate) fn list_trace_files(
    traces: &Path,
    parts: u32,
    part: u32,
) -> Result<Vec<TraceFile>, TransferError> {
    let failed = |source| TransferError::List { path: traces.into(), source };
    let mut trace_files = Vec::new();
    for directory in fs::read_dir(traces).map_err(failed)?.filter_map(Result::ok) {
        let Some(server) = directory.file_name().to_str().map(String::from) else { continue };
        if part_for_server(&server, parts) != part || !is_valid_name(&server) {
            continue;
        }
        let Some(mut files) = list_server(&directory.path()) else { continue };
        // Older files are finished even if they are not sealed.
        if let Some(newest) = files.iter_mut().max() {
            newest.sealed = is_sealed(&directory.path().join(&newest.name));
        }
        trace_files.extend(mark_finished(&server, files));
    }
    Ok(trace_files)
}

/// Lists one server's trace files, without checking whether they are sealed.
fn list_server(directory: &Path) -> Option<Vec<ListedFile>> {
    let mut files = Vec::new();
    for file in fs::read_dir(directory).ok()?.filter_map(Result::ok) {
        let Some(name) = file.file_name().to_str().map(String::from) else { continue };
        if name.ends_with(EXTENSION) && is_valid_name(&name) {
            files.push(ListedFile { name, sealed: false });
        }
    }
    Some(files)
}

fn is_sealed(path: &Path) -> bool {
    let file = File::open(path).map(BufReader::new);
    file.is_ok_and(|file| Trace::open(file).is_ok_and(|trace| trace.sealed))
}

/// Reads the block at a position of a file, which is opened if `open` is `None`. A file without blocks yields one empty block.
pub(crate) fn read_block(
    open: Option<OpenFile>,
    id: FileId,
    path: &Path,
    position: u64,
) -> Result<ReadBlock, TraceError> {
    let mut trace = match open {
        Some(open) => open.trace,
        None => Trace::open(BufReader::new(File::open(path)?))?,
    };
    let is_collected = |entry: &&IndexEntry| matches!(entry.kind, BlockKind::Rows | BlockKind::Notes);
    let count = trace.entries.iter().filter(is_collected).count() as u64;
    let entry = trace.entries.iter().filter(is_collected).nth(position as usize).copied();
    let Some(entry) = entry else {
        return Ok(ReadBlock { file: OpenFile { id, trace }, bytes: Vec::new(), last: true });
    };
    let bytes = match packed_block(&mut trace, &entry) {
        Ok(block) if block.bytes.len() < MAX_BLOCK_BYTES => block.bytes,
        Ok(_) => {
            tracing::warn!(
                "{}/{}: skipped block {position} longer than {MAX_BLOCK_BYTES} bytes",
                id.server,
                id.name
            );
            Vec::new()
        }
        Err(error) => {
            tracing::warn!("{}/{}: skipped unreadable block {position}: {error}", id.server, id.name);
            Vec::new()
        }
    };
    Ok(ReadBlock { file: OpenFile { id, trace }, bytes, last: position + 1 >= count })
}

/// Returns a block in its packed form. Files of version 1 have no packed blocks, so their rows are packed here.
fn packed_block(trace: &mut Trace<BufReader<File>>, entry: &IndexEntry) -> Result<EncodedBlock, TraceError> {
    if trace.major != puffinladder_trace::v1::MAJOR {
        return trace.encoded_block(entry);
    }
    let mut names = Names::default();
    match entry.kind {
        BlockKind::Rows => {
            let mut rows = Vec::new();
            trace.rows(entry, &mut names, &mut rows)?;
            Ok(encode_rows(&names, &mut rows))
        }
        _ => {
            let mut notes = Vec::new();
            trace.notes(entry, &mut names, &mut notes)?;
            Ok(encode_notes(&names, &mut notes))
        }
    }
}
