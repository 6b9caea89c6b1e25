//! State of a server's drain, from the request to shut down to the decision to drain.

use super::{DrainSlot, DrainState};
use crate::sent_times::SentTimes;
use crate::Epoch;

/// Maximum number of reports whose send times are kept.
const MAX_PENDING_REPORTS: usize = 32;

/// Whether a server that was asked to shut down may drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainDecision {
    /// The server waits for its slot.
    Wait,
    /// The server drains with a slot that was assigned under this epoch.
    WithSlot(Epoch),
    /// The server drains without a slot, since its wait has timed out.
    WithoutSlot,
}

/// Limits on the wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTiming {
    /// Longest wait for a slot, s.
    pub max_wait: f64,
    /// Time at which the process will be killed, s by the server's clock.
    pub killed_at: f64,
    /// Duration of the drain, s, which must end before the kill.
    pub drain_duration: f64,
}

/// The number and state of a report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateReport {
    /// The report's number.
    pub number: u64,
    /// The server's drain state.
    pub state: DrainState,
}

/// A server that was asked to shut down.
#[derive(Clone, Debug)]
pub struct DrainingServer {
    /// Latest time to start to drain.
    deadline: f64,
    reports: SentTimes,
    decision: DrainDecision,
}

impl DrainingServer {
    /// Creates the state of a server that was asked to shut down at `now` (s), after it sent `reports` reports.
    pub fn new(now: f64, timing: DrainTiming, reports: u64) -> DrainingServer {
        let latest_start = timing.killed_at - timing.drain_duration;
        DrainingServer {
            deadline: (now + timing.max_wait).min(latest_start).max(now),
            reports: SentTimes::new(reports, MAX_PENDING_REPORTS),
            decision: DrainDecision::Wait,
        }
    }

    /// Returns the report to send at `now` (s).
    pub fn next_report(&mut self, now: f64) -> StateReport {
        let state =
            if self.decision == DrainDecision::Wait { DrainState::Waiting } else { DrainState::Draining };
        StateReport { number: self.reports.record(now), state }
    }

    /// Accepts a slot. One that answers no report of this incarnation, or arrives too late, is ignored.
    pub fn accept(&mut self, now: f64, slot: &DrainSlot) {
        let in_time = |sent_at: f64| slot.start_within.is_finite() && now - sent_at < slot.start_within;
        let usable = self.reports.sent_at(slot.report_number).is_some_and(in_time);
        if self.decision == DrainDecision::Wait && usable {
            self.decision = DrainDecision::WithSlot(slot.epoch);
        }
    }

    /// Returns the decision at `now` (s). It is final once it is no longer [`DrainDecision::Wait`].
    pub fn decide(&mut self, now: f64) -> DrainDecision {
        if self.decision == DrainDecision::Wait && now >= self.deadline {
            self.decision = DrainDecision::WithoutSlot;
        }
        self.decision
    }
}
