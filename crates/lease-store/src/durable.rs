//! What a replica must have on disk: the raft hard state, the log entries and the last snapshot, in the forms in which they are written.
//!
//! All types here are stored with postcard, by position: fields are never reordered, added or removed.

use protobuf::ProtobufEnum;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One log entry as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEntry {
    /// Position in the log.
    pub index: u64,
    /// Raft term that the entry was proposed in.
    pub term: u64,
    /// The `raft` crate's number of the entry's type.
    pub entry_type: i32,
    /// The proposal itself.
    pub data: Vec<u8>,
    /// What the proposer attached: the token of an operator's command, or nothing.
    pub context: Vec<u8>,
}

/// Raft's hard state: the current term, the vote given in it, and the commit index. It must never be forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHardState {
    /// The current raft term.
    pub term: u64,
    /// The replica that was voted for in this term, 0 for none.
    pub vote: u64,
    /// Index of the last entry that is known to be committed.
    pub commit: u64,
}

/// The replicated state up to an entry, in place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Raft term of that entry.
    pub term: u64,
    /// Replicas that vote.
    pub voters: Vec<u64>,
    /// Replicas that receive the log without a vote.
    pub learners: Vec<u64>,
    /// The lease table and the members, serialized; empty in the snapshot that a cluster starts from.
    pub data: Vec<u8>,
}

/// What must be on disk as a whole before the messages that depend on it may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingWrite {
    /// Rises with each write of one process; [`crate::replica::Replica::persisted`] takes it back. 0 where nothing waits for the write.
    pub number: u64,
    /// The hard state, if it changed.
    pub hard_state: Option<StoredHardState>,
    /// New entries. Stored entries from the first one's index on are replaced by these.
    pub entries: Vec<StoredEntry>,
    /// A new snapshot. Stored entries up to its index are removed.
    pub snapshot: Option<StoredSnapshot>,
}

impl PendingWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// All that a replica has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Raft's hard state.
    pub hard_state: StoredHardState,
    /// The last snapshot.
    pub snapshot: StoredSnapshot,
    /// The entries after the snapshot, by index.
    pub entries: Vec<StoredEntry>,
}

/// Why a durable state can't have been written by a replica as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CorruptState {
    /// An entry is missing or out of order.
    #[error("entry {found} stands where {expected} is due")]
    Gap {
        /// The index that should be there.
        expected: u64,
        /// The index that is there.
        found: u64,
    },
    /// Committed entries are missing at the end.
    #[error("the log ends at {last}, before what was known to be committed, {commit}")]
    Truncated {
        /// Index of the last entry.
        last: u64,
        /// The commit index of the hard state.
        commit: u64,
    },
    /// An entry's type is not one of raft's.
    #[error("entry {index} has unknown type {entry_type}")]
    UnknownEntryType {
        /// The entry's index.
        index: u64,
        /// The stored number of its type.
        entry_type: i32,
    },
    /// There is a log or a snapshot, and nobody who votes.
    #[error("the snapshot names no voters")]
    NoVoters,
}

impl DurableState {
    /// The first state of a replica in a new cluster of these voters, all of which start with the same.
    pub fn bootstrap(voters: &[u64]) -> DurableState {
        let snapshot =
            StoredSnapshot { index: 1, term: 1, voters: voters.to_vec(), ..StoredSnapshot::default() };
        let hard_state = StoredHardState { term: 1, vote: 0, commit: 1 };
        DurableState { hard_state, snapshot, entries: Vec::new() }
    }

    /// The first state of a replica that joins a running cluster: it knows nobody, and learns from the leader.
    pub fn join() -> DurableState {
        DurableState::default()
    }

    /// Applies a write in memory. [`crate::store::Store::write`] does the same on disk.
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

    /// Checks that the state is whole: a replica must not vote with a part of what it once knew.
    ///
    /// # Errors
    /// The first inconsistency found.
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
    /// The voters and learners in raft's form.
    pub(crate) fn conf_state(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), learners: self.learners.clone(), ..ConfState::default() }
    }
}

#[cfg(test)]
mod tests;
