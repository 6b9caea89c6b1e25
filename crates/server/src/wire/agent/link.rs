//! Sending side of the agent connection: commands for runs and polls of the gauges.

use super::receipts::{CommandStamp, Receipt, Receipts, SampleTag};
use super::round_trip::RoundTrip;
use crate::runtime::clock;
use crate::runtime::lock::lock;
use crate::state::identifiers::AttemptId;
use crate::wire::ring::RingBuffer;
use base64::prelude::{Engine, BASE64_STANDARD};
use may::io::WaitIoWaker;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Tag of the sample whose answer marks the end of replayed notices.
pub(super) const REPLAY_MARK: &str = "mark";
/// Initial capacity of an encoded command.
const COMMAND_BYTES: usize = 4096;

/// Sending side of the agent connection.
pub struct AgentLink {
    state: Mutex<LinkState>,
    greeted: AtomicBool,
}

struct LinkState {
    unsent: RingBuffer,
    waker: Option<WaitIoWaker>,
    /// Commands are accepted. False while the agent replays notices on a new connection: it is not yet known which earlier
    /// commands it has read, and `Event::Resume` triggers resending.
    accepting_commands: bool,
    receipts: Receipts,
    /// First poll without an answer.
    unanswered_poll: Option<SentPoll>,
    round_trip: RoundTrip,
    /// Commands were held back since the answer to `unanswered_poll` is overdue.
    holds_commands: bool,
    /// Send time of the replay mark, s.
    mark_sent_at: f64,
    broken: bool,
}

/// Poll that was sent.
#[derive(Clone, Copy)]
struct SentPoll {
    tag: SampleTag,
    sent_at: f64,
}

impl AgentLink {
    /// Creates a disconnected link with a send buffer of `min_buffer` to `max_unsent` bytes.
    pub fn new(min_buffer: usize, max_unsent: usize) -> AgentLink {
        let state = LinkState {
            unsent: RingBuffer::new(min_buffer, max_unsent),
            waker: None,
            accepting_commands: false,
            receipts: Receipts::default(),
            unanswered_poll: None,
            round_trip: RoundTrip::default(),
            holds_commands: false,
            mark_sent_at: f64::MAX,
            broken: false,
        };
        AgentLink { state: Mutex::new(state), greeted: AtomicBool::new(false) }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        lock(&self.state)
    }

    /// Returns whether the agent has sent a greeting.
    pub fn is_greeted(&self) -> bool {
        self.greeted.load(Ordering::Relaxed)
    }

    /// Returns what is known about the receipt of the command with this stamp.
    pub fn receipt(&self, stamp: CommandStamp) -> Receipt {
        self.state().receipts.receipt(stamp)
    }

    /// Starts a run.
    pub fn launch(&self, attempt: &AttemptId, class: &str, body: &[u8]) -> CommandStamp {
        let mut line = command_object("launch", attempt);
        line.extend_from_slice(b",\"class\":");
        line.extend_from_slice(Value::from(class).to_string().as_bytes());
        write_body(&mut line, body);
        self.send(line)
    }

    /// Pauses a run.
    pub fn freeze(&self, attempt: &AttemptId) -> CommandStamp {
        self.send(command_object("freeze", attempt))
    }

    /// Resumes a paused run.
    pub fn thaw(&self, attempt: &AttemptId) -> CommandStamp {
        self.send(command_object("thaw", attempt))
    }

    /// Delivers the reply to a run's call.
    pub fn deliver(&self, attempt: &AttemptId, body: &[u8]) -> CommandStamp {
        let mut line = command_object("deliver", attempt);
        write_body(&mut line, body);
        self.send(line)
    }

    /// Lets a run continue without the call that `notice` requested.
    pub fn forgo(&self, attempt: &AttemptId, notice: u64) -> CommandStamp {
        let mut line = command_object("forgo", attempt);
        line.extend_from_slice(format!(",\"seq\":{notice}").as_bytes());
        self.send(line)
    }

    /// Polls the gauges and returns the tag of the answer. There is none if commands are not accepted.
    pub fn poll_gauges(&self) -> SampleTag {
        let mut state = self.state();
        let tag = state.receipts.next_sample();
        if state.accepting_commands && state.push(sample_command(&tag.to_string())) {
            state.unanswered_poll.get_or_insert(SentPoll { tag, sent_at: clock::now() });
        }
        tag
    }

    /// Disconnects if a replay mark sent before `since` was not answered: commands would be held back indefinitely.
    pub fn break_stalled_replay(&self, since: f64) {
        let mut state = self.state();
        if !state.accepting_commands && state.mark_sent_at < since {
            state.broken = true;
            state.wake();
        }
    }

