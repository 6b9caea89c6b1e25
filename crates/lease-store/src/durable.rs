//! Durable state of a replica: the raft hard state, the log entries and the last snapshot, as they are stored.
//!
//! The types here are stored with postcard, which encodes fields by position: never reorder, add or remove fields.

use protobuf::ProtobufEnum;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Stored log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEntry {
    /// Index in the log.
    pub index: u64,
    /// Raft term in which the entry was proposed.
    pub term: u64,
    /// Entry type, as the `raft` crate numbers it.
    pub entry_type: i32,
    /// Encoded proposal.
    pub data: Vec<u8>,
    /// Token of the operator command that proposed the entry, or empty.
    pub context: Vec<u8>,
}

/// Raft hard state: the current term, the vote cast in it, and the commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHardState {
    /// Current raft term.
    pub term: u64,
    /// Replica voted for in this term, 0 if none.
    pub vote: u64,
    /// Index of the last entry known to be committed.
    pub commit: u64,
}

/// Replicated state as of a log entry, which replaces the log up to and including that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last entry included in the snapshot.
    pub index: u64,
    /// Raft term of the last included entry.
    pub term: u64,
    /// Voting replicas.
    pub voters: Vec<u64>,
    /// Replicas that receive the log but do not vote.
    pub learners: Vec<u64>,
    /// Encoded lease table and members; empty in the bootstrap snapshot.
    pub data: Vec<u8>,
}

/// Changes to write atomically, before the messages that depend on them may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingWrite {
    /// Sequence number to pass to [`crate::replica::Replica::persisted`]; 0 if no message depends on the write.
    pub sequence: u64,
    /// Hard state, if it changed.
    pub hard_state: Option<StoredHardState>,
    /// New entries. They replace all stored entries from the index of the first one on.
    pub entries: Vec<StoredEntry>,
    /// New snapshot. Stored entries up to its index are removed.
    pub snapshot: Option<StoredSnapshot>,
}

impl PendingWrite {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// Everything a replica has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Raft hard state.
    pub hard_state: StoredHardState,
    /// Last snapshot.
    pub snapshot: StoredSnapshot,
    /// Entries after the snapshot, in index order.
    pub entries: Vec<StoredEntry>,
}

/// Inconsistency in a durable state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CorruptState {
    /// An entry is missing or out of order.
    #[error("log entry missing or out of order: expected index {expected}, got {found}")]
    Gap {
        /// Expected index.
        expected: u64,
        /// Actual index.
        found: u64,
    },
    /// Committed entries are missing at the end.
    #[error("log truncated: it ends at index {last}, expected at least the commit index {commit}")]
    Truncated {
        /// Index of the last entry.
        last: u64,
        /// Commit index of the hard state.
        commit: u64,
    },
    /// An entry has a type that raft does not define.
    #[error("log entry {index} has unknown type {entry_type}")]
    UnknownEntryType {
        /// Index of the entry.
        index: u64,
        /// Stored entry type.
        entry_type: i32,
    },
    /// The log or the snapshot is not empty, but the snapshot lists no voters.
    #[error("the snapshot lists no voters, expected at least one")]
    NoVoters,
}

impl DurableState {
    /// Returns the initial state of a new cluster, the same at each of its voters.
    pub fn bootstrap(voters: &[u64]) -> DurableState {
        let snapshot =
            StoredSnapshot { index: 1, term: 1, voters: voters.to_vec(), ..StoredSnapshot::default() };
        let hard_state = StoredHardState { term: 1, vote: 0, commit: 1 };
        DurableState { hard_state, snapshot, entries: Vec::new() }
    }

    /// Returns the initial state of a replica that joins a running cluster. It learns the members from the leader.
    pub fn join() -> DurableState {
        DurableState::default()
    }

    /// Applies a write in memory, as [`crate::store::Store::write`] does on disk.
    pub fn apply(&mut self, write: &PendingWrite) {
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.clone();
            self.entries.retain(|entry| entry.index > snapshot.index);
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            let uncompacted = write.entries.iter().filter(|entry| entry.index > self.snapshot.index);
            self.entries.extend(uncompacted.cloned());
        }
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
    }

    /// Checks that the state is complete. A replica that lost part of its state must not vote.
    ///
    /// # Errors
    /// Returns the first inconsistency found.
    pub fn check(&self) -> Result<(), CorruptState> {
        if self.snapshot.voters.is_empty() && (self.snapshot.index > 0 || !self.entries.is_empty()) {
            return Err(CorruptState::NoVoters);
        }
        for (entry, expected) in self.entries.iter().zip(self.snapshot.index + 1..) {
            if entry.index != expected {
                return Err(CorruptState::Gap { expected, found: entry.index });
            }
            if EntryType::from_i32(entry.entry_type).is_none() {
                return Err(CorruptState::UnknownEntryType {
                    index: entry.index,
                    entry_type: entry.entry_type,
                });
            }
        }
        let last = self.snapshot.index + self.entries.len() as u64;
        if last < self.hard_state.commit {
            return Err(CorruptState::Truncated { last, commit: self.hard_state.commit });
        }
        Ok(())
    }
}

impl From<&HardState> for StoredHardState {
    fn from(state: &HardState) -> StoredHardState {
        StoredHardState { term: state.term, vote: state.vote, commit: state.commit }
    }
}

impl From<&StoredHardState> for HardState {
    fn from(stored: &StoredHardState) -> HardState {
        HardState { term: stored.term, vote: stored.vote, commit: stored.commit, ..HardState::default() }
    }
}

impl From<&Entry> for StoredEntry {
    fn from(entry: &Entry) -> StoredEntry {
        StoredEntry {
            index: entry.index,
            term: entry.term,
            entry_type: entry.get_entry_type().value(),
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<&StoredEntry> for Entry {
    fn from(stored: &StoredEntry) -> Entry {
        Entry {
            entry_type: EntryType::from_i32(stored.entry_type).unwrap_or_default(),
            term: stored.term,
            index: stored.index,
            data: stored.data.clone().into(),
            context: stored.context.clone().into(),
            ..Entry::default()
        }
    }
}

impl From<&Snapshot> for StoredSnapshot {
    fn from(snapshot: &Snapshot) -> StoredSnapshot {
        let metadata = snapshot.get_metadata();
        let membership = metadata.get_conf_state();
        StoredSnapshot {
            index: metadata.index,
            term: metadata.term,
            voters: membership.voters.clone(),
            learners: membership.learners.clone(),
            data: snapshot.data.to_vec(),
        }
    }
}

impl From<&StoredSnapshot> for Snapshot {
    fn from(stored: &StoredSnapshot) -> Snapshot {
        let mut snapshot = Snapshot { data: stored.data.clone().into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = stored.index;
        metadata.term = stored.term;
        *metadata.mut_conf_state() = stored.conf_state();
        snapshot
    }
}

impl StoredSnapshot {
    /// Returns the voters and learners as raft represents them.
    pub(crate) fn conf_state(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), learners: self.learners.clone(), ..ConfState::default() }
    }
}

#[cfg(test)]
mod tests;
