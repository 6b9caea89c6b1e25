//! The rounds of the policy: what has come in for the next one, and what they decide on.

use super::decisions::{mark_answered, DecisionHandler};
use super::published::PublishedState;
use crate::runtime::clock;
use crate::state::idempotency::{IdempotencyKeys, KeyLookup};
use crate::state::in_flight::InFlightRequests;
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::state::request_log::RequestLog;
use puffinladder::{AdmissionPolicy, Gauges, Request, RoundInput};
use std::sync::Arc;

/// Seconds for which a request that was answered keeps its place after notices were missed that may have told the end of its run.
/// A run that still goes on then costs no more than a place that is given twice until it ends.
const LOST_RUN_TIMEOUT_SECONDS: f64 = 5.0;

/// What becomes of a request that is offered to the policy.
pub enum SubmitOutcome {
    /// It is in flight under this number.
    Accepted(u32),
    /// A request in flight has its attempt id; it waits at its mailbox, unknown to the policy, for that one's end.
    AwaitingAttemptId,
    /// A request in flight has its attempt id, and another waits for that already.
    DuplicateAttempt,
    /// A request of other content holds its key; it waits at its mailbox, unknown to the policy.
    AwaitingKey,
    /// A request of other content ran under its key.
    KeyConflict,
    /// There is no room for its key: a retry could run, so this one must not.
    KeyTableFull,
}

/// The times of a cycle, s.
#[derive(Clone, Copy, Debug)]
pub struct CycleTimes {
    /// Between two housekeepings.
    pub housekeeping_interval: f64,
    /// How long a tick waits for its gauges.
    pub gauge_timeout: f64,
}

/// The policy, its input and the requests in flight.
pub(super) struct Rounds {
    policy: AdmissionPolicy,
    /// The requests in flight.
    pub(super) in_flight: InFlightRequests,
    /// The idempotency keys.
    pub(super) keys: IdempotencyKeys,
    /// What has come in since the last round.
    pub(super) input: RoundInput,
    /// When each of the arrivals came to the machine, s of the Unix clock.
    arrival_timestamps: Vec<f64>,
    /// There is input for a round.
    pub(super) has_input: bool,
    /// When the policy wants its next tick.
    pub(super) tick_at: f64,
    gauge_poll: GaugePoll,
    /// How long gateways may keep an unused connection, s.
    pub(super) keepalive: f64,
    /// When the next housekeeping is due.
    pub(super) housekeeping_at: f64,
}

/// The poll of the agent's gauges for the next tick.
#[derive(Default)]
struct GaugePoll {
    /// The poll that is out.
    pending: Option<u64>,
    answer: Option<Gauges>,
    last_tag: u64,
}

impl Rounds {
    /// No requests yet, and nothing to decide.
    pub(super) fn new(policy: AdmissionPolicy, keys: IdempotencyKeys, keepalive: f64) -> Rounds {
        Rounds {
            policy,
            in_flight: InFlightRequests::default(),
            keys,
            input: RoundInput::default(),
            arrival_timestamps: Vec::new(),
            has_input: false,
            tick_at: f64::MAX,
            gauge_poll: GaugePoll::default(),
            keepalive,
            housekeeping_at: 0.0,
        }
    }

