//! How a server takes messages from distributors in: bounds first, then the body, its digest, and the server's own checks.

use super::partial_bodies::ExtendOutcome;
use super::version_log::Conflict;
use super::versioned_content::VersionedContent;
use super::Follower;
use crate::change::Change;
use crate::content::Content;
use crate::digest::VersionId;
use crate::messages::{Chunk, DistributorMessage, TransferId, MAX_BODY_BYTES};
use crate::validation::ContentValidator;
use std::sync::Arc;
use thiserror::Error;

/// What came of a message from a distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A version is complete and checked, and waits to be activated.
    Staged(VersionId),
    /// More of the body is to come.
    Incomplete,
    /// Known already, or older than what is staged or active.
    Outdated,
    /// Something before it is missing: bytes of the body, or the version to which it is a change.
    Gap,
    /// The message is not valid, or its version is rejected.
    Invalid(MessageError),
}

/// The field of a message that can't be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidField {
    /// The body is empty or longer than any valid one.
    #[error("a body's length")]
    BodyLength,
    /// The chunk is empty or reaches over the end of its body.
    #[error("a place in its body")]
    ChunkPosition,
    /// The change leads to a version that is not newer than its base.
    #[error("a change that leads back")]
    BackwardChange,
    /// The age is negative or no number.
    #[error("an age")]
    Age,
    /// The tag is not that of the other fields.
    #[error("its tag")]
    Tag,
}

/// What is wrong with a message from a distributor.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A number, length or tag in it is not valid.
    #[error("invalid field: {0}")]
    InvalidField(#[from] InvalidField),
    /// The body of that version can't be decoded or applied.
    #[error("the body of version {0} can't be read")]
    Undecodable(u64),
    /// The content of that version has another digest.
    #[error("the digest of version {0} is not that of its content")]
    WrongDigest(u64),
    /// Another content is known under that number.
    #[error("version {}: here with digest {}, sent with {}", .0.number, .0.known, .0.other)]
    Conflict(Conflict),
    /// The server's own checks, or its host, rejected the version.
    #[error("version {number} rejected: {cause}")]
    Rejected {
        /// The version.
        number: u64,
        /// Why, for people.
        cause: String,
    },
}

impl Follower {
    /// Takes a message from a distributor in.
    pub fn receive(&mut self, message: &DistributorMessage, validator: &dyn ContentValidator) -> Received {
        match message {
            DistributorMessage::Chunk(chunk) => self.receive_chunk(chunk, validator),
            DistributorMessage::Target { target, age, acknowledged, tag } => {
                self.receive_target(*target, *age, *acknowledged, *tag)
            }
        }
    }

    fn receive_target(&mut self, target: VersionId, age: f64, acknowledged: u64, tag: u64) -> Received {
        if !(age >= 0.0 && age.is_finite()) {
            return self.invalid_field(InvalidField::Age);
        }
        if tag != self.digester.tag(&self.server.instance, target, age, acknowledged) {
            return self.invalid_field(InvalidField::Tag);
        }
        if let Some(conflict) = self.find_conflict(target) {
            return Received::Invalid(MessageError::Conflict(conflict));
        }
        self.target = Some(target);
        // A canary may be ahead of the target that it is sent.
        if self.active.version.number < target.number {
            return Received::Gap;
        }
        // A message that answers no known acknowledgement says nothing of its age.
        if let Some(sent) = self.sent_acks.sent_at(acknowledged) {
            self.fresh_until = Some(self.fresh_until.unwrap_or(f64::MIN).max(sent - age));
        }
        Received::Outdated
    }

