//! One request from its arrival until nothing of it is left on this server.

use crate::Request;

/// Where a request stands.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for a run slot.
    #[default]
    Queued,
    /// On the cores.
    Running,
    /// Reached its downstream call and waits for leave to make it.
    AwaitingCall,
    /// Its downstream call is open.
    Calling,
    /// Waits for the result of an earlier attempt.
    Replaying,
}

/// A request in flight. Times are on the host's clock.
#[derive(Default)]
pub(super) struct InFlight {
    /// As the host handed it in.
    pub input: Request,
    /// When it reached the machine, unread time counted.
    pub arrived: f64,
    /// Seconds from arrival within which an answer is on time.
    pub objective: f64,
    /// When it has to be answered.
    pub deadline: f64,
    /// Its cost hint over the mean hint of its class; 1 without one.
    pub relative_hint: f64,
    /// Until when its idempotency key is remembered.
    pub key_expires_at: Option<f64>,
    /// Where it stands.
    pub stage: Stage,
    /// Its answer is out, or nobody waits for one; the run goes on to its end.
    pub answered: bool,
    /// When its run began, moved on by the time it spent at calls.
    pub run_started_at: f64,
    /// When it reached its downstream call.
    pub call_reached_at: f64,
    /// Calls that failed.
    pub failed_calls: u8,
    /// When its call may be made, or made again.
    pub next_call_at: f64,
    /// It went on to a degraded answer.
    pub call_skipped: bool,
    /// Whether it was beyond its tenant's quota on arrival.
    pub over_quota: bool,
}

impl InFlight {
    /// Goes on after the call that it reached, or without it. The time at the call is no run time.
    pub fn resume(&mut self, now: f64) {
        self.run_started_at = self.run_started_at + now - self.call_reached_at;
        self.stage = Stage::Running;
    }
}
