//! State of one request in flight.

use crate::Request;

/// Stage of a request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for a run slot.
    #[default]
    Queued,
    /// Holds a run slot.
    Running,
    /// Ran when the connection to its run broke; the next notice will tell whether it goes on.
    InDoubt,
    /// Reached its downstream call and waits for permission to make it.
    AwaitingCall,
    /// Its downstream call is open.
    Calling,
    /// Waits for the result of an earlier attempt.
    Replaying,
}

/// A request in flight. Times are on the host's clock, in seconds.
#[derive(Default)]
pub(super) struct InFlight {
    /// The request as received from the host.
    pub input: Request,
    /// When it reached the machine, before it was read.
    pub arrived: f64,
    /// Time from arrival within which an answer is on time, in seconds.
    pub objective: f64,
    /// When it must be answered.
    pub deadline: f64,
    /// Its cost hint divided by the mean hint of its class; 1 without a hint.
    pub relative_hint: f64,
    /// When its idempotency key expires.
    pub key_expires_at: Option<f64>,
    pub stage: Stage,
    /// Whether its answer was sent or its caller has left; a run continues to its end.
    pub answered: bool,
    /// When its run started, shifted by the time spent at calls.
    pub run_started_at: f64,
    /// When it came into doubt whether its run goes on.
    pub in_doubt_since: f64,
    /// When it reached its downstream call.
    pub call_reached_at: f64,
    /// Number of failed calls.
    pub failed_calls: u8,
    /// Earliest time of its next call attempt.
    pub next_call_at: f64,
    /// Whether it continued without its call, to a degraded answer.
    pub call_skipped: bool,
    /// Whether it exceeded its tenant's quota on arrival.
    pub over_quota: bool,
}

impl InFlight {
    /// Resumes the run after its call or without it. Time at the call does not count as run time.
    pub fn resume(&mut self, now: f64) {
        self.run_started_at = self.run_started_at + now - self.call_reached_at;
        self.stage = Stage::Running;
    }
}
