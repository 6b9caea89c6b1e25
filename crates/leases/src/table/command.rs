//! Entries of the replicated log and what comes of them. Stored by position: the order of variants and fields is part of
//! the format.

use super::{Change, CommandError, LeaseRequest, LeaseResponse, LeaseRules};
use crate::Task;
use serde::{Deserialize, Serialize};

/// A task as the lease store's settings declare it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskDeclaration {
    /// The task's name.
    pub name: String,
    /// How many parts it has, each leased by itself.
    pub parts: u32,
    /// Instances of this zone are preferred.
    pub zone: Option<String>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The table's time, s.
    pub at: f64,
    /// What is to be done.
    pub command: Command,
}

/// What an entry of the log does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Time passes: what has expired is assigned anew, and loads are balanced.
    #[serde(rename = "Time")]
    AdvanceTime,
    /// Replaces the rules and the declared tasks.
    Declare {
        /// The rules from now on.
        rules: LeaseRules,
        /// All tasks from now on.
        #[serde(rename = "duties")]
        tasks: Vec<TaskDeclaration>,
    },
    /// Requests of instances.
    #[serde(rename = "Say")]
    Renew(Vec<LeaseRequest>),
    /// From an operator: no instance holds the task until it is resumed.
    Pause {
        /// The task's name.
        #[serde(rename = "duty")]
        task: String,
        /// `false` resumes it.
        paused: bool,
    },
    /// From an operator: the part is assigned to this instance as soon as possible.
    Move {
        /// The part.
        #[serde(rename = "duty")]
        task: Task,
        /// The instance.
        to: String,
    },
}

/// What came of an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Leases that began, were revoked or ended.
    pub changes: Vec<Change>,
    /// What is to be sent to instances.
    pub responses: Vec<LeaseResponse>,
    /// Why a command was not carried out.
    pub error: Option<CommandError>,
}
