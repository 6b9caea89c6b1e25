//! A server's side, from the request to shut down on.

use super::{DrainSlot, DrainState};
use crate::sent_times::SentTimes;
use crate::Epoch;

/// Reports whose send times are kept until they are answered.
const MAX_PENDING_REPORTS: usize = 32;

/// How a server that was asked to shut down goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainDecision {
    /// It waits for its slot.
    Wait,
    /// It drains with a slot that was assigned under this epoch.
    WithSlot(Epoch),
    /// It drains without a slot: it has waited as long as it may.
    WithoutSlot,
}

/// How long a server may wait for its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTiming {
    /// Longest wait for a slot, s.
    pub max_wait: f64,
    /// When the process will be killed, s by the server's clock.
    pub killed_at: f64,
    /// How long the drain takes, s: it must end before the kill.
    pub drain_duration: f64,
}

/// The number and state of a report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateReport {
    /// The report's number.
    pub number: u64,
    /// What the server does.
    pub state: DrainState,
}

/// A server that was asked to shut down.
#[derive(Clone, Debug)]
pub struct DrainingServer {
    /// When it drains at the latest.
    deadline: f64,
    reports: SentTimes,
    decision: DrainDecision,
}

impl DrainingServer {
    /// Asked to shut down at `now` (s). `reports` reports have been sent before.
    pub fn new(now: f64, timing: DrainTiming, reports: u64) -> DrainingServer {
        let latest_start = timing.killed_at - timing.drain_duration;
        DrainingServer {
            deadline: (now + timing.max_wait).min(latest_start).max(now),
            reports: SentTimes::new(reports, MAX_PENDING_REPORTS),
            decision: DrainDecision::Wait,
        }
    }

    /// A report that is sent at `now` (s).
    pub fn next_report(&mut self, now: f64) -> StateReport {
        let state =
            if self.decision == DrainDecision::Wait { DrainState::Waiting } else { DrainState::Draining };
        StateReport { number: self.reports.record(now), state }
    }

    /// Takes a slot; ignored if it is not for a report of this incarnation, or too late to start.
    pub fn accept(&mut self, now: f64, slot: &DrainSlot) {
        let in_time = |sent_at: f64| slot.start_within.is_finite() && now - sent_at < slot.start_within;
        let usable = self.reports.sent_at(slot.report_number).is_some_and(in_time);
        if self.decision == DrainDecision::Wait && usable {
            self.decision = DrainDecision::WithSlot(slot.epoch);
        }
    }

    /// How it goes on; to be asked until it no longer waits.
    pub fn decide(&mut self, now: f64) -> DrainDecision {
        if self.decision == DrainDecision::Wait && now >= self.deadline {
            self.decision = DrainDecision::WithoutSlot;
        }
        self.decision
    }
}
