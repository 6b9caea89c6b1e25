//! Compact, versioned, indexed trace files of requests and the decisions on them. `docs/trace.md` describes the design,
//! `docs/trace-format.md` the file format.
//!
//! Everything here works on `Read`, `Write` and `Seek` and reads no clock, except for the recorder's thread in
//! [`recorder`].
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
