//! The events that one request waits for, from whichever part of the server has to do with it.

use crate::runtime::lock::lock;
use may::coroutine::{self, Coroutine};
use puffinladder::{Outcome, Reason};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, OnceLock};

/// What may happen to a request.
pub enum Event {
    /// The policy gives it to the cores.
    Run,
    /// The policy, or the wait for an idempotency key, rejects it before it ran.
    Reject {
        /// Retry-After, s; 0 for none.
        retry_after: f64,
        /// It should not be tried elsewhere either.
        last: bool,
        /// Why it is rejected.
        reason: Reason,
    },
    /// The policy ends the duty to answer with a failure.
    Fail(Reason),
    /// The policy takes its run off the cores.
    Pause,
    /// The policy lets its run make the call that it waits at.
    Call {
        /// The longest that the call may take, s.
        limit: f64,
    },
    /// The policy has its run go on without the call.
    SkipCall,
    /// The policy answers it with the result of an earlier attempt.
    Replay,
    /// The agent says that its run waits at a downstream call.
    AtCall {
        /// Sequence number of the agent's notice.
        sequence: u64,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// The agent says that its run has ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// How long it ran, s.
        took: f64,
        /// Its result.
        body: Vec<u8>,
    },
    /// The agent refuses to run it, as a request that it does not know.
    Refused,
    /// Its run has ended in a notice that the agent has dropped, for all that is known.
    OutcomeLost,
    /// The agent's link is back, and all notices from before have been read.
    Resume,
    /// The store has answered the call, or the call has failed.
    Returned {
        /// How the call ended.
        outcome: Outcome,
        /// How long the call took, s.
        took: f64,
        /// The reply's body.
        body: Vec<u8>,
    },
    /// The earlier attempt has ended, with this result or without one.
    Result(Option<Arc<Vec<u8>>>),
    /// The earlier attempt never ran: this one takes the idempotency key over.
    KeyReleased,
    /// The earlier request under its attempt id never ran: this one takes the id over.
    AttemptReleased,
    /// The earlier request under its attempt id has run.
    AttemptTaken,
    /// The gateway has cancelled it or is gone.
    Cancelled,
    /// The policy no longer knows this request.
    Discarded,
    /// The process ends.
    Shutdown,
}

impl Event {
    /// The event's name in trace lines of the log. `decline`, `gone` and `replay` are searched for by scripts and
    /// tests, and stay.
    pub fn label(&self) -> &'static str {
        match self {
            Event::Run => "run",
            Event::Reject { .. } => "decline",
            Event::Fail(_) => "fail",
            Event::Pause => "pause",
            Event::Call { .. } => "call",
            Event::SkipCall => "skip call",
            Event::Replay => "replay",
            Event::AtCall { .. } => "at call",
            Event::Ended { .. } => "ended",
            Event::Refused => "refused",
            Event::OutcomeLost => "outcome missed",
            Event::Resume => "resume",
            Event::Returned { .. } => "returned",
            Event::Result(_) => "result",
            Event::KeyReleased => "key released",
            Event::AttemptReleased => "attempt released",
            Event::AttemptTaken => "attempt taken",
            Event::Cancelled => "gone",
            Event::Discarded => "forgotten",
            Event::Shutdown => "shut down",
        }
    }
}

/// A queue of events with one reader, the request's own coroutine.
#[derive(Default)]
pub struct Mailbox {
    events: Mutex<VecDeque<Event>>,
    reader: OnceLock<Coroutine>,
}

impl Mailbox {
    /// Queues an event and wakes the reader.
    pub fn send(&self, event: Event) {
        lock(&self.events).push_back(event);
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
    }

    /// Waits for the next event; only the request's own coroutine may ask.
    pub fn receive(&self) -> Event {
        loop {
            let event = lock(&self.events).pop_front();
            match event {
                Some(event) => return event,
                None if self.reader.get().is_some() => coroutine::park(),
                // Only now that it can be woken is it sure that nothing came meanwhile.
                None => drop(self.reader.set(coroutine::current())),
            }
        }
    }
}
