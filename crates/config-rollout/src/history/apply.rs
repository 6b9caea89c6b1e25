//! Validation of puts, and application of log entries to the history.

use super::command::{Command, LogEntry, MissedVersion, Outcome, PutRequest, Rejection};
use super::state::{CanaryPhase, RevertedCanary};
use super::version::{Origin, Version};
use super::{History, MAX_CANARIES};
use crate::change::Change;
use crate::content::Content;
use crate::digest::VersionId;
use crate::key::MAX_NAME_BYTES;
use crate::setting::ValidationError;
use crate::validation::ContentValidator;
use puffinladder_leases::Epoch;
use std::collections::BTreeSet;

/// Maximum number of missed versions listed in a rejection.
const MAX_MISSED: usize = 64;
/// Maximum number of characters of a stored cause.
const MAX_CAUSE_CHARS: usize = 128;
/// Maximum number of characters of the stored author of a revert. At four bytes each they fit into a name.
const MAX_AUTHOR_CHARS: usize = MAX_NAME_BYTES / 4;
/// Maximum number of stored failed canary phases.
pub(super) const MAX_REVERTED: usize = 16;

/// A version without its number and digest.
struct NewVersion {
    at: f64,
    author: String,
    epoch: Epoch,
    origin: Origin,
    change: Change,
}

impl History {
    /// Checks a put before it is proposed and returns the version that it would create. [`History::apply`] runs no validator, because
    /// validators may differ between releases of the program.
    ///
    /// # Errors
    ///
    /// Returns the rejection that applying the put would give, or [`Rejection::Invalid`] from the validator.
    pub fn check_put(
        &self,
        put: &PutRequest,
        validator: &dyn ContentValidator,
    ) -> Result<VersionId, Rejection> {
        self.check_epoch(put.epoch)?;
        let content = self.content_after_put(put)?;
        validator.validate(&content).map_err(Rejection::Invalid)?;
        Ok(self.digester.version_id(put.base.number + 1, &content))
    }

