//! Which replica of the lease store an instance connects to. It follows a redirect to the leader, turns to another
//! replica when one is silent or rejects it, and backs off between rounds, so that hundreds of instances that lost the
//! same replica do not all reconnect at the same moment.

use crate::SeededRandom;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Shortest backoff, s.
const MIN_BACKOFF: f64 = 0.05;
/// Longest backoff, s.
const MAX_BACKOFF: f64 = 2.0;
/// Each backoff is drawn between the shortest and this many times the one before (decorrelated jitter).
const BACKOFF_FACTOR: f64 = 3.0;
/// Redirects that are followed in a row without a response: replicas may point at each other during an election.
const MAX_REDIRECTS: usize = 2;
/// Replicas that one instance knows at the most.
pub const MAX_REPLICAS: usize = 16;

/// What an instance without a connection does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextAction {
    /// Connect to the replica of this number.
    Connect(u64),
    /// Do nothing before this time, s.
    WaitUntil(f64),
}

/// The replicas that an instance knows, with their addresses, and the one it uses.
#[derive(Clone, Debug)]
pub struct ReplicaSelector<A> {
    replicas: BTreeMap<u64, A>,
    /// The replica that it uses, or would.
    current: u64,
    connected: bool,
    redirects: usize,
    /// Replicas that failed since the last response.
    failures: usize,
    backoff: f64,
    not_before: f64,
    random: SeededRandom,
}

impl<A: Clone> ReplicaSelector<A> {
    /// Starts at one of `replicas` (by number). `seed` is the instance's own: it determines where it starts and how
    /// long it backs off.
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

    /// The address of a replica, if it is known.
    pub fn address(&self, replica: u64) -> Option<&A> {
        self.replicas.get(&replica)
    }

    /// The replica that it is connected to, if it is.
    pub fn connected(&self) -> Option<u64> {
        self.connected.then_some(self.current)
    }

    /// What to do at `now` (s) without a connection.
    pub fn next_action(&self, now: f64) -> NextAction {
        if self.replicas.is_empty() {
            return NextAction::WaitUntil(f64::MAX);
        }
        if now < self.not_before {
            return NextAction::WaitUntil(self.not_before);
        }
        NextAction::Connect(self.current)
    }

    /// The connection is open.
    pub fn mark_connected(&mut self) {
        self.connected = true;
    }

    /// The replica gave a useful response: failures and backoff start over.
    pub fn mark_healthy(&mut self) {
        self.redirects = 0;
        self.failures = 0;
        self.backoff = MIN_BACKOFF;
        self.not_before = f64::MIN;
    }

    /// The replica does not lead; `leader` may, if it is named. Its address comes along if it joined later.
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

    /// Learns a replica's address; returns its number if it can be connected to in place of the current one.
    fn add_leader(&mut self, number: u64, address: Option<A>) -> Option<u64> {
        if let Some(address) = address.filter(|_| self.replicas.len() < MAX_REPLICAS) {
            // The configured address takes precedence: this instance may reach a replica another way than others do.
            self.replicas.entry(number).or_insert(address);
        }
        Some(number).filter(|number| *number != self.current && self.replicas.contains_key(number))
    }

    /// The replica could not be reached, closed the connection, or was silent for too long: the next one is used, after
    /// a backoff once all have failed.
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
