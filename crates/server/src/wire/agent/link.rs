//! The sending side of the agent's link: commands of requests, polls of the gauges.

use crate::runtime::lock::lock;
use crate::state::identifiers::AttemptId;
use crate::wire::ring::RingBuffer;
use base64::prelude::{Engine, BASE64_STANDARD};
use may::io::WaitIoWaker;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The tag of the poll that marks where replayed notices end.
pub(super) const REPLAY_MARK: &str = "mark";
/// Room for most commands.
const COMMAND_BYTES: usize = 4096;

/// Says when a command went out: the tag of the last poll before it. A command is known to have been read once a later
/// poll has been answered.
pub type CommandStamp = u64;

/// The stamp of no command, which nobody has to say again.
pub const NO_COMMAND: CommandStamp = 0;
/// The stamp of a command that could not go out.
const NOT_SENT: CommandStamp = u64::MAX;

/// The link to the agent, as those see it who send commands.
pub struct AgentLink {
    state: Mutex<LinkState>,
    greeted: AtomicBool,
}

/// The link's state.
struct LinkState {
    unsent: RingBuffer,
    waker: Option<WaitIoWaker>,
    /// Commands go out. While a new link still replays old notices they don't: it is not yet known which of the earlier
    /// commands were read, and `Event::Resume` has them sent again.
    open: bool,
    /// The last poll of the gauges that was sent.
    last_poll: u64,
    /// The last poll that was answered: what went out before it on the same link has been read.
    last_answer: u64,
    /// When the mark behind the replayed notices was sent, s.
    mark_sent_at: f64,
    broken: bool,
}

impl AgentLink {
    /// No link yet; `min_buffer` and `max_unsent` bound the bytes that wait to go out.
    pub fn new(min_buffer: usize, max_unsent: usize) -> AgentLink {
        let state = LinkState {
            unsent: RingBuffer::new(min_buffer, max_unsent),
            waker: None,
            open: false,
            last_poll: 0,
            last_answer: 0,
            mark_sent_at: f64::MAX,
            broken: false,
        };
        AgentLink { state: Mutex::new(state), greeted: AtomicBool::new(false) }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        lock(&self.state)
    }

    /// Whether the agent has come up.
    pub fn is_greeted(&self) -> bool {
        self.greeted.load(Ordering::Relaxed)
    }

    /// Whether the command of this stamp is known to have been read.
    pub fn is_confirmed(&self, stamp: CommandStamp) -> bool {
        stamp < self.state().last_answer
    }

    /// Starts a run.
    pub fn launch(&self, attempt: &AttemptId, class: &str, body: &[u8]) -> CommandStamp {
        let mut line = command_object("launch", attempt);
        line.extend_from_slice(b",\"class\":");
        line.extend_from_slice(Value::from(class).to_string().as_bytes());
        write_body(&mut line, body);
        self.send(line)
    }

    /// Takes a run off the cores.
    pub fn freeze(&self, attempt: &AttemptId) -> CommandStamp {
        self.send(command_object("freeze", attempt))
    }

    /// Gives a frozen run back to the cores.
    pub fn thaw(&self, attempt: &AttemptId) -> CommandStamp {
        self.send(command_object("thaw", attempt))
    }

    /// Gives a run the reply to its call.
    pub fn deliver(&self, attempt: &AttemptId, body: &[u8]) -> CommandStamp {
        let mut line = command_object("deliver", attempt);
        write_body(&mut line, body);
        self.send(line)
    }

    /// Has a run go on without the call of this notice.
    pub fn forgo(&self, attempt: &AttemptId, notice: u64) -> CommandStamp {
        let mut line = command_object("forgo", attempt);
        line.extend_from_slice(format!(",\"seq\":{notice}").as_bytes());
        self.send(line)
    }

    /// Asks for the gauges; tags rise.
    pub fn poll_gauges(&self, tag: u64) {
        let mut state = self.state();
        if state.open {
            state.push(sample_command(&tag.to_string()));
            state.last_poll = tag;
        }
    }

    /// Breaks a new link whose mark was sent before `since` and has not come back: nothing may go out on it.
    pub fn break_stalled_replay(&self, since: f64) {
        let mut state = self.state();
        if !state.open && state.mark_sent_at < since {
            state.broken = true;
            state.wake();
        }
    }

    /// Has the link check whether its address is still in force.
    pub fn recheck_address(&self) {
        self.state().wake();
    }

    /// Sends an object that lacks its end; one that can't go now is not kept.
    fn send(&self, line: Vec<u8>) -> CommandStamp {
        let mut state = self.state();
        if !state.open {
            return NOT_SENT;
        }
        state.push(line);
        state.last_poll
    }

    // What the reading side needs.

    /// Begins anew on a new connection, behind the last notice that was read.
    pub(super) fn subscribe(&self, waker: WaitIoWaker, last_notice: u64) {
        let mut state = self.state();
        state.close();
        state.waker = Some(waker);
        state.push(format!("{{\"op\":\"subscribe\",\"seq\":{last_notice}").into_bytes());
    }

    /// Marks the end of the replayed notices. Returns whether this is the agent's first greeting.
    pub(super) fn mark_replay(&self, now: f64) -> bool {
        let mut state = self.state();
        state.mark_sent_at = now;
        state.push(sample_command(REPLAY_MARK));
        drop(state);
        !self.greeted.swap(true, Ordering::Relaxed)
    }

    /// Lets commands out, and says whether they were kept back before.
    pub(super) fn open(&self) -> bool {
        !std::mem::replace(&mut self.state().open, true)
    }

    /// A poll was answered.
    pub(super) fn confirm(&self, tag: u64) {
        self.state().last_answer = tag;
    }

    /// Writes what the agent takes now; `None` if the link is to be broken.
    pub(super) fn flush(&self, sink: impl std::io::Write) -> Option<std::io::Result<bool>> {
        let mut state = self.state();
        if state.broken {
            return None;
        }
        Some(state.unsent.drain_to(sink))
    }

    /// The connection has ended.
    pub(super) fn close(&self) {
        self.state().close();
    }
}

impl LinkState {
    fn push(&mut self, mut line: Vec<u8>) {
        line.extend_from_slice(b"}\n");
        if self.unsent.push(&line).is_err() {
            (self.broken, self.open) = (true, false);
        }
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    fn close(&mut self) {
        self.waker = None;
        self.open = false;
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
