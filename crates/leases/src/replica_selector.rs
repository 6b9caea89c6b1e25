//! Selection of the lease store's replica that an instance connects to. An instance follows redirects to the leader,
//! switches to the next replica when one fails, and backs off with jitter when all have failed, so that many instances
//! do not reconnect at the same moment.

use crate::SeededRandom;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Shortest backoff, s.
const MIN_BACKOFF: f64 = 0.05;
/// Longest backoff, s.
const MAX_BACKOFF: f64 = 2.0;
/// Upper bound of a backoff as a multiple of the previous one (decorrelated jitter).
const BACKOFF_FACTOR: f64 = 3.0;
/// Maximum number of redirects followed in a row without a response; replicas may redirect to each other during an election.
const MAX_REDIRECTS: usize = 2;
/// Maximum number of replicas whose addresses an instance keeps.
pub const MAX_REPLICAS: usize = 16;

/// Next action of an instance without a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// Connect to the replica of this number.
    Connect(u64),
    /// Wait until this time, s.
    WaitUntil(f64),
}

/// The addresses of the replicas and the replica that an instance uses.
#[derive(Clone, Debug)]
pub struct ReplicaSelector<A> {
    replicas: BTreeMap<u64, A>,
    /// The replica to use, whether connected or not.
    current: u64,
    connected: bool,
    redirects: usize,
    /// Failures since the last response.
    failures: usize,
    backoff: f64,
    not_before: f64,
    random: SeededRandom,
}

impl<A: Clone> ReplicaSelector<A> {
    /// Creates a selector for `replicas` (by number). `seed` determines the first replica and the backoffs and must
    /// differ between instances.
    pub fn new(replicas: BTreeMap<u64, A>, seed: u64) -> ReplicaSelector<A> {
        let mut random = SeededRandom::new(seed);
        let index = random.next_index(replicas.len().max(1));
        let current = replicas.keys().nth(index).copied().unwrap_or(0);
        ReplicaSelector {
            replicas,
            current,
            connected: false,
            redirects: 0,
            failures: 0,
            backoff: MIN_BACKOFF,
            not_before: f64::MIN,
            random,
        }
    }

    /// Returns the address of a replica, if it is known.
    pub fn address(&self, replica: u64) -> Option<&A> {
        self.replicas.get(&replica)
    }

    /// Returns the connected replica, if any.
    pub fn connected(&self) -> Option<u64> {
        self.connected.then_some(self.current)
    }

    /// Returns what to do at `now` (s) without a connection.
    pub fn next_action(&self, now: f64) -> NextAction {
        if self.replicas.is_empty() {
            return NextAction::WaitUntil(f64::MAX);
        }
        if now < self.not_before {
            return NextAction::WaitUntil(self.not_before);
        }
        NextAction::Connect(self.current)
    }

    /// Records that the connection is open.
    pub fn mark_connected(&mut self) {
        self.connected = true;
    }

    /// Records a useful response of the replica, which resets failures and backoff.
    pub fn mark_healthy(&mut self) {
        self.redirects = 0;
        self.failures = 0;
        self.backoff = MIN_BACKOFF;
        self.not_before = f64::MIN;
    }

    /// Handles a redirect from a replica that is not the leader to `leader`, if it is known. The address is given for
    /// replicas that may not be in the configuration.
    pub fn follow_redirect(&mut self, now: f64, leader: Option<(u64, Option<A>)>) {
        self.connected = false;
        let leader = leader.and_then(|(number, address)| self.add_leader(number, address));
        match leader {
            Some(number) if self.redirects < MAX_REDIRECTS => {
                self.current = number;
                self.redirects += 1;
            }
            _ => self.mark_failed(now),
        }
    }

    /// Adds the leader's address if it is unknown; returns its number if it is another replica with a known address.
    fn add_leader(&mut self, number: u64, address: Option<A>) -> Option<u64> {
        if let Some(address) = address.filter(|_| self.replicas.len() < MAX_REPLICAS) {
            // The configured address takes precedence, since it may be specific to this instance.
            self.replicas.entry(number).or_insert(address);
        }
        Some(number).filter(|number| *number != self.current && self.replicas.contains_key(number))
    }

    /// Records a failed connection or a timeout and selects the next replica, after a backoff once all have failed.
    pub fn mark_failed(&mut self, now: f64) {
        self.connected = false;
        self.redirects = 0;
        self.failures += 1;
        let mut others = self.replicas.keys().copied().cycle().skip_while(|number| *number != self.current);
        self.current = others.nth(1).unwrap_or(self.current);
        if self.failures.is_multiple_of(self.replicas.len().max(1)) {
            let longest = (BACKOFF_FACTOR * self.backoff).min(MAX_BACKOFF);
            self.backoff = MIN_BACKOFF + (longest - MIN_BACKOFF) * self.random.next_f64();
            self.not_before = now + self.backoff;
        }
    }
}
