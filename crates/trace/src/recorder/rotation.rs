//! What the recorder does next, decided without I/O and without a clock: when a block is full, when a file is,
//! which files go, when a disk that failed is tried again, and what is given up for it.

use std::collections::VecDeque;

/// Sizes and times that a recorder keeps to.
#[derive(Clone, Debug, PartialEq)]
pub struct RotationLimits {
    /// Rows of a block, and s that a row waits for its block to be full.
    pub block_rows: usize,
    pub max_block_age: f64,
    /// Bytes of a file, and s that one is written to.
    pub max_file_bytes: u64,
    pub max_file_age: f64,
    /// Bytes and number of files that may lie on the disk, the open one among them.
    pub max_total_bytes: u64,
    pub max_files: usize,
}

impl Default for RotationLimits {
    fn default() -> RotationLimits {
        RotationLimits {
            block_rows: 4096,
            max_block_age: 5.0,
            max_file_bytes: 64 << 20,
            max_file_age: 3600.0,
            max_total_bytes: 1 << 30,
            max_files: 200,
        }
    }
}

/// BlockWriter of rows that wait in memory for a disk that fails or is slow; what comes past them is dropped.
const MAX_PENDING_BLOCKS: usize = 2;
/// s until a disk that failed is tried again, duplicates each time up to the most.
const INITIAL_RETRY_DELAY: f64 = 1.0;
const MAX_RETRY_DELAY: f64 = 30.0;

/// What is to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin a new file.
    OpenFile,
    /// Write what waits as one block.
    WriteBlock,
    /// Seal the open file.
    SealFile,
    /// Let go of the open file as it is: it could not be written to.
    AbandonFile,
    /// Delete this file, the oldest.
    RemoveFile(String),
}

/// A file on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    pub name: String,
    pub bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum OpenFileState {
    Closed,
    /// Since when, and how large.
    Open(f64, u64),
    /// A write failed half way: no more may follow in this file.
    Broken,
}

/// The state of a recorder.
#[derive(Debug)]
pub struct Rotation {
    limits: RotationLimits,
    open: OpenFileState,
    /// Closed ones, oldest first.
    files: VecDeque<StoredFile>,
    /// Rows and notes that wait for a block, and since when.
    pending: usize,
    pending_since: f64,
    /// Not to be tried before, after so many failures in a row.
    retry_at: f64,
    failures: u32,
    /// Records given up since it was last told, and in all.
    unreported: u64,
    pub dropped: u64,
    shutting_down: bool,
}

impl Rotation {
    /// `files` are those that an earlier process left, oldest first.
    pub fn new(limits: RotationLimits, files: Vec<StoredFile>) -> Rotation {
        Rotation {
            limits,
            open: OpenFileState::Closed,
            files: files.into(),
            pending: 0,
            pending_since: 0.0,
            retry_at: 0.0,
            failures: 0,
            unreported: 0,
            dropped: 0,
            shutting_down: false,
        }
    }

    /// A record came. Whether it may wait; if not, it is dropped and counted.
    pub fn admit(&mut self, now: f64) -> bool {
        if self.pending >= MAX_PENDING_BLOCKS * self.limits.block_rows {
            self.add_lost(1);
            return false;
        }
        self.pending_since = if self.pending == 0 { now } else { self.pending_since };
        self.pending += 1;
        true
    }

    /// Records were lost before they came here, or with a block that failed.
    pub fn add_lost(&mut self, count: u64) {
        self.unreported += count;
        self.dropped += count;
    }

    /// How many are to be told as lost in the block that is written now.
    pub fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// The block in which so many were told could not be written: they are still to be told.
    pub fn restore_unreported(&mut self, count: u64) {
        self.unreported += count;
    }

    /// The process ends: all that waits is to be written and the file sealed. Nothing is tried twice then.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Whether all is done after [`Rotation::begin_shutdown`].
    pub fn is_finished(&self, now: f64) -> bool {
        self.shutting_down && self.next_action(now).is_none()
    }

