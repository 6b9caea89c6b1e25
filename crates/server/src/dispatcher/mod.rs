//! Owns the admission policy: collects its input into rounds, runs them, carries out the decisions and wakes
//! the requests concerned.

mod decisions;
mod published;
mod rounds;

use crate::runtime::clock;
use crate::runtime::lock::lock;
use crate::state::ended_attempts::EndedAttempts;
use crate::state::idempotency::IdempotencyKeys;
use crate::state::identifiers::{AttemptId, ContentDigest, IdempotencyKey};
use crate::state::mailbox::{Event, Mailbox};
use crate::state::received_request::ReceivedRequest;
use crate::state::request_log::RequestLog;
use may::coroutine::{self, Coroutine};
use published::PublishedState;
use puffinladder::{AdmissionPolicy, Completion, Gauges, Outcome};
use rounds::Rounds;
pub use rounds::{CycleTimes, SubmitOutcome};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

/// Seconds before its deadline, or the end of a drain, at which a request that waits for a key or attempt id
/// is rejected: one housekeeping interval and the time to send a response.
pub const CONTENTION_MARGIN_SECONDS: f64 = 0.2;

/// Admission policy with its input and state. Shared by all requests.
pub struct Dispatcher {
    rounds: Mutex<Rounds>,
    /// Coroutine that runs the rounds.
    worker: OnceLock<Coroutine>,
    published: PublishedState,
    /// Time at which a draining process is killed, s.
    kill_time: OnceLock<f64>,
    /// Log of requests and decisions.
    pub log: RequestLog,
}

/// Callbacks of a dispatcher cycle into the rest of the server.
pub trait CycleHooks {
    /// Closes idle connections and handles timeouts and retries. `keepalive` is the idle time allowed to
    /// gateways, s.
    fn run_housekeeping(&self, now: f64, keepalive: f64);
    /// Polls the agent for its gauges. Returns the tag of the answer.
    fn poll_gauges(&self) -> u64;
    /// Schedules the next cycle in `delay` seconds at the latest.
    fn set_alarm(&self, delay: f64);
}

impl Dispatcher {
    /// Returns a dispatcher for `policy`. `keepalive` is the idle time allowed to gateways until the policy
    /// sets it, s.
    pub fn new(
        policy: AdmissionPolicy,
        keys: IdempotencyKeys,
        ended_attempts: EndedAttempts,
        keepalive: f64,
        log: RequestLog,
    ) -> Dispatcher {
        Dispatcher {
            rounds: Mutex::new(Rounds::new(policy, keys, ended_attempts, keepalive)),
            worker: OnceLock::new(),
            published: PublishedState::default(),
            kill_time: OnceLock::new(),
            log,
        }
    }

