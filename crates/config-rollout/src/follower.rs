//! A server's side of the rollout. Chunks go in, in any order and from any distributor; out comes a whole content that may be activated
//! between two rounds of the host, and nothing else.
//!
//! The host asks [`Follower::staged`], activates that version, and reports it by [`Follower::activated`]; only then is it acknowledged. A
//! content is staged once it is complete, its digest is right under its number, and the server's own checks passed. Versions never go
//! back, and of two contents under one number the first stays.
//!
//! Times are s by the server's own monotonic clock.

mod last_good;
mod partial_bodies;
mod receive;
mod version_log;
mod versioned_content;

pub use last_good::{LastGoodError, PROBATION};
pub use receive::{InvalidField, MessageError, Received};
pub use version_log::Conflict;
pub use versioned_content::VersionedContent;

use crate::content::Content;
use crate::digest::{Digester, VersionId};
use crate::messages::Acknowledgement;
use crate::validation::ContentValidator;
use last_good::LastGoodWriter;
use partial_bodies::PartialBodies;
use puffinladder_leases::sent_times::SentTimes;
use puffinladder_leases::HolderId;
use std::io;
use std::sync::Arc;
use version_log::VersionLog;

/// Time between two acknowledgements where nothing happens, s.
pub const ACK_INTERVAL: f64 = 1.0;
/// The same for as long as a version is new, s, so that the lease holder soon knows how the server does under it.
pub const NEW_VERSION_ACK_INTERVAL: f64 = 0.25;
/// Shortest time between two acknowledgements, s, so that a flood of invalid messages is not answered one by one.
pub const MIN_ACK_INTERVAL: f64 = 0.02;
/// Acknowledgements whose sending times stay known, for the messages that answer them.
const MAX_UNANSWERED_ACKS: usize = 64;

/// Events counted since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Chunks received.
    pub chunks: u64,
    /// Versions activated.
    pub activated: u64,
    /// Chunks of versions that were known or older.
    pub outdated: u64,
    /// Chunks before which something was missing.
    pub gaps: u64,
    /// Messages with an invalid field.
    pub invalid: u64,
    /// Bodies that could not be decoded or applied.
    pub undecodable: u64,
    /// Bodies whose digest was wrong.
    pub wrong_digests: u64,
    /// Contents under a number that was known with another digest.
    pub conflicts: u64,
    /// Versions rejected by the server's own checks or its host.
    pub rejected: u64,
}

/// With which content a server started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartSource {
    /// The last good version from its own disk.
    LastGood(VersionId),
    /// Its base settings alone; with the reason where something was on its disk.
    BaseSettings(Option<LastGoodError>),
}

/// The state of one server's incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct Follower {
    server: HolderId,
    zone: String,
    digester: Digester,
    active: VersionedContent,
    active_since: f64,
    staged: Option<VersionedContent>,
    last_good: LastGoodWriter,
    partial_bodies: PartialBodies,
    version_log: VersionLog,
    counters: FollowerCounters,
    healthy: bool,
    /// The version that it should have, as the last target message had it.
    target: Option<VersionId>,
    /// Until when the active version is known to be the right one.
    fresh_until: Option<f64>,
    sent_acks: SentTimes,
    last_ack: Option<f64>,
    /// Something happened that the next acknowledgement should not wait with.
    ack_urgent: bool,
}

impl Follower {
    /// Starts with what the disk holds, or with the base settings, without waiting for anybody.
    pub fn start(
        server: HolderId,
        zone: &str,
        digester: Digester,
        disk: Option<&[u8]>,
        validator: &dyn ContentValidator,
    ) -> (Follower, StartSource) {
        let base = VersionedContent {
            version: digester.version_id(0, &Content::default()),
            content: Arc::default(),
        };
        let (active, start_source) = match disk.map(|bytes| last_good::read(&digester, bytes, validator)) {
            Some(Ok(last_good)) => {
                let version = last_good.version;
                (last_good, StartSource::LastGood(version))
            }
            Some(Err(error)) => (base, StartSource::BaseSettings(Some(error))),
            None => (base, StartSource::BaseSettings(None)),
        };
        let stored = matches!(start_source, StartSource::LastGood(_)).then_some(active.version);
        let follower = Follower {
            server,
            zone: zone.into(),
            digester,
            version_log: VersionLog::new(active.version),
            active,
            active_since: f64::MIN,
            staged: None,
            last_good: LastGoodWriter::new(stored),
            partial_bodies: PartialBodies::default(),
            counters: FollowerCounters::default(),
            healthy: true,
            target: None,
            fresh_until: None,
            sent_acks: SentTimes::new(0, MAX_UNANSWERED_ACKS),
            last_ack: None,
            ack_urgent: true,
        };
        (follower, start_source)
    }

