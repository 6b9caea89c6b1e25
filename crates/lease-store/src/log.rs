//! A keeper's log as consensus reads it, and the pieces of it that a disk must keep. All of it is in memory too: a snapshot bounds it.

use protobuf::ProtobufEnum;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error as Fault;

/// One entry as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub index: u64,
    pub term: u64,
    /// The library's number of the kind of entry.
    pub kind: i32,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

/// A vote that was given and the term it was given in: what must never be forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// The table up to an entry, in place of all entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shot {
    pub index: u64,
    pub term: u64,
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub table: Vec<u8>,
}

/// What must be on disk, whole, before what waits for it may go out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Save {
    /// Counts the saves of one life; [`crate::core::Core::saved`] takes it back.
    pub number: u64,
    pub vote: Option<Vote>,
    /// These and nothing behind them: entries kept from their first index on are gone.
    pub entries: Vec<Kept>,
    /// Entries up to its index may go.
    pub shot: Option<Shot>,
}

impl Save {
    pub fn is_empty(&self) -> bool {
        self.vote.is_none() && self.entries.is_empty() && self.shot.is_none()
    }
}

/// All that a keeper has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disk {
    pub vote: Vote,
    pub shot: Shot,
    pub entries: Vec<Kept>,
}

/// What can't be on a disk that was written as it should be.
#[derive(Clone, Debug, PartialEq, Eq, Fault)]
pub enum Torn {
    #[error("entry {found} stands where {expected} is due")]
    Gap { expected: u64, found: u64 },
    #[error("the log ends at {last}, before what was known to be committed, {commit}")]
    Short { last: u64, commit: u64 },
    #[error("entry {index} is of a kind that is not known, {kind}")]
    Kind { index: u64, kind: i32 },
    #[error("the snapshot names no voters")]
    Nobody,
}

impl Disk {
    /// A first disk of a keeper among these, all of which begin with the same.
    pub fn found(voters: &[u64]) -> Disk {
        let shot = Shot { index: 1, term: 1, voters: voters.to_vec(), ..Shot::default() };
        Disk { vote: Vote { term: 1, vote: 0, commit: 1 }, shot, entries: Vec::new() }
    }

    /// A first disk of a keeper that joins others: it knows nobody, and learns from whoever leads.
    pub fn join() -> Disk {
        Disk::default()
    }

    /// Carries out a save. Hosts with a real store do the same there, in one transaction.
    pub fn keep(&mut self, save: &Save) {
        if let Some(shot) = &save.shot {
            self.shot = shot.clone();
            self.entries.retain(|entry| entry.index > shot.index);
        }
        if let Some(first) = save.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(save.entries.iter().filter(|entry| entry.index > self.shot.index).cloned());
        }
        if let Some(vote) = save.vote {
            self.vote = vote;
        }
    }

    /// Says what makes it unusable, if anything: a keeper must not vote on half a memory.
    pub fn check(&self) -> Result<(), Torn> {
        if self.shot.voters.is_empty() && (self.shot.index > 0 || !self.entries.is_empty()) {
            return Err(Torn::Nobody);
        }
        for (entry, expected) in self.entries.iter().zip(self.shot.index + 1..) {
            if entry.index != expected {
                return Err(Torn::Gap { expected, found: entry.index });
            }
            if EntryType::from_i32(entry.kind).is_none() {
                return Err(Torn::Kind { index: entry.index, kind: entry.kind });
            }
        }
        let last = self.shot.index + self.entries.len() as u64;
        if last < self.vote.commit {
            return Err(Torn::Short { last, commit: self.vote.commit });
        }
        Ok(())
    }
}

impl Vote {
    pub(crate) fn of(state: &HardState) -> Vote {
        Vote { term: state.term, vote: state.vote, commit: state.commit }
    }
}

impl Kept {
    pub(crate) fn of(entry: &Entry) -> Kept {
        Kept {
            index: entry.index,
            term: entry.term,
            kind: entry.get_entry_type().value(),
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    fn entry(&self) -> Entry {
        let mut entry = Entry::default();
        (entry.index, entry.term) = (self.index, self.term);
        entry.set_entry_type(EntryType::from_i32(self.kind).unwrap_or_default());
        entry.data = self.data.clone().into();
        entry.context = self.context.clone().into();
        entry
    }
}

impl Shot {
    pub(crate) fn of(snapshot: &Snapshot) -> Shot {
        let meta = snapshot.get_metadata();
        let state = meta.get_conf_state();
        Shot {
            index: meta.index,
            term: meta.term,
            voters: state.voters.clone(),
            learners: state.learners.clone(),
            table: snapshot.data.to_vec(),
        }
    }

    fn conf(&self) -> ConfState {
        let mut state = ConfState::default();
        (state.voters, state.learners) = (self.voters.clone(), self.learners.clone());
        state
    }

    fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.table.clone().into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        *meta.mut_conf_state() = self.conf();
        snapshot
    }
}

/// The log that consensus reads: the last snapshot and all entries behind it.
#[derive(Debug)]
pub struct Log {
    state: HardState,
    conf: ConfState,
    shot: Shot,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(disk: &Disk) -> Result<Log, Torn> {
        disk.check()?;
        let mut state = HardState::default();
        (state.term, state.vote, state.commit) = (disk.vote.term, disk.vote.vote, disk.vote.commit);
        state.commit = state.commit.max(disk.shot.index);
        let entries = disk.entries.iter().map(Kept::entry).collect();
        Ok(Log { state, conf: disk.shot.conf(), shot: disk.shot.clone(), entries })
    }

