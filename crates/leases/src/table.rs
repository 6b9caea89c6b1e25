//! The lease table, the replicated state machine of the lease store. All replicas apply the same log entries in the
//! same order. Times are those of the log entries (see [`crate::table_clock`]), so that the table depends on no
//! replica's clock.
//!
//! An instance has one session for all its leases, which one request renews. A lease ends when its holder releases it
//! or when the session expires. A *revoked* lease ends when its holder releases it, at the latest when the session
//! would have expired as of the revocation.

mod change;
mod command;
mod error;
mod leases;
mod limits;
mod messages;
mod operations;
mod placement;
mod rules;
mod sessions;
mod state;
#[cfg(test)]
mod tests;
mod views;

pub use change::{Cause, Change, ChangeKind};
pub use command::{Command, LogEntry, Outcome, TaskDeclaration};
pub use error::{CommandError, RulesError};
pub use limits::{MAX_INSTANCES, MAX_NAMES, MAX_NAME_BYTES, MAX_PARTS};
pub use messages::{Lease, LeaseRequest, LeaseResponse, Progress, Rejection};
pub use rules::LeaseRules;
pub use views::{InstanceRow, LeaseRow};

use crate::{Epoch, HolderId, Task};
use serde::{Deserialize, Serialize};
use state::{InstanceHistory, Session, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// All tasks, leases and sessions. Snapshots encode fields by position: their order is part of the format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    rules: LeaseRules,
    now: f64,
    last_epoch: Epoch,
    /// The latest version of any session's list of leases.
    last_version: u64,
    /// By the task's name.
    tasks: BTreeMap<String, TaskState>,
    sessions: BTreeMap<HolderId, Session>,
    /// By the instance's name.
    instances: BTreeMap<String, InstanceHistory>,
    /// Leases that were revoked and have not ended yet.
    revoked: BTreeSet<Task>,
    /// Time at which an instance last joined or left.
    membership_changed_at: f64,
    /// Whether vacant parts may need to be assigned.
    assignment_due: bool,
    /// Time at which loads were last found balanced; checking them with every entry would be slow.
    balanced_at: f64,
}

impl LeaseTable {
    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &LogEntry) -> Outcome {
        let mut outcome = Outcome::default();
        if entry.at.is_finite() {
            self.now = self.now.max(entry.at);
        }
        let version_before = self.last_version;
        // Requests are applied before sessions expire, so that renewals received in time by a paused leader take
        // effect.
        let mut known_versions = BTreeMap::new();
        if let Command::Renew(requests) = &entry.command {
            known_versions = self.receive_all(requests, &mut outcome);
        }
        self.expire(&mut outcome);
        outcome.error = self.execute(&entry.command, &mut outcome).err();
        if self.assignment_due {
            self.assign_vacant_parts(&mut outcome);
        }
        self.respond(&known_versions, version_before, &mut outcome);
        outcome
    }

    fn execute(&mut self, command: &Command, outcome: &mut Outcome) -> Result<(), CommandError> {
        match command {
            Command::AdvanceTime => {
                self.advance(outcome);
                Ok(())
            }
            Command::Declare { rules, tasks } => self.declare(rules, tasks, outcome),
            Command::Renew(_) => Ok(()),
            Command::Pause { task, paused } => self.pause(task, *paused, outcome),
            Command::Move { task, to } => self.move_part(task, to, outcome),
        }
    }

    /// Responds to new requests and notifies holders whose leases changed. Called last, so that the lists are complete.
    fn respond(&self, known_versions: &BTreeMap<HolderId, u64>, version_before: u64, outcome: &mut Outcome) {
        for (holder, session) in &self.sessions {
            let known_version = known_versions.get(holder);
            let changed = session.version > version_before;
            if known_version.is_none() && !changed {
                continue;
            }
            let is_known = known_version == Some(&session.version);
            let leases = (changed || !is_known).then(|| self.leases_of(session));
            outcome.responses.push(LeaseResponse {
                holder: holder.clone(),
                serial: session.serial,
                term: session.term,
                version: session.version,
                leases,
                rejection: None,
            });
        }
    }
}
