//! Versions of the configuration as retained by the history.

use crate::change::Change;
use crate::digest::{Digest, VersionId};
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};

/// Limits on retained versions. Older versions are compacted into the checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLimits {
    /// Maximum number of versions after the checkpoint.
    pub versions: usize,
    /// Maximum total size of their changes, bytes.
    pub bytes: usize,
}

impl Default for RetentionLimits {
    /// Retains two days of history at 1,900 versions per day.
    fn default() -> RetentionLimits {
        RetentionLimits { versions: 4096, bytes: 8 << 20 }
    }
}

/// Origin of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// An author put a change.
    Put,
    /// An author restored the content of an older version.
    Rollback {
        /// The number of the older version.
        to: u64,
    },
    /// The canary phase failed, which restored the content of the latest released version.
    #[serde(rename = "TakenBack")]
    Reverted {
        /// The number of the latest released version.
        to: u64,
        /// Human-readable cause of the failure.
        cause: String,
    },
}

/// One version with its change and provenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Sequence number, one more than that of the preceding version.
    pub number: u64,
    /// Digest of the number and the whole content.
    pub digest: Digest,
    /// The author.
    pub author: String,
    /// Epoch of the lease under which it was created.
    pub epoch: Epoch,
    /// Time of creation, s by the clock of the lease table.
    pub at: f64,
    /// The origin.
    pub origin: Origin,
    /// The change from the preceding version.
    pub change: Change,
}

impl Version {
    /// Returns the number and digest.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.number, digest: self.digest }
    }
}
