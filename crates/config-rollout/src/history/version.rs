//! One version of the configuration, as the history retains it.

use crate::change::Change;
use crate::digest::{Digest, VersionId};
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};

/// How much a history retains; older versions are compacted into its checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLimits {
    /// Versions behind the checkpoint.
    pub versions: usize,
    /// Bytes of their changes.
    pub bytes: usize,
}

impl Default for RetentionLimits {
    /// Two days at 1,900 versions a day.
    fn default() -> RetentionLimits {
        RetentionLimits { versions: 4096, bytes: 8 << 20 }
    }
}

/// Why a version was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// Somebody put a change.
    Put,
    /// Somebody brought the content of an older version back.
    Rollback {
        /// The older version.
        to: u64,
    },
    /// Canaries failed, so the content of the last released version came back.
    #[serde(rename = "TakenBack")]
    Reverted {
        /// The last released version.
        to: u64,
        /// How the canaries failed.
        cause: String,
    },
}

/// One version: who made it when, and what it changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// One more than the version before.
    pub number: u64,
    /// Over the number and the whole content after it.
    pub digest: Digest,
    /// Who made it.
    pub author: String,
    /// Of the lease under which it was written.
    pub epoch: Epoch,
    /// When, in s by the lease table's clock.
    pub at: f64,
    /// Why it was made.
    pub origin: Origin,
    /// What it changed.
    pub change: Change,
}

impl Version {
    /// Its number and digest.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.number, digest: self.digest }
    }
}
