//! Keepers: three or five processes of which a majority holds the table of grants (`docs/leases.md`).
//!
//! [`log`] is a keeper's log in memory and what of it must be on disk; [`core`] is a keeper without I/O and clock:
//! messages, lines and ticks go in, what is to be saved, sent and told comes out. Consensus is the `raft` library's. [`members`] says who the
//! keepers are, [`store`] is the disk, [`serve`] the process on sockets.
#![forbid(unsafe_code)]

pub mod core;
pub mod log;
pub mod members;
pub mod serve;
pub mod store;
