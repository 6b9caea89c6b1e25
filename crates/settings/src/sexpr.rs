//! Reader of S-expressions. A text is parsed into a tree with positions, then read key by key. Problems are collected, so that
//! one pass over a file reports all of them.
//!
//! ```text
//! ; a comment up to the end of the line
//! (trace (folder "/var/lib/traces") (file-span 1h) (file-bytes 64MB))
//! ```
//!
//! An atom is a word or a number with a unit. Quoted text has the escapes `\"`, `\\`, `\n` and `\t`.

mod block;
mod diagnostic;
mod quantity;
mod reader;
mod spelling;
mod syntax;

pub use block::Block;
pub use diagnostic::{Diagnostic, Problem};
pub use reader::Reader;
pub use syntax::{Form, Node};