    pub(crate) fn conf(&self) -> &ConfState {
        &self.conf
    }
    pub fn shot(&self) -> &Shot {
        &self.shot
    }
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
    fn first(&self) -> u64 {
        self.shot.index + 1
    }
    fn last(&self) -> u64 {
        self.shot.index + self.entries.len() as u64
    }

    pub(crate) fn set_state(&mut self, state: &HardState) {
        self.state = state.clone();
    }
    pub(crate) fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    /// Entries in place of all from their first on. They must join what is there, as the library gives them.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        if first.index <= self.shot.index || first.index > self.last() + 1 {
            return;
        }
        self.entries.truncate((first.index - self.first()) as usize);
        self.entries.extend(entries.iter().cloned());
    }

    /// A snapshot from the leader in place of everything.
    pub(crate) fn restore(&mut self, shot: Shot) {
        self.conf = shot.conf();
        self.state.commit = self.state.commit.max(shot.index);
        self.state.term = self.state.term.max(shot.term);
        self.shot = shot;
        self.entries.clear();
    }

    /// A snapshot of our own: entries up to there go. Says what is to be kept, unless there is nothing new.
    pub(crate) fn compact(&mut self, index: u64, table: Vec<u8>) -> Option<Shot> {
        if index <= self.shot.index || index > self.last() {
            return None;
        }
        let term = self.term(index).ok()?;
        self.entries.drain(..(index - self.shot.index) as usize);
        let (voters, learners) = (self.conf.voters.clone(), self.conf.learners.clone());
        self.shot = Shot { index, term, voters, learners, table };
        Some(self.shot.clone())
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.state.clone(), self.conf.clone()))
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
        if index == self.shot.index {
            return Ok(self.shot.term);
        }
        if index < self.shot.index {
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
        if self.shot.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.shot.snapshot())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kept(index: u64, term: u64) -> Kept {
        Kept { index, term, kind: 0, data: vec![index as u8], context: Vec::new() }
    }

    #[test]
    fn entries_replace_what_stood_from_their_first_on_and_a_snapshot_what_stood_before_it() {
        let mut disk = Disk::found(&[1, 2, 3]);
        disk.keep(&Save { entries: vec![kept(2, 1), kept(3, 1), kept(4, 1)], ..Save::default() });
        disk.keep(&Save { entries: vec![kept(3, 2)], ..Save::default() });
        let terms: Vec<(u64, u64)> = disk.entries.iter().map(|entry| (entry.index, entry.term)).collect();
        assert_eq!(terms, [(2, 1), (3, 2)]);
        let shot = Shot { index: 2, term: 1, voters: vec![1, 2, 3], ..Shot::default() };
        disk.keep(&Save { shot: Some(shot), ..Save::default() });
        assert_eq!(disk.entries, [kept(3, 2)]);
        let log = Log::new(&disk).unwrap();
        assert_eq!((log.first_index().unwrap(), log.last_index().unwrap()), (3, 3));
        assert_eq!((log.term(2).unwrap(), log.term(3).unwrap()), (1, 2));
        assert!(log.term(1).is_err() && log.term(4).is_err());
        assert_eq!(log.entries(3, 4, None, GetEntriesContext::empty(false)).unwrap().len(), 1);
        assert!(log.entries(3, 9, None, GetEntriesContext::empty(false)).is_err());
    }

    #[test]
    fn half_a_memory_is_refused() {
        let mut disk = Disk::found(&[1, 2, 3]);
        disk.entries = vec![kept(2, 1), kept(4, 1)];
        assert_eq!(disk.check(), Err(Torn::Gap { expected: 3, found: 4 }));
        disk.entries[1] = Kept { kind: 9, ..kept(3, 1) };
        assert_eq!(disk.check(), Err(Torn::Kind { index: 3, kind: 9 }));
        disk.entries.pop();
        disk.vote.commit = 3;
        assert_eq!(Log::new(&disk).unwrap_err(), Torn::Short { last: 2, commit: 3 });
        assert_eq!(Disk::join().check(), Ok(()));
        let shot = Shot { index: 1, term: 1, ..Shot::default() };
        assert_eq!(Disk { shot, ..Disk::default() }.check(), Err(Torn::Nobody));
    }
}
