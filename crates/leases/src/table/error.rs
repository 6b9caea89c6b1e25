//! Errors of commands. The messages are shown to operators and use the names of the settings.

use super::{MAX_NAMES, MAX_NAME_BYTES, MAX_PARTS};
use crate::Task;
use thiserror::Error;

/// The reason why rules are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum RulesError {
    /// A time is negative, longer than a day, or NaN.
    #[error("{name}: {value} s is out of range, expected 0 to 86400 s")]
    TimeOutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value, s.
        value: f64,
    },
    /// The term (s) is too short.
    #[error("term: {0} s is too short, expected at least 0.2 s")]
    TermTooShort(f64),
    /// The clock drift is out of range.
    #[error("drift: {0} is out of range, expected 0 to 0.5")]
    DriftOutOfRange(f64),
    /// The stall timeout (s) is shorter than two terms.
    #[error("stall: {0} s is too short, expected at least two terms")]
    StallTooShort(f64),
    /// A count is 0 that must be positive.
    #[error("flaps, moves: 0 is out of range, expected at least 1")]
    CountIsZero,
}

/// The reason why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandError {
    /// The declared rules are invalid.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// More than [`MAX_NAMES`] tasks or [`MAX_PARTS`] parts are declared.
    #[error("{tasks} tasks with {parts} parts are too many, expected at most {MAX_NAMES} and {MAX_PARTS}")]
    TooManyTasks {
        /// Number of declared tasks.
        tasks: usize,
        /// Number of their parts.
        parts: usize,
    },
    /// A declared task's name is empty or too long, or it has no parts.
    #[error("task {0:?}: expected a name of 1 to {MAX_NAME_BYTES} bytes and at least one part")]
    InvalidTask(String),
    /// A task of this name is not declared.
    #[error("no task {0:?} is declared")]
    UnknownTask(String),
    /// A part is not declared.
    #[error("no task {0} is declared")]
    UnknownPart(Task),
    /// The instance has no session or may not be assigned the part.
    #[error("instance {instance:?} is not connected or may not hold {task}")]
    NotEligible {
        /// The instance.
        instance: String,
        /// The part.
        task: Task,
    },
}
