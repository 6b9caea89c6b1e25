//! How a history reaches other replicas and the disk: snapshots of all of it, and updates with what is new. Whatever comes from outside is
//! checked, digest by digest, before any of it is taken over.

use super::apply::MAX_REVERTED;
use super::state::RolloutState;
use super::version::{RetentionLimits, Version};
use super::History;
use crate::content::Content;
use crate::digest::{Digester, VersionId};
use crate::setting::ValidationError;
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// The stored form of a history, in postcard: the order of the fields must not change.
#[derive(Serialize, Deserialize)]
struct StoredHistory {
    limits: RetentionLimits,
    checkpoint: VersionId,
    checkpoint_content: Content,
    versions: VecDeque<Version>,
    epoch: Epoch,
    state: RolloutState,
    applied: u64,
}

/// What a replica lacks that has everything up to a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryUpdate {
    /// The version that the replica has.
    pub after: VersionId,
    /// The versions behind it.
    pub versions: Vec<Version>,
    /// See [`History::epoch`].
    pub epoch: Epoch,
    /// What is released and what is on canaries.
    #[serde(rename = "stage")]
    pub state: RolloutState,
    /// See [`History::applied`].
    pub applied: u64,
}

/// Why a snapshot or an update was not taken over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplicationError {
    /// The snapshot is no stored history.
    #[error("history: can't be decoded: {0}")]
    Decode(postcard::Error),
    /// The content at the checkpoint, or a change behind it, is not valid.
    #[error("history: {0}")]
    Invalid(ValidationError),
    /// The checkpoint's digest is not that of its content.
    #[error("history: the checkpoint's digest is not that of its content")]
    CheckpointDigest,
    /// A version has another number or digest than it should have at its place.
    #[error("history: version {version} is not what follows {head}")]
    BrokenChain {
        /// The version as it was received.
        version: VersionId,
        /// The version before it.
        head: VersionId,
    },
    /// The released version or the one on canaries is not in the history, or they are in the wrong order.
    #[error("history: what is released or on canaries is no version of it")]
    InvalidState,
    /// The update begins at another version than the head of this replica.
    #[error("history: update after {after}, but the head here is {head}")]
    WrongBase {
        /// Where the update begins.
        after: VersionId,
        /// The head of this replica.
        head: VersionId,
    },
    /// The snapshot ends before the head of this replica.
    #[error("history: a history up to {snapshot} in place of one up to {head}")]
    ShorterSnapshot {
        /// The head of the snapshot.
        snapshot: VersionId,
        /// The head of this replica.
        head: VersionId,
    },
}

impl History {
    /// All of it, to be stored or sent.
    pub fn snapshot(&self) -> Vec<u8> {
        let stored = StoredHistory {
            limits: self.limits,
            checkpoint: self.checkpoint,
            checkpoint_content: self.checkpoint_content.clone(),
            versions: self.versions.clone(),
            epoch: self.epoch,
            state: self.state.clone(),
            applied: self.applied,
        };
        postcard::to_allocvec(&stored).expect("plain data is written to memory without an error")
    }

    /// A history from a snapshot, after every digest of it was computed anew.
    pub fn restore(digester: Digester, bytes: &[u8]) -> Result<History, ReplicationError> {
        let stored: StoredHistory = postcard::from_bytes(bytes).map_err(ReplicationError::Decode)?;
        stored.checkpoint_content.check().map_err(ReplicationError::Invalid)?;
        if digester.version_id(stored.checkpoint.number, &stored.checkpoint_content) != stored.checkpoint {
            return Err(ReplicationError::CheckpointDigest);
        }
        let mut history =
            History::at_checkpoint(digester, stored.limits, stored.checkpoint, stored.checkpoint_content);
        history.extend(stored.versions)?;
        history.set_state(stored.state)?;
        (history.epoch, history.applied) = (stored.epoch, stored.applied);
        Ok(history)
    }

    /// What a replica lacks that has everything up to `after`. None where that is not retained, so that it needs a snapshot.
    pub fn update_since(&self, after: VersionId) -> Option<HistoryUpdate> {
        if !self.contains(after) {
            return None;
        }
        let newer = self.versions.iter().filter(|version| version.number > after.number);
        Some(HistoryUpdate {
            after,
            versions: newer.cloned().collect(),
            epoch: self.epoch,
            state: self.state.clone(),
            applied: self.applied,
        })
    }

    /// Takes an update over, completely or not at all; returns whether it had anything new. An update that is older than this replica
    /// changes nothing.
    pub fn apply_update(&mut self, update: HistoryUpdate) -> Result<bool, ReplicationError> {
        if !self.is_older_than(update.epoch, update.applied) {
            return Ok(false);
        }
        if update.after != self.head() {
            return Err(ReplicationError::WrongBase { after: update.after, head: self.head() });
        }
        let mut next = self.clone();
        next.extend(update.versions)?;
        next.set_state(update.state)?;
        (next.epoch, next.applied) = (update.epoch, update.applied);
        next.compact();
        *self = next;
        Ok(true)
    }

    /// The same as [`History::apply_update`], from a snapshot.
    pub fn apply_snapshot(&mut self, bytes: &[u8]) -> Result<bool, ReplicationError> {
        let next = History::restore(self.digester.clone(), bytes)?;
        if !self.is_older_than(next.epoch, next.applied) {
            return Ok(false);
        }
        if next.head().number < self.head().number {
            return Err(ReplicationError::ShorterSnapshot { snapshot: next.head(), head: self.head() });
        }
        *self = next;
        Ok(true)
    }

    fn is_older_than(&self, epoch: Epoch, applied: u64) -> bool {
        applied > self.applied && epoch >= self.epoch
    }

    fn extend(&mut self, versions: impl IntoIterator<Item = Version>) -> Result<(), ReplicationError> {
        for version in versions {
            let content =
                self.head_content.with_change(&version.change).map_err(ReplicationError::Invalid)?;
            let head = self.head();
            if version.id() != self.digester.version_id(head.number + 1, &content) {
                return Err(ReplicationError::BrokenChain { version: version.id(), head });
            }
            self.change_bytes += version.change.bytes();
            self.versions.push_back(version);
            self.head_content = content;
        }
        Ok(())
    }

    fn set_state(&mut self, state: RolloutState) -> Result<(), ReplicationError> {
        let retained = |number: u64| self.version_id(number).is_some();
        let canary_valid =
            state.canary_number().is_none_or(|number| retained(number) && number > state.released);
        if !retained(state.released) || !canary_valid || state.reverted.len() > MAX_REVERTED {
            return Err(ReplicationError::InvalidState);
        }
        self.state = state;
        Ok(())
    }
}
