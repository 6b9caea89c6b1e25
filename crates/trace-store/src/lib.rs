//! The trace store, a server that stores collected traces. Workers that hold a part of the task `gather` send sealed files of the
//! servers block by block. The store accepts each block once, in order, and rejects workers whose epoch is superseded.
//!
//! [`index`] decides without I/O; [`store`] writes each decision together with its block in one transaction; [`serve`] is the
//! network service; [`export`] merges the stored files into one trace; [`protocol`] defines the messages.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod export;
pub mod index;
pub mod injected_bug;
pub mod protocol;
mod requests;
pub mod serve;
pub mod store;
