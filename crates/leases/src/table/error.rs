//! Why a command can't be carried out. The texts reach operators and name values as the settings do.

use crate::Task;
use thiserror::Error;

/// What is wrong with rules.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum RulesError {
    /// A time is negative, longer than a day, or not a number.
    #[error("{name}: {value} s is out of range, 0 to a day is meant")]
    TimeOutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value, s.
        value: f64,
    },
    /// The term (s) is too short.
    #[error("term: {0} s is too short, 0.2 s at the least")]
    TermTooShort(f64),
    /// The clock drift is out of range.
    #[error("drift: {0} is out of range, 0 to 0.5 is meant")]
    DriftOutOfRange(f64),
    /// The stall timeout (s) is shorter than two terms.
    #[error("stall: {0} s, must be two terms at the least")]
    StallTooShort(f64),
    /// A count that must be positive is 0.
    #[error("flaps, moves: 1 at the least")]
    CountIsZero,
}

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandError {
    /// The declared rules can't be kept.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// More than [`MAX_NAMES`](super::MAX_NAMES) tasks or [`MAX_PARTS`](super::MAX_PARTS) parts are declared.
    #[error("{tasks} duties with {parts} parts are too many")]
    TooManyTasks {
        /// Declared tasks.
        tasks: usize,
        /// Their parts together.
        parts: usize,
    },
    /// A declared task's name is empty or too long, or it has no parts.
    #[error("duty {0:?}: its name or its parts can't be")]
    InvalidTask(String),
    /// A task of this name is not declared.
    #[error("no duty {0:?} is declared")]
    UnknownTask(String),
    /// A part is not declared.
    #[error("no duty {0} is declared")]
    UnknownPart(Task),
    /// An instance may not be assigned the part.
    #[error("{instance:?} is no instance that may have {task}")]
    NotEligible {
        /// The instance.
        instance: String,
        /// The part.
        task: Task,
    },
}