    /// Applies one entry of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason if the entry is rejected. A rejected entry increments [`History::applied`] and has no other effect.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<Outcome, Rejection> {
        self.applied += 1;
        let epoch = entry.command.epoch();
        self.check_epoch(epoch)?;
        let outcome = match &entry.command {
            Command::Announce { .. } => Outcome::Announced,
            Command::Put(put) => self.put(entry.at, put)?,
            Command::StartCanary { number, canaries, .. } => {
                self.start_canary(entry.at, *number, canaries)?
            }
            Command::Release { number, .. } => self.release(*number)?,
            Command::Revert { author, number, cause, .. } => {
                self.revert(entry.at, epoch, author, *number, cause)?
            }
        };
        self.epoch = epoch;
        self.compact();
        Ok(outcome)
    }

    /// Rejects epochs that are lower than the highest one seen, and epoch 0, which no lease has.
    fn check_epoch(&self, epoch: Epoch) -> Result<(), Rejection> {
        if epoch == 0 || epoch < self.epoch {
            return Err(Rejection::StaleEpoch { seen: self.epoch });
        }
        Ok(())
    }

    /// Returns the content that a put would create.
    fn content_after_put(&self, put: &PutRequest) -> Result<Content, Rejection> {
        if put.base != self.head() {
            return Err(self.base_rejection(put.base));
        }
        if !(1..=MAX_NAME_BYTES).contains(&put.author.len()) {
            return Err(invalid(format!(
                "author: got {} bytes, expected 1 to {MAX_NAME_BYTES}",
                put.author.len()
            )));
        }
        let content = self.content_by_origin(put)?;
        if content == self.head_content {
            return Err(Rejection::NoChange);
        }
        let all_released_compacted = self.checkpoint.number >= self.state.released;
        if all_released_compacted && self.is_full() {
            return Err(Rejection::Full);
        }
        Ok(content)
    }

    fn content_by_origin(&self, put: &PutRequest) -> Result<Content, Rejection> {
        match &put.origin {
            Origin::Put => {
                put.change.check().map_err(Rejection::Invalid)?;
                self.head_content.with_change(&put.change).map_err(Rejection::Invalid)
            }
            // The change of a rollback may exceed the size limit, but must restore exactly the content of version `to`.
            Origin::Rollback { to } => {
                let content = self.head_content.with_change(&put.change).map_err(Rejection::Invalid)?;
                if content != self.content_at(*to).ok_or(Rejection::Compacted(*to))? {
                    return Err(invalid(format!(
                        "rollback: the change does not restore the content of version {to}, expected the change \
                         from {} to version {to}",
                        self.head()
                    )));
                }
                Ok(content)
            }
            Origin::Reverted { .. } => Err(invalid("origin: got a revert, expected a put or a rollback")),
        }
    }

    fn base_rejection(&self, base: VersionId) -> Rejection {
        // A base before the checkpoint counts as older. A base above the head or with another digest is unknown.
        let older = base.number < self.checkpoint.number || self.contains(base);
        if older {
            self.missed_versions_rejection(base)
        } else {
            Rejection::UnknownVersion(base)
        }
    }

    fn missed_versions_rejection(&self, base: VersionId) -> Rejection {
        let newer = self.versions.iter().filter(|version| version.number > base.number);
        let summary = |version: &Version| MissedVersion {
            number: version.number,
            author: version.author.clone(),
            at: version.at,
            keys: version.change.len(),
        };
        let missed = newer.take(MAX_MISSED).map(summary).collect();
        Rejection::MissedVersions { head: self.head(), missed }
    }

    fn put(&mut self, at: f64, put: &PutRequest) -> Result<Outcome, Rejection> {
        if let Some(version) = self.find_applied_put(put) {
            return Ok(Outcome::AlreadyApplied(version));
        }
        let content = self.content_after_put(put)?;
        let PutRequest { author, epoch, origin, change, .. } = put.clone();
        let version = NewVersion { at, author, epoch, origin, change };
        Ok(Outcome::Accepted(self.push(version, content)))
    }

    /// Returns the version that the same put created earlier, if it was applied before.
    fn find_applied_put(&self, put: &PutRequest) -> Option<VersionId> {
        if put.base == self.head() {
            return None;
        }
        let made = self.version(put.base.number.checked_add(1)?)?;
        let same_writer = made.author == put.author && made.epoch == put.epoch && made.origin == put.origin;
        (same_writer && made.change == put.change && self.contains(put.base)).then(|| made.id())
    }

    fn push(&mut self, version: NewVersion, content: Content) -> VersionId {
        let id = self.digester.version_id(self.head().number + 1, &content);
        let NewVersion { at, author, epoch, origin, change } = version;
        self.change_bytes += change.bytes();
        let VersionId { number, digest } = id;
        self.versions.push_back(Version { number, digest, author, epoch, at, origin, change });
        self.head_content = content;
        id
    }

    fn start_canary(
        &mut self,
        at: f64,
        number: u64,
        canaries: &BTreeSet<String>,
    ) -> Result<Outcome, Rejection> {
        let current = self.state.canary_number();
        let unreleased = number > self.state.released && number <= self.head().number;
        if !unreleased || current.is_some_and(|current| current != number) {
            return Err(Rejection::NotOnCanaries { asked: number, current });
        }
        let mut phase = match &self.state.canary {
            Some(phase) => phase.clone(),
            None => CanaryPhase { number, canaries: BTreeSet::new(), since: at },
        };
        phase.canaries.extend(canaries.iter().cloned());
        let names_fit = phase.canaries.iter().all(|name| name.len() <= MAX_NAME_BYTES);
        if phase.canaries.len() > MAX_CANARIES || !names_fit {
            return Err(Rejection::Full);
        }
        self.state.canary = Some(phase);
        Ok(Outcome::CanaryStarted)
    }

    fn release(&mut self, number: u64) -> Result<Outcome, Rejection> {
        let current = self.state.canary_number();
        if current != Some(number) {
            if current.is_none() && number == self.state.released {
                return Ok(Outcome::AlreadyApplied(self.released()));
            }
            return Err(Rejection::NotOnCanaries { asked: number, current });
        }
        (self.state.released, self.state.canary) = (number, None);
        Ok(Outcome::Released(self.released()))
    }

    fn revert(
        &mut self,
        at: f64,
        epoch: Epoch,
        author: &str,
        number: u64,
        cause: &str,
    ) -> Result<Outcome, Rejection> {
        let current = self.state.canary_number();
        if current != Some(number) {
            let reverted_last = self.state.reverted.back().is_some_and(|last| last.number == number);
            if current.is_none() && reverted_last {
                return Ok(Outcome::AlreadyApplied(self.released()));
            }
            return Err(Rejection::NotOnCanaries { asked: number, current });
        }
        let to = self.state.released;
        let content = self.content_at(to).ok_or(Rejection::Compacted(to))?;
        let last = self.head().number;
        let change = self.head_content.diff(&content);
        let cause: String = cause.chars().take(MAX_CAUSE_CHARS).collect();
        let author: String = author.chars().take(MAX_AUTHOR_CHARS).collect();
        let origin = Origin::Reverted { to, cause: cause.clone() };
        let id = self.push(NewVersion { at, author, epoch, origin, change }, content);
        // All servers except the canaries already have this content, so it is released without canaries.
        (self.state.released, self.state.canary) = (id.number, None);
        self.state.reverted.push_back(RevertedCanary { number, last, cause, at });
        if self.state.reverted.len() > MAX_REVERTED {
            self.state.reverted.pop_front();
        }
        Ok(Outcome::Reverted(id))
    }

    /// Returns whether the retention limits leave no room for another version.
    fn is_full(&self) -> bool {
        self.versions.len() >= self.limits.versions || self.change_bytes >= self.limits.bytes
    }

    fn exceeds_limits(&self) -> bool {
        self.versions.len() > self.limits.versions || self.change_bytes > self.limits.bytes
    }

    /// Compacts the oldest versions into the checkpoint while the retention limits are exceeded. Keeps the released version and later ones,
    /// since a revert needs them.
    pub(super) fn compact(&mut self) {
        while self.exceeds_limits() && self.checkpoint.number < self.state.released {
            let Some(oldest) = self.versions.pop_front() else { return };
            self.change_bytes -= oldest.change.bytes();
            if let Ok(content) = self.checkpoint_content.with_change(&oldest.change) {
                self.checkpoint_content = content;
            }
            self.checkpoint = oldest.id();
        }
    }
}

fn invalid(reason: impl Into<String>) -> Rejection {
    Rejection::Invalid(ValidationError::whole(reason))
}
