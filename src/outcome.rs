//! Outcomes of runs and calls, and reasons of rejections and failures.

/// Outcome of a run or a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It returned its result.
    Completed,
    /// It ended with an error.
    Failed,
    /// It was rejected before it ran.
    Rejected,
    /// It did not end within its timeout.
    TimedOut,
    /// No server answered.
    Unreachable,
    /// The connection broke while it ran.
    ConnectionLost,
    /// It was cancelled.
    Cancelled,
    /// It ended without having started.
    NotNeeded,
}

impl Outcome {
    /// Returns whether the outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotNeeded)
    }
}

/// Reason why a request was rejected or failed, as it appears in logs, traces and answers.
///
/// The discriminants are the codes in trace files: append new variants at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// It was queued for longer than the threshold of its class.
    WaitedTooLong,
    /// It could not finish in the time left.
    InsufficientTime,
    /// The queue was shed to stay within memory.
    MemoryPressure,
    /// Its idempotency key did not fit in memory.
    KeyMemoryFull,
    /// It arrived after the drain grace period.
    Draining,
    /// Its deadline was reached.
    DeadlineReached,
    /// It could not make a downstream call that it requires.
    DownstreamUnavailable,
    // Reasons of the host, for requests that it does not pass to the policy or whose end it handles itself.
    /// The process is at its limit of requests.
    ProcessAtCapacity,
    /// Its run failed.
    RunFailed,
    /// The earlier attempt with its idempotency key failed or left no result.
    EarlierAttemptFailed,
    /// A request with the same attempt id is in flight.
    DuplicateName,
    /// Its idempotency key belongs to a request with different content.
    KeyConflict,
    /// The host's handler of the request ended without an answer.
    HandlerLost,
    // Reason of the policy.
    /// The server is warming up and has reached its limit of requests in flight.
    WarmingUp,
    // Reason of the host.
    /// The agent does not know the earlier requests on its connection.
    UnknownToAgent,
    // Reason of the policy.
    /// Nothing told in time whether its run went on.
    RunInDoubt,
}

impl Reason {
    const ALL: [(Reason, &'static str); 16] = [
        (Reason::WaitedTooLong, "waited"),
        (Reason::InsufficientTime, "no time"),
        (Reason::MemoryPressure, "memory"),
        (Reason::KeyMemoryFull, "no key room"),
        (Reason::Draining, "leaving"),
        (Reason::DeadlineReached, "due"),
        (Reason::DownstreamUnavailable, "no call"),
        (Reason::ProcessAtCapacity, "process full"),
        (Reason::RunFailed, "run failed"),
        (Reason::EarlierAttemptFailed, "forerunner failed"),
        (Reason::DuplicateName, "name taken"),
        (Reason::KeyConflict, "key taken"),
        (Reason::HandlerLost, "lost"),
        (Reason::WarmingUp, "cold"),
        (Reason::UnknownToAgent, "unknown"),
        (Reason::RunInDoubt, "in doubt"),
    ];

    /// Returns the text used in logs, traces and load reports.
    pub fn text(self) -> &'static str {
        Reason::ALL[self as usize].1
    }

    /// Returns the code in trace files, which is stable and below 16.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns the reason with the given code in trace files.
    pub fn from_code(code: u8) -> Option<Reason> {
        Reason::ALL.get(usize::from(code)).map(|known| known.0)
    }
}

#[cfg(test)]
mod tests;
