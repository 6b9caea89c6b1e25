//! The lease holder's state of one server.

use crate::digest::VersionId;
use crate::history::History;
use crate::messages::{Acknowledgement, RejectedVersion};

/// The state of one server according to its latest acknowledgement.
#[derive(Clone, Debug)]
pub(super) struct Server {
    incarnation: u64,
    /// Sequence number of the latest acknowledgement.
    sequence: u64,
    pub(super) zone: String,
    /// The active version, or `None` before the first acknowledgement.
    pub(super) active: Option<VersionId>,
    /// Time at which the active version was first acknowledged.
    active_since: f64,
    pub(super) last_heard: f64,
    /// Time of the latest acknowledgement if it reported the server healthy, otherwise `None`.
    last_healthy: Option<f64>,
    pub(super) healthy: bool,
    pub(super) rejected: Option<RejectedVersion>,
    pub(super) save_error: Option<String>,
    /// Time at which a further incarnation first sent an acknowledgement.
    pub(super) restarted_at: Option<f64>,
    /// Time since which the server has lacked the released version.
    pub(super) lagging_since: Option<f64>,
}

impl Server {
    /// Creates the state of a server that has not sent an acknowledgement yet.
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

    /// Processes an acknowledgement, unless it is not newer than the latest one.
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

    /// Returns whether that version or a later one is active, with a digest that does not contradict the history.
    pub(super) fn has(&self, history: &History, number: u64) -> bool {
        self.active.is_some_and(|active| {
            // A version above the head is newer than this replica of the history.
            let same = history.version_id(active.number).is_none_or(|known| known == active);
            active.number >= number && same
        })
    }

    /// Returns whether the server reported itself healthy after the active version had been active for `observation_time` seconds. Earlier
    /// reports do not count, because the server may have crashed after them.
    pub(super) fn passed_observation(&self, observation_time: f64) -> bool {
        self.last_healthy.is_some_and(|healthy| {
            healthy > self.active_since && healthy - self.active_since >= observation_time
        })
    }
}
