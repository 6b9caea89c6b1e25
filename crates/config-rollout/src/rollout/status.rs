//! What the lease holder reports of the rollout.

use super::server::Server;
use super::RolloutController;
use crate::digest::VersionId;
use crate::history::History;
use serde::{Deserialize, Serialize};

/// Servers that a status names, in each of its lists.
const MAX_LISTED_SERVERS: usize = 64;

/// Why a server lacks the released version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LagReason {
    /// This lease holder never heard it.
    Unheard,
    /// It has been silent for so many s.
    Silent(f64),
    /// It rejected the version, for this cause.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// It has another content under that number.
    Conflict,
    /// It is heard, and the version is on its way.
    Behind,
}

/// A server that lacks the released version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LaggingServer {
    /// Its name.
    pub server: String,
    /// The failure domain in which it runs.
    pub zone: String,
    /// The version by which it works; none where it was never heard.
    #[serde(rename = "in_force")]
    pub active: Option<VersionId>,
    /// For how long it has lacked the released version, s.
    #[serde(rename = "since")]
    pub lag: f64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: LagReason,
}

/// The version that is on canaries. Written as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Vec<String>)", into = "(u64, Vec<String>)")]
pub struct RunningCanary {
    /// The version.
    pub number: u64,
    /// The names of the servers.
    pub canaries: Vec<String>,
}

/// A server that could not write its last good version. Written as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct UnsavedServer {
    /// Its name.
    pub server: String,
    /// Why it could not.
    pub error: String,
}

/// A canary phase that failed. Written as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct FailedCanary {
    /// The version.
    pub number: u64,
    /// How it failed.
    pub cause: String,
}

/// The state of a rollout over all servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The latest version.
    pub head: VersionId,
    /// The version that all servers should have.
    pub released: VersionId,
    /// The version that is on canaries, if any.
    #[serde(rename = "trial")]
    pub canary: Option<RunningCanary>,
    /// Servers that have the released version, or a later one, active.
    #[serde(rename = "have")]
    pub up_to_date: usize,
    /// All servers that are not known to be gone.
    #[serde(rename = "of")]
    pub servers: usize,
    /// All of them are up to date, and the lease holder has listened for long enough to know all.
    pub everywhere: bool,
    /// The servers that lag, longest first; the first ones where there are many.
    pub lagging: Vec<LaggingServer>,
    /// Servers that could not write their last good version; the first ones where there are many.
    pub unsaved: Vec<UnsavedServer>,
    /// The last canary phase that failed.
    #[serde(rename = "taken_back")]
    pub last_failed: Option<FailedCanary>,
}

impl RolloutController {
    /// The state of the rollout, as far as it is known here.
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
