//! Replicated history of versions: a deterministic state machine over the log of the lease store. Each replica applies the same entries in
//! the same order; an entry takes effect completely or not at all.
//!
//! A put is a compare-and-set: it names the head that its author saw. An accepted version is first active on a few *canary* servers, and is
//! then released to all servers or reverted by a new version.

mod apply;
mod command;
mod replication;
mod state;
mod version;

pub use command::{Command, LogEntry, MissedVersion, Outcome, PutRequest, Rejection};
pub use replication::{HistoryUpdate, ReplicationError};
pub use state::{CanaryPhase, RevertedCanary, RolloutState};
pub use version::{Origin, RetentionLimits, Version};

use crate::change::Change;
use crate::content::Content;
use crate::digest::{Digester, VersionId};
use puffinladder_leases::Epoch;
use std::collections::VecDeque;

/// Maximum number of canaries of one version.
pub const MAX_CANARIES: usize = 64;

/// A replica of the history: a checkpoint, the versions after it, the content of the head, and the state of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    digester: Digester,
    limits: RetentionLimits,
    checkpoint: VersionId,
    checkpoint_content: Content,
    head_content: Content,
    /// The versions after the checkpoint, without gaps.
    versions: VecDeque<Version>,
    /// Total size of the changes of `versions`.
    change_bytes: usize,
    epoch: Epoch,
    state: RolloutState,
    applied: u64,
}

impl History {
    /// Creates a history whose only version is number 0, with an empty content.
    pub fn new(digester: Digester, limits: RetentionLimits) -> History {
        let content = Content::default();
        let limits = RetentionLimits { versions: limits.versions.max(1), bytes: limits.bytes.max(1) };
        let checkpoint = digester.version_id(0, &content);
        History::at_checkpoint(digester, limits, checkpoint, content)
    }

    /// Creates a history without versions after its checkpoint.
    fn at_checkpoint(
        digester: Digester,
        limits: RetentionLimits,
        checkpoint: VersionId,
        content: Content,
    ) -> History {
        History {
            digester,
            limits,
            checkpoint,
            checkpoint_content: content.clone(),
            head_content: content,
            versions: VecDeque::new(),
            change_bytes: 0,
            epoch: 0,
            state: RolloutState::default(),
            applied: 0,
        }
    }

    /// Returns the digester of this history.
    pub fn digester(&self) -> &Digester {
        &self.digester
    }

    /// Returns the latest version, released or not.
    pub fn head(&self) -> VersionId {
        self.versions.back().map_or(self.checkpoint, Version::id)
    }

    /// Returns the checkpoint: the oldest retained version, into which older ones were compacted.
    pub fn checkpoint(&self) -> VersionId {
        self.checkpoint
    }

    /// Returns the content of the head.
    pub fn content(&self) -> &Content {
        &self.head_content
    }

    /// Iterates over the versions after the checkpoint, oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// Returns the highest epoch of any accepted entry. Entries of lower epochs are rejected.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the state of the rollout.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Returns the number of applied log entries, including rejected ones.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the version with that number, if it is retained after the checkpoint.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let index = number.checked_sub(self.checkpoint.number.checked_add(1)?)?;
        self.versions.get(usize::try_from(index).ok()?)
    }

    /// Returns the identifier of a retained version or of the checkpoint.
    pub fn version_id(&self, number: u64) -> Option<VersionId> {
        if number == self.checkpoint.number {
            return Some(self.checkpoint);
        }
        self.version(number).map(Version::id)
    }

    /// Returns whether the version is retained with the same digest.
    pub fn contains(&self, version: VersionId) -> bool {
        self.version_id(version.number) == Some(version)
    }

    /// Returns the latest released version.
    pub fn released(&self) -> VersionId {
        // `compact` never removes the released version.
        self.version_id(self.state.released).unwrap_or(self.checkpoint)
    }

    /// Returns the whole content of a retained version.
    pub fn content_at(&self, number: u64) -> Option<Content> {
        if number == self.head().number {
            return Some(self.head_content.clone());
        }
        let change = self.combined_change(self.checkpoint.number, number)?;
        self.checkpoint_content.with_change(&change).ok()
    }

    /// Returns the change from the content of version `from` to that of version `to`, in either direction.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Compacted`] if one of the versions is not retained.
    pub fn diff(&self, from: u64, to: u64) -> Result<Change, Rejection> {
        let content_at = |number| self.content_at(number).ok_or(Rejection::Compacted(number));
        Ok(content_at(from)?.diff(&content_at(to)?))
    }

    /// Merges all changes after `from` up to and including `to`. Returns `None` if one of the two versions is not retained. The result is
    /// the same on every replica.
    pub fn combined_change(&self, from: u64, to: u64) -> Option<Change> {
        self.version_id(from)?;
        self.version_id(to)?;
        let mut combined = Change::default();
        let within = self.versions.iter().filter(|version| version.number > from && version.number <= to);
        within.for_each(|version| combined.append(&version.change));
        Some(combined)
    }

    /// Creates a put that restores the content of an older version.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Compacted`] if that version is not retained.
    pub fn rollback(&self, to: u64, author: &str, epoch: Epoch) -> Result<PutRequest, Rejection> {
        let change = self.diff(self.head().number, to)?;
        let origin = Origin::Rollback { to };
        Ok(PutRequest { base: self.head(), author: author.into(), epoch, origin, change })
    }
}

#[cfg(test)]
mod tests;
