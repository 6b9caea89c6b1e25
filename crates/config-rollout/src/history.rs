//! The one sequence of versions that the lease-store replicas agree on. Each replica applies the same log entries in the same order and comes
//! to the same history; an entry takes effect completely or not at all.
//!
//! A put names the version that its author saw, so that what was checked is what comes to be. An accepted version is not yet released:
//! it is first active on a few *canary* servers, and is then released to all or reverted by a new version.

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

/// Servers on which one version is canaried, over all draws.
pub const MAX_CANARIES: usize = 64;

/// A replica of the history: the versions behind a checkpoint, the content at its head, and the state of the rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    digester: Digester,
    limits: RetentionLimits,
    checkpoint: VersionId,
    checkpoint_content: Content,
    head_content: Content,
    /// Behind the checkpoint, without gaps.
    versions: VecDeque<Version>,
    /// Of the changes of these versions.
    change_bytes: usize,
    epoch: Epoch,
    state: RolloutState,
    applied: u64,
}

impl History {
    /// An empty history, whose only version is number 0: the base settings alone.
    pub fn new(digester: Digester, limits: RetentionLimits) -> History {
        let content = Content::default();
        let limits = RetentionLimits { versions: limits.versions.max(1), bytes: limits.bytes.max(1) };
        let checkpoint = digester.version_id(0, &content);
        History::at_checkpoint(digester, limits, checkpoint, content)
    }

    /// A history that has nothing behind its checkpoint.
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

    /// How digests are computed here.
    pub fn digester(&self) -> &Digester {
        &self.digester
    }

    /// The latest version, released or not.
    pub fn head(&self) -> VersionId {
        self.versions.back().map_or(self.checkpoint, Version::id)
    }

    /// The oldest version that is known; older ones are compacted into it.
    pub fn checkpoint(&self) -> VersionId {
        self.checkpoint
    }

    /// The content at the head.
    pub fn content(&self) -> &Content {
        &self.head_content
    }

    /// The versions behind the checkpoint, oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The highest epoch under which an entry took effect: entries of lower epochs are rejected.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What is released and what is on canaries.
    pub fn state(&self) -> &RolloutState {
        &self.state
    }

    /// Log entries that were applied, rejected ones included.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// A version behind the checkpoint, by its number.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let index = number.checked_sub(self.checkpoint.number.checked_add(1)?)?;
        self.versions.get(usize::try_from(index).ok()?)
    }

    /// The id of a version that is retained, the checkpoint included.
    pub fn version_id(&self, number: u64) -> Option<VersionId> {
        if number == self.checkpoint.number {
            return Some(self.checkpoint);
        }
        self.version(number).map(Version::id)
    }

    /// Whether a version is retained here under the same digest.
    pub fn contains(&self, version: VersionId) -> bool {
        self.version_id(version.number) == Some(version)
    }

    /// The last released version.
    pub fn released(&self) -> VersionId {
        // A released version is never compacted away, see `compact`.
        self.version_id(self.state.released).unwrap_or(self.checkpoint)
    }

    /// The whole content after a version that is retained.
    pub fn content_at(&self, number: u64) -> Option<Content> {
        if number == self.head().number {
            return Some(self.head_content.clone());
        }
        let change = self.combined_change(self.checkpoint.number, number)?;
        self.checkpoint_content.with_change(&change).ok()
    }

    /// The change that makes version `to` of version `from`, in either direction.
    pub fn diff(&self, from: u64, to: u64) -> Result<Change, Rejection> {
        let content_at = |number| self.content_at(number).ok_or(Rejection::Compacted(number));
        Ok(content_at(from)?.diff(&content_at(to)?))
    }

    /// All changes after `from` up to and including `to`, as one; the same on every replica. None where one of them is not retained.
    pub fn combined_change(&self, from: u64, to: u64) -> Option<Change> {
        self.version_id(from)?;
        self.version_id(to)?;
        let mut combined = Change::default();
        let within = self.versions.iter().filter(|version| version.number > from && version.number <= to);
        within.for_each(|version| combined.append(&version.change));
        Some(combined)
    }

    /// The put that would bring the content of an older version back.
    pub fn rollback(&self, to: u64, author: &str, epoch: Epoch) -> Result<PutRequest, Rejection> {
        let change = self.diff(self.head().number, to)?;
        let origin = Origin::Rollback { to };
        Ok(PutRequest { base: self.head(), author: author.into(), epoch, origin, change })
    }
}

#[cfg(test)]
mod tests;
