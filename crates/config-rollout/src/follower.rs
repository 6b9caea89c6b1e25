//! A server's side of the rollout. It assembles chunks, which may arrive in any order and from any distributor, into whole contents that
//! the host activates between two of its rounds.
//!
//! The host polls [`Follower::staged`], activates that version, and reports it with [`Follower::activated`]; only then is the version
//! acknowledged as active. Content is staged when it is complete, its digest matches, and it passes the server's validation. Version
//! numbers never decrease within an incarnation, and of two versions with the same number the first is kept.
//!
//! Times are seconds of the server's monotonic clock.

mod last_good;
mod partial_bodies;
mod receive;
mod version_log;
mod versioned_content;

pub use last_good::{LastGoodError, PROBATION};
pub use receive::{BodyError, InvalidField, MessageError, Received};
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

/// Interval between acknowledgements without events, s.
pub const ACK_INTERVAL: f64 = 1.0;
/// Interval between acknowledgements during the probation of a new version, s.
pub const NEW_VERSION_ACK_INTERVAL: f64 = 0.25;
/// Minimum interval between acknowledgements, s. It limits the response to a flood of invalid messages.
pub const MIN_ACK_INTERVAL: f64 = 0.02;
/// Maximum number of acknowledgements whose send times are stored.
const MAX_UNANSWERED_ACKS: usize = 64;

/// Event counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Chunks received.
    pub chunks: u64,
    /// Versions activated.
    pub activated: u64,
    /// Chunks of versions not newer than the staged or active one.
    pub outdated: u64,
    /// Chunks whose preceding bytes or base version were missing.
    pub gaps: u64,
    /// Messages with an invalid field.
    pub invalid: u64,
    /// Bodies that could not be decoded or applied.
    pub undecodable: u64,
    /// Bodies whose digest was wrong.
    pub wrong_digests: u64,
    /// Messages whose digest differed from the known digest of the same version number.
    pub conflicts: u64,
    /// Versions rejected by the server's validation or its host.
    pub rejected: u64,
}

/// The content with which a server started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartSource {
    /// The last good version from disk.
    LastGood(VersionId),
    /// The base settings, with the error if the file on disk could not be used.
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
    /// The target version in the latest target message.
    target: Option<VersionId>,
    /// Time up to which the active version is confirmed to be the target.
    fresh_until: Option<f64>,
    sent_acks: SentTimes,
    last_ack: Option<f64>,
    /// Whether the next acknowledgement should be sent as soon as possible.
    ack_urgent: bool,
}

impl Follower {
    /// Starts with the last good version in `disk`, or with the base settings if there is none or it is invalid.
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

    /// Returns the server and its incarnation.
    pub fn server(&self) -> &HolderId {
        &self.server
    }

    /// Returns the active version.
    pub fn active(&self) -> &VersionedContent {
        &self.active
    }

    /// Returns the event counters since the start.
    pub fn counters(&self) -> &FollowerCounters {
        &self.counters
    }

    /// Iterates over the latest distinct conflicts, oldest first.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.version_log.conflicts()
    }

    /// Returns the version that the host should activate, if any. It is newer than the active version.
    pub fn staged(&self) -> Option<&VersionedContent> {
        self.staged.as_ref()
    }

    fn newest(&self) -> &VersionedContent {
        self.staged.as_ref().unwrap_or(&self.active)
    }

    /// Records that the host activated the staged version. Returns `false` if `version` is not the staged one.
    pub fn activated(&mut self, now: f64, version: VersionId) -> bool {
        let Some(staged) = self.staged.take_if(|staged| staged.version == version) else { return false };
        (self.active, self.active_since) = (staged, now);
        self.last_good.activated(now, &self.active);
        self.counters.activated += 1;
        self.ack_urgent = true;
        true
    }

    /// Rejects the staged version, which the host could not activate. The active version stays.
    pub fn reject(&mut self, version: VersionId, cause: &str) {
        if self.staged.take_if(|staged| staged.version == version).is_some() {
            self.record_rejection(version, cause.into());
        }
    }

    /// Returns the bytes that the host should atomically write to its disk, if a version has passed its probation. The host then calls
    /// [`Follower::save_finished`].
    pub fn save(&mut self, now: f64) -> Option<Vec<u8>> {
        if !self.healthy {
            return None;
        }
        self.last_good.next_write(now, &self.active)
    }

    /// Records the outcome of a write. After a failure the error is reported and the write is repeated.
    pub fn save_finished(&mut self, now: f64, outcome: io::Result<()>) {
        let changed = self.last_good.write_finished(now, outcome, &self.active);
        self.ack_urgent |= changed;
    }

    /// Returns the version on disk, if known.
    pub fn stored(&self) -> Option<VersionId> {
        self.last_good.stored()
    }

    /// Records whether the host considers itself healthy with the active version.
    pub fn set_healthy(&mut self, now: f64, healthy: bool) {
        if healthy != self.healthy {
            self.ack_urgent = true;
            self.last_good.health_changed(now, healthy, &self.active);
        }
        self.healthy = healthy;
    }

    /// Records a new connection to a distributor, which triggers an acknowledgement.
    pub fn connected(&mut self) {
        self.ack_urgent = true;
    }

    /// Returns the time since the active version was last confirmed to be the target, s, or `None` if it was never confirmed.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.fresh_until.map(|fresh_until| (now - fresh_until).max(0.0))
    }

    /// Returns the target version in the latest target message.
    pub fn target(&self) -> Option<VersionId> {
        self.target
    }

    /// Returns the time at which the next acknowledgement is due.
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

    /// Returns the acknowledgement to send at `now`, if one is due.
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
