//! What a server remembers of the versions it has seen: their digests, those it rejected, and conflicts. All of it is bounded.

use crate::digest::{Digest, VersionId};
use crate::messages::RejectedVersion;
use std::collections::{BTreeMap, VecDeque};

/// Versions whose digests stay known, the highest numbers.
const MAX_DIGESTS: usize = 256;
/// Rejected versions that stay known, the latest.
const MAX_REJECTED: usize = 16;
/// Conflicts that stay known, the latest.
const MAX_CONFLICTS: usize = 8;
/// Bytes of a cause that are kept.
const MAX_CAUSE_BYTES: usize = 256;

/// Two contents under one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The number.
    pub number: u64,
    /// The digest that was known first and stays.
    pub known: Digest,
    /// The digest that came later.
    pub other: Digest,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct VersionLog {
    /// By version number; only digests that were found right here.
    digests: BTreeMap<u64, Digest>,
    rejected: VecDeque<RejectedVersion>,
    conflicts: VecDeque<Conflict>,
}

impl VersionLog {
    pub(super) fn new(active: VersionId) -> VersionLog {
        VersionLog {
            digests: BTreeMap::from([(active.number, active.digest)]),
            rejected: VecDeque::new(),
            conflicts: VecDeque::new(),
        }
    }

    pub(super) fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }

    pub(super) fn last_rejected(&self) -> Option<&RejectedVersion> {
        self.rejected.back()
    }

    pub(super) fn rejection_cause(&self, version: VersionId) -> Option<String> {
        let rejected = self.rejected.iter().find(|rejected| rejected.version == version)?;
        Some(rejected.cause.clone())
    }

    pub(super) fn record_digest(&mut self, version: VersionId) {
        self.digests.insert(version.number, version.digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }

    /// The conflict where another digest is known under this number; the same one is kept once.
    pub(super) fn record_conflict(&mut self, version: VersionId) -> Option<Conflict> {
        let known = *self.digests.get(&version.number).filter(|known| **known != version.digest)?;
        let conflict = Conflict { number: version.number, known, other: version.digest };
        if !self.conflicts.contains(&conflict) {
            self.conflicts.push_back(conflict);
            if self.conflicts.len() > MAX_CONFLICTS {
                self.conflicts.pop_front();
            }
        }
        Some(conflict)
    }

    /// Keeps a rejection as the latest one; returns its cause as it is kept.
    pub(super) fn record_rejection(&mut self, version: VersionId, cause: String) -> String {
        let cause = truncate_cause(cause);
        self.rejected.retain(|rejected| rejected.version != version);
        self.rejected.push_back(RejectedVersion { version, cause: cause.clone() });
        if self.rejected.len() > MAX_REJECTED {
            self.rejected.pop_front();
        }
        cause
    }
}

/// The beginning of a cause, as much as is kept.
pub(super) fn truncate_cause(mut cause: String) -> String {
    let mut end = MAX_CAUSE_BYTES.min(cause.len());
    while !cause.is_char_boundary(end) {
        end -= 1;
    }
    cause.truncate(end);
    cause
}
