//! When numbered messages were sent: whatever a response allows counts from when the message was sent that it
//! answers, so that no delay on the way can extend it.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The send times of the latest messages, by number.
#[derive(Clone, Debug, PartialEq)]
pub struct SentTimes {
    last_number: u64,
    capacity: usize,
    times: VecDeque<f64>,
}

impl SentTimes {
    /// No message sent yet; the next number is the one after `last_number`. The times of the latest `capacity` messages
    /// are kept, since older responses come too late to matter.
    pub fn new(last_number: u64, capacity: usize) -> SentTimes {
        SentTimes { last_number, capacity, times: VecDeque::new() }
    }

    /// The number of the latest message.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Records a message that is sent at `now` (s) and returns its number.
    pub fn record(&mut self, now: f64) -> u64 {
        self.last_number += 1;
        self.times.push_back(now);
        if self.times.len() > self.capacity {
            self.times.pop_front();
        }
        self.last_number
    }

    /// When the message of that number was sent (s), if it was and its time is still kept.
    pub fn sent_at(&self, number: u64) -> Option<f64> {
        let age = usize::try_from(self.last_number.checked_sub(number)?).ok()?;
        let index = self.times.len().checked_sub(age + 1)?;
        self.times.get(index).copied()
    }
}
