//! A trace is a compact, versioned, indexed file of txns and what was decided on them. `docs/trace.md` tells why
//! it is built as it is, `docs/trace-format.md` every byte of it.
//!
//! Everything here reads and writes through `Read`, `Write` and `Seek` and reads no clock; the recorder's thread
//! in [`recorder`] is the one exception.
#![forbid(unsafe_code)]

pub mod anonymise;
pub mod block;
pub mod codec;
pub mod expr;
pub mod file;
pub mod merge;
pub mod open;
pub mod recorder;
pub mod row;
pub mod summary;
pub mod synth;
pub mod tools;
pub mod v1;

pub use open::{Trace, TraceError};
pub use row::{Names, Note, Row};