    /// The server and its incarnation.
    pub fn server(&self) -> &HolderId {
        &self.server
    }

    /// The version by which the server works.
    pub fn active(&self) -> &VersionedContent {
        &self.active
    }

    /// Events since the start.
    pub fn counters(&self) -> &FollowerCounters {
        &self.counters
    }

    /// The latest conflicts, each once, oldest first.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.version_log.conflicts()
    }

    /// What the host is to activate now, as a whole; it is newer than what is active.
    pub fn staged(&self) -> Option<&VersionedContent> {
        self.staged.as_ref()
    }

    fn newest(&self) -> &VersionedContent {
        self.staged.as_ref().unwrap_or(&self.active)
    }

    /// The host works by that version from now on. False where it is not the staged one.
    pub fn activated(&mut self, now: f64, version: VersionId) -> bool {
        let Some(staged) = self.staged.take_if(|staged| staged.version == version) else { return false };
        (self.active, self.active_since) = (staged, now);
        self.last_good.activated(now, &self.active);
        self.counters.activated += 1;
        self.ack_urgent = true;
        true
    }

    /// The host could not activate the staged version: it stays with what it has, and the version is rejected.
    pub fn reject(&mut self, version: VersionId, cause: &str) {
        if self.staged.take_if(|staged| staged.version == version).is_some() {
            self.record_rejection(version, cause.into());
        }
    }

    /// What the host is to write to its disk in place of what is there, as soon as a version has passed its probation; the host then
    /// reports by [`Follower::save_finished`].
    pub fn save(&mut self, now: f64) -> Option<Vec<u8>> {
        if !self.healthy {
            return None;
        }
        self.last_good.next_write(now, &self.active)
    }

    /// Whether that could be written. A server with a full disk works on, reports the error and tries again.
    pub fn save_finished(&mut self, now: f64, outcome: io::Result<()>) {
        let changed = self.last_good.write_finished(now, outcome, &self.active);
        self.ack_urgent |= changed;
    }

    /// The version with which the server would start after a restart, as far as is known.
    pub fn stored(&self) -> Option<VersionId> {
        self.last_good.stored()
    }

    /// Whether the host finds itself healthy under the active version.
    pub fn set_healthy(&mut self, now: f64, healthy: bool) {
        if healthy != self.healthy {
            self.ack_urgent = true;
            self.last_good.health_changed(now, healthy, &self.active);
        }
        self.healthy = healthy;
    }

    /// There is a new connection to a distributor, which is sent an acknowledgement at once.
    pub fn connected(&mut self) {
        self.ack_urgent = true;
    }

    /// Time for which the active version is not known to be the right one, s; none where no distributor ever confirmed it.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.fresh_until.map(|fresh_until| (now - fresh_until).max(0.0))
    }

    /// The version that the server should have, as the last target message had it.
    pub fn target(&self) -> Option<VersionId> {
        self.target
    }

    /// When the next acknowledgement is due; soon after an event.
    pub fn ack_due(&self) -> f64 {
        let Some(last_ack) = self.last_ack else { return f64::MIN };
        let interval = if self.ack_urgent {
            MIN_ACK_INTERVAL
        } else if last_ack < self.active_since + PROBATION {
            NEW_VERSION_ACK_INTERVAL
        } else {
            ACK_INTERVAL
        };
        last_ack + interval
    }

    /// The acknowledgement to send now, if one is due.
    pub fn acknowledge(&mut self, now: f64) -> Option<Acknowledgement> {
        if now < self.ack_due() {
            return None;
        }
        (self.last_ack, self.ack_urgent) = (Some(now), false);
        Some(Acknowledgement {
            server: self.server.clone(),
            zone: self.zone.clone(),
            sequence: self.sent_acks.record(now),
            active: self.active.version,
            staged: self.newest().version,
            progress: self.partial_bodies.latest_progress(),
            rejected: self.version_log.last_rejected().cloned(),
            conflicts: self.counters.conflicts,
            healthy: self.healthy,
            save_error: self.last_good.error().map(str::to_owned),
        })
    }
}

#[cfg(test)]
mod tests;
