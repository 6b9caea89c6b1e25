//! Rounds of the policy: collects the input of the next round and runs it.

use super::decisions::{mark_answered, DecisionHandler};
use super::published::PublishedState;
use crate::state::ended_attempts::EndedAttempts;
use crate::state::idempotency::{IdempotencyKeys, KeyLookup};
use crate::state::in_flight::InFlightRequests;
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::state::request_log::RequestLog;
use puffinladder::{AdmissionPolicy, Gauges, Request, RoundInput};
use std::sync::Arc;

/// Seconds after which an answered request is failed if its outcome may have been in a lost notice, or its launch may
/// have been lost. A run that is still active by then exceeds the run limit by one until it ends.
const LOST_RUN_TIMEOUT_SECONDS: f64 = 5.0;

/// Result of submitting a request to the policy.
pub enum SubmitOutcome {
    /// The request is in flight under this id.
    Accepted(u32),
    /// A request in flight has the same attempt id. Its end is announced in the mailbox; the policy does not
    /// know of the waiting request.
    AwaitingAttemptId,
    /// A request in flight has the same attempt id, and another request already waits for its end; or a run under this
    /// attempt id has ended and may not begin again.
    DuplicateAttempt,
    /// A request with different content holds the idempotency key. Its release is announced in the mailbox;
    /// the policy does not know of the waiting request.
    AwaitingKey,
    /// A request with different content ran under the same idempotency key.
    KeyConflict,
    /// The key table is full. Without an entry a retry could run a second time, so the request must not run.
    KeyTableFull,
}

/// Intervals and timeouts of a dispatcher cycle, s.
#[derive(Clone, Copy, Debug)]
pub struct CycleTimes {
    /// Interval between two housekeeping runs.
    pub housekeeping_interval: f64,
    /// Longest time that a tick waits for gauges.
    pub gauge_timeout: f64,
}

/// Policy, input of its next round, and requests in flight.
pub(super) struct Rounds {
    policy: AdmissionPolicy,
    pub(super) in_flight: InFlightRequests,
    pub(super) keys: IdempotencyKeys,
    /// Attempts that ran and may not run again.
    pub(super) ended_attempts: EndedAttempts,
    /// Input since the last round.
    pub(super) input: RoundInput,
    /// Time at which each request in `input.arrivals` reached the machine, s.
    arrival_times: Vec<f64>,
    pub(super) has_input: bool,
    /// Time of the next tick that the policy requested, s.
    pub(super) tick_at: f64,
    gauge_poll: GaugePoll,
    /// Idle time allowed to gateway connections, s.
    pub(super) keepalive: f64,
    /// Time of the next housekeeping run, s.
    pub(super) housekeeping_at: f64,
}

/// Poll of the agent's gauges for the next tick.
#[derive(Default)]
struct GaugePoll {
    /// Tag of the unanswered poll.
    pending: Option<u64>,
    answer: Option<Gauges>,
}

impl Rounds {
    /// Returns a state without requests or input.
    pub(super) fn new(
        policy: AdmissionPolicy,
        keys: IdempotencyKeys,
        ended_attempts: EndedAttempts,
        keepalive: f64,
    ) -> Rounds {
        Rounds {
            policy,
            in_flight: InFlightRequests::default(),
            keys,
            ended_attempts,
            input: RoundInput::default(),
            arrival_times: Vec::new(),
            has_input: false,
            tick_at: f64::MAX,
            gauge_poll: GaugePoll::default(),
            keepalive,
            housekeeping_at: 0.0,
        }
    }

    /// Adds a request to the next round, unless its attempt id or idempotency key is in use.
    pub(super) fn submit(
        &mut self,
        received: &ReceivedRequest,
        arrived: f64,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> SubmitOutcome {
        if self.ended_attempts.contains(&received.attempt) {
            return SubmitOutcome::DuplicateAttempt;
        }
        let ReceivedRequest { attempt, key, may_repeat_attempt, .. } = *received;
        let Some(id) = self.in_flight.insert(attempt, key, may_repeat_attempt, mailbox.clone()) else {
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
        self.arrival_times.push(arrived);
        self.has_input = true;
        SubmitOutcome::Accepted(id)
    }

    /// Queues a request behind the one in flight under the same attempt id. One of the
    /// two may be forged; the agent refuses that one.
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

    /// Handles a request that could not acquire its key.
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

    /// Fails requests whose outcome was in a lost notice or whose launch was lost, so that they do not hold memory
    /// forever. The run may have taken effect, so the key stays in use.
    pub(super) fn fail_lost_runs(&mut self, now: f64) {
        let lost = self.in_flight.take_lost_runs(now, LOST_RUN_TIMEOUT_SECONDS);
        if !lost.is_empty() {
            tracing::warn!(
                "agent: outcomes of {} runs were lost with missing notices or launches; their run slots are released",
                lost.len()
            );
        }
        lost.iter().for_each(|mailbox| mailbox.send(Event::OutcomeLost));
    }

    /// Removes a request whose run has ended, or that never ran, and frees its attempt id.
    pub(super) fn remove_ended(&mut self, now: f64, id: u32, ran: bool) {
        let Some(request) = self.in_flight.remove(id) else { return };
        if ran && request.running && !request.may_repeat_attempt {
            self.ended_attempts.insert(request.attempt, now);
        }
        request.notify_duplicate(ran);
    }

    /// Stores the answer to a gauge poll. Returns whether a tick is waiting for it.
    pub(super) fn receive_gauges(&mut self, tag: u64, gauges: Gauges) -> bool {
        let awaited = self.gauge_poll.pending == Some(tag);
        if awaited {
            self.gauge_poll.answer = Some(gauges);
        }
        awaited
    }

    /// Returns the gauges of the tick if it can run now. A tick that is due polls the agent first; after
    /// `gauge_timeout` it runs with empty gauges.
    pub(super) fn next_tick(
        &mut self,
        now: f64,
        gauge_timeout: f64,
        poll: impl FnOnce() -> u64,
    ) -> Option<Gauges> {
        let due = now >= self.tick_at;
        if self.gauge_poll.pending.is_none() {
            if due {
                self.gauge_poll.pending = Some(poll());
                self.tick_at = now + gauge_timeout;
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

    /// Runs the policy on the collected input.
    pub(super) fn run(
        &mut self,
        now: f64,
        tick: Option<Gauges>,
        published: &PublishedState,
        log: &RequestLog,
    ) {
        let Rounds { policy, in_flight, keys, input, arrival_times, tick_at, keepalive, .. } = self;
        for (request, arrived) in input.arrivals.iter_mut().zip(arrival_times.drain(..)) {
            request.time_unread = (now - arrived).max(0.0);
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
