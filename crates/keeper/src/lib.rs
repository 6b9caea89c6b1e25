//! Keepers: three or five processes of which a majority holds the table of grants (`docs/owners.md`).
//!
//! [`log`] is a keeper's log in memory and what of it must be on disk; [`core`] is a keeper without I/O and clock:
//! messages, lines and ticks go in, what is to be saved, sent and told comes out. Consensus is the `raft` library's. [`store`] is the disk.
#![forbid(unsafe_code)]

pub mod core;
pub mod log;
pub mod store;
