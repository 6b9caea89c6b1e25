//! Bounded log of the versions that a server has seen: verified digests, rejections and conflicts.

use crate::digest::{Digest, VersionId};
use crate::messages::RejectedVersion;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of stored digests. Those of the highest version numbers are kept.
const MAX_DIGESTS: usize = 256;
/// Maximum number of stored rejections. The latest are kept.
const MAX_REJECTED: usize = 16;
/// Maximum number of stored conflicts. The latest are kept.
const MAX_CONFLICTS: usize = 8;
/// Maximum length of a stored cause in bytes.
const MAX_CAUSE_BYTES: usize = 256;

/// Two digests for one version number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The version number.
    pub number: u64,
    /// The digest that was verified first.
    pub known: Digest,
    /// The digest of the later message.
    pub other: Digest,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct VersionLog {
    /// Digests that this server verified, by version number.
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

    /// Records and returns a conflict if the version number is known with another digest. Equal conflicts are stored once.
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

    /// Records a rejection as the latest one. Returns its truncated cause.
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

/// Truncates a cause to its maximum length, at a character boundary.
pub(super) fn truncate_cause(mut cause: String) -> String {
    let mut end = MAX_CAUSE_BYTES.min(cause.len());
    while !cause.is_char_boundary(end) {
        end -= 1;
    }
    cause.truncate(end);
    cause
}
