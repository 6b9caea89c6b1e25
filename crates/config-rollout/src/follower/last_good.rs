//! The last good version on a server's own disk, with which it starts when nobody can be reached.
//!
//! A version becomes the last good one only after the server was healthy under it for a while. One under which the server crashes at once
//! would otherwise make it crash at every start, faster than a newer version can reach it.

use super::versioned_content::VersionedContent;
use crate::content::Content;
use crate::digest::{Digester, VersionId};
use crate::setting::ValidationError;
use crate::validation::ContentValidator;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Time for which a server has to be healthy under a version before that is its last good one, s.
pub const PROBATION: f64 = 1.0;

const FORMAT: u32 = 1;

/// The stored form, in postcard: the order of the fields must not change.
#[derive(Serialize, Deserialize)]
struct StoredLastGood {
    format: u32,
    version: VersionId,
    content: Content,
}

/// Why the last good version on the disk can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LastGoodError {
    /// The bytes are no stored version.
    #[error("the last good version can't be read: {0}")]
    Decode(postcard::Error),
    /// It was written by another release of the program.
    #[error("the last good version has format {0}, not {FORMAT}")]
    Format(u32),
    /// Its digest is not that of its content.
    #[error("the last good version has another digest than its content")]
    WrongDigest,
    /// A key or value is out of bounds.
    #[error("{0}")]
    OutOfBounds(ValidationError),
    /// The server's own checks reject it.
    #[error("the last good version is rejected: {0}")]
    Rejected(ValidationError),
}

/// Reads what [`LastGoodWriter::next_write`] wrote.
pub(super) fn read(
    digester: &Digester,
    bytes: &[u8],
    validator: &dyn ContentValidator,
) -> Result<VersionedContent, LastGoodError> {
    let stored: StoredLastGood = postcard::from_bytes(bytes).map_err(LastGoodError::Decode)?;
    if stored.format != FORMAT {
        return Err(LastGoodError::Format(stored.format));
    }
    if digester.version_id(stored.version.number, &stored.content) != stored.version {
        return Err(LastGoodError::WrongDigest);
    }
    stored.content.check().map_err(LastGoodError::OutOfBounds)?;
    validator.validate(&stored.content).map_err(LastGoodError::Rejected)?;
    Ok(VersionedContent { version: stored.version, content: Arc::new(stored.content) })
}

/// A version on probation.
#[derive(Clone, Debug, PartialEq)]
struct Candidate {
    content: VersionedContent,
    since: f64,
}

/// Decides which version is written to the disk, and when.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LastGoodWriter {
    candidate: Option<Candidate>,
    /// On the disk, as far as is known.
    stored: Option<VersionId>,
    writing: Option<VersionId>,
    error: Option<String>,
}

impl LastGoodWriter {
    pub(super) fn new(stored: Option<VersionId>) -> LastGoodWriter {
        LastGoodWriter { candidate: None, stored, writing: None, error: None }
    }

    pub(super) fn stored(&self) -> Option<VersionId> {
        self.stored
    }

    /// Why the last write failed, if it did.
    pub(super) fn error(&self) -> Option<&str> {
        self.error.as_deref()
    }

    pub(super) fn activated(&mut self, now: f64, active: &VersionedContent) {
        // A version before it may still pass: versions in quick succession must not keep all of them off the disk.
        self.candidate.get_or_insert_with(|| Candidate { content: active.clone(), since: now });
    }

    /// Illness ends a probation; with health a new one begins.
    pub(super) fn health_changed(&mut self, now: f64, healthy: bool, active: &VersionedContent) {
        let stored = self.stored == Some(active.version);
        self.candidate = (healthy && !stored).then(|| Candidate { content: active.clone(), since: now });
    }

    /// The bytes to write now, if a version has passed its probation and no write is under way.
    pub(super) fn next_write(&mut self, now: f64, active: &VersionedContent) -> Option<Vec<u8>> {
        if self.writing.is_some() {
            return None;
        }
        let passed = self.candidate.take_if(|candidate| now - candidate.since >= PROBATION)?.content;
        if active.version != passed.version {
            self.candidate = Some(Candidate { content: active.clone(), since: now });
        }
        self.writing = Some(passed.version);
        let content = Content::clone(&passed.content);
        let stored = StoredLastGood { format: FORMAT, version: passed.version, content };
        Some(postcard::to_allocvec(&stored).expect("plain data is written to memory without an error"))
    }

    /// Takes the outcome of a write in; returns whether the error to report has changed.
    pub(super) fn write_finished(
        &mut self,
        now: f64,
        outcome: io::Result<()>,
        active: &VersionedContent,
    ) -> bool {
        let written = self.writing.take();
        if outcome.is_ok() {
            self.stored = written;
        } else {
            self.candidate.get_or_insert_with(|| Candidate { content: active.clone(), since: now });
        }
        let error = outcome.err().map(|error| super::version_log::truncate_cause(error.to_string()));
        let changed = error != self.error;
        self.error = error;
        changed
    }
}