    /// Enters a request for the next round, if its attempt id and its key allow it.
    pub(super) fn submit(
        &mut self,
        received: &ReceivedRequest,
        arrived: f64,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> SubmitOutcome {
        let Some(id) = self.in_flight.insert(received.attempt, received.key, mailbox.clone()) else {
            return self.await_attempt_id(received, mailbox, deadline);
        };
        let lookup = received
            .key
            .map_or(KeyLookup::Acquired, |key| self.keys.acquire(key, received.digest, id, arrived));
        let earlier_attempt = match lookup {
            KeyLookup::Acquired => 0,
            KeyLookup::SameRequest(earlier_attempt) => earlier_attempt,
            unavailable => {
                self.in_flight.remove(id);
                return self.reject_lookup(unavailable, received, mailbox, deadline);
            }
        };
        self.input.arrivals.push(Request { id, earlier_attempt, ..received.request });
        self.arrival_timestamps.push(received.timestamp);
        self.has_input = true;
        SubmitOutcome::Accepted(id)
    }

    /// The offer of a request whose attempt id is in flight. The agent refuses whichever of the two was made up.
    fn await_attempt_id(
        &mut self,
        received: &ReceivedRequest,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> SubmitOutcome {
        if !self.in_flight.await_end(&received.attempt, mailbox) {
            return SubmitOutcome::DuplicateAttempt;
        }
        self.keys.add_contender(deadline, mailbox);
        SubmitOutcome::AwaitingAttemptId
    }

    /// The offer of a request whose key another request holds.
    fn reject_lookup(
        &mut self,
        lookup: KeyLookup,
        received: &ReceivedRequest,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> SubmitOutcome {
        match (lookup, &received.key) {
            (KeyLookup::Contended, Some(key)) => {
                self.keys.await_key(key, received.digest, mailbox, deadline);
                SubmitOutcome::AwaitingKey
            }
            (KeyLookup::Conflict, _) => SubmitOutcome::KeyConflict,
            _ => SubmitOutcome::KeyTableFull,
        }
    }

    /// Ends requests whose run has ended unheard: its outcome never comes, and the place that it holds would be gone for good. The run
    /// may have had its effect, so that its key stays used.
    pub(super) fn fail_lost_runs(&mut self, now: f64) {
        let lost = self.in_flight.take_lost_runs(now, LOST_RUN_TIMEOUT_SECONDS);
        if !lost.is_empty() {
            tracing::warn!(
                "agent: {} runs ended in notices that are missing: their places are free",
                lost.len()
            );
        }
        lost.iter().for_each(|mailbox| mailbox.send(Event::OutcomeLost));
    }

    /// Takes the answer to a poll of the gauges; whether it was waited for.
    pub(super) fn receive_gauges(&mut self, tag: u64, gauges: Gauges) -> bool {
        let awaited = self.gauge_poll.pending == Some(tag);
        if awaited {
            self.gauge_poll.answer = Some(gauges);
        }
        awaited
    }

    /// The gauges of a tick that is due; before it they are polled. A tick comes on time, with no gauges if the agent does
    /// not answer.
    pub(super) fn next_tick(
        &mut self,
        now: f64,
        gauge_timeout: f64,
        poll: impl FnOnce(u64),
    ) -> Option<Gauges> {
        let due = now >= self.tick_at;
        if self.gauge_poll.pending.is_none() {
            if due {
                self.gauge_poll.last_tag += 1;
                self.gauge_poll.pending = Some(self.gauge_poll.last_tag);
                self.tick_at = now + gauge_timeout;
                poll(self.gauge_poll.last_tag);
            }
            return None;
        }
        if self.gauge_poll.answer.is_none() && !due {
            return None;
        }
        self.gauge_poll.pending = None;
        self.tick_at = f64::MAX;
        Some(self.gauge_poll.answer.take().unwrap_or_default())
    }

    /// Runs the policy on what has come in.
    pub(super) fn run(
        &mut self,
        now: f64,
        tick: Option<Gauges>,
        published: &PublishedState,
        log: &RequestLog,
    ) {
        let Rounds { policy, in_flight, keys, input, arrival_timestamps, tick_at, keepalive, .. } = self;
        for (request, timestamp) in input.arrivals.iter_mut().zip(arrival_timestamps.drain(..)) {
            request.time_unread = clock::seconds_since(timestamp);
        }
        input.tick = tick;
        let mut handler = DecisionHandler { published, log, in_flight, keys, now, tick_at, keepalive };
        policy.decide(&input.round(now), &mut handler);
        for &id in &input.abandoned {
            mark_answered(in_flight, keys, id, now);
        }
        input.clear();
        self.has_input = false;
    }
}
