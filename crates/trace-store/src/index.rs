//! What the trace store knows of tasks and files, and its decisions on announcements and blocks, without I/O. A decision takes effect here only when
//! [`TraceIndex::apply`] is called with what was written for it, so that nothing is acknowledged that a crash would undo.

use crate::protocol::{BlockId, FileId, FileProgress, PutOutcome};
use puffinladder_leases::fence::{Fence, FenceRecord, Verdict};
use puffinladder_leases::{Epoch, Task};
use std::collections::{BTreeMap, VecDeque};

/// Files that the index knows at the most, a bound on its memory.
pub const MAX_FILES: usize = 1_000_000;
/// Longest name of a server, file or task, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Parts of tasks that the fence knows at the most, a bound on its memory.
const MAX_TASK_PARTS: usize = 100_000;

/// What is to be written in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexUpdate {
    /// The part of the task whose lease holder asked for it.
    pub task: Task,
    /// The fence's state of that part after the write.
    pub fence: FenceRecord,
    /// The block that is stored, unless the write is for an announcement.
    pub block: Option<StoredBlock>,
    /// Files whose blocks are removed to free capacity; what is known of them stays.
    pub evicted: Vec<FileId>,
    /// A file that is removed with all that is known of it, since no more files may be known: the one that was completed first.
    pub dropped: Option<FileId>,
}

/// A block that is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBlock {
    /// Its file.
    pub file: FileId,
    /// How many blocks of the file come before it.
    pub position: u64,
    /// How much of the file is stored with it.
    pub progress: FileProgress,
}

/// The outcome of a request, and what is to be written before it is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<T> {
    /// What to answer.
    pub outcome: T,
    /// What to write, unless the request changes nothing.
    pub update: Option<IndexUpdate>,
}

impl<T> Decision<T> {
    fn unchanged(outcome: T) -> Decision<T> {
        Decision { outcome, update: None }
    }
}

/// A file as it is found on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedFile {
    /// Which file it is.
    pub id: FileId,
    /// How much of it was stored.
    pub progress: FileProgress,
    /// Bytes of its blocks that are stored now: 0 once it was evicted.
    pub bytes: u64,
}

/// Which epoch has been seen of each task, and how much of each file is stored.
#[derive(Clone, Debug, Default)]
pub struct TraceIndex {
    fence: Fence,
    progress: BTreeMap<FileId, FileProgress>,
    /// Bytes of a file's blocks that are stored now.
    sizes: BTreeMap<FileId, u64>,
    /// Complete files that have blocks, in the order in which they were completed.
    evictable: VecDeque<FileId>,
    /// All complete files in that order, with blocks or without.
    complete: VecDeque<FileId>,
    bytes: u64,
    max_bytes: u64,
    max_files: usize,
    rejected: u64,
}

/// What has to go before a block is stored.
struct Removals {
    evicted: Vec<FileId>,
    dropped: Option<FileId>,
}

/// There is no capacity for a block, even with all evicted that may be.
struct CapacityExceeded;

/// Whether a name may become part of a path where traces are exported.
pub fn is_valid_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "._-+:".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.starts_with('.') && name.chars().all(is_plain)
}

impl TraceIndex {
    /// An index of what is on disk: the fence's state, and the files in the order in which they were completed. Blocks may take `max_bytes`.
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

    /// Bytes of all blocks that are stored.
    pub fn stored_bytes(&self) -> u64 {
        self.bytes
    }

    /// Effects of superseded epochs that were rejected since the process started.
    pub fn rejected_effects(&self) -> u64 {
        self.rejected
    }

    /// All known files in the order of their names, and how much of each is stored.
    pub fn files(&self) -> impl Iterator<Item = (&FileId, &FileProgress)> {
        self.progress.iter()
    }

    /// The highest epoch that was seen of a task's part, and the number of its last effect.
    pub fn fence_state(&self, task: &Task) -> FenceRecord {
        self.fence.record(task)
    }

    /// A lease holder shows its epoch. Names that are not valid and parts past the bound get an epoch for an answer that none can follow.
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

    /// A lease holder's effect of that number under its epoch: the block `id` of so many bytes.
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
        // An epoch begins with its announcement, whose response says where to go on.
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

    /// What has to go before so many bytes of a file are stored.
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
        // Its server has long removed it by then: a recorder keeps some hundred files.
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

    /// Takes over what is written, with a block of so many bytes.
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