    fn rounds(&self) -> MutexGuard<'_, Rounds> {
        lock(&self.rounds)
    }

    /// Registers the calling coroutine as the one that runs the rounds.
    pub fn set_worker(&self) {
        self.worker.get_or_init(coroutine::current);
    }

    /// Wakes the coroutine that runs the rounds.
    pub fn wake(&self) {
        if let Some(worker) = self.worker.get() {
            worker.unpark();
        }
    }

    /// Adds input for the next round and wakes the worker.
    fn add_input(&self, add: impl FnOnce(&mut Rounds)) {
        let mut rounds = self.rounds();
        add(&mut rounds);
        rounds.has_input = true;
        drop(rounds);
        self.wake();
    }

    /// Submits a request to the policy. A request that has to wait for its key or attempt id is rejected
    /// after `deadline` (s); `arrived` is when it reached the machine, s.
    pub fn submit(
        &self,
        received: &ReceivedRequest,
        arrived: f64,
        mailbox: &Arc<Mailbox>,
        deadline: f64,
    ) -> SubmitOutcome {
        let mut rounds = self.rounds();
        let outcome = rounds.submit(received, arrived, mailbox, deadline);
        drop(rounds);
        if let SubmitOutcome::Accepted(_) = outcome {
            self.wake();
        }
        outcome
    }

    /// Reports that a run waits for permission to make a downstream call.
    pub fn report_call_pending(&self, id: u32) {
        self.add_input(|rounds| rounds.input.awaiting_call.push(id));
    }

    /// Reports that nothing tells whether a run goes on, until the next notice on it. `may_never_end` is whether it may
    /// not have started, so that no notice will come.
    pub fn report_in_doubt(&self, id: u32, may_never_end: bool) {
        self.add_input(|rounds| {
            if may_never_end {
                rounds.in_flight.mark_outcome_uncertain(id, clock::now());
            }
            rounds.input.in_doubt.push(id);
        });
    }

    /// Reports that a downstream call ended after `duration` seconds.
    pub fn report_call_finished(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|rounds| rounds.input.finished_calls.push(Completion { id, outcome, duration }));
    }

    /// Reports that a request ended after `duration` seconds of running. Its attempt id is free at once, before the policy
    /// runs its next round, unless it ran and may not run again.
    pub fn report_ended(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|rounds| {
            rounds.remove_ended(clock::now(), id, outcome != Outcome::NotNeeded);
            rounds.input.finished_runs.push(Completion { id, outcome, duration });
        });
    }

    /// Reports that the gateway no longer waits for the answer.
    pub fn report_cancelled(&self, id: u32) {
        self.add_input(|rounds| rounds.input.abandoned.push(id));
    }

    /// Starts the drain. The process is killed at `kill_time` (s).
    pub fn start_drain(&self, kill_time: f64, now: f64) {
        self.kill_time.get_or_init(|| kill_time);
        self.log.record_drain(now, kill_time);
        self.add_input(|rounds| {
            rounds.input.drain_deadline = Some(kill_time);
            rounds.keys.set_answer_deadline(kill_time - CONTENTION_MARGIN_SECONDS);
        });
    }

    /// Returns the time at which the process is killed (s), if it is draining.
    pub fn kill_time(&self) -> Option<f64> {
        self.kill_time.get().copied()
    }

    /// Records the end of the run under this key, with its result if it completed.
    pub fn finish_key(&self, key: Option<&IdempotencyKey>, id: u32, result: Option<&Arc<Vec<u8>>>) {
        if let Some(key) = key {
            self.rounds().keys.finish(key, id, result.cloned());
        }
    }

    /// Releases the key of a request that never ran.
    pub fn release_key(&self, key: Option<&IdempotencyKey>, id: u32) {
        if let Some(key) = key {
            self.rounds().keys.release(key, id);
        }
    }

    /// Sends the result of the attempt that holds this key to `mailbox`, now or when that attempt ends.
    pub fn await_result(&self, key: &IdempotencyKey, digest: ContentDigest, mailbox: &Arc<Mailbox>) {
        self.rounds().keys.await_result(key, digest, mailbox);
    }

    /// Records that a notice on this attempt was received. Returns the mailbox of its request.
    pub fn record_run_notice(&self, attempt: &AttemptId) -> Option<Arc<Mailbox>> {
        self.rounds().in_flight.record_run_notice(attempt).cloned()
    }

    /// Marks the outcome of each run as uncertain, after the agent dropped unread notices.
    pub fn mark_outcomes_uncertain(&self, now: f64) {
        self.rounds().in_flight.mark_outcomes_uncertain(now);
    }

    /// Notifies each request in flight that the agent reconnected or answers again, so that it sends what was missed or
    /// held back.
    pub fn resume_all(&self) {
        self.rounds().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Resume));
    }

    /// Notifies each request in flight that the process exits, so that it closes its log entry.
    pub fn shut_down(&self) {
        self.rounds().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Shutdown));
    }

    /// Stores the gauges that answer the poll with this tag.
    pub fn receive_gauges(&self, tag: u64, gauges: Gauges) {
        self.log.record_gauges(&gauges);
        let mut rounds = self.rounds();
        if rounds.receive_gauges(tag, gauges) {
            drop(rounds);
            self.wake();
        }
    }

    /// Triggers the first round once the agent is connected.
    pub fn start(&self) {
        self.add_input(|_| {});
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.rounds().in_flight.running()
    }

    /// Returns whether the policy considers this server healthy.
    pub fn healthy(&self) -> bool {
        self.published.healthy()
    }

    /// Appends the load signal field to `out`, if one was set.
    pub fn write_load_signal(&self, out: &mut Vec<u8>) {
        self.published.write_load_signal(out);
    }

    /// Runs one cycle: housekeeping if it is due, and a round if there is input or a tick.
    pub fn run_cycle(&self, now: f64, times: CycleTimes, hooks: &impl CycleHooks) {
        let mut rounds = self.rounds();
        if now >= rounds.housekeeping_at {
            rounds.housekeeping_at = now + times.housekeeping_interval;
            rounds.keys.expire(now);
            rounds.ended_attempts.expire(now);
            rounds.fail_lost_runs(now);
            let keepalive = rounds.keepalive;
            drop(rounds);
            hooks.run_housekeeping(now, keepalive);
            rounds = self.rounds();
        }
        let tick = rounds.next_tick(now, times.gauge_timeout, || hooks.poll_gauges());
        if rounds.has_input || tick.is_some() {
            rounds.run(now, tick, &self.published, &self.log);
        }
        hooks.set_alarm(rounds.tick_at.min(rounds.housekeeping_at) - now);
    }
}
