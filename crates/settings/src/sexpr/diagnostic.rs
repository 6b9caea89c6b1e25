//! Problems of a text and their positions.

use std::fmt;
use thiserror::Error;

/// A problem of a text. It displays as the message without position and key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is longer or nested deeper than the parser's limits.
    #[error("too long, or lists nested too deeply")]
    TooLarge,
    /// A closing parenthesis has no opening one.
    #[error("a ')' that closes nothing")]
    UnmatchedParenthesis,
    /// A syntax error without further detail.
    #[error("can't be read")]
    Unreadable,
    /// A syntax error, with the parser's expectation.
    #[error("{0}")]
    Syntax(String),
    /// An entry of a block is not a list that begins with a key.
    #[error("should be a list that begins with a key")]
    NotAnEntry,
    /// A key is repeated that may be given only once.
    #[error("stands here a second time")]
    Duplicate,
    /// A required key is absent.
    #[error("should be given")]
    Missing,
    /// A value has the wrong type or is out of range.
    #[error("should be {0}")]
    Expected(String),
    /// An unknown key that is close to this known one.
    #[error("is not known; {0} may be meant")]
    Misspelled(&'static str),
    /// An unknown key, with the list of known ones.
    #[error("is not known; there are {}", .0.join(", "))]
    Unknown(Vec<&'static str>),
    /// A value that is inconsistent with others or violates a constraint of the program.
    #[error("{0}")]
    Invalid(String),
}

impl From<&str> for Problem {
    fn from(message: &str) -> Problem {
        Problem::Invalid(message.to_owned())
    }
}

impl From<String> for Problem {
    fn from(message: String) -> Problem {
        Problem::Invalid(message)
    }
}

/// One problem and its position. It displays as `file:line:column: key: problem`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Diagnostic {
    /// Name of the file, as passed to the reader.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, as in `trace.file-span`; empty for syntax errors.
    pub key: String,
    /// The problem at this position.
    pub problem: Problem,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Diagnostic { file, line, column, key, problem } = self;
        let separator = if key.is_empty() { "" } else { ": " };
        write!(f, "{file}:{line}:{column}: {key}{separator}{problem}")
    }
}
