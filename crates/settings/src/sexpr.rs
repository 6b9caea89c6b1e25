//! S-expressions: parsed into a tree that knows its positions, and then read key by key. Problems are collected with their
//! positions, so that one pass over a file reports all of them.
//!
//! ```text
//! ; a comment up to the end of the line
//! (trace (folder "/var/lib/traces") (file-span 1h) (file-bytes 64MB))
//! ```
//!
//! An atom is a word, a number with a unit, or text in quotes in which `\"`, `\\`, `\n` and `\t` are escapes.

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
