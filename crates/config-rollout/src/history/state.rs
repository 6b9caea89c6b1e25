//! State of the rollout: the released version, the version on canaries, and recent reverts.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// The replicated state of the rollout, which determines the target version of each server. A new lease holder continues from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The number of the version released to all servers.
    pub released: u64,
    /// The current canary phase, if any.
    #[serde(rename = "trial")]
    pub canary: Option<CanaryPhase>,
    /// The latest failed canary phases, oldest first.
    #[serde(rename = "taken_back")]
    pub reverted: VecDeque<RevertedCanary>,
}

/// A canary phase: a version that is sent to some servers before its release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CanaryPhase {
    /// The number of the version.
    pub number: u64,
    /// The names of the canary servers.
    pub canaries: BTreeSet<String>,
    /// Start of the phase, s by the clock of the lease table.
    pub since: f64,
}

/// A failed canary phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevertedCanary {
    /// The number of the version that was on canaries.
    pub number: u64,
    /// The number of the latest version that was reverted with it.
    pub last: u64,
    /// Human-readable cause of the failure.
    pub cause: String,
    /// Time of the revert, s by the clock of the lease table.
    pub at: f64,
}

impl RolloutState {
    /// Returns the number of the target version of a server.
    pub fn target(&self, server: &str) -> u64 {
        match &self.canary {
            Some(phase) if phase.canaries.contains(server) => phase.number,
            _ => self.released,
        }
    }

    /// Returns the number of the version on canaries, if any.
    pub fn canary_number(&self) -> Option<u64> {
        self.canary.as_ref().map(|phase| phase.number)
    }

    /// Returns whether a version is part of a recent revert.
    pub fn was_reverted(&self, number: u64) -> bool {
        self.reverted.iter().any(|reverted| (reverted.number..=reverted.last).contains(&number))
    }
}