    /// Wakes the reader to check whether the agent's address has changed.
    pub fn recheck_address(&self) {
        self.state().wake();
    }

    /// Sends a JSON object, given without its closing brace. Drops it if commands are not accepted, or if the connection
    /// has stopped answering: what is not sent can't be lost with it.
    fn send(&self, line: Vec<u8>) -> CommandStamp {
        let mut state = self.state();
        state.holds_commands |= state.is_stalled(clock::now());
        if !state.accepting_commands || state.holds_commands || !state.push(line) {
            return CommandStamp::Unsent;
        }
        state.receipts.stamp()
    }

    /// Resets the state for a new connection and subscribes to the notices after `last_notice`.
    pub(super) fn subscribe(&self, waker: WaitIoWaker, last_notice: u64) {
        let mut state = self.state();
        state.close();
        state.waker = Some(waker);
        state.push(format!("{{\"op\":\"subscribe\",\"seq\":{last_notice}").into_bytes());
    }

    /// Sends the replay mark. Returns whether this is the agent's first greeting.
    pub(super) fn mark_replay(&self, now: f64) -> bool {
        let mut state = self.state();
        state.mark_sent_at = now;
        state.push(sample_command(REPLAY_MARK));
        drop(state);
        !self.greeted.swap(true, Ordering::Relaxed)
    }

    /// Accepts commands from now on. Returns whether they were held back before.
    pub(super) fn accept_commands(&self) -> bool {
        !std::mem::replace(&mut self.state().accepting_commands, true)
    }

    /// Records the answer to a poll. Returns whether commands were held back until now, and must be sent.
    pub(super) fn confirm(&self, tag: SampleTag) -> bool {
        let mut state = self.state();
        state.receipts.record_answer(tag);
        let Some(poll) = state.unanswered_poll.take_if(|poll| poll.tag <= tag) else { return false };
        state.round_trip.record(clock::now() - poll.sent_at);
        std::mem::take(&mut state.holds_commands)
    }

    /// Writes pending bytes until the sink would block. Returns `None` if the connection must be closed.
    pub(super) fn flush(&self, sink: impl std::io::Write) -> Option<std::io::Result<bool>> {
        let mut state = self.state();
        if state.broken {
            return None;
        }
        Some(state.unsent.drain_to(sink))
    }

    /// Resets the state after the connection has closed.
    pub(super) fn close(&self) {
        self.state().close();
    }
}

impl LinkState {
    /// Queues a JSON object, given without its closing brace. Returns whether there is room for it; if not, the
    /// connection will be closed.
    fn push(&mut self, mut line: Vec<u8>) -> bool {
        line.extend_from_slice(b"}\n");
        let is_queued = self.unsent.push(&line).is_ok();
        if !is_queued {
            self.broken = true;
            self.stop_accepting();
        }
        self.wake();
        is_queued
    }

    /// Holds commands back from now on. Those that were sent and not confirmed may be lost.
    fn stop_accepting(&mut self) {
        if std::mem::take(&mut self.accepting_commands) {
            self.receipts.record_close();
            self.unanswered_poll = None;
            self.holds_commands = false;
        }
    }

    /// Returns whether the answer to a poll is overdue.
    fn is_stalled(&self, now: f64) -> bool {
        self.unanswered_poll.is_some_and(|poll| self.round_trip.is_overdue(now - poll.sent_at))
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    fn close(&mut self) {
        self.stop_accepting();
        self.waker = None;
        self.mark_sent_at = f64::MAX;
        self.broken = false;
        self.unsent.consume(usize::MAX);
    }
}

fn command_object(op: &str, attempt: &AttemptId) -> Vec<u8> {
    let mut line = Vec::with_capacity(COMMAND_BYTES);
    line.extend_from_slice(b"{\"op\":\"");
    line.extend_from_slice(op.as_bytes());
    line.extend_from_slice(b"\",\"id\":\"");
    line.extend_from_slice(attempt);
    line.push(b'"');
    line
}

fn sample_command(tag: &str) -> Vec<u8> {
    format!("{{\"op\":\"sample\",\"tag\":\"{tag}\"").into_bytes()
}

fn write_body(line: &mut Vec<u8>, body: &[u8]) {
    line.extend_from_slice(b",\"body\":\"");
    line.extend_from_slice(BASE64_STANDARD.encode(body).as_bytes());
    line.push(b'"');
}

#[cfg(test)]
mod tests;
