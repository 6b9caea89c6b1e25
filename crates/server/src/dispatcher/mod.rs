//! Owns the admission policy: gathers what happens into rounds, runs the policy on them, carries out its decisions and
//! wakes the requests that they concern.

pub mod cycle;
mod decisions;

use crate::runtime::clock;
use crate::runtime::lock::lock;
use crate::state::idempotency::{IdempotencyKeys, KeyLookup};
use crate::state::identifiers::{AttemptId, ContentDigest, IdempotencyKey};
use crate::state::in_flight::InFlightRequests;
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::state::request_log::RequestLog;
use decisions::{end_unrun, DecisionWriter};
use may::coroutine::{self, Coroutine};
use puffinladder::{AdmissionPolicy, Completion, Gauges, Outcome, Request, RoundInput};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

/// The admission policy, and all that it decides with and on.
pub struct Dispatcher {
    state: Mutex<State>,
    /// The coroutine that runs the rounds.
    worker: OnceLock<Coroutine>,
    healthy: AtomicBool,
    /// The load signal's field as it goes out, `v=0.5`.
    load_signal: Mutex<Vec<u8>>,
    /// When the process is killed, after a notice to drain.
    kill_time: OnceLock<f64>,
    /// Where requests and decisions are recorded.
    pub log: RequestLog,
}

/// What becomes of a request that is offered to the policy.
pub enum Offer {
    /// It is in flight under this number.
    Accepted(u32),
    /// Its attempt id is in flight already.
    DuplicateAttempt,
    /// A request of other content holds its key; it waits at its mailbox, unknown to the policy.
    KeyContended,
    /// A request of other content ran under its key.
    KeyConflict,
    /// There is no room for its key: a retry could run, so this one must not.
    KeysFull,
}

struct State {
    policy: AdmissionPolicy,
    in_flight: InFlightRequests,
    keys: IdempotencyKeys,
    input: RoundInput,
    /// When each of the arrivals came to the machine, s of the Unix clock.
    arrival_timestamps: Vec<f64>,
    /// There is input for a round.
    has_input: bool,
    /// When the policy wants its next tick.
    tick_at: f64,
    gauge_poll: GaugePoll,
    /// How long gateways may keep an unused connection, s.
    keepalive: f64,
    /// When the next housekeeping is due.
    housekeeping_at: f64,
}

/// The poll of the agent's gauges for the next tick.
#[derive(Default)]
struct GaugePoll {
    /// The poll that is out.
    pending: Option<u64>,
    answer: Option<Gauges>,
    last_tag: u64,
}

