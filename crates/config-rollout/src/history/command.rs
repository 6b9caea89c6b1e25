//! What can be asked of the history through the replicated log, and what comes of it.

use super::version::Origin;
use crate::change::Change;
use crate::digest::VersionId;
use crate::setting::ValidationError;
use puffinladder_leases::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// A change that somebody asks for, on the version that he saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The head that the author saw; the put is rejected on any other.
    pub base: VersionId,
    /// Who asks.
    pub author: String,
    /// Of the lease under which it is written.
    pub epoch: Epoch,
    /// A put or a rollback.
    pub origin: Origin,
    /// The change to `base`.
    pub change: Change,
}

/// What the replicas agree on, next to the commands of the lease table. The order of the variants is part of the log's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A new lease holder shows its epoch, which fences off all commands of the holder before.
    Announce {
        /// Of its lease.
        epoch: Epoch,
    },
    /// A new version.
    Put(PutRequest),
    /// The canaries get a version before all others. Repeated for the same version it adds canaries.
    #[serde(rename = "Trial")]
    StartCanary {
        /// Of the lease.
        epoch: Epoch,
        /// The version.
        number: u64,
        /// The names of the servers.
        canaries: BTreeSet<String>,
    },
    /// The version that is on canaries goes to all.
    Release {
        /// Of the lease.
        epoch: Epoch,
        /// The version.
        number: u64,
    },
    /// The version that is on canaries, and all that was put on top of it, gives way to the content of the last released one.
    #[serde(rename = "TakeBack")]
    Revert {
        /// Of the lease.
        epoch: Epoch,
        /// Who decided it.
        author: String,
        /// The version.
        number: u64,
        /// How the canaries failed.
        cause: String,
    },
}

impl Command {
    /// The epoch of the lease under which it was written.
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
    /// When it was proposed, in s by the lease table's clock.
    pub at: f64,
    /// What it asks for.
    pub command: Command,
}

/// A version that an author did not know of, without its change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissedVersion {
    /// Its number.
    pub number: u64,
    /// Who made it.
    pub author: String,
    /// When, in s by the lease table's clock.
    pub at: f64,
    /// How many keys it changed.
    pub keys: usize,
}

/// What came of an entry that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The epoch is known from here on.
    Announced,
    /// The version was made.
    Accepted(VersionId),
    /// It took effect before and the answer was lost; the version that it made or released.
    #[serde(rename = "Repeat")]
    AlreadyApplied(VersionId),
    /// The canaries are in the history.
    #[serde(rename = "Tried")]
    CanaryStarted,
    /// The version may go to all servers.
    Released(VersionId),
    /// The canary phase failed; the new version, which has the last released content.
    #[serde(rename = "TakenBack")]
    Reverted(VersionId),
}

/// Why an entry took no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The entry was written under a lease that has ended.
    #[error("the lease has ended: epoch {seen} has been seen")]
    #[serde(rename = "Late")]
    StaleEpoch {
        /// The highest epoch so far.
        seen: Epoch,
    },
    /// Other versions came first.
    #[error("the head is {head}; {} versions were missed, the first of them {:?}", missed.len(), missed.first())]
    #[serde(rename = "Missed")]
    MissedVersions {
        /// The head on which to put the change again.
        head: VersionId,
        /// The versions after the author's base, oldest first; the first ones where there are many.
        missed: Vec<MissedVersion>,
    },
    /// The base of a put is not a version of this history.
    #[error("{0} is no version of this history")]
    #[serde(rename = "Unknown")]
    UnknownVersion(VersionId),
    /// The version is older than the checkpoint, or there is none of that number yet.
    #[error("version {0} is not retained")]
    #[serde(rename = "Forgotten")]
    Compacted(u64),
    /// The change, or the content after it, is not valid.
    #[error("{0}")]
    #[serde(rename = "Unfit")]
    Invalid(ValidationError),
    /// The content would stay as it is.
    #[error("it changes nothing")]
    #[serde(rename = "Empty")]
    NoChange,
    /// Versions wait for their release and fill what may be retained; or a version would have too many canaries.
    #[error("too many versions wait for their release, or too many canaries")]
    Full,
    /// The version can't start on canaries, be released or reverted now.
    #[error(
        "version {asked} can't start on canaries, be released or reverted now; on canaries is {current:?}"
    )]
    #[serde(rename = "NotOnTrial")]
    NotOnCanaries {
        /// The version that was asked for.
        asked: u64,
        /// The version that is on canaries.
        #[serde(rename = "trial")]
        current: Option<u64>,
    },
    /// From a host that reaches no majority of replicas: nothing is decided there, and what is active stays.
    #[error("no majority of lease-store replicas can be reached: nothing can be changed, servers keep what they have")]
    #[serde(rename = "NoMajority")]
    NoQuorum,
}
