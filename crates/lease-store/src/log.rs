//! In-memory raft log: the last snapshot and all entries after it, as the `raft` crate reads them.

use crate::durable::{CorruptState, DurableState, StoredSnapshot};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::collections::VecDeque;

/// Last snapshot, the entries after it, and the initial state for raft.
#[derive(Debug)]
pub(crate) struct ReplicaLog {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: StoredSnapshot,
    entries: VecDeque<Entry>,
}

impl ReplicaLog {
    /// Creates the log from a durable state, or returns the inconsistency found in it.
    pub fn new(durable: &DurableState) -> Result<ReplicaLog, CorruptState> {
        durable.check()?;
        let mut hard_state = HardState::from(&durable.hard_state);
        hard_state.commit = hard_state.commit.max(durable.snapshot.index);
        Ok(ReplicaLog {
            hard_state,
            conf_state: durable.snapshot.conf_state(),
            snapshot: durable.snapshot.clone(),
            entries: durable.entries.iter().map(Entry::from).collect(),
        })
    }

    /// Returns the voters and learners as of the last applied change.
    pub fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    /// Returns the index of the last entry included in the snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn first(&self) -> u64 {
        self.snapshot.index + 1
    }

    fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    pub fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = hard_state.clone();
    }

    pub fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// Replaces all entries from the index of the first given entry on. Ignores entries that would leave a gap.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        if first.index <= self.snapshot.index || first.index > self.last() + 1 {
            return;
        }
        self.entries.truncate((first.index - self.first()) as usize);
        self.entries.extend(entries.iter().cloned());
    }

    /// Replaces the whole log with a snapshot from the leader.
    pub fn restore(&mut self, snapshot: StoredSnapshot) {
        self.conf_state = snapshot.conf_state();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.hard_state.term = self.hard_state.term.max(snapshot.term);
        self.snapshot = snapshot;
        self.entries.clear();
    }

    /// Replaces the entries up to `index` with a local snapshot. Returns `None` if there is nothing to compact.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<StoredSnapshot> {
        if index <= self.snapshot.index || index > self.last() {
            return None;
        }
        let term = self.term(index).ok()?;
        self.entries.drain(..(index - self.snapshot.index) as usize);
        let voters = self.conf_state.voters.clone();
        let learners = self.conf_state.learners.clone();
        self.snapshot = StoredSnapshot { index, term, voters, learners, data };
        Some(self.snapshot.clone())
    }
}

impl Storage for ReplicaLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let range = (low - self.first()) as usize..(high - self.first()) as usize;
        let mut entries: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index < self.snapshot.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        match self.entries.get((index - self.first()) as usize) {
            Some(entry) => Ok(entry.term),
            None => Err(Error::Store(StorageError::Unavailable)),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(Snapshot::from(&self.snapshot))
    }
}

#[cfg(test)]
mod tests;
