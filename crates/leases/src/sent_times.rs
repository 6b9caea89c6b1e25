//! Send times of numbered messages. The validity of a response counts from when the request was sent, so that network
//! delay cannot extend it.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Send times of the latest messages, by number.
#[derive(Clone, Debug, PartialEq)]
pub struct SentTimes {
    last_number: u64,
    capacity: usize,
    times: VecDeque<f64>,
}

impl SentTimes {
    /// Creates an empty record whose next number is the one after `last_number`. Keeps the times of the latest
    /// `capacity` messages.
    pub fn new(last_number: u64, capacity: usize) -> SentTimes {
        SentTimes { last_number, capacity, times: VecDeque::new() }
    }

    /// Returns the number of the latest message.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Records a message sent at `now` (s) and returns its number.
    pub fn record(&mut self, now: f64) -> u64 {
        self.last_number += 1;
        self.times.push_back(now);
        if self.times.len() > self.capacity {
            self.times.pop_front();
        }
        self.last_number
    }

    /// Returns when the message of this number was sent (s), if its time is still kept.
    pub fn sent_at(&self, number: u64) -> Option<f64> {
        let age = usize::try_from(self.last_number.checked_sub(number)?).ok()?;
        let index = self.times.len().checked_sub(age + 1)?;
        self.times.get(index).copied()
    }
}
