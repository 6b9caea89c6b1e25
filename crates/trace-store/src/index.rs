//! In-memory index of tasks and files, which decides on announcements and blocks without I/O. A decision takes effect only when
//! [`TraceIndex::apply`] is called with its update, so that the index does not get ahead of pending writes.

use crate::protocol::{BlockId, FileId, FileProgress, PutOutcome};
use puffinladder_leases::fence::{Fence, FenceRecord, Verdict};
use puffinladder_leases::{Epoch, Task};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of files in the index, which bounds its memory.
pub const MAX_FILES: usize = 1_000_000;
/// Maximum length of the name of a server, file or task, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum number of task parts in the fence, which bounds its memory.
const MAX_TASK_PARTS: usize = 100_000;

/// Changes that are written in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexUpdate {
    /// Task part of the lease holder that made the request.
    pub task: Task,
    /// Fence state of that part after the write.
    pub fence: FenceRecord,
    /// The stored block; `None` for an announcement.
    pub block: Option<StoredBlock>,
    /// Files whose blocks are removed to free capacity. Their progress is kept.
    pub evicted: Vec<FileId>,
    /// File that is removed with its progress because the index is full: the one that was completed first.
    pub dropped: Option<FileId>,
}

/// A block to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBlock {
    /// File of the block.
    pub file: FileId,
    /// Index of the block in the file, from 0.
    pub position: u64,
    /// Progress of the file including this block.
    pub progress: FileProgress,
}

/// The outcome of a request, and the changes to be written before its response is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<T> {
    /// Outcome for the response.
    pub outcome: T,
    /// Changes to be written, if any.
    pub update: Option<IndexUpdate>,
}

impl<T> Decision<T> {
    fn unchanged(outcome: T) -> Decision<T> {
        Decision { outcome, update: None }
    }
}

/// A file as read from disk.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedFile {
    /// Identity of the file.
    pub id: FileId,
    /// How much of the file was stored.
    pub progress: FileProgress,
    /// Bytes of its stored blocks; 0 after eviction.
    pub bytes: u64,
}

/// Latest epoch of each task part, and stored progress of each file.
#[derive(Clone, Debug, Default)]
pub struct TraceIndex {
    fence: Fence,
    progress: BTreeMap<FileId, FileProgress>,
    /// Bytes of each file's stored blocks.
    sizes: BTreeMap<FileId, u64>,
    /// Complete files that have blocks, in order of completion.
    evictable: VecDeque<FileId>,
    /// All complete files, with or without blocks, in order of completion.
    complete: VecDeque<FileId>,
    bytes: u64,
    max_bytes: u64,
    max_files: usize,
    rejected: u64,
}

/// Files to remove before a block is stored.
struct Removals {
    evicted: Vec<FileId>,
    dropped: Option<FileId>,
}

/// A block does not fit even after evicting all evictable files, or its file can't be indexed.
struct CapacityExceeded;

/// Returns whether a name is safe as a component of a path.
pub fn is_valid_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "._-+:".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.starts_with('.') && name.chars().all(is_plain)
}

impl TraceIndex {
    /// Creates an index from the stored state: the fence's records, and the files in order of completion. Blocks may occupy
    /// `max_bytes`.
    pub fn new(
        max_bytes: u64,
        fence: impl IntoIterator<Item = (Task, FenceRecord)>,
        files: impl IntoIterator<Item = IndexedFile>,
    ) -> TraceIndex {
        let fence = Fence::from_records(fence);
        let mut index = TraceIndex { fence, max_bytes, max_files: MAX_FILES, ..TraceIndex::default() };
        for IndexedFile { id, progress, bytes } in files {
            index.bytes += bytes;
            if progress.complete && bytes > 0 {
                index.evictable.push_back(id.clone());
            }
            if progress.complete {
                index.complete.push_back(id.clone());
            }
            index.sizes.insert(id.clone(), bytes);
            index.progress.insert(id, progress);
        }
        index
    }

    /// Returns the total size of all stored blocks, in bytes.
    pub fn stored_bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of effects of superseded epochs that were rejected since the process started.
    pub fn rejected_effects(&self) -> u64 {
        self.rejected
    }

    /// Returns all indexed files, ordered by name, with their progress.
    pub fn files(&self) -> impl Iterator<Item = (&FileId, &FileProgress)> {
        self.progress.iter()
    }

    /// Returns the latest epoch of a task part, and the number of its last effect.
    pub fn fence_state(&self, task: &Task) -> FenceRecord {
        self.fence.record(task)
    }

