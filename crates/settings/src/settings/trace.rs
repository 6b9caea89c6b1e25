//! Section `trace`: what the recorder of requests writes, and where.

use super::fields::read_text_of_required_key;
use super::format::{quoted, write_optional};
use crate::sexpr::Block;
use std::fmt;

/// What the recorder of requests writes, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Directory of the trace files. Key `folder`.
    pub directory: String,
    /// Rows of a full block. Key `block-rows`, default 4096.
    pub block_rows: usize,
    /// Seconds that a row waits for its block to fill up, which is what a kill loses. Key `block-span`, default 5 s.
    pub block_duration: f64,
    /// Size past which a file is sealed, in bytes. Key `file-bytes`, default 64 MB.
    pub file_bytes: u64,
    /// Age past which a file is sealed, in seconds. Key `file-span`, default 1 h.
    pub file_duration: f64,
    /// Bytes of all files together; the oldest are removed first. Key `most-bytes`, default 1 GB.
    pub max_bytes: u64,
    /// Number of files. Key `most-files`, default 200.
    pub max_files: usize,
    /// One request of so many is recorded; 1 records all. Key `sample`, default 1.
    pub sample_interval: u32,
    /// File with the 32 bytes in hex by which names and keys are hashed; without it each start draws new ones.
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
