//! What is wrong with a text, and where.

use std::fmt;
use thiserror::Error;

/// What is wrong. It displays as the words that follow a position and a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is too long, or its lists are nested too deeply, to be parsed at all.
    #[error("too long, or lists nested too deeply")]
    TooLarge,
    /// A parenthesis closes no list.
    #[error("a ')' that closes nothing")]
    UnmatchedParenthesis,
    /// The text can't be parsed from here on.
    #[error("can't be read")]
    Unreadable,
    /// The text can't be parsed from here on, and the parser says what it expected.
    #[error("{0}")]
    Syntax(String),
    /// An entry of a block is no list, or one without a key.
    #[error("should be a list that begins with a key")]
    NotAnEntry,
    /// A key that may be given once is given again.
    #[error("stands here a second time")]
    Duplicate,
    /// A required key is absent.
    #[error("should be given")]
    Missing,
    /// A value has another form than expected, or is out of range.
    #[error("should be {0}")]
    Expected(String),
    /// An unknown key that differs little from a known one.
    #[error("is not known; {0} may be meant")]
    Misspelled(&'static str),
    /// An unknown key, and those that are known.
    #[error("is not known; there are {}", .0.join(", "))]
    Unknown(Vec<&'static str>),
    /// A value that contradicts another, or breaks a rule of its program.
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
    /// Name of the file, as the reader was given it.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the key, as in `trace.file-span`; empty where the text itself can't be parsed.
    pub key: String,
    /// What is wrong there.
    pub problem: Problem,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Diagnostic { file, line, column, key, problem } = self;
        let separator = if key.is_empty() { "" } else { ": " };
        write!(f, "{file}:{line}:{column}: {key}{separator}{problem}")
    }
}
