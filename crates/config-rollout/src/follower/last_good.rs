//! The last good version on a server's disk, with which the server starts independently of distributors.
//!
//! A version is saved only after the server was healthy with it for the probation period. Otherwise a version that crashes the server would
//! crash it again at every start, before a newer version can arrive.

use super::versioned_content::VersionedContent;
use crate::content::Content;
use crate::digest::{Digest, Digester, VersionId};
use crate::setting::ValidationError;
use crate::validation::ContentValidator;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// Time for which a server must be healthy with a version before the version is saved as the last good one, s.
pub const PROBATION: f64 = 1.0;

/// Format number of the file.
const FORMAT: u32 = 1;

/// Stored form, encoded as postcard. The order of the fields must not change.
#[derive(Serialize, Deserialize)]
struct StoredLastGood {
    format: u32,
    version: VersionId,
    content: Content,
}

/// Error of reading the last good version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LastGoodError {
    /// The file cannot be decoded.
    #[error("last good version: cannot decode the file: {0}")]
    Decode(postcard::Error),
    /// The file has another format.
    #[error("last good version: got format {0}, expected {FORMAT}")]
    Format(u32),
    /// The digest does not match the content.
    #[error("last good version {}: got digest {}, expected {expected}", stored.number, stored.digest)]
    WrongDigest {
        /// The version in the file.
        stored: VersionId,
        /// The digest computed from the content.
        expected: Digest,
    },
    /// A key, a value or the size is out of range.
    #[error("last good version: invalid content: {0}")]
    OutOfBounds(ValidationError),
    /// The server's validation rejected the content.
    #[error("last good version: rejected by the server: {0}")]
    Rejected(ValidationError),
}

/// Decodes and validates the bytes from [`LastGoodWriter::next_write`].
pub(super) fn read(
    digester: &Digester,
    bytes: &[u8],
    validator: &dyn ContentValidator,
) -> Result<VersionedContent, LastGoodError> {
    let stored: StoredLastGood = postcard::from_bytes(bytes).map_err(LastGoodError::Decode)?;
    if stored.format != FORMAT {
        return Err(LastGoodError::Format(stored.format));
    }
    let expected = digester.digest(stored.version.number, &stored.content);
    if stored.version.digest != expected {
        return Err(LastGoodError::WrongDigest { stored: stored.version, expected });
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

/// Determines the version to write to disk, and when.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LastGoodWriter {
    candidate: Option<Candidate>,
    /// The version on disk, if known.
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

    /// Returns the error of the latest write, if it failed.
    pub(super) fn error(&self) -> Option<&str> {
        self.error.as_deref()
    }

    pub(super) fn activated(&mut self, now: f64, active: &VersionedContent) {
        // An earlier candidate stays on probation, so that versions in quick succession do not prevent every save.
        self.candidate.get_or_insert_with(|| Candidate { content: active.clone(), since: now });
    }

    /// Ends the probation when the server becomes unhealthy, and starts a new one when it becomes healthy.
    pub(super) fn health_changed(&mut self, now: f64, healthy: bool, active: &VersionedContent) {
        let stored = self.stored == Some(active.version);
        self.candidate = (healthy && !stored).then(|| Candidate { content: active.clone(), since: now });
    }

    /// Returns the bytes to write if a version has passed its probation and no write is in progress.
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
        Some(postcard::to_allocvec(&stored).expect("plain data serializes to memory"))
    }

    /// Records the outcome of a write. Returns whether the reported error changed.
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
