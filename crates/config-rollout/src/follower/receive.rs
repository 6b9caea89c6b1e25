//! Processing of messages from distributors: checks the bounds, assembles the body, then verifies its digest and validates its content.

use super::partial_bodies::ExtendOutcome;
use super::version_log::Conflict;
use super::versioned_content::VersionedContent;
use super::Follower;
use crate::change::Change;
use crate::content::Content;
use crate::digest::{Digest, VersionId};
use crate::messages::{Chunk, DistributorMessage, TransferId, MAX_BODY_BYTES};
use crate::setting::ValidationError;
use crate::validation::ContentValidator;
use std::sync::Arc;
use thiserror::Error;

/// Outcome of a message from a distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A version is complete, validated and ready to be activated.
    Staged(VersionId),
    /// Further chunks of the body are missing.
    Incomplete,
    /// The version is not newer than the staged or active one.
    Outdated,
    /// Preceding bytes of the body or the base version are missing, or the active version is older than the target.
    Gap,
    /// The message is invalid or its version was rejected.
    Invalid(MessageError),
}

/// An invalid field of a message.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum InvalidField {
    /// The body is empty or longer than any valid one.
    #[error("total: got a body of {total_bytes} bytes, expected 1 to {MAX_BODY_BYTES}")]
    BodyLength {
        /// The claimed length of the body.
        total_bytes: usize,
    },
    /// The chunk is empty or exceeds the end of its body.
    #[error(
        "at: got {length} bytes at offset {offset}, expected 1 or more bytes within a body of {total_bytes}"
    )]
    ChunkPosition {
        /// The offset of the chunk in the body.
        offset: usize,
        /// The length of the chunk.
        length: usize,
        /// The claimed length of the body.
        total_bytes: usize,
    },
    /// The version is not newer than the base of the change.
    #[error("to: got version {target}, expected one after the base {base}")]
    BackwardChange {
        /// The base of the change.
        base: VersionId,
        /// The version after the change.
        target: VersionId,
    },
    /// The age is negative or not finite.
    #[error("age: got {0} s, expected a finite time of at least 0 s")]
    Age(f64),
    /// The tag does not authenticate the other fields.
    #[error("tag: got {0:016x}, expected the tag of the other fields for this server")]
    Tag(u64),
}

/// An undecodable body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The bytes are not an encoded change or content.
    #[error("{0}")]
    Decode(postcard::Error),
    /// The content or change is invalid.
    #[error("{0}")]
    Invalid(ValidationError),
    /// The base of the change is neither the active nor the staged version.
    #[error("the base {0} of the change is neither active nor staged")]
    MissingBase(VersionId),
}

/// An invalid message from a distributor.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum MessageError {
    /// A field of the message is invalid.
    #[error("invalid field {0}")]
    InvalidField(#[from] InvalidField),
    /// The body cannot be decoded or applied.
    #[error("body of version {number}: {error}")]
    Undecodable {
        /// The number of the version.
        number: u64,
        /// The error.
        error: BodyError,
    },
    /// The digest does not match the content.
    #[error("version {}: got digest {}, expected {expected}", received.number, received.digest)]
    WrongDigest {
        /// The version in the message.
        received: VersionId,
        /// The digest computed from the content.
        expected: Digest,
    },
    /// The version number is known with another digest.
    #[error("version {}: got digest {}, expected the known digest {}", .0.number, .0.other, .0.known)]
    Conflict(Conflict),
    /// The server's validation or its host rejected the version.
    #[error("version {number} rejected: {cause}")]
    Rejected {
        /// The number of the version.
        number: u64,
        /// Human-readable cause.
        cause: String,
    },
}

impl Follower {
    /// Processes a message from a distributor. A complete body is checked by `validator`.
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
            return self.invalid_field(InvalidField::Age(age));
        }
        if tag != self.digester.tag(&self.server.instance, target, age, acknowledged) {
            return self.invalid_field(InvalidField::Tag(tag));
        }
        if let Some(conflict) = self.find_conflict(target) {
            return Received::Invalid(MessageError::Conflict(conflict));
        }
        self.target = Some(target);
        // A canary may be ahead of the target in the message.
        if self.active.version.number < target.number {
            return Received::Gap;
        }
        // Only a message that answers a stored acknowledgement confirms the active version.
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
            // The sender has an outdated state of this server.
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

    /// Records and returns a conflict if the version number is known with another digest.
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

    /// Returns the content of a base version if that is active or staged.
    fn base_content(&self, base: VersionId) -> Option<&Content> {
        let candidates = [Some(&self.active), self.staged.as_ref()];
        candidates.into_iter().flatten().find(|held| held.version == base).map(|held| &*held.content)
    }

    /// Decodes and validates a complete body, and stages its content.
    fn stage(&mut self, transfer: TransferId, body: &[u8], validator: &dyn ContentValidator) -> Received {
        let version = transfer.target;
        self.ack_urgent = true;
        let content = match self.decode(transfer.base, body) {
            Ok(content) => content,
            Err(error) => {
                self.counters.undecodable += 1;
                return Received::Invalid(MessageError::Undecodable { number: version.number, error });
            }
        };
        let expected = self.digester.digest(version.number, &content);
        if version.digest != expected {
            self.counters.wrong_digests += 1;
            return Received::Invalid(MessageError::WrongDigest { received: version, expected });
        }
        // The digest is authentic, so another digest with this number is a conflict even if this content is rejected.
        self.version_log.record_digest(version);
        if let Err(error) = validator.validate(&content) {
            return self.record_rejection(version, error.to_string());
        }
        self.staged = Some(VersionedContent { version, content: Arc::new(content) });
        self.partial_bodies.drop_up_to(version.number);
        Received::Staged(version)
    }

    fn decode(&self, base: Option<VersionId>, body: &[u8]) -> Result<Content, BodyError> {
        let Some(base) = base else {
            let content: Content = postcard::from_bytes(body).map_err(BodyError::Decode)?;
            content.check().map_err(BodyError::Invalid)?;
            return Ok(content);
        };
        let change: Change = postcard::from_bytes(body).map_err(BodyError::Decode)?;
        let base_content = self.base_content(base).ok_or(BodyError::MissingBase(base))?;
        base_content.with_change(&change).map_err(BodyError::Invalid)
    }
}

/// Checks the lengths, offset and version numbers of a chunk.
fn check_bounds(chunk: &Chunk) -> Result<(), InvalidField> {
    let TransferId { base, target, total_bytes } = chunk.transfer;
    let (total_bytes, offset, length) = (total_bytes as usize, chunk.offset as usize, chunk.bytes.len());
    if total_bytes == 0 || total_bytes > MAX_BODY_BYTES {
        return Err(InvalidField::BodyLength { total_bytes });
    }
    let end = offset.checked_add(length);
    if length == 0 || end.is_none_or(|end| end > total_bytes) {
        return Err(InvalidField::ChunkPosition { offset, length, total_bytes });
    }
    match base {
        Some(base) if base.number >= target.number => Err(InvalidField::BackwardChange { base, target }),
        _ => Ok(()),
    }
}