    fn receive_chunk(&mut self, chunk: &Chunk, validator: &dyn ContentValidator) -> Received {
        self.counters.chunks += 1;
        if let Err(field) = check_bounds(chunk) {
            return self.invalid_field(field);
        }
        let TransferId { base, target, .. } = chunk.transfer;
        if let Some(conflict) = self.find_conflict(target) {
            return Received::Invalid(MessageError::Conflict(conflict));
        }
        if target.number <= self.newest().version.number {
            self.counters.outdated += 1;
            // The sender does not know where this server stands.
            self.ack_urgent = true;
            return Received::Outdated;
        }
        if let Some(cause) = self.version_log.rejection_cause(target) {
            self.ack_urgent = true;
            return Received::Invalid(MessageError::Rejected { number: target.number, cause });
        }
        if base.is_some_and(|base| self.base_content(base).is_none()) {
            return self.gap();
        }
        match self.partial_bodies.extend(chunk) {
            ExtendOutcome::Gap => self.gap(),
            ExtendOutcome::Incomplete => Received::Incomplete,
            ExtendOutcome::Complete(body) => self.stage(chunk.transfer, &body, validator),
        }
    }

    fn invalid_field(&mut self, field: InvalidField) -> Received {
        self.counters.invalid += 1;
        Received::Invalid(MessageError::InvalidField(field))
    }

    fn gap(&mut self) -> Received {
        self.counters.gaps += 1;
        self.ack_urgent = true;
        Received::Gap
    }

    /// Records and returns the conflict where another content is known under this number.
    fn find_conflict(&mut self, version: VersionId) -> Option<Conflict> {
        let conflict = self.version_log.record_conflict(version)?;
        self.counters.conflicts += 1;
        self.ack_urgent = true;
        Some(conflict)
    }

    pub(super) fn record_rejection(&mut self, version: VersionId, cause: String) -> Received {
        let cause = self.version_log.record_rejection(version, cause);
        self.counters.rejected += 1;
        self.ack_urgent = true;
        Received::Invalid(MessageError::Rejected { number: version.number, cause })
    }

    /// The content to which a change may be applied: the active or the staged one.
    fn base_content(&self, base: VersionId) -> Option<&Content> {
        let candidates = [Some(&self.active), self.staged.as_ref()];
        candidates.into_iter().flatten().find(|held| held.version == base).map(|held| &*held.content)
    }

    /// Decodes and checks a complete body, and stages its content.
    fn stage(&mut self, transfer: TransferId, body: &[u8], validator: &dyn ContentValidator) -> Received {
        let version = transfer.target;
        self.ack_urgent = true;
        let Some(content) = self.decode(transfer.base, body) else {
            self.counters.undecodable += 1;
            return Received::Invalid(MessageError::Undecodable(version.number));
        };
        if self.digester.digest(version.number, &content) != version.digest {
            self.counters.wrong_digests += 1;
            return Received::Invalid(MessageError::WrongDigest(version.number));
        }
        // Its digest is right, so another content under this number is a conflict from here on, even if this one is rejected.
        self.version_log.record_digest(version);
        if let Err(error) = validator.validate(&content) {
            return self.record_rejection(version, error.to_string());
        }
        self.staged = Some(VersionedContent { version, content: Arc::new(content) });
        self.partial_bodies.drop_up_to(version.number);
        Received::Staged(version)
    }

    fn decode(&self, base: Option<VersionId>, body: &[u8]) -> Option<Content> {
        match base {
            None => postcard::from_bytes::<Content>(body).ok().filter(|content| content.check().is_ok()),
            Some(base) => {
                let change = postcard::from_bytes::<Change>(body).ok()?;
                self.base_content(base)?.with_change(&change).ok()
            }
        }
    }
}

/// Whether the lengths and numbers of a chunk can be true.
fn check_bounds(chunk: &Chunk) -> Result<(), InvalidField> {
    let (total, offset) = (chunk.transfer.total_bytes as usize, chunk.offset as usize);
    if total == 0 || total > MAX_BODY_BYTES {
        return Err(InvalidField::BodyLength);
    }
    let end = offset.checked_add(chunk.bytes.len());
    if chunk.bytes.is_empty() || end.is_none_or(|end| end > total) {
        return Err(InvalidField::ChunkPosition);
    }
    if chunk.transfer.base.is_some_and(|base| base.number >= chunk.transfer.target.number) {
        return Err(InvalidField::BackwardChange);
    }
    Ok(())
}
