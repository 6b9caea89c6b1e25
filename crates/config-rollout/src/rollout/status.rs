//! Status of a rollout as reported by the lease holder.

use super::server::Server;
use super::RolloutController;
use crate::digest::VersionId;
use crate::history::History;
use serde::{Deserialize, Serialize};

/// Maximum number of servers in each list of a status.
const MAX_LISTED_SERVERS: usize = 64;

/// Reason for which a server lacks the released version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LagReason {
    /// The server has not sent an acknowledgement to this lease holder.
    Unheard,
    /// The server has sent no acknowledgement for that time, s.
    Silent(f64),
    /// The server rejected the version, with a human-readable cause.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// The server has another content active under the same or a later number.
    Conflict,
    /// The server sends acknowledgements but has not activated the version yet.
    Behind,
}

/// A server that lacks the released version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingServer {
    /// The name of the server.
    pub server: String,
    /// The failure domain in which the server runs.
    pub zone: String,
    /// The active version, or `None` before the first acknowledgement.
    #[serde(rename = "in_force")]
    pub active: Option<VersionId>,
    /// Time for which the server has lacked the released version, s.
    #[serde(rename = "since")]
    pub lag: f64,
    /// The reason.
    #[serde(rename = "why")]
    pub reason: LagReason,
}

/// The version on canaries. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Vec<String>)", into = "(u64, Vec<String>)")]
pub struct RunningCanary {
    /// The number of the version.
    pub number: u64,
    /// The names of the canary servers.
    pub canaries: Vec<String>,
}

/// A server that could not write its last good version to disk. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct UnsavedServer {
    /// The name of the server.
    pub server: String,
    /// The error of the latest write.
    pub error: String,
}

/// A failed canary phase. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct FailedCanary {
    /// The number of the version.
    pub number: u64,
    /// Human-readable cause of the failure.
    pub cause: String,
}

/// The state of a rollout over all servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The latest version.
    pub head: VersionId,
    /// The latest released version.
    pub released: VersionId,
    /// The version on canaries, if any.
    #[serde(rename = "trial")]
    pub canary: Option<RunningCanary>,
    /// Number of servers with the released version or a later one active.
    #[serde(rename = "have")]
    pub up_to_date: usize,
    /// Number of known servers.
    #[serde(rename = "of")]
    pub servers: usize,
    /// Whether all servers are up to date. `false` as long as the lease holder may not know all servers.
    pub everywhere: bool,
    /// The lagging servers, longest lag first, up to a limit.
    pub lagging: Vec<LaggingServer>,
    /// Servers that could not write their last good version to disk, up to a limit.
    pub unsaved: Vec<UnsavedServer>,
    /// The latest failed canary phase.
    #[serde(rename = "taken_back")]
    pub last_failed: Option<FailedCanary>,
}

impl RolloutController {
    /// Returns the status of the rollout at `now`.
    pub fn status(&self, now: f64, history: &History) -> RolloutStatus {
        let released = history.released();
        let is_up_to_date = |server: &&Server| server.has(history, released.number);
        let up_to_date = self.servers.values().filter(is_up_to_date).count();
        let servers = self.servers.len();
        let all_known = !self.overflowed && self.discovery_complete(now);
        let state = history.state();
        let running = state.canary.as_ref().map(|phase| RunningCanary {
            number: phase.number,
            canaries: phase.canaries.iter().cloned().collect(),
        });
        let last_failed = state
            .reverted
            .back()
            .map(|reverted| FailedCanary { number: reverted.number, cause: reverted.cause.clone() });
        RolloutStatus {
            head: history.head(),
            released,
            canary: running,
            up_to_date,
            servers,
            everywhere: servers > 0 && up_to_date == servers && all_known,
            lagging: self.lagging(now, history),
            unsaved: self.unsaved(),
            last_failed,
        }
    }

    fn lagging(&self, now: f64, history: &History) -> Vec<LaggingServer> {
        let released = history.released();
        let lagging = self.servers.iter().filter(|(_, server)| !server.has(history, released.number));
        let entry = |(name, server): (&String, &Server)| LaggingServer {
            server: name.clone(),
            zone: server.zone.clone(),
            active: server.active,
            lag: server.lagging_since.map_or(0.0, |since| now - since),
            reason: self.lag_reason(now, server, released),
        };
        let mut entries: Vec<LaggingServer> = lagging.map(entry).collect();
        entries.sort_by(|a, b| b.lag.total_cmp(&a.lag).then_with(|| a.server.cmp(&b.server)));
        entries.truncate(MAX_LISTED_SERVERS);
        entries
    }

    fn lag_reason(&self, now: f64, server: &Server, released: VersionId) -> LagReason {
        let Some(active) = server.active else { return LagReason::Unheard };
        if self.is_silent(now, server) {
            return LagReason::Silent(now - server.last_heard);
        }
        match &server.rejected {
            Some(rejected) if rejected.version == released => LagReason::Rejected(rejected.cause.clone()),
            _ if active.number >= released.number => LagReason::Conflict,
            _ => LagReason::Behind,
        }
    }

    fn unsaved(&self) -> Vec<UnsavedServer> {
        let unsaved = self.servers.iter().filter_map(|(name, server)| {
            let error = server.save_error.clone()?;
            Some(UnsavedServer { server: name.clone(), error })
        });
        unsaved.take(MAX_LISTED_SERVERS).collect()
    }
}

impl From<(u64, Vec<String>)> for RunningCanary {
    fn from((number, canaries): (u64, Vec<String>)) -> RunningCanary {
        RunningCanary { number, canaries }
    }
}

impl From<RunningCanary> for (u64, Vec<String>) {
    fn from(running: RunningCanary) -> (u64, Vec<String>) {
        (running.number, running.canaries)
    }
}

impl From<(String, String)> for UnsavedServer {
    fn from((server, error): (String, String)) -> UnsavedServer {
        UnsavedServer { server, error }
    }
}

impl From<UnsavedServer> for (String, String) {
    fn from(unsaved: UnsavedServer) -> (String, String) {
        (unsaved.server, unsaved.error)
    }
}

impl From<(u64, String)> for FailedCanary {
    fn from((number, cause): (u64, String)) -> FailedCanary {
        FailedCanary { number, cause }
    }
}

impl From<FailedCanary> for (u64, String) {
    fn from(failed: FailedCanary) -> (u64, String) {
        (failed.number, failed.cause)
    }
}
