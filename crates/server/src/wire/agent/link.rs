//! Sending side of the agent connection: commands for runs and polls of the gauges.

use crate::runtime::lock::lock;
use crate::state::identifiers::AttemptId;
use crate::wire::ring::RingBuffer;
use base64::prelude::{Engine, BASE64_STANDARD};
use may::io::WaitIoWaker;
use serde_json::Value;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Tag of the poll whose answer marks the end of replayed notices.
pub(super) const REPLAY_MARK: &str = "mark";
/// Initial capacity of an encoded command.
const COMMAND_BYTES: usize = 4096;

/// Position of a command among the polls: the tag of the last poll sent before it. The agent has read the command once it
/// answers a later poll.
pub type CommandStamp = u64;

/// Stamp used where no command awaits confirmation.
pub const NO_COMMAND: CommandStamp = 0;
/// Stamp of a command that could not be sent; it is never confirmed.
const NOT_SENT: CommandStamp = u64::MAX;

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
    /// Tag of the last gauge poll sent.
    last_poll: u64,
    /// Tag of the last gauge poll answered: commands sent before it on this connection have been read.
    last_answer: u64,
    /// Stamps of commands that an earlier connection may have lost; no later answer confirms them.
    possibly_lost: Option<RangeInclusive<CommandStamp>>,
    /// Send time of the replay mark, s.
    mark_sent_at: f64,
    broken: bool,
}

impl AgentLink {
    /// Creates a disconnected link with a send buffer of `min_buffer` to `max_unsent` bytes.
    pub fn new(min_buffer: usize, max_unsent: usize) -> AgentLink {
        let state = LinkState {
            unsent: RingBuffer::new(min_buffer, max_unsent),
            waker: None,
            accepting_commands: false,
            last_poll: 0,
            last_answer: 0,
            possibly_lost: None,
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

    /// Returns whether the agent is known to have read the command with this stamp.
    pub fn is_confirmed(&self, stamp: CommandStamp) -> bool {
        let state = self.state();
        let is_possibly_lost = state.possibly_lost.as_ref().is_some_and(|lost| lost.contains(&stamp));
        stamp < state.last_answer && !is_possibly_lost
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

    /// Polls the gauges. Tags must increase.
    pub fn poll_gauges(&self, tag: u64) {
        let mut state = self.state();
        if state.accepting_commands {
            state.push(sample_command(&tag.to_string()));
            state.last_poll = tag;
        }
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

    /// Sends a JSON object, given without its closing brace. Drops it if commands are not accepted.
    fn send(&self, line: Vec<u8>) -> CommandStamp {
        let mut state = self.state();
        if !state.accepting_commands {
            return NOT_SENT;
        }
        state.push(line);
        state.last_poll
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

    /// Records the answer to a poll.
    pub(super) fn confirm(&self, tag: u64) {
        self.state().last_answer = tag;
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
    fn push(&mut self, mut line: Vec<u8>) {
        line.extend_from_slice(b"}\n");
        if self.unsent.push(&line).is_err() {
            (self.broken, self.accepting_commands) = (true, false);
        }
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    fn close(&mut self) {
        if self.accepting_commands {
            self.possibly_lost = Some(self.last_answer..=self.last_poll);
        }
        self.waker = None;
        self.accepting_commands = false;
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
