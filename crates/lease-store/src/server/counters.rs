//! Counters since the start of the process. Their names are part of the status that operators' tools read.

use puffinladder_leases::table::{Cause, Change, ChangeKind};
use std::collections::BTreeMap;

/// Requests from instances.
pub(super) const LEASE_REQUESTS: &str = "lines";
/// Responses to instances.
pub(super) const LEASE_RESPONSES: &str = "told";
/// Messages from peers.
pub(super) const PEER_MESSAGES: &str = "messages";
/// Messages from peers that were ignored.
pub(super) const INVALID_PEER_MESSAGES: &str = "messages-unfit";
/// Bytes of messages to peers.
pub(super) const PEER_BYTES: &str = "bytes-to-peers";
/// Messages to peers that were dropped.
pub(super) const DROPPED_PEER_MESSAGES: &str = "messages-dropped";
/// Requests and commands that were rejected.
pub(super) const REJECTED: &str = "refused";
/// Number of times that the replica became the leader.
pub(super) const LEADERSHIPS: &str = "led";
/// Disk syncs.
pub(super) const SYNCS: &str = "syncs";

/// Counters by name. A counter is created by the first addition to it.
#[derive(Default)]
pub(super) struct Counters {
    by_name: BTreeMap<String, u64>,
}

impl Counters {
    pub fn add(&mut self, name: &str, count: u64) {
        match self.by_name.get_mut(name) {
            Some(total) => *total += count,
            None => drop(self.by_name.insert(name.to_string(), count)),
        }
    }

    pub fn increment(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Returns all counters, including the number of syncs.
    pub fn snapshot(&self, syncs: u64) -> BTreeMap<String, u64> {
        let mut all = self.by_name.clone();
        all.insert(SYNCS.to_string(), syncs);
        all
    }
}

/// Returns the counter name of a lease change.
pub(super) fn change_counter(change: &Change) -> String {
    format!("changes-{}-{}", kind_name(change.kind), cause_name(change.cause))
}

fn kind_name(kind: ChangeKind) -> &'static str {
    match kind {
        ChangeKind::Granted => "given",
        ChangeKind::Revoked => "takenback",
        ChangeKind::Ended => "ended",
    }
}

fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Vacant => "vacant",
        Cause::Expired => "expired",
        Cause::Released => "handedover",
        Cause::ReleaseTimeout => "nothandedover",
        Cause::Draining => "draining",
        Cause::Stalled => "stalled",
        Cause::Rebalanced => "levelled",
        Cause::Moved => "moved",
        Cause::Paused => "paused",
        Cause::Undeclared => "dropped",
    }
}

#[cfg(test)]
mod tests;
