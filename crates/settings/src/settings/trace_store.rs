//! Section `archive`: the store of collected traces.

use super::fields::{read_required_address, read_required_text};
use super::format::quoted;
use crate::sexpr::Block;
use std::fmt;
use std::net::SocketAddr;

/// The store of collected traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceStoreSettings {
    /// Address for workers. Key `listen`.
    pub listen: SocketAddr,
    /// Directory of the collected traces. Key `folder`.
    pub directory: String,
    /// Total size in bytes above which the oldest complete files are evicted. Key `most-bytes`, default 10 GB.
    pub max_bytes: u64,
    /// Maximum number of open connections. Key `most-connections`, default 500.
    pub max_connections: usize,
}

impl TraceStoreSettings {
    pub(super) fn read(block: &Block) -> TraceStoreSettings {
        let store = TraceStoreSettings {
            listen: read_required_address(block, "listen"),
            directory: read_required_text(block, "folder"),
            max_bytes: block.bytes("most-bytes", 10 << 30, 1 << 20..=1 << 50),
            max_connections: block.count("most-connections", 500, 4..=100_000),
        };
        block.finish();
        store
    }
}

impl fmt::Display for TraceStoreSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "(archive (listen \"{}\") (folder {})", self.listen, quoted(&self.directory))?;
        write!(f, "  (most-bytes {}B) (most-connections {}))", self.max_bytes, self.max_connections)
    }
}
