//! Attempt ids of runs that have ended and must not begin again, kept while their gateway may send them once more. Keyed
//! requests need no entry: their idempotency key is kept.

use super::identifiers::AttemptId;
use std::collections::{HashSet, VecDeque};

struct EndedAttempt {
    attempt: AttemptId,
    /// Time until which the id is kept, s.
    kept_until: f64,
}

/// Bounded table of ended attempts, oldest first.
pub struct EndedAttempts {
    by_age: VecDeque<EndedAttempt>,
    known: HashSet<AttemptId>,
    max_attempts: usize,
    /// Time for which an id is kept, s.
    retention: f64,
}

impl EndedAttempts {
    /// Returns an empty table of at most `max_attempts` ids, each kept for `retention` seconds.
    pub fn new(max_attempts: usize, retention: f64) -> EndedAttempts {
        EndedAttempts { by_age: VecDeque::new(), known: HashSet::new(), max_attempts, retention }
    }

    /// Records the end of a run. If the table is full, the oldest id is dropped.
    pub fn insert(&mut self, attempt: AttemptId, now: f64) {
        self.expire(now);
        if !self.known.insert(attempt) {
            return;
        }
        self.by_age.push_back(EndedAttempt { attempt, kept_until: now + self.retention });
        if self.by_age.len() > self.max_attempts {
            self.remove_oldest();
        }
    }

    /// Returns whether a run under this id has ended.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.known.contains(attempt)
    }

    /// Removes ids that have been kept for long enough.
    pub fn expire(&mut self, now: f64) {
        while self.by_age.front().is_some_and(|oldest| oldest.kept_until < now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.known.remove(&oldest.attempt);
        }
    }
}

#[cfg(test)]
mod tests;