    /// Decides on a lease holder's announcement of its epoch. Invalid names, and new parts when the fence is full, are rejected
    /// as superseded by the highest possible epoch.
    pub fn announce(&self, task: &Task, epoch: Epoch) -> Decision<Verdict> {
        let is_new_task = self.fence_state(task).epoch == 0;
        let too_many_parts = is_new_task && self.fence.records().count() >= MAX_TASK_PARTS;
        if !is_valid_name(&task.name) || too_many_parts {
            return Decision::unchanged(Verdict::Stale { latest: Epoch::MAX });
        }
        let verdict = self.fence.restricted_to(task).announce(task, epoch);
        if verdict != Verdict::New {
            return Decision::unchanged(verdict);
        }
        let update = IndexUpdate {
            task: task.clone(),
            fence: FenceRecord { epoch, number: 0 },
            block: None,
            evicted: Vec::new(),
            dropped: None,
        };
        Decision { outcome: verdict, update: Some(update) }
    }

    /// Decides on a lease holder's effect `number` under its epoch: to store block `id` of `bytes` bytes.
    pub fn put(
        &mut self,
        task: &Task,
        epoch: Epoch,
        number: u64,
        id: &BlockId,
        bytes: u64,
    ) -> Decision<PutOutcome> {
        let verdict = self.fence.check(task, epoch, number);
        if verdict != Verdict::New {
            self.rejected += u64::from(matches!(verdict, Verdict::Stale { .. }));
            return Decision::unchanged(PutOutcome::Fence(verdict));
        }
        // An epoch must be announced first: the response contains the progress to resume from.
        if self.fence_state(task).epoch != epoch {
            return Decision::unchanged(PutOutcome::Fence(Verdict::Gap { expected: 0 }));
        }
        let stored = self.progress.get(&id.file).copied().unwrap_or_default();
        if stored.complete || stored.blocks != id.position {
            return Decision::unchanged(PutOutcome::UnexpectedBlock(stored));
        }
        let Ok(Removals { evicted, dropped }) = self.plan_removals(&id.file, bytes) else {
            return Decision::unchanged(PutOutcome::Full);
        };
        let progress = FileProgress { blocks: stored.blocks + 1, complete: id.last };
        let update = IndexUpdate {
            task: task.clone(),
            fence: FenceRecord { epoch, number },
            block: Some(StoredBlock { file: id.file.clone(), position: id.position, progress }),
            evicted,
            dropped,
        };
        Decision { outcome: PutOutcome::Fence(Verdict::New), update: Some(update) }
    }

    /// Returns the files to remove before `bytes` bytes of a file are stored.
    fn plan_removals(&self, file: &FileId, bytes: u64) -> Result<Removals, CapacityExceeded> {
        if !is_valid_name(&file.server) || !is_valid_name(&file.name) {
            return Err(CapacityExceeded);
        }
        Ok(Removals { evicted: self.files_to_evict(bytes)?, dropped: self.file_to_drop(file)? })
    }

    fn file_to_drop(&self, file: &FileId) -> Result<Option<FileId>, CapacityExceeded> {
        if self.progress.contains_key(file) || self.progress.len() < self.max_files {
            return Ok(None);
        }
        // Its server has already deleted the file completed first, since a recorder keeps only a few hundred files.
        self.complete.front().cloned().map(Some).ok_or(CapacityExceeded)
    }

    fn files_to_evict(&self, bytes: u64) -> Result<Vec<FileId>, CapacityExceeded> {
        let mut evicted = Vec::new();
        let mut remaining = self.bytes + bytes;
        for file in &self.evictable {
            if remaining <= self.max_bytes {
                break;
            }
            remaining -= self.sizes.get(file).copied().unwrap_or(0);
            evicted.push(file.clone());
        }
        if remaining > self.max_bytes {
            return Err(CapacityExceeded);
        }
        Ok(evicted)
    }

    /// Applies an update whose block has `bytes` bytes.
    pub fn apply(&mut self, update: &IndexUpdate, bytes: u64) {
        self.fence.insert(&update.task, update.fence);
        for file in &update.evicted {
            self.bytes -= self.sizes.insert(file.clone(), 0).unwrap_or(0);
            self.evictable.retain(|other| other != file);
        }
        if let Some(file) = &update.dropped {
            self.bytes -= self.sizes.remove(file).unwrap_or(0);
            self.progress.remove(file);
            self.evictable.retain(|other| other != file);
            self.complete.retain(|other| other != file);
        }
        if let Some(StoredBlock { file, progress, .. }) = &update.block {
            *self.sizes.entry(file.clone()).or_default() += bytes;
            self.bytes += bytes;
            self.progress.insert(file.clone(), *progress);
            if progress.complete {
                self.evictable.push_back(file.clone());
                self.complete.push_back(file.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests;
