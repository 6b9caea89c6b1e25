//! Replicated lease store: three or five replicas, a majority of which agrees on the lease table (`docs/leases.md`).
//!
//! [`replica`] is one replica without I/O and clock: messages, requests and ticks go in; writes, messages and replies come out. Consensus is
//! the `raft` crate's. [`durable`] holds the forms that are written to disk, [`store`] the file they are in, [`membership`] the rules for
//! adding and removing replicas, and [`server`] the process on sockets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod durable;
mod log;
pub mod membership;
pub mod replica;
pub mod server;
pub mod store;
