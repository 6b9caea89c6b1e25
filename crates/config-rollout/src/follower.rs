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
mod version_log;

pub use last_good::LastGoodError;

use crate::change::Change;
use crate::content::Content;
use crate::digest::{Digest, Seal, VersionId};
use crate::messages::{Acknowledgement, Chunk, DistributorMessage, TransferId, MAX_BODY_BYTES};
use crate::validation::ContentValidator;
use last_good::LastGoodWriter;
use partial_bodies::{Extended, PartialBodies};
use puffinladder_leases::sent_times::SentTimes;
use puffinladder_leases::HolderId;
use std::io;
use std::sync::Arc;
use thiserror::Error;
use version_log::VersionLog;

/// Time between two acknowledgements where nothing happens, s.
pub const ACK_INTERVAL: f64 = 1.0;
/// The same for as long as a version is new, s, so that the lease holder soon knows how the server does under it.
pub const NEW_VERSION_ACK_INTERVAL: f64 = 0.25;
/// Time for which a server has to be healthy under a version before that is its last good one, s.
pub const PROBATION: f64 = 1.0;
/// Shortest time between two acknowledgements, s, so that a flood of invalid messages is not answered one by one.
pub const MIN_ACK_INTERVAL: f64 = 0.02;
/// Acknowledgements whose sending times stay known, for the messages that answer them.
const MAX_UNANSWERED_ACKS: usize = 64;

/// A content and the version it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedContent {
    /// The version.
    pub version: VersionId,
    /// The whole content after it.
    pub content: Arc<Content>,
}

/// Two contents under one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The number.
    pub number: u64,
    /// The digest that was known first and stays.
    pub known: Digest,
    /// The digest that came later.
    pub other: Digest,
}

/// What came of a message from a distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A version is complete and checked, and waits to be activated.
    Staged(VersionId),
    /// More of the body is to come.
    Incomplete,
    /// Known already, or older than what is staged or active.
    Outdated,
    /// Something before it is missing: bytes of the body, or the version to which it is a change.
    Gap,
    /// The message is not valid, or its version is rejected.
    Invalid(MessageError),
}