    /// What to do now, one thing after the other until there is nothing.
    pub fn next_action(&self, now: f64) -> Option<Action> {
        if self.open == OpenFileState::Broken {
            return Some(Action::AbandonFile);
        }
        let open = if let OpenFileState::Open(_, bytes) = self.open { bytes } else { 0 };
        let lying: u64 = self.files.iter().map(|file| file.bytes).sum::<u64>() + open;
        let count = self.files.len() + usize::from(self.open != OpenFileState::Closed);
        if lying > self.limits.max_total_bytes || count > self.limits.max_files {
            if let Some(oldest) = self.files.front() {
                return Some(Action::RemoveFile(oldest.name.clone()));
            }
        }
        let due = self.pending > 0
            && (self.pending >= self.limits.block_rows
                || self.shutting_down
                || now - self.pending_since >= self.limits.max_block_age);
        match self.open {
            // One that ends does not begin a file over and over on a disk that fails.
            OpenFileState::Closed
                if due && (now >= self.retry_at && (!self.shutting_down || self.failures == 0)) =>
            {
                Some(Action::OpenFile)
            }
            OpenFileState::Open(..) if due => Some(Action::WriteBlock),
            OpenFileState::Open(since, bytes)
                if self.shutting_down
                    || bytes >= self.limits.max_file_bytes.min(self.limits.max_total_bytes / 2)
                    || now - since >= self.limits.max_file_age =>
            {
                Some(Action::SealFile)
            }
            _ => None,
        }
    }

    /// How [`Action::OpenFile`] came out, with the size so far.
    pub fn opened(&mut self, now: f64, bytes: Option<u64>) {
        match bytes {
            Some(bytes) => self.open = OpenFileState::Open(now, bytes),
            None => self.record_failure(now),
        }
    }

    /// How [`Action::WriteBlock`] came out: the size now. The records of a block that failed are lost.
    pub fn wrote(&mut self, now: f64, bytes: Option<u64>) {
        match (bytes, self.open) {
            (Some(bytes), OpenFileState::Open(since, _)) => {
                (self.open, self.failures) = (OpenFileState::Open(since, bytes), 0);
            }
            _ => {
                self.add_lost(self.pending as u64);
                self.open = OpenFileState::Broken;
                self.record_failure(now);
            }
        }
        self.pending = 0;
    }

    /// The open file is closed, sealed or not; this is what lies there.
    pub fn closed(&mut self, now: f64, file: StoredFile, well: bool) {
        self.open = OpenFileState::Closed;
        self.files.push_back(file);
        if !well {
            self.record_failure(now);
        }
    }

    /// A file was deleted, or could not be: either way it is no longer counted.
    pub fn removed(&mut self) {
        self.files.pop_front();
    }

    fn record_failure(&mut self, now: f64) {
        let wait = INITIAL_RETRY_DELAY * f64::from(1u32 << self.failures.min(10));
        self.failures += 1;
        self.retry_at = now + wait.min(MAX_RETRY_DELAY);
    }

    /// Writes or opens that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether a value is news: it is told when it moved by more than a twentieth, whole numbers at once, and each
/// topic at most ten times a second, gauges once.
#[derive(Debug, Default)]
pub struct ChangeFilter {
    last: [Option<(f64, f64)>; 16],
}

impl ChangeFilter {
    pub fn accept(&mut self, now: f64, topic: u8, value: f64, min_interval: f64) -> bool {
        let Some(told) = self.last.get_mut(usize::from(topic)) else { return true };
        let moved = told.is_none_or(|(at, last)| {
            now - at >= min_interval
                && ((value - last).abs() > 0.05 * last.abs() || value.floor() != last.floor())
        });
        if moved {
            *told = Some((now, value));
        }
        moved
    }
}

#[cfg(test)]
mod tests;
