//! What the process counts since its start; the names are part of the status that operators' programs read. Changes of leases are counted
//! under their own names, see [`puffinladder_leases::table::Change::counter_name`].

use std::collections::BTreeMap;

/// Requests of instances.
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
/// Times that the replica became the leader.
pub(super) const LEADERSHIPS: &str = "led";
/// Syncs of the disk.
pub(super) const SYNCS: &str = "syncs";

/// Counts by name; a name is there once it was counted.
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

    /// All counts, with those of the disk's thread.
    pub fn snapshot(&self, syncs: u64) -> BTreeMap<String, u64> {
        let mut all = self.by_name.clone();
        all.insert(SYNCS.to_string(), syncs);
        all
    }
}

#[cfg(test)]
mod tests;
