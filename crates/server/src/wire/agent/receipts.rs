//! Which commands the agent has read, as shown by its answers to samples. No I/O.
//!
//! The agent reads commands and answers samples in order: the answer to a sample shows that every command sent before
//! it on the same connection was read.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Number of ranges of possibly lost commands that are kept apart; older ones are merged.
const MAX_LOST_RANGES: usize = 16;

/// Number of a sample. Numbers increase over all connections.
pub type SampleTag = u64;

/// Position of a command among the samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStamp {
    /// The command was given to no connection.
    Unsent,
    /// The command was sent after the sample with this tag.
    After(SampleTag),
}

/// What is known about the receipt of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The agent has not read it and will not.
    Unsent,
    /// It is on its way on the open connection.
    Pending,
    /// The agent has read it.
    Confirmed,
    /// The connection closed before an answer showed that it was read.
    PossiblyLost,
}

/// Record of the samples sent and answered.
#[derive(Debug, Default)]
pub struct Receipts {
    last_sent: SampleTag,
    last_answered: SampleTag,
    /// Stamps of commands that closed connections may have lost; no later answer confirms them.
    possibly_lost: VecDeque<RangeInclusive<SampleTag>>,
}

impl Receipts {
    /// Returns the tag of the next sample.
    pub fn next_sample(&mut self) -> SampleTag {
        self.last_sent += 1;
        self.last_sent
    }

    /// Returns the stamp of a command that is sent now.
    pub fn stamp(&self) -> CommandStamp {
        CommandStamp::After(self.last_sent)
    }

    /// Records the answer to a sample.
    pub fn record_answer(&mut self, tag: SampleTag) {
        self.last_answered = self.last_answered.max(tag);
    }

    /// Records that the connection was closed: what it had not confirmed may be lost.
    pub fn record_close(&mut self) {
        if self.possibly_lost.len() == MAX_LOST_RANGES {
            self.merge_oldest();
        }
        self.possibly_lost.push_back(self.last_answered..=self.last_sent);
        // Commands of the next connection must not fall into the range.
        self.last_sent += 1;
    }

    /// Returns what is known about the receipt of a command.
    pub fn receipt(&self, stamp: CommandStamp) -> Receipt {
        let CommandStamp::After(tag) = stamp else { return Receipt::Unsent };
        if self.possibly_lost.iter().any(|range| range.contains(&tag)) {
            Receipt::PossiblyLost
        } else if tag < self.last_answered {
            Receipt::Confirmed
        } else {
            Receipt::Pending
        }
    }

    /// Merges the two oldest ranges. Commands between them, long settled, count as possibly lost again.
    fn merge_oldest(&mut self) {
        if let (Some(oldest), Some(next)) = (self.possibly_lost.pop_front(), self.possibly_lost.pop_front()) {
            self.possibly_lost.push_front(*oldest.start()..=*next.end());
        }
    }
}

#[cfg(test)]
mod tests;
