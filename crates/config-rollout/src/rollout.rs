//! Rollout controller of the lease holder: activates a version on canaries, then releases or reverts it, and tracks the active version of
//! each server.
//!
//! The controller runs under the lease of [`crate::TASK`]. Each command carries the epoch of the lease, so that the history rejects the
//! commands of a replaced holder. All decisions are stored in the history, from which a new holder continues.
//!
//! Times are seconds of the holder's monotonic clock.

mod canary;
mod server;
mod settings;
mod status;

pub use settings::{RolloutSettings, SettingsError};
pub use status::{FailedCanary, LagReason, LaggingServer, RolloutStatus, RunningCanary, UnsavedServer};

use crate::history::{Command, History};
use crate::messages::Acknowledgement;
use canary::CanaryWatch;
use puffinladder_leases::{Epoch, SeededRandom};
use server::Server;
use std::collections::BTreeMap;

/// A proposed command and the time of the proposal.
struct Proposal {
    command: Command,
    at: f64,
}

/// Controller of the rollout under one lease.
pub struct RolloutController {
    epoch: Epoch,
    author: String,
    settings: RolloutSettings,
    random: SeededRandom,
    started: f64,
    servers: BTreeMap<String, Server>,
    watch: Option<CanaryWatch>,
    last_proposal: Option<Proposal>,
    superseded: bool,
    /// Whether a server was ignored because of the server limit, so that the list of servers is incomplete.
    overflowed: bool,
}

impl RolloutController {
    /// Creates the controller of a new lease holder. The settings must have passed [`RolloutSettings::check`]; `seed` determines the random
    /// selection of canaries.
    pub fn new(
        settings: RolloutSettings,
        author: &str,
        epoch: Epoch,
        seed: u64,
        now: f64,
    ) -> RolloutController {
        RolloutController {
            epoch,
            author: author.into(),
            settings,
            random: SeededRandom::new(seed),
            started: now,
            servers: BTreeMap::new(),
            watch: None,
            last_proposal: None,
            superseded: false,
            overflowed: false,
        }
    }

    /// Returns the epoch of the lease.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the history has a later epoch. A superseded controller proposes no commands.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Adds a server of the fleet, even if it has not sent an acknowledgement yet.
    pub fn expect_server(&mut self, now: f64, server: &str, zone: &str) {
        if self.servers.contains_key(server) {
            return;
        }
        if self.servers.len() >= self.settings.max_servers {
            self.overflowed = true;
            return;
        }
        self.servers.insert(server.into(), Server::expected(now, zone));
    }

    /// Removes a server that was decommissioned, as opposed to one that is silent.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Processes an acknowledgement from any distributor. Duplicate and delayed acknowledgements are ignored.
    pub fn receive(&mut self, now: f64, ack: &Acknowledgement) {
        self.expect_server(now, &ack.server.instance, &ack.zone);
        if let Some(server) = self.servers.get_mut(&ack.server.instance) {
            server.update(now, ack);
        }
    }

    /// Returns the command to propose at `now`, if any. A command that has no effect on the history yet is returned again after the repeat
    /// interval.
    pub fn next_command(&mut self, now: f64, history: &History) -> Option<Command> {
        self.mark_lagging(now, history);
        if history.epoch() > self.epoch {
            self.superseded = true;
        }
        if self.superseded {
            return None;
        }
        let command = self.decide(now, history)?;
        let proposed_recently = self
            .last_proposal
            .as_ref()
            .is_some_and(|last| last.command == command && now - last.at < self.settings.repeat_interval);
        if proposed_recently {
            return None;
        }
        self.last_proposal = Some(Proposal { command: command.clone(), at: now });
        Some(command)
    }

    /// Records since when each server has lacked the released version.
    fn mark_lagging(&mut self, now: f64, history: &History) {
        let released = history.released();
        for server in self.servers.values_mut() {
            if server.has(history, released.number) {
                server.lagging_since = None;
            } else {
                server.lagging_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether the controller has run for long enough to have received acknowledgements of all reachable servers.
    fn discovery_complete(&self, now: f64) -> bool {
        now - self.started >= self.settings.discovery_time
    }

    fn is_silent(&self, now: f64, server: &Server) -> bool {
        now - server.last_heard > self.settings.silence_timeout
    }
}

#[cfg(test)]
mod tests;
