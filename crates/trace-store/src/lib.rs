//! The trace store: where collected traces are kept. Workers that hold a part of the task `gather` bring sealed files of the servers block by block; the store
//! takes each block once, in order, and nothing from a worker whose epoch has been superseded. [`index`] decides without I/O; [`store`] writes what was decided
//! together with the block, in one transaction; [`serve`] listens and answers; [`export`] merges what is stored into one trace. [`protocol`] is
//! what workers and the store send each other.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod export;
pub mod index;
pub mod injected_bug;
pub mod protocol;
mod requests;
pub mod serve;
pub mod store;