/// What is wrong with a message from a distributor.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A number, length or tag in it is not valid; which one.
    #[error("invalid field: {0}")]
    InvalidField(&'static str),
    /// The body of that version can't be decoded or applied.
    #[error("the body of version {0} can't be read")]
    Undecodable(u64),
    /// The content of that version has another digest.
    #[error("the digest of version {0} is not that of its content")]
    WrongDigest(u64),
    /// Another content is known under that number.
    #[error("version {}: here with digest {}, sent with {}", .0.number, .0.known, .0.other)]
    Conflict(Conflict),
    /// The server's own checks, or its host, rejected the version.
    #[error("version {number} rejected: {cause}")]
    Rejected {
        /// The version.
        number: u64,
        /// Why, for people.
        cause: String,
    },
}

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
pub enum StartedWith {
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
    seal: Seal,
    active: VersionedContent,
    active_since: f64,
    staged: Option<VersionedContent>,
    last_good: LastGoodWriter,
    partial_bodies: PartialBodies,
    version_log: VersionLog,
    counters: FollowerCounters,
    healthy: bool,
    /// The version that it should have, as it was last told.
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
        seal: Seal,
        disk: Option<&[u8]>,
        validator: &dyn ContentValidator,
    ) -> (Follower, StartedWith) {
        let base =
            VersionedContent { version: seal.version_id(0, &Content::default()), content: Arc::default() };
        let (active, started_with) = match disk.map(|bytes| last_good::read(&seal, bytes, validator)) {
            Some(Ok(last_good)) => {
                let version = last_good.version;
                (last_good, StartedWith::LastGood(version))
            }
            Some(Err(error)) => (base, StartedWith::BaseSettings(Some(error))),
            None => (base, StartedWith::BaseSettings(None)),
        };
        let stored = matches!(started_with, StartedWith::LastGood(_)).then_some(active.version);
        let follower = Follower {
            server,
            zone: zone.into(),
            seal,
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
        (follower, started_with)
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

    /// There is a new connection to a distributor, which is told at once where this server stands.
    pub fn connected(&mut self) {
        self.ack_urgent = true;
    }

    /// Time for which the active version is not known to be the right one, s; none where no distributor ever confirmed it.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.fresh_until.map(|fresh_until| (now - fresh_until).max(0.0))
    }

    /// The version that the server should have, as it was last told.
    pub fn target(&self) -> Option<VersionId> {
        self.target
    }

    /// Takes a message from a distributor in.
    pub fn receive(&mut self, message: &DistributorMessage, validator: &dyn ContentValidator) -> Received {
        match message {
            DistributorMessage::Chunk(chunk) => self.receive_chunk(chunk, validator),
            DistributorMessage::Target { target, age, acknowledged, tag } => {
                self.receive_target(*target, *age, *acknowledged, *tag)
            }
        }
    }

    fn receive_target(&mut self, target: VersionId, age: f64, acknowledged: u64, tag: u64) -> Received {
        if !(age >= 0.0 && age.is_finite()) {
            return self.invalid_field("an age");
        }
        if tag != self.seal.tag(&self.server.instance, target, age, acknowledged) {
            return self.invalid_field("its tag");
        }
        if let Some(conflict) = self.find_conflict(target) {
            return Received::Invalid(MessageError::Conflict(conflict));
        }
        self.target = Some(target);
        // A canary may be ahead of the version that it is told.
        if self.active.version.number < target.number {
            return Received::Gap;
        }
        // A message that answers no known acknowledgement says nothing of its age.
        if let Some(sent) = self.sent_acks.sent_at(acknowledged) {
            self.fresh_until = Some(self.fresh_until.unwrap_or(f64::MIN).max(sent - age));
        }
        Received::Outdated
    }

    fn receive_chunk(&mut self, chunk: &Chunk, validator: &dyn ContentValidator) -> Received {
        self.counters.chunks += 1;
        if let Err(field) = check_bounds(chunk) {
            return self.invalid_field(field);
        }
        let TransferId { base, target, .. } = chunk.transfer;
        if let Some(conflict) = self.find_conflict(target) {
            return Received::Invalid(MessageError::Conflict(conflict));
        }
        if target.number <= self.newest().version.number {
            self.counters.outdated += 1;
            // The sender does not know where this server stands.
            self.ack_urgent = true;
            return Received::Outdated;
        }
        if let Some(cause) = self.version_log.rejection_cause(target) {
            self.ack_urgent = true;
            return Received::Invalid(MessageError::Rejected { number: target.number, cause });
        }
        if base.is_some_and(|base| self.base_content(base).is_none()) {
            return self.gap();
        }
        match self.partial_bodies.extend(chunk) {
            Extended::Gap => self.gap(),
            Extended::Incomplete => Received::Incomplete,
            Extended::Complete(body) => self.stage(chunk.transfer, &body, validator),
        }
    }

    fn invalid_field(&mut self, field: &'static str) -> Received {
        self.counters.invalid += 1;
        Received::Invalid(MessageError::InvalidField(field))
    }

    fn gap(&mut self) -> Received {
        self.counters.gaps += 1;
        self.ack_urgent = true;
        Received::Gap
    }

    /// Records and returns the conflict where another content is known under this number.
    fn find_conflict(&mut self, version: VersionId) -> Option<Conflict> {
        let conflict = self.version_log.record_conflict(version)?;
        self.counters.conflicts += 1;
        self.ack_urgent = true;
        Some(conflict)
    }

    fn record_rejection(&mut self, version: VersionId, cause: String) -> Received {
        let cause = self.version_log.record_rejection(version, cause);
        self.counters.rejected += 1;
        self.ack_urgent = true;
        Received::Invalid(MessageError::Rejected { number: version.number, cause })
    }

    /// The content to which a change may be applied: the active or the staged one.
    fn base_content(&self, base: VersionId) -> Option<&Content> {
        let candidates = [Some(&self.active), self.staged.as_ref()];
        candidates.into_iter().flatten().find(|held| held.version == base).map(|held| &*held.content)
    }

    /// Decodes and checks a complete body, and stages its content.
    fn stage(&mut self, transfer: TransferId, body: &[u8], validator: &dyn ContentValidator) -> Received {
        let version = transfer.target;
        self.ack_urgent = true;
        let Some(content) = self.decode(transfer.base, body) else {
            self.counters.undecodable += 1;
            return Received::Invalid(MessageError::Undecodable(version.number));
        };
        if self.seal.digest(version.number, &content) != version.digest {
            self.counters.wrong_digests += 1;
            return Received::Invalid(MessageError::WrongDigest(version.number));
        }
        // Its digest is right, so another content under this number is a conflict from here on, even if this one is rejected.
        self.version_log.record_digest(version);
        if let Err(error) = validator.validate(&content) {
            return self.record_rejection(version, error.to_string());
        }
        self.staged = Some(VersionedContent { version, content: Arc::new(content) });
        self.partial_bodies.drop_up_to(version.number);
        Received::Staged(version)
    }

    fn decode(&self, base: Option<VersionId>, body: &[u8]) -> Option<Content> {
        match base {
            None => postcard::from_bytes::<Content>(body).ok().filter(|content| content.check().is_ok()),
            Some(base) => {
                let change = postcard::from_bytes::<Change>(body).ok()?;
                self.base_content(base)?.after(&change).ok()
            }
        }
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

/// Names the field of a chunk that can't be true.
fn check_bounds(chunk: &Chunk) -> Result<(), &'static str> {
    let (total, offset) = (chunk.transfer.total_bytes as usize, chunk.offset as usize);
    if total == 0 || total > MAX_BODY_BYTES {
        return Err("a body's length");
    }
    let end = offset.checked_add(chunk.bytes.len());
    if chunk.bytes.is_empty() || end.is_none_or(|end| end > total) {
        return Err("a place in its body");
    }
    if chunk.transfer.base.is_some_and(|base| base.number >= chunk.transfer.target.number) {
        return Err("a change that leads back");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
