//! Commands to the history in the replicated log, and their outcomes.

use super::version::Origin;
use super::MAX_CANARIES;
use crate::change::Change;
use crate::digest::VersionId;
use crate::key::MAX_NAME_BYTES;
use crate::setting::ValidationError;
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// A request to create a version by changing the head that its author saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The expected head. The put is rejected if the head is another version.
    pub base: VersionId,
    /// The author of the change.
    pub author: String,
    /// Epoch of the lease under which the put is proposed.
    pub epoch: Epoch,
    /// The origin of the version: a put or a rollback.
    pub origin: Origin,
    /// The change to `base`.
    pub change: Change,
}

/// A command to the history. The order of the variants is part of the encoding of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Announces the epoch of a new lease holder, which fences off the commands of earlier holders.
    Announce {
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// Creates a version.
    Put(PutRequest),
    /// Activates a version on canaries. Repeating the command for the same version adds canaries.
    #[serde(rename = "Trial")]
    StartCanary {
        /// Epoch of the lease.
        epoch: Epoch,
        /// The number of the version.
        number: u64,
        /// The names of the canary servers.
        canaries: BTreeSet<String>,
    },
    /// Releases the version on canaries to all servers.
    Release {
        /// Epoch of the lease.
        epoch: Epoch,
        /// The number of the version.
        number: u64,
    },
    /// Reverts the version on canaries and all later versions to the content of the latest released version.
    #[serde(rename = "TakeBack")]
    Revert {
        /// Epoch of the lease.
        epoch: Epoch,
        /// The author of the decision.
        author: String,
        /// The number of the version.
        number: u64,
        /// Human-readable cause of the failure.
        cause: String,
    },
}

impl Command {
    /// Returns the epoch of the lease under which the command was proposed.
    pub fn epoch(&self) -> Epoch {
        match self {
            Command::Put(put) => put.epoch,
            Command::Announce { epoch }
            | Command::StartCanary { epoch, .. }
            | Command::Release { epoch, .. }
            | Command::Revert { epoch, .. } => *epoch,
        }
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Time of the proposal, s by the clock of the lease table.
    pub at: f64,
    /// The command.
    pub command: Command,
}

/// Summary of a version that was created after the base of a put.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissedVersion {
    /// The number of the version.
    pub number: u64,
    /// The author of the version.
    pub author: String,
    /// Time of creation, s by the clock of the lease table.
    pub at: f64,
    /// Number of changed keys.
    pub keys: usize,
}

/// Outcome of an accepted entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The epoch was recorded.
    Announced,
    /// The version was created.
    Accepted(VersionId),
    /// The entry had already taken effect before, for example because it was proposed again after a lost answer. Contains the version that
    /// it created or released.
    #[serde(rename = "Repeat")]
    AlreadyApplied(VersionId),
    /// The canaries were recorded.
    #[serde(rename = "Tried")]
    CanaryStarted,
    /// The version was released to all servers.
    Released(VersionId),
    /// The canary phase was reverted. Contains the new version, which has the content of the latest released one.
    #[serde(rename = "TakenBack")]
    Reverted(VersionId),
}

/// Reason for which an entry was rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The entry was proposed under a lease that has ended.
    #[error("epoch of the command is 0 or stale: expected {} or higher", (*seen).max(1))]
    #[serde(rename = "Late")]
    StaleEpoch {
        /// The highest epoch of any accepted entry.
        seen: Epoch,
    },
    /// Versions were created after the base of the put.
    #[error(
        "base of the put is outdated: expected head {head}; {} versions follow the base, the first is {:?}",
        missed.len(),
        missed.first()
    )]
    #[serde(rename = "Missed")]
    MissedVersions {
        /// The current head, to be used as the base of a new put.
        head: VersionId,
        /// The versions after the base, oldest first, up to a limit.
        missed: Vec<MissedVersion>,
    },
    /// The base of the put is not a version of this history.
    #[error("base of the put: got version {0}, which is not in this history")]
    #[serde(rename = "Unknown")]
    UnknownVersion(VersionId),
    /// The version is older than the checkpoint or does not exist yet.
    #[error("version {0} is not retained: it was compacted or does not exist yet")]
    #[serde(rename = "Forgotten")]
    Compacted(u64),
    /// The change or the resulting content is invalid.
    #[error("{0}")]
    #[serde(rename = "Unfit")]
    Invalid(ValidationError),
    /// The change does not modify the content.
    #[error(
        "the change is empty or sets every key to its current value: expected at least one different value"
    )]
    #[serde(rename = "Empty")]
    NoChange,
    /// Unreleased versions fill the retention limits, or a version would have too many canaries or a canary with too long a name.
    #[error(
        "unreleased versions reach the retention limits, or the canaries exceed {MAX_CANARIES} servers or names of \
         {MAX_NAME_BYTES} bytes"
    )]
    Full,
    /// The version cannot be started on canaries, released or reverted in the current state.
    #[error(
        "version {asked} cannot be started on canaries, released or reverted: the version on canaries is {current:?}"
    )]
    #[serde(rename = "NotOnTrial")]
    NotOnCanaries {
        /// The number of the requested version.
        asked: u64,
        /// The number of the version on canaries, if any.
        #[serde(rename = "trial")]
        current: Option<u64>,
    },
    /// The host reaches no majority of lease-store replicas, so nothing can be committed. Servers keep their active version.
    #[error("no majority of lease-store replicas can be reached: the command was not committed, servers keep their active version")]
    #[serde(rename = "NoMajority")]
    NoQuorum,
}
