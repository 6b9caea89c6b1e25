//! What the lease holder knows of one server.

use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{Acknowledgement, RejectedVersion};

/// One server, as it last acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Server {
    incarnation: u64,
    /// Of the last acknowledgement.
    sequence: u64,
    pub(super) zone: String,
    /// None until it was heard.
    pub(super) active: Option<VersionId>,
    /// Since when, as heard here.
    active_since: f64,
    pub(super) last_heard: f64,
    /// When it last reported to be healthy; none if it has reported otherwise since.
    last_healthy: Option<f64>,
    pub(super) healthy: bool,
    pub(super) rejected: Option<RejectedVersion>,
    pub(super) save_error: Option<String>,
    /// When a new incarnation was heard, where there was one before.
    pub(super) restarted_at: Option<f64>,
    /// Since when it has lacked the released version.
    pub(super) lagging_since: Option<f64>,
}

impl Server {
    /// A server that there should be.
    pub(super) fn expected(now: f64, zone: &str) -> Server {
        Server {
            incarnation: 0,
            sequence: 0,
            zone: zone.into(),
            active: None,
            active_since: now,
            last_heard: now,
            last_healthy: None,
            healthy: false,
            rejected: None,
            save_error: None,
            restarted_at: None,
            lagging_since: Some(now),
        }
    }

    /// Takes an acknowledgement in, unless it is older than the last one.
    pub(super) fn update(&mut self, now: f64, ack: &Acknowledgement) {
        if (ack.server.incarnation, ack.sequence) <= (self.incarnation, self.sequence) {
            return;
        }
        if self.incarnation > 0 && ack.server.incarnation > self.incarnation {
            self.restarted_at = Some(now);
        }
        (self.incarnation, self.sequence, self.last_heard) = (ack.server.incarnation, ack.sequence, now);
        self.zone.clone_from(&ack.zone);
        if self.active != Some(ack.active) {
            (self.active, self.active_since) = (Some(ack.active), now);
        }
        self.healthy = ack.healthy;
        self.last_healthy = ack.healthy.then_some(now);
        self.rejected.clone_from(&ack.rejected);
        self.save_error.clone_from(&ack.save_error);
    }

    /// Whether it has that version or a later one active, under the digest that the history has for it.
    pub(super) fn has(&self, history: &History, number: u64) -> bool {
        self.active.is_some_and(|active| {
            // A version above the head is of a later history than this replica's.
            let same = history.version_id(active.number).is_none_or(|known| known == active);
            active.number >= number && same
        })
    }

    /// Whether it reported to be healthy once the active version had been active for that time. An earlier report does not count: the
    /// server may have crashed after it.
    pub(super) fn passed_observation(&self, observation_time: f64) -> bool {
        self.last_healthy.is_some_and(|healthy| {
            healthy > self.active_since && healthy - self.active_since >= observation_time
        })
    }
}