impl Dispatcher {
    /// A dispatcher for this policy; connections may lie unused for `keepalive` seconds until it says otherwise.
    pub fn new(
        policy: AdmissionPolicy,
        keys: IdempotencyKeys,
        keepalive: f64,
        log: RequestLog,
    ) -> Dispatcher {
        let state = State {
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
        };
        Dispatcher {
            state: Mutex::new(state),
            worker: OnceLock::new(),
            healthy: AtomicBool::new(true),
            load_signal: Mutex::default(),
            kill_time: OnceLock::new(),
            log,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Makes the calling coroutine the one that runs the rounds.
    fn set_worker(&self) {
        self.worker.get_or_init(coroutine::current);
    }

    /// Wakes the coroutine that runs the rounds.
    pub fn wake(&self) {
        if let Some(worker) = self.worker.get() {
            worker.unpark();
        }
    }

    /// Enters input for the next round.
    fn add_input(&self, add: impl FnOnce(&mut State)) {
        let mut state = self.state();
        add(&mut state);
        state.has_input = true;
        drop(state);
        self.wake();
    }

    /// Offers a request to the policy. For a key that a request of other content holds it waits till `deadline` at
    /// the most.
    pub fn offer(
        &self,
        received: &ReceivedRequest,
        arrived: f64,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> Offer {
        let mut state = self.state();
        let Some(id) = state.in_flight.insert(received.attempt, received.key, mailbox.clone()) else {
            return Offer::DuplicateAttempt;
        };
        let lookup = received
            .key
            .map_or(KeyLookup::Acquired, |key| state.keys.acquire(key, received.digest, id, arrived));
        let earlier_attempt = match lookup {
            KeyLookup::Acquired => Ok(0),
            KeyLookup::SameRequest(earlier_attempt) => Ok(earlier_attempt),
            KeyLookup::Contended => Err(Offer::KeyContended),
            KeyLookup::Conflict => Err(Offer::KeyConflict),
            KeyLookup::Full => Err(Offer::KeysFull),
        };
        let earlier_attempt = match earlier_attempt {
            Ok(earlier_attempt) => earlier_attempt,
            Err(offer) => {
                state.in_flight.remove(id);
                if let (Offer::KeyContended, Some(key)) = (&offer, &received.key) {
                    state.keys.contend(key, received.digest, mailbox, deadline);
                }
                return offer;
            }
        };
        state.input.arrivals.push(Request { id, earlier_attempt, ..received.request });
        state.arrival_timestamps.push(received.timestamp);
        state.has_input = true;
        drop(state);
        self.wake();
        Offer::Accepted(id)
    }

    /// A run waits at a downstream call.
    pub fn report_call_wanted(&self, id: u32) {
        self.add_input(|state| state.input.awaiting_call.push(id));
    }

    /// A downstream call has ended.
    pub fn report_call_finished(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|state| state.input.finished_calls.push(Completion { id, outcome, duration }));
    }

    /// A request is over; its attempt id is free from now on, whenever the policy gets to hear of it.
    pub fn report_ended(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|state| {
            state.in_flight.remove(id);
            state.input.finished_runs.push(Completion { id, outcome, duration });
        });
    }

    /// Nobody waits for this request's answer any more.
    pub fn report_cancelled(&self, id: u32) {
        self.add_input(|state| state.input.abandoned.push(id));
    }

    /// Starts the drain: the process is killed at `kill_time`.
    pub fn start_drain(&self, kill_time: f64, now: f64) {
        self.kill_time.get_or_init(|| kill_time);
        self.log.record_drain(now, kill_time);
        self.add_input(|state| state.input.drain_deadline = Some(kill_time));
    }

    /// When the process is killed, if it drains.
    pub fn kill_time(&self) -> Option<f64> {
        self.kill_time.get().copied()
    }

    /// A run under this key has ended, with a result or without.
    pub fn finish_key(&self, key: Option<&IdempotencyKey>, id: u32, result: Option<&Arc<Vec<u8>>>) {
        if let Some(key) = key {
            self.state().keys.finish(key, id, result.cloned());
        }
    }

    /// A request that held this key never ran.
    pub fn release_key(&self, key: Option<&IdempotencyKey>, id: u32) {
        if let Some(key) = key {
            self.state().keys.release(key, id);
        }
    }

    /// Sends `mailbox` the result of the attempt that holds this key, as soon as there is one.
    pub fn await_result(&self, key: &IdempotencyKey, digest: ContentDigest, mailbox: &Arc<Mailbox>) {
        self.state().keys.await_result(key, digest, mailbox);
    }

    /// Where the request of this attempt id waits for events.
    pub fn mailbox_of(&self, attempt: &AttemptId) -> Option<Arc<Mailbox>> {
        self.state().in_flight.mailbox_of(attempt).cloned()
    }

    /// The agent's link is back: all in flight repeat what the agent may have missed.
    pub fn resume_all(&self) {
        self.state().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Resume));
    }

    /// The process ends: what is still in flight closes its log entry.
    pub fn shut_down(&self) {
        self.state().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Shutdown));
    }

    /// Takes the answer to the poll of the gauges of this tag.
    pub fn receive_gauges(&self, tag: u64, gauges: Gauges) {
        self.log.record_gauges(&gauges);
        let mut state = self.state();
        if state.gauge_poll.pending == Some(tag) {
            state.gauge_poll.answer = Some(gauges);
            drop(state);
            self.wake();
        }
    }

    /// The agent is up: runs a round, so that the policy begins.
    pub fn start(&self) {
        self.add_input(|_| {});
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.state().in_flight.running()
    }

    /// What the policy says of this server's health.
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// Appends the load signal's field, if there is one.
    pub fn write_load_signal(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&lock(&self.load_signal));
    }

    /// Runs the policy on what has come in.
    fn run_round(&self, state: &mut State, now: f64, tick: Option<Gauges>) {
        let State { policy, in_flight, keys, input, arrival_timestamps, tick_at, keepalive, .. } = state;
        for (request, timestamp) in input.arrivals.iter_mut().zip(arrival_timestamps.drain(..)) {
            request.time_unread = clock::seconds_since(timestamp);
        }
        input.tick = tick;
        let mut writer = DecisionWriter { dispatcher: self, in_flight, keys, now, tick_at, keepalive };
        policy.decide(&input.round(now), &mut writer);
        for &id in &input.abandoned {
            if in_flight.get_mut(id).is_some_and(|request| !request.running) {
                end_unrun(in_flight, keys, id, Event::Forgotten);
            }
        }
        input.clear();
        state.has_input = false;
    }
}
