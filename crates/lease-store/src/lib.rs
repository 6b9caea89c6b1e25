//! Replicated lease store: three or five replicas keep the lease table in agreement by majority (`docs/leases.md`).
//!
//! - [`replica`]: one replica without I/O or clock, on top of the `raft` crate. Input is messages, requests and ticks;
//!   output is writes, messages and replies.
//! - [`durable`]: the types that are written to disk.
//! - [`store`]: the file that holds them.
//! - [`membership`]: the rules for adding and removing replicas.
//! - [`server`]: the replica process on sockets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod durable;
mod log;
pub mod membership;
pub mod replica;
pub mod server;
pub mod store;
