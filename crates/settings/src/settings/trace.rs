//! Section `trace`: the recorder of request traces.

use super::fields::read_text_of_required_key;
use super::format::{quoted, write_optional};
use crate::sexpr::Block;
use std::fmt;

/// Settings of the recorder of request traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Directory of the trace files. Key `folder`.
    pub directory: String,
    /// Rows of a full block. Key `block-rows`, default 4096.
    pub block_rows: usize,
    /// Seconds after which a block is written though it is not full; a kill loses the unwritten block. Key `block-span`, default 5 s.
    pub block_duration: f64,
    /// Size past which a file is sealed, in bytes. Key `file-bytes`, default 64 MB.
    pub file_bytes: u64,
    /// Age past which a file is sealed, in seconds. Key `file-span`, default 1 h.
    pub file_duration: f64,
    /// Total size of all files, in bytes; the oldest are removed first. Key `most-bytes`, default 1 GB.
    pub max_bytes: u64,
    /// Maximum number of files. Key `most-files`, default 200.
    pub max_files: usize,
    /// Every n-th request is recorded; 1 records all. Key `sample`, default 1.
    pub sample_interval: u32,
    /// File with the 32-byte key, in hex, for hashing names and keys; without it a random key is generated at each start.
    /// Key `key-file`.
    pub key_file: Option<String>,
}

impl TraceSettings {
    pub(super) fn read(block: &Block) -> TraceSettings {
        let trace = TraceSettings {
            directory: read_text_of_required_key(block, "folder"),
            block_rows: block.count("block-rows", 4096, 16..=65536),
            block_duration: block.duration("block-span", 5.0, 0.1..=600.0),
            file_bytes: block.bytes("file-bytes", 64 << 20, 1 << 16..=1 << 40),
            file_duration: block.duration("file-span", 3600.0, 1.0..=604_800.0),
            max_bytes: block.bytes("most-bytes", 1 << 30, 1 << 17..=1 << 50),
            max_files: block.count("most-files", 200, 2..=100_000),
            sample_interval: block.count("sample", 1, 1..=1_000_000) as u32,
            key_file: block.text("key-file"),
        };
        if trace.max_bytes < 2 * trace.file_bytes && block.has("file-bytes") {
            block.report("most-bytes", "should have room for two files of file-bytes at the least");
        }
        block.finish();
        trace
    }
}

impl fmt::Display for TraceSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "(trace\n  (folder {})", quoted(&self.directory))?;
        writeln!(f, "  (block-rows {})", self.block_rows)?;
        writeln!(f, "  (block-span {}s)", self.block_duration)?;
        writeln!(f, "  (file-bytes {}B)", self.file_bytes)?;
        writeln!(f, "  (file-span {}s)", self.file_duration)?;
        writeln!(f, "  (most-bytes {}B)", self.max_bytes)?;
        writeln!(f, "  (most-files {})", self.max_files)?;
        write!(f, "  (sample {})", self.sample_interval)?;
        write_optional(f, "\n  ", "key-file", self.key_file.as_ref())?;
        f.write_str(")")
    }
}
