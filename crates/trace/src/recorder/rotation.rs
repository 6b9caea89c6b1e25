//! Decides the recorder's next file action without I/O or a clock: when to write a block, seal a file, delete old files
//! and retry a failed disk, and which records to drop.

use std::collections::VecDeque;

/// Size and age limits of blocks and files.
#[derive(Clone, Debug, PartialEq)]
pub struct RotationLimits {
    /// Number of rows in a full block.
    pub block_rows: usize,
    /// Maximum time in s that a row waits for its block to fill.
    pub max_block_age: f64,
    /// Size past which a file is sealed, in bytes.
    pub max_file_bytes: u64,
    /// Age past which a file is sealed, in s.
    pub max_file_age: f64,
    /// Maximum total size of the files on disk in bytes, the open one included.
    pub max_total_bytes: u64,
    /// Maximum number of files on disk, the open one included.
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

/// Maximum number of blocks held in memory while the disk fails or is slow. Further records are dropped.
const MAX_PENDING_BLOCKS: usize = 2;
/// Delay before a failed disk is retried, in s, doubled with each failure up to the maximum.
const INITIAL_RETRY_SECONDS: f64 = 1.0;
const MAX_RETRY_SECONDS: f64 = 30.0;

/// Next action of the recorder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create a new file.
    OpenFile,
    /// Write the pending records as a block.
    WriteBlock,
    /// Seal the open file.
    SealFile,
    /// Close the open file unsealed, after a failed write.
    AbandonFile,
    /// Delete this file, the oldest.
    RemoveFile(String),
}

/// A closed file on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    pub name: String,
    pub bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum OpenFileState {
    Closed,
    /// Open, with the time of creation in s and the size in bytes.
    Open(f64, u64),
    /// A write failed part way: nothing more may be written to this file.
    Broken,
}

/// State of blocks, files and retries.
#[derive(Debug)]
pub struct Rotation {
    limits: RotationLimits,
    open: OpenFileState,
    /// Closed files, oldest first.
    files: VecDeque<StoredFile>,
    /// Number of rows and notes pending for the next block.
    pending: usize,
    /// Time of the first pending record, in s.
    pending_since: f64,
    /// Time of the next retry, in s.
    retry_at: f64,
    /// Number of consecutive failures.
    failures: u32,
    /// Number of lost records that no note reports yet.
    unreported: u64,
    /// Number of all lost records.
    pub dropped: u64,
    shutting_down: bool,
}

impl Rotation {
    /// Creates the state of a recorder that starts with the `files` of earlier processes, oldest first.
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

    /// Admits a record. Returns `false` if it must be dropped, and counts it.
    pub fn admit(&mut self, now: f64) -> bool {
        if self.pending >= MAX_PENDING_BLOCKS * self.limits.block_rows {
            self.add_lost(1);
            return false;
        }
        self.pending_since = if self.pending == 0 { now } else { self.pending_since };
        self.pending += 1;
        true
    }

    /// Counts records lost in the ring or with a failed block.
    pub fn add_lost(&mut self, count: u64) {
        self.unreported += count;
        self.dropped += count;
    }

    /// Takes the number of lost records to report in the block being written.
    pub fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Restores a count whose block could not be written.
    pub fn restore_unreported(&mut self, count: u64) {
        self.unreported += count;
    }

    /// Starts the shutdown: pending records are written, the file is sealed and nothing is retried.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Returns whether the shutdown started by [`Rotation::begin_shutdown`] is complete.
    pub fn is_finished(&self, now: f64) -> bool {
        self.shutting_down && self.next_action(now).is_none()
    }

    /// Returns the next action, or `None` if nothing is due.
    pub fn next_action(&self, now: f64) -> Option<Action> {
        if self.open == OpenFileState::Broken {
            return Some(Action::AbandonFile);
        }
        let open = if let OpenFileState::Open(_, bytes) = self.open { bytes } else { 0 };
        let total_bytes: u64 = self.files.iter().map(|file| file.bytes).sum::<u64>() + open;
        let count = self.files.len() + usize::from(self.open != OpenFileState::Closed);
        if total_bytes > self.limits.max_total_bytes || count > self.limits.max_files {
            if let Some(oldest) = self.files.front() {
                return Some(Action::RemoveFile(oldest.name.clone()));
            }
        }
        let due = self.pending > 0
            && (self.pending >= self.limits.block_rows
                || self.shutting_down
                || now - self.pending_since >= self.limits.max_block_age);
        match self.open {
            // During shutdown a failed disk is not retried.
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

    /// Reports the result of [`Action::OpenFile`]: the size of the new file, or `None` on failure.
    pub fn opened(&mut self, now: f64, bytes: Option<u64>) {
        match bytes {
            Some(bytes) => self.open = OpenFileState::Open(now, bytes),
            None => self.record_failure(now),
        }
    }

    /// Reports the result of [`Action::WriteBlock`]: the size of the file, or `None` on failure, which loses the block.
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

    /// Reports that the open file was closed. `succeeded` is false if sealing failed.
    pub fn closed(&mut self, now: f64, file: StoredFile, succeeded: bool) {
        self.open = OpenFileState::Closed;
        self.files.push_back(file);
        if !succeeded {
            self.record_failure(now);
        }
    }

    /// Stops counting the oldest file, whether or not its deletion succeeded.
    pub fn removed(&mut self) {
        self.files.pop_front();
    }

    fn record_failure(&mut self, now: f64) {
        let wait = INITIAL_RETRY_SECONDS * f64::from(1u32 << self.failures.min(10));
        self.failures += 1;
        self.retry_at = now + wait.min(MAX_RETRY_SECONDS);
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Filter for values that change often. A value passes if it moved by more than 5% or to another whole number, and the
/// previous one of its topic is at least `min_interval` seconds old.
#[derive(Debug, Default)]
pub struct ChangeFilter {
    last: [Option<(f64, f64)>; 16],
}

impl ChangeFilter {
    /// Returns whether a value passes, and remembers it if so.
    pub fn accept(&mut self, now: f64, topic: u8, value: f64, min_interval: f64) -> bool {
        let Some(previous) = self.last.get_mut(usize::from(topic)) else { return true };
        let passes = previous.is_none_or(|(at, last)| {
            now - at >= min_interval
                && ((value - last).abs() > 0.05 * last.abs() || value.floor() != last.floor())
        });
        if passes {
            *previous = Some((now, value));
        }
        passes
    }
}

#[cfg(test)]
mod tests;
