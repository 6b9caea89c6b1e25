//! The trace files in the servers' folders: which there are, and the blocks that they hold.

use crate::collection::{mark_finished, part_for_server, ListedFile, TraceFile};
use crate::transfer_error::TransferError;
use puffinladder_trace::file::{pack_notes, pack_rows, Entry, Kind, Packed};
use puffinladder_trace::{Fault, Names, Trace};
use puffinladder_trace_store::index::is_valid_name;
use puffinladder_trace_store::protocol::{FileId, MAX_LINE_BYTES};
use std::fs::{self, File};
use std::io::BufReader;
use std::path::Path;

/// The ending of a trace file's name.
const EXTENSION: &str = ".trace";
/// Longest block that is collected, in bytes: it fits into a request as base64, with space for the rest of the request.
const MAX_BLOCK_BYTES: usize = MAX_LINE_BYTES / 2;

/// A trace file that is being read.
pub(crate) struct OpenFile {
    pub id: FileId,
    trace: Trace<BufReader<File>>,
}

/// A block that was read. Its bytes are empty where it can't be read, or is too long: the rest of the file goes on.
pub(crate) struct ReadBlock {
    /// Its file, to be handed in for the next block.
    pub file: OpenFile,
    pub bytes: Vec<u8>,
    /// Whether it is the file's last.
    pub last: bool,
}

/// The trace files of all servers that belong to a part. A server's directory that can't be read counts as one without files.
pub(crate) fn list_trace_files(
    traces: &Path,
    parts: u32,
    part: u32,
) -> Result<Vec<TraceFile>, TransferError> {
    let failed = |source| TransferError::List { path: traces.into(), source };
    let mut all = Vec::new();
    for directory in fs::read_dir(traces).map_err(failed)?.filter_map(Result::ok) {
        let Some(server) = directory.file_name().to_str().map(String::from) else { continue };
        if part_for_server(&server, parts) != part || !is_valid_name(&server) {
            continue;
        }
        let Some(mut files) = list_server(&directory.path()) else { continue };
        // Only of the newest it matters whether it is sealed.
        if let Some(newest) = files.iter_mut().max() {
            newest.sealed = is_sealed(&directory.path().join(&newest.name));
        }
        all.extend(mark_finished(&server, files));
    }
    Ok(all)
}

/// One server's trace files, none of them known to be sealed.
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

/// Reads the block at a position of a file, which is opened unless it is open already. A file without any block has one without bytes.
pub(crate) fn read_block(
    open: Option<OpenFile>,
    id: FileId,
    path: &Path,
    position: u64,
) -> Result<ReadBlock, Fault> {
    let mut trace = match open {
        Some(open) => open.trace,
        None => Trace::open(BufReader::new(File::open(path)?))?,
    };
    let is_collected = |entry: &&Entry| matches!(entry.kind, Kind::Rows | Kind::Notes);
    let count = trace.entries.iter().filter(is_collected).count() as u64;
    let entry = trace.entries.iter().filter(is_collected).nth(position as usize).copied();
    let Some(entry) = entry else {
        return Ok(ReadBlock { file: OpenFile { id, trace }, bytes: Vec::new(), last: true });
    };
    let bytes = match packed_block(&mut trace, &entry) {
        Ok(block) if block.bytes.len() < MAX_BLOCK_BYTES => block.bytes,
        Ok(_) => {
            tracing::warn!("{}/{}: block {position} is too long to be collected", id.server, id.name);
            Vec::new()
        }
        Err(error) => {
            tracing::warn!("{}/{}: block {position}: {error}", id.server, id.name);
            Vec::new()
        }
    };
    Ok(ReadBlock { file: OpenFile { id, trace }, bytes, last: position + 1 >= count })
}

/// A block as it stands in its file. Files of the first version have no blocks: they are made here.
fn packed_block(trace: &mut Trace<BufReader<File>>, entry: &Entry) -> Result<Packed, Fault> {
    if trace.major != puffinladder_trace::v1::MAJOR {
        return trace.raw(entry);
    }
    let mut names = Names::default();
    match entry.kind {
        Kind::Rows => {
            let mut rows = Vec::new();
            trace.rows(entry, &mut names, &mut rows)?;
            Ok(pack_rows(&names, &mut rows))
        }
        _ => {
            let mut notes = Vec::new();
            trace.notes(entry, &mut names, &mut notes)?;
            Ok(pack_notes(&names, &mut notes))
        }
    }
}
