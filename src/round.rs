//! What the host tells the policy, once a round.

use crate::{Outcome, Request};

/// The end of a run or of a downstream call.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The request that ran or called.
    pub id: u32,
    /// How it came out.
    pub outcome: Outcome,
    /// How long it took, in seconds.
    pub duration: f64,
}

/// What the machine measures when a tick fires; absent where it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores busy, over a short while.
    pub busy: Option<f64>,
    /// Threads that want a core now, running or not.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub sockets: Option<f64>,
}

/// All that happened since the last round; the policy reads the fields in the order in which they stand here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Round<'a> {
    /// The host's clock, in seconds.
    pub now: f64,
    /// Downstream calls that ended.
    pub finished_calls: &'a [Completion],
    /// Running requests that have reached their downstream call and wait for leave to make it.
    pub awaiting_call: &'a [u32],
    /// Runs that ended.
    pub finished_runs: &'a [Completion],
    /// Requests whose callers gave them up.
    pub abandoned: &'a [u32],
    /// Requests that were read.
    pub arrivals: &'a [Request],
    /// Notice to drain: when the process will be killed, on the host's clock.
    pub drain_deadline: Option<f64>,
    /// The gauges, if the tick that the policy scheduled is due.
    pub tick: Option<Gauges>,
}

/// A [`Round`] as it is gathered, for hosts that learn of events one by one.
#[derive(Debug, Default)]
pub struct RoundInput {
    /// Downstream calls that ended.
    pub finished_calls: Vec<Completion>,
    /// Running requests that have reached their downstream call and wait for leave to make it.
    pub awaiting_call: Vec<u32>,
    /// Runs that ended.
    pub finished_runs: Vec<Completion>,
    /// Requests whose callers gave them up.
    pub abandoned: Vec<u32>,
    /// Requests that were read.
    pub arrivals: Vec<Request>,
    /// Notice to drain: when the process will be killed, on the host's clock.
    pub drain_deadline: Option<f64>,
    /// The gauges, if the tick that the policy scheduled is due.
    pub tick: Option<Gauges>,
}

impl RoundInput {
    /// All of it as one round at `now`. A request that arrived and was abandoned meanwhile needs no decision
    /// and is left out.
    pub fn round(&mut self, now: f64) -> Round<'_> {
        let abandoned = &self.abandoned;
        if !abandoned.is_empty() {
            self.arrivals.retain(|request| !abandoned.contains(&request.id));
        }
        Round {
            now,
            finished_calls: &self.finished_calls,
            awaiting_call: &self.awaiting_call,
            finished_runs: &self.finished_runs,
            abandoned: &self.abandoned,
            arrivals: &self.arrivals,
            drain_deadline: self.drain_deadline,
            tick: self.tick,
        }
    }

    /// Empties it for the next round and keeps the allocations.
    pub fn clear(&mut self) {
        self.finished_calls.clear();
        self.awaiting_call.clear();
        self.finished_runs.clear();
        self.abandoned.clear();
        self.arrivals.clear();
        self.drain_deadline = None;
        self.tick = None;
    }
}
