//! The lease holder's side of a rollout: a few canaries first, then all servers; and which server has what active.
//!
//! The controller runs under the lease of [`crate::TASK`], whose epoch stands in each of its commands; the history rejects those of a
//! holder that was replaced. All that is decided stands in the history, so that a new holder carries on where the one before stopped.
//!
//! Times are s by the holder's own monotonic clock.

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

/// A command that was proposed, and when.
struct Proposal {
    command: Command,
    at: f64,
}

/// Decides which version goes where, under one lease.
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
    /// There was no room for a server, so nothing is known of all of them.
    overflowed: bool,
}

impl RolloutController {
    /// The controller of a new lease holder, from `now` on. The settings should have passed [`RolloutSettings::check`]; `seed` is for the
    /// draw of canaries.
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

    /// The epoch of the lease.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a later lease holder has shown itself: this one proposes nothing more.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Adds a server that there should be, whether it was heard or not; from whoever knows the fleet.
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

    /// Removes a server that is known to be gone for good, not only silent.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Takes an acknowledgement in, through whichever distributor, however late or often.
    pub fn receive(&mut self, now: f64, ack: &Acknowledgement) {
        self.expect_server(now, &ack.server.instance, &ack.zone);
        if let Some(server) = self.servers.get_mut(&ack.server.instance) {
            server.update(now, ack);
        }
    }

    /// The command to propose now, if there is one. It is proposed again as long as the history does not show it.
    pub fn next_command(&mut self, now: f64, history: &History) -> Option<Command> {
        self.mark_lagging(now, history);
        if history.epoch() > self.epoch {
            self.superseded = true;
        }
        if self.superseded {
            return None;
        }
        let command = self.decide(now, history)?;
        let proposed_lately = self
            .last_proposal
            .as_ref()
            .is_some_and(|last| last.command == command && now - last.at < self.settings.repeat_interval);
        if proposed_lately {
            return None;
        }
        self.last_proposal = Some(Proposal { command: command.clone(), at: now });
        Some(command)
    }

    /// Notes since when each server has lacked the released version.
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

    /// Whether it has listened for long enough to know all servers.
    fn discovery_complete(&self, now: f64) -> bool {
        now - self.started >= self.settings.discovery_time
    }

    fn is_silent(&self, now: f64, server: &Server) -> bool {
        now - server.last_heard > self.settings.silence_timeout
    }
}

#[cfg(test)]
mod tests;
