//! How runs and calls come out, and why requests are not settled.

/// How a run or a downstream call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It delivered its result.
    Completed,
    /// It ended with an error.
    Failed,
    /// It was rejected before it ran.
    Rejected,
    /// It did not end within its time-out.
    TimedOut,
    /// Nobody answered at the other side.
    Unreachable,
    /// The connection broke while it ran.
    ConnectionLost,
    /// It was stopped on purpose.
    Cancelled,
    /// It was over before it began.
    NotNeeded,
}

impl Outcome {
    /// Whether the outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotNeeded)
    }
}

/// Why a request was rejected or failed, whoever decided it: logs, traces and answers give the same reason.
///
/// The discriminants are the codes in trace files: variants are only ever added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// It was queued for longer than its class's threshold.
    WaitedTooLong,
    /// It could not finish in the time left.
    InsufficientTime,
    /// The queue was cut to stay within memory.
    MemoryPressure,
    /// It has an idempotency key, for which there was no memory.
    KeyMemoryFull,
    /// It arrived after the drain's grace.
    Draining,
    /// Its deadline came.
    DeadlineReached,
    /// It could not get a downstream call that it can't do without.
    DownstreamUnavailable,
    // The host's own, from here on: the policy never hears of these requests, or not of their ends.
    /// The process has no room for one more request.
    ProcessAtCapacity,
    /// Its run failed.
    RunFailed,
    /// The earlier attempt under its idempotency key failed, or left no result.
    EarlierAttemptFailed,
    /// A request of the same name is in flight.
    DuplicateName,
    /// Its idempotency key belongs to a request of other content.
    KeyConflict,
    /// Whatever handled it in the host ended early.
    HandlerLost,
    // The policy's again.
    /// The server is warming up and has as much in flight as it can bear.
    WarmingUp,
    // The host's.
    /// The agent did not know the requests that came before it on its connection.
    UnknownToAgent,
}

impl Reason {
    const ALL: [(Reason, &'static str); 15] = [
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
    ];

    /// As logs, traces and load reports write it.
    pub fn text(self) -> &'static str {
        Reason::ALL[self as usize].1
    }

    /// The code in trace files, under 16; it never changes its meaning.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// The reason with this code in trace files, if there is one.
    pub fn from_code(code: u8) -> Option<Reason> {
        Reason::ALL.get(usize::from(code)).map(|known| known.0)
    }
}

#[cfg(test)]
mod tests;
