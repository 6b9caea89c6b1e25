//! Owns the admission policy: gathers what happens into rounds, runs the policy on them, carries out its decisions and
//! wakes the requests that they concern.

mod decisions;
mod published;
mod rounds;

use crate::runtime::lock::lock;
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

/// Seconds before its deadline, or the kill, at which a request that waits for a key is rejected: a housekeeping, and the time of
/// an answer.
pub const CONTENTION_MARGIN_SECONDS: f64 = 0.2;

/// The admission policy, and all that it decides with and on.
pub struct Dispatcher {
    rounds: Mutex<Rounds>,
    /// The coroutine that runs the rounds.
    worker: OnceLock<Coroutine>,
    /// Health and load signal.
    published: PublishedState,
    /// When the process is killed, after a notice to drain.
    kill_time: OnceLock<f64>,
    /// Where requests and decisions are recorded.
    pub log: RequestLog,
}

/// What a cycle of the dispatcher asks of the rest of the server.
pub trait CycleHooks {
    /// Looks at what is idle, stuck or due to be tried again. Connections may lie unused for `keepalive` seconds.
    fn run_housekeeping(&self, now: f64, keepalive: f64);
    /// Asks the agent for its gauges.
    fn poll_gauges(&self, tag: u64);
    /// Has the next cycle begin after `delay` seconds at the latest.
    fn set_alarm(&self, delay: f64);
}

impl Dispatcher {
    /// A dispatcher for this policy; connections may lie unused for `keepalive` seconds until it says otherwise.
    pub fn new(
        policy: AdmissionPolicy,
        keys: IdempotencyKeys,
        keepalive: f64,
        log: RequestLog,
    ) -> Dispatcher {
        Dispatcher {
            rounds: Mutex::new(Rounds::new(policy, keys, keepalive)),
            worker: OnceLock::new(),
            published: PublishedState::default(),
            kill_time: OnceLock::new(),
            log,
        }
    }

    fn rounds(&self) -> MutexGuard<'_, Rounds> {
        lock(&self.rounds)
    }

    /// Makes the calling coroutine the one that runs the rounds.
    pub fn set_worker(&self) {
        self.worker.get_or_init(coroutine::current);
    }

    /// Wakes the coroutine that runs the rounds.
    pub fn wake(&self) {
        if let Some(worker) = self.worker.get() {
            worker.unpark();
        }
    }

    /// Enters input for the next round.
    fn add_input(&self, add: impl FnOnce(&mut Rounds)) {
        let mut rounds = self.rounds();
        add(&mut rounds);
        rounds.has_input = true;
        drop(rounds);
        self.wake();
    }

    /// Offers a request to the policy. For a key that a request of other content holds it waits till `deadline` at
    /// the most.
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

    /// A run waits at a downstream call.
    pub fn report_call_pending(&self, id: u32) {
        self.add_input(|rounds| rounds.input.awaiting_call.push(id));
    }

    /// A downstream call has ended.
    pub fn report_call_finished(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|rounds| rounds.input.finished_calls.push(Completion { id, outcome, duration }));
    }

    /// A request is over; its attempt id is free from now on, whenever the policy gets to hear of it.
    pub fn report_ended(&self, id: u32, outcome: Outcome, duration: f64) {
        self.add_input(|rounds| {
            if let Some(request) = rounds.in_flight.remove(id) {
                request.notify_duplicate(outcome != Outcome::NotNeeded);
            }
            rounds.input.finished_runs.push(Completion { id, outcome, duration });
        });
    }

    /// Nobody waits for this request's answer any more.
    pub fn report_cancelled(&self, id: u32) {
        self.add_input(|rounds| rounds.input.abandoned.push(id));
    }

    /// Starts the drain: the process is killed at `kill_time`.
    pub fn start_drain(&self, kill_time: f64, now: f64) {
        self.kill_time.get_or_init(|| kill_time);
        self.log.record_drain(now, kill_time);
        self.add_input(|rounds| {
            rounds.input.drain_deadline = Some(kill_time);
            rounds.keys.set_answer_deadline(kill_time - CONTENTION_MARGIN_SECONDS);
        });
    }

    /// When the process is killed, if it drains.
    pub fn kill_time(&self) -> Option<f64> {
        self.kill_time.get().copied()
    }

    /// A run under this key has ended, with a result or without.
    pub fn finish_key(&self, key: Option<&IdempotencyKey>, id: u32, result: Option<&Arc<Vec<u8>>>) {
        if let Some(key) = key {
            self.rounds().keys.finish(key, id, result.cloned());
        }
    }

    /// A request that held this key never ran.
    pub fn release_key(&self, key: Option<&IdempotencyKey>, id: u32) {
        if let Some(key) = key {
            self.rounds().keys.release(key, id);
        }
    }

    /// Sends `mailbox` the result of the attempt that holds this key, as soon as there is one.
    pub fn await_result(&self, key: &IdempotencyKey, digest: ContentDigest, mailbox: &Arc<Mailbox>) {
        self.rounds().keys.await_result(key, digest, mailbox);
    }

    /// The agent has said something of this attempt's run; where its request waits for events.
    pub fn record_run_notice(&self, attempt: &AttemptId) -> Option<Arc<Mailbox>> {
        self.rounds().in_flight.record_run_notice(attempt).cloned()
    }

    /// The agent has dropped notices that were not read: any of the runs may have ended unheard.
    pub fn mark_outcomes_uncertain(&self, now: f64) {
        self.rounds().in_flight.mark_outcomes_uncertain(now);
    }

    /// The agent's link is back: all in flight repeat what the agent may have missed.
    pub fn resume_all(&self) {
        self.rounds().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Resume));
    }

    /// The process ends: what is still in flight closes its log entry.
    pub fn shut_down(&self) {
        self.rounds().in_flight.mailboxes().for_each(|mailbox| mailbox.send(Event::Shutdown));
    }

    /// Takes the answer to the poll of the gauges of this tag.
    pub fn receive_gauges(&self, tag: u64, gauges: Gauges) {
        self.log.record_gauges(&gauges);
        let mut rounds = self.rounds();
        if rounds.receive_gauges(tag, gauges) {
            drop(rounds);
            self.wake();
        }
    }

    /// The agent is up: runs a round, so that the policy begins.
    pub fn start(&self) {
        self.add_input(|_| {});
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.rounds().in_flight.running()
    }

    /// What the policy says of this server's health.
    pub fn healthy(&self) -> bool {
        self.published.healthy()
    }

    /// Appends the load signal's field, if there is one.
    pub fn write_load_signal(&self, out: &mut Vec<u8>) {
        self.published.write_load_signal(out);
    }

    /// One cycle: housekeeping and a tick if they are due, a round if there is anything to decide.
    pub fn run_cycle(&self, now: f64, times: CycleTimes, hooks: &impl CycleHooks) {
        let mut rounds = self.rounds();
        if now >= rounds.housekeeping_at {
            rounds.housekeeping_at = now + times.housekeeping_interval;
            rounds.keys.expire(now);
            rounds.fail_lost_runs(now);
            let keepalive = rounds.keepalive;
            drop(rounds);
            hooks.run_housekeeping(now, keepalive);
            rounds = self.rounds();
        }
        let tick = rounds.next_tick(now, times.gauge_timeout, |tag| hooks.poll_gauges(tag));
        if rounds.has_input || tick.is_some() {
            rounds.run(now, tick, &self.published, &self.log);
        }
        hooks.set_alarm(rounds.tick_at.min(rounds.housekeeping_at) - now);
    }
}
