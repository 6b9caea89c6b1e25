//! Lines that were sent, by number, and when: what an answer allows counts from when the line was sent that it answers.

use std::collections::VecDeque;

#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    last: u64,
    most: usize,
    times: VecDeque<f64>,
}

impl Sent {
    /// The next line is the one behind `last`; the times of the latest `most` are kept, older answers come too late to matter.
    pub fn after(last: u64, most: usize) -> Sent {
        Sent { last, most, times: VecDeque::new() }
    }

    /// The number of the last line.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A line goes out now; its number.
    pub fn send(&mut self, now: f64) -> u64 {
        self.last += 1;
        self.times.push_back(now);
        if self.times.len() > self.most {
            self.times.pop_front();
        }
        self.last
    }

    /// When the line of that number was sent, if it was and is still known.
    pub fn at(&self, number: u64) -> Option<f64> {
        let back = usize::try_from(self.last.checked_sub(number)?).ok()?;
        self.times.get(self.times.len().checked_sub(back + 1)?).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_are_known_and_no_others() {
        let mut sent = Sent::after(7, 2);
        assert_eq!((sent.at(7), sent.at(u64::MAX)), (None, None));
        assert_eq!([1.0, 2.0, 3.0].map(|now| sent.send(now)), [8, 9, 10]);
        assert_eq!([7, 8, 9, 10, 11].map(|number| sent.at(number)), [None, None, Some(2.0), Some(3.0), None]);
        assert_eq!(sent.at(0), None);
    }
}
