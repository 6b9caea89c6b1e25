//! Input of the policy for one round.

use crate::{Outcome, Request};

/// End of a run or of a downstream call.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Id of the request that ran or called.
    pub id: u32,
    /// Outcome of the run or call.
    pub outcome: Outcome,
    /// Duration of the run or call, in seconds.
    pub duration: f64,
}

/// Measurements of the machine at a tick; `None` where it has no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Recent busy fraction of the cores.
    pub busy: Option<f64>,
    /// Number of runnable threads, including the running ones.
    pub runnable: Option<f64>,
    /// Fraction of the memory in use.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub sockets: Option<f64>,
}

/// All events since the last round. The policy processes the fields in the order of declaration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Round<'a> {
    /// The host's clock, in seconds.
    pub now: f64,
    /// Downstream calls that ended.
    pub finished_calls: &'a [Completion],
    /// Running requests of which nothing tells whether they go on, until they reach a call or end: the connection to
    /// what runs them broke.
    pub in_doubt: &'a [u32],
    /// Running requests that have reached their downstream call and wait for permission to make it.
    pub awaiting_call: &'a [u32],
    /// Runs that ended.
    pub finished_runs: &'a [Completion],
    /// Requests abandoned by their callers.
    pub abandoned: &'a [u32],
    /// Requests that were read.
    pub arrivals: &'a [Request],
    /// Notice to drain: when the process will be killed, on the host's clock in seconds.
    pub drain_deadline: Option<f64>,
    /// The gauges, if the scheduled tick is due.
    pub tick: Option<Gauges>,
}

/// Buffers for the events of the next [`Round`], for hosts that receive events one at a time.
#[derive(Debug, Default)]
pub struct RoundInput {
    /// Downstream calls that ended.
    pub finished_calls: Vec<Completion>,
    /// Running requests of which nothing tells whether they go on, until they reach a call or end.
    pub in_doubt: Vec<u32>,
    /// Running requests that have reached their downstream call and wait for permission to make it.
    pub awaiting_call: Vec<u32>,
    /// Runs that ended.
    pub finished_runs: Vec<Completion>,
    /// Requests abandoned by their callers.
    pub abandoned: Vec<u32>,
    /// Requests that were read.
    pub arrivals: Vec<Request>,
    /// Notice to drain: when the process will be killed, on the host's clock in seconds.
    pub drain_deadline: Option<f64>,
    /// The gauges, if the scheduled tick is due.
    pub tick: Option<Gauges>,
}

impl RoundInput {
    /// Returns the buffered events as one round at `now`. Requests that arrived and were abandoned within
    /// the round are left out.
    pub fn round(&mut self, now: f64) -> Round<'_> {
        let abandoned = &self.abandoned;
        if !abandoned.is_empty() {
            self.arrivals.retain(|request| !abandoned.contains(&request.id));
        }
        Round {
            now,
            finished_calls: &self.finished_calls,
            in_doubt: &self.in_doubt,
            awaiting_call: &self.awaiting_call,
            finished_runs: &self.finished_runs,
            abandoned: &self.abandoned,
            arrivals: &self.arrivals,
            drain_deadline: self.drain_deadline,
            tick: self.tick,
        }
    }

    /// Clears the buffers for the next round and keeps their allocations.
    pub fn clear(&mut self) {
        self.finished_calls.clear();
        self.in_doubt.clear();
        self.awaiting_call.clear();
        self.finished_runs.clear();
        self.abandoned.clear();
        self.arrivals.clear();
        self.drain_deadline = None;
        self.tick = None;
    }
}
