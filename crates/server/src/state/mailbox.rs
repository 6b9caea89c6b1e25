//! Event queue of a request, fed by the policy, the agent, the store and the gateway.

use crate::runtime::lock::lock;
use may::coroutine::{self, Coroutine};
use puffinladder::{Outcome, Reason};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, OnceLock};

/// Event that concerns one request.
pub enum Event {
    /// The policy starts or resumes the run.
    Run,
    /// The policy, or a timeout while waiting for a key or attempt id, rejects the request before it ran.
    Reject {
        /// Retry-After, s; 0 for none.
        retry_after: f64,
        /// Whether the gateway should not try another server.
        do_not_forward: bool,
        /// Reason of the rejection.
        reason: Reason,
    },
    /// The policy fails the request; its run may continue.
    Fail(Reason),
    /// The policy pauses the run.
    Pause,
    /// The policy allows the downstream call that the run waits for.
    Call {
        /// Timeout of the call, s.
        limit: f64,
    },
    /// The policy skips the call: the run continues without it.
    SkipCall,
    /// The policy answers the request with the result of an earlier attempt.
    Replay,
    /// The agent reports that the run waits for a downstream call.
    AtCall {
        /// Sequence number of the agent's notice.
        sequence: u64,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// The agent reports the end of the run.
    Ended {
        /// Outcome of the run.
        outcome: Outcome,
        /// Run time, s.
        duration: f64,
        /// Result of the run.
        body: Vec<u8>,
    },
    /// The agent refuses to run a request that it does not know.
    Refused,
    /// The outcome of the run was probably in a notice that the agent dropped.
    OutcomeLost,
    /// The agent link is reestablished, and all older notices are read; or it answers again, and commands that were held
    /// back can be sent.
    Resume,
    /// The downstream call ended.
    Returned {
        /// Outcome of the call.
        outcome: Outcome,
        /// Duration of the call, s.
        duration: f64,
        /// Body of the reply.
        body: Vec<u8>,
    },
    /// The earlier attempt ended, with this result if it completed.
    Result(Option<Arc<Vec<u8>>>),
    /// The idempotency key is free: the attempt that held it never ran.
    KeyReleased,
    /// The attempt id is free: the earlier request under it never ran.
    AttemptReleased,
    /// The earlier request under the same attempt id ran.
    AttemptTaken,
    /// The gateway cancelled the request or closed its connection.
    Cancelled,
    /// The request was removed before it ran, and needs no further answer.
    Discarded,
    /// The process exits.
    Shutdown,
}

impl Event {
    /// Returns whether the event is a notice of the agent on the progress of the run.
    fn is_run_notice(&self) -> bool {
        matches!(self, Event::AtCall { .. } | Event::Ended { .. })
    }

    /// Returns the name of the event in log lines. Scripts and tests match these names.
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

/// Event queue with a single reader, the coroutine of the request.
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

    /// Returns whether a notice of the agent on the progress of the run is queued.
    pub fn has_run_notice(&self) -> bool {
        lock(&self.events).iter().any(Event::is_run_notice)
    }

    /// Queues several events, of which the reader sees either all or none.
    #[cfg(test)]
    pub fn send_all(&self, events: impl IntoIterator<Item = Event>) {
        lock(&self.events).extend(events);
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
    }

    /// Returns whether a cancellation is queued: the gateway took the request back, or closed its connection.
    pub fn is_cancelled(&self) -> bool {
        lock(&self.events).iter().any(|event| matches!(event, Event::Cancelled))
    }

    /// Waits for the next event. Only the coroutine of the request may call this.
    pub fn receive(&self) -> Event {
        loop {
            let event = lock(&self.events).pop_front();
            match event {
                Some(event) => return event,
                None if self.reader.get().is_some() => coroutine::park(),
                // An event may have arrived before the reader was registered: check again.
                None => drop(self.reader.set(coroutine::current())),
            }
        }
    }
}
