//! Snapshots and incremental updates of a history for disks and other replicas. All digests are verified before a snapshot or update is
//! applied.

use super::apply::MAX_REVERTED;
use super::state::RolloutState;
use super::version::{RetentionLimits, Version};
use super::History;
use crate::content::Content;
use crate::digest::{Digest, Digester, VersionId};
use crate::setting::ValidationError;
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// Stored form of a history, encoded as postcard. The order of the fields must not change.
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

/// Incremental update for a replica that has all versions up to a base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryUpdate {
    /// The expected head of the replica.
    pub after: VersionId,
    /// The versions after that head.
    pub versions: Vec<Version>,
    /// See [`History::epoch`].
    pub epoch: Epoch,
    /// The state of the rollout.
    #[serde(rename = "stage")]
    pub state: RolloutState,
    /// See [`History::applied`].
    pub applied: u64,
}

/// Error of applying a snapshot or an update.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplicationError {
    /// The snapshot cannot be decoded.
    #[error("history: cannot decode the snapshot: {0}")]
    Decode(postcard::Error),
    /// The content of the checkpoint or a later change is invalid.
    #[error("history: invalid content or change: {0}")]
    Invalid(ValidationError),
    /// The digest of the checkpoint does not match its content.
    #[error("history: checkpoint: got digest {}, expected {expected}", received.digest)]
    CheckpointDigest {
        /// The checkpoint in the snapshot.
        received: VersionId,
        /// The digest computed from the content.
        expected: Digest,
    },
    /// The number or digest of a version does not follow from its predecessor and its change.
    #[error("history: got version {received} after {head}, expected {expected}")]
    BrokenChain {
        /// The received version.
        received: VersionId,
        /// The version that the change of the received version creates.
        expected: VersionId,
        /// The preceding version.
        head: VersionId,
    },
    /// The version released or on canaries is not retained, their order is wrong, or too many reverts are listed.
    #[error(
        "history: rollout state: got version {released} released, {canary:?} on canaries and {reverted} reverts, expected \
         versions from {checkpoint} to {head}, canaries after the released version and at most {MAX_REVERTED} reverts"
    )]
    InvalidState {
        /// The number of the released version.
        released: u64,
        /// The number of the version on canaries, if any.
        canary: Option<u64>,
        /// The number of listed reverts.
        reverted: usize,
        /// The oldest retained version.
        checkpoint: VersionId,
        /// The latest version.
        head: VersionId,
    },
    /// The update does not start at the head of this replica.
    #[error("history: got an update after {after}, expected one after the head {head}")]
    WrongBase {
        /// The version after which the update starts.
        after: VersionId,
        /// The head of this replica.
        head: VersionId,
    },
    /// The head of the snapshot is older than the head of this replica.
    #[error("history: got a snapshot up to {snapshot}, expected one up to {head} or later")]
    ShorterSnapshot {
        /// The head of the snapshot.
        snapshot: VersionId,
        /// The head of this replica.
        head: VersionId,
    },
}

impl History {
    /// Encodes the whole history.
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
        postcard::to_allocvec(&stored).expect("plain data serializes to memory")
    }

    /// Decodes a history from a snapshot and verifies all digests.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be decoded or its content, versions or state are invalid.
    pub fn restore(digester: Digester, bytes: &[u8]) -> Result<History, ReplicationError> {
        let stored: StoredHistory = postcard::from_bytes(bytes).map_err(ReplicationError::Decode)?;
        stored.checkpoint_content.check().map_err(ReplicationError::Invalid)?;
        let expected = digester.digest(stored.checkpoint.number, &stored.checkpoint_content);
        if stored.checkpoint.digest != expected {
            return Err(ReplicationError::CheckpointDigest { received: stored.checkpoint, expected });
        }
        let mut history =
            History::at_checkpoint(digester, stored.limits, stored.checkpoint, stored.checkpoint_content);
        history.extend(stored.versions)?;
        history.set_state(stored.state)?;
        (history.epoch, history.applied) = (stored.epoch, stored.applied);
        Ok(history)
    }

    /// Creates an update for a replica whose head is `after`. Returns `None` if that version is not retained, so that the replica needs a
    /// snapshot.
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

    /// Applies an update atomically. Returns `false` without any effect if the update is not newer than this replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the update does not start at the head or is invalid. The replica is then unmodified.
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

    /// Replaces the replica by a snapshot. Returns `false` without any effect if the snapshot is not newer than this replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot is invalid or its head is older. The replica is then unmodified.
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

    /// Returns whether this replica is older than a state with that epoch and number of applied entries.
    fn is_older_than(&self, epoch: Epoch, applied: u64) -> bool {
        applied > self.applied && epoch >= self.epoch
    }

    fn extend(&mut self, versions: impl IntoIterator<Item = Version>) -> Result<(), ReplicationError> {
        for version in versions {
            let content =
                self.head_content.with_change(&version.change).map_err(ReplicationError::Invalid)?;
            let head = self.head();
            let (received, expected) = (version.id(), self.digester.version_id(head.number + 1, &content));
            if received != expected {
                return Err(ReplicationError::BrokenChain { received, expected, head });
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
            return Err(ReplicationError::InvalidState {
                released: state.released,
                canary: state.canary_number(),
                reverted: state.reverted.len(),
                checkpoint: self.checkpoint,
                head: self.head(),
            });
        }
        self.state = state;
        Ok(())
    }
}
