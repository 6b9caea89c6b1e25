//! What the recorder does next, decided without I/O and without a clock: when a block is full, when a file is,
//! which files go, when a disk that failed is tried again, and what is given up for it.

use std::collections::VecDeque;

/// Sizes and times that a recorder keeps to.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Rows of a block, and s that a row waits for its block to be full.
    pub block_rows: usize,
    pub block_span: f64,
    /// Bytes of a file, and s that one is written to.
    pub file_bytes: u64,
    pub file_span: f64,
    /// Bytes and number of files that may lie on the disk, the open one among them.
    pub most_bytes: u64,
    pub most_files: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            block_rows: 4096,
            block_span: 5.0,
            file_bytes: 64 << 20,
            file_span: 3600.0,
            most_bytes: 1 << 30,
            most_files: 200,
        }
    }
}

/// Blocks of rows that wait in memory for a disk that fails or is slow; what comes past them is dropped.
const WAITING_BLOCKS: usize = 2;
/// s until a disk that failed is tried again, doubled each time up to the most.
const AGAIN: f64 = 1.0;
const AGAIN_MOST: f64 = 30.0;

/// What is to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Begin a new file.
    Open,
    /// Write what waits as one block.
    Write,
    /// Seal the open file.
    Seal,
    /// Let go of the open file as it is: it could not be written to.
    Abandon,
    /// Delete this file, the oldest.
    Remove(String),
}

/// A file on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lying {
    pub name: String,
    pub bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Open {
    No,
    /// Since when, and how large.
    Yes(f64, u64),
    /// A write failed half way: no more may follow in this file.
    Broken,
}

/// The state of a recorder.
#[derive(Debug)]
pub struct Keeper {
    bounds: Bounds,
    open: Open,
    /// Closed ones, oldest first.
    files: VecDeque<Lying>,
    /// Rows and notes that wait for a block, and since when.
    waiting: usize,
    since: f64,
    /// Not to be tried before, after so many failures in a row.
    again_at: f64,
    failures: u32,
    /// Records given up since it was last told, and in all.
    untold: u64,
    pub dropped: u64,
    ending: bool,
}

impl Keeper {
    /// `files` are those that an earlier process left, oldest first.
    pub fn new(bounds: Bounds, files: Vec<Lying>) -> Keeper {
        Keeper {
            bounds,
            open: Open::No,
            files: files.into(),
            waiting: 0,
            since: 0.0,
            again_at: 0.0,
            failures: 0,
            untold: 0,
            dropped: 0,
            ending: false,
        }
    }

    /// A record came. Whether it may wait; if not, it is dropped and counted.
    pub fn take(&mut self, now: f64) -> bool {
        if self.waiting >= WAITING_BLOCKS * self.bounds.block_rows {
            self.lost(1);
            return false;
        }
        self.since = if self.waiting == 0 { now } else { self.since };
        self.waiting += 1;
        true
    }

    /// Records were lost before they came here, or with a block that failed.
    pub fn lost(&mut self, count: u64) {
        self.untold += count;
        self.dropped += count;
    }

    /// How many are to be told as lost in the block that is written now.
    pub fn tell(&mut self) -> u64 {
        std::mem::take(&mut self.untold)
    }

    /// The block in which so many were told could not be written: they are still to be told.
    pub fn untold(&mut self, count: u64) {
        self.untold += count;
    }

    /// The process ends: all that waits is to be written and the file sealed. Nothing is tried twice then.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Whether all is done after [`Keeper::end`].
    pub fn done(&self, now: f64) -> bool {
        self.ending && self.next(now).is_none()
    }

    /// What to do now, one thing after the other until there is nothing.
    pub fn next(&self, now: f64) -> Option<Act> {
        if self.open == Open::Broken {
            return Some(Act::Abandon);
        }
        let open = if let Open::Yes(_, bytes) = self.open { bytes } else { 0 };
        let lying: u64 = self.files.iter().map(|file| file.bytes).sum::<u64>() + open;
        let count = self.files.len() + usize::from(self.open != Open::No);
        if lying > self.bounds.most_bytes || count > self.bounds.most_files {
            if let Some(oldest) = self.files.front() {
                return Some(Act::Remove(oldest.name.clone()));
            }
        }
        let due = self.waiting > 0
            && (self.waiting >= self.bounds.block_rows
                || self.ending
                || now - self.since >= self.bounds.block_span);
        match self.open {
            // One that ends does not begin a file over and over on a disk that fails.
            Open::No if due && (now >= self.again_at && (!self.ending || self.failures == 0)) => {
                Some(Act::Open)
            }
            Open::Yes(..) if due => Some(Act::Write),
            Open::Yes(since, bytes)
                if self.ending
                    || bytes >= self.bounds.file_bytes.min(self.bounds.most_bytes / 2)
                    || now - since >= self.bounds.file_span =>
            {
                Some(Act::Seal)
            }
            _ => None,
        }
    }

    /// How [`Act::Open`] came out, with the size so far.
    pub fn opened(&mut self, now: f64, bytes: Option<u64>) {
        match bytes {
            Some(bytes) => self.open = Open::Yes(now, bytes),
            None => self.failed(now),
        }
    }

    /// How [`Act::Write`] came out: the size now. The records of a block that failed are lost.
    pub fn wrote(&mut self, now: f64, bytes: Option<u64>) {
        match (bytes, self.open) {
            (Some(bytes), Open::Yes(since, _)) => {
                (self.open, self.failures) = (Open::Yes(since, bytes), 0);
            }
            _ => {
                self.lost(self.waiting as u64);
                self.open = Open::Broken;
                self.failed(now);
            }
        }
        self.waiting = 0;
    }

    /// The open file is closed, sealed or not; this is what lies there.
    pub fn closed(&mut self, now: f64, file: Lying, well: bool) {
        self.open = Open::No;
        self.files.push_back(file);
        if !well {
            self.failed(now);
        }
    }

    /// A file was deleted, or could not be: either way it is no longer counted.
    pub fn removed(&mut self) {
        self.files.pop_front();
    }

    fn failed(&mut self, now: f64) {
        let wait = AGAIN * f64::from(1u32 << self.failures.min(10));
        self.failures += 1;
        self.again_at = now + wait.min(AGAIN_MOST);
    }

    /// Writes or opens that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether a value is news: it is told when it moved by more than a twentieth, whole numbers at once, and each
/// topic at most ten times a second, gauges once.
#[derive(Debug, Default)]
pub struct Changes {
    told: [Option<(f64, f64)>; 16],
}

impl Changes {
    pub fn news(&mut self, now: f64, topic: u8, value: f64, least: f64) -> bool {
        let Some(told) = self.told.get_mut(usize::from(topic)) else { return true };
        let moved = told.is_none_or(|(at, last)| {
            now - at >= least && ((value - last).abs() > 0.05 * last.abs() || value.floor() != last.floor())
        });
        if moved {
            *told = Some((now, value));
        }
        moved
    }
}

#[cfg(test)]
mod tests;
