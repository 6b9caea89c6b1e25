//! Entries of the replicated log and their outcome. The log encodes variants and fields by position: their order is
//! part of the format.

use super::{Change, CommandError, LeaseRequest, LeaseResponse, LeaseRules};
use crate::Task;
use serde::{Deserialize, Serialize};

/// A task as declared in the lease store's settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskDeclaration {
    /// The task's name.
    pub name: String,
    /// The number of parts, each of which is leased separately.
    pub parts: u32,
    /// Zone whose instances are preferred.
    pub zone: Option<String>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The table's time, s.
    pub at: f64,
    /// The command to apply.
    pub command: Command,
}

/// A command of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Advances the table's time: reassigns expired leases and balances loads.
    #[serde(rename = "Time")]
    AdvanceTime,
    /// Replaces the rules and the declared tasks.
    Declare {
        /// The new rules.
        rules: LeaseRules,
        /// All declared tasks.
        #[serde(rename = "duties")]
        tasks: Vec<TaskDeclaration>,
    },
    /// Applies requests of instances.
    #[serde(rename = "Say")]
    Renew(Vec<LeaseRequest>),
    /// Pauses a task, whose parts are then not leased, or resumes it.
    Pause {
        /// The task's name.
        #[serde(rename = "duty")]
        task: String,
        /// Whether the task is to be paused; `false` resumes it.
        paused: bool,
    },
    /// Moves a part to an instance as soon as possible.
    Move {
        /// The part.
        #[serde(rename = "duty")]
        task: Task,
        /// The name of the instance.
        to: String,
    },
}

/// The outcome of applying an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Changes of leases.
    pub changes: Vec<Change>,
    /// Responses to send to instances.
    pub responses: Vec<LeaseResponse>,
    /// The reason why the command was not carried out, if it was not.
    pub error: Option<CommandError>,
}
