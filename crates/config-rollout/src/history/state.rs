//! How far the rollout has come: what is released, and what is on canaries.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Which version each server may have. It is part of the replicated history, so that a new lease holder carries on where the one before
/// stopped.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The version that all servers may have.
    pub released: u64,
    /// The version that is on canaries, if any.
    #[serde(rename = "trial")]
    pub canary: Option<CanaryPhase>,
    /// The latest canary phases that failed, oldest first.
    #[serde(rename = "taken_back")]
    pub reverted: VecDeque<RevertedCanary>,
}

/// A version that is active on some servers before all others get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CanaryPhase {
    /// The version.
    pub number: u64,
    /// The names of the servers.
    pub canaries: BTreeSet<String>,
    /// When the phase began, in s by the lease table's clock.
    pub since: f64,
}

/// A canary phase that failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevertedCanary {
    /// The version that was on canaries.
    pub number: u64,
    /// The last version that was made on top of it, which went with it.
    pub last: u64,
    /// How the canaries failed.
    pub cause: String,
    /// When it was reverted, in s by the lease table's clock.
    pub at: f64,
}

impl RolloutState {
    /// The number of the version that a server should have.
    pub fn target(&self, server: &str) -> u64 {
        match &self.canary {
            Some(phase) if phase.canaries.contains(server) => phase.number,
            _ => self.released,
        }
    }

    /// The number of the version that is on canaries.
    pub fn canary_number(&self) -> Option<u64> {
        self.canary.as_ref().map(|phase| phase.number)
    }

    /// Whether a version was reverted lately.
    pub fn was_reverted(&self, number: u64) -> bool {
        self.reverted.iter().any(|reverted| (reverted.number..=reverted.last).contains(&number))
    }
}
