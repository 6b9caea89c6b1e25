//! Selects the next block that the holder of one part of the trace-collection task transfers, without I/O: from the existing
//! files, their progress in the trace store, and earlier read failures.

use puffinladder_leases::assignment;
use puffinladder_trace_store::protocol::{FileId, FileProgress};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Name of the trace-collection task.
pub const TASK_NAME: &str = "gather";
/// Seconds before the first retry of an unreadable file; doubled with each attempt up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: f64 = 1.0;
/// Longest backoff, in seconds.
const MAX_BACKOFF: f64 = 300.0;
/// Maximum number of files in backoff, which bounds memory; further ones are skipped until the next scan.
const MAX_UNREADABLE: usize = 10_000;

/// Returns the part, out of `parts`, that a server's files belong to.
pub fn part_for_server(server: &str, parts: u32) -> u32 {
    assignment::part_for_key(TASK_NAME, server, parts)
}

/// A trace file of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceFile {
    /// Identity of the file.
    pub id: FileId,
    /// Whether its writer has sealed it or started a newer one.
    pub finished: bool,
}

/// An entry in the listing of a server's directory, ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedFile {
    /// File name without a directory.
    pub name: String,
    /// Whether its writer has sealed it.
    pub sealed: bool,
}

/// Retry state of an unreadable file.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Current backoff, in seconds.
    delay: f64,
    /// Time of the next attempt, in seconds by the caller's clock.
    retry_at: f64,
}

/// Progress and remaining files of one part.
#[derive(Clone, Debug, Default)]
pub struct CollectionPlan {
    progress: BTreeMap<FileId, FileProgress>,
    /// Finished files that are not completely stored, by server, oldest first.
    remaining: BTreeMap<String, Vec<FileId>>,
    unreadable: BTreeMap<FileId, Backoff>,
    /// Server of the last selected block.
    last_server: String,
}

impl CollectionPlan {
    /// Replaces the progress with that reported by the trace store, and clears the remaining files.
    pub fn reset(&mut self, progress: impl IntoIterator<Item = (FileId, FileProgress)>) {
        self.progress = progress.into_iter().collect();
        self.remaining.clear();
    }

    /// Replaces the remaining files with those of a scan of this part's servers.
    pub fn set_files(&mut self, files: impl IntoIterator<Item = TraceFile>) {
        self.remaining.clear();
        for TraceFile { id, finished } in files {
            let complete = self.progress.get(&id).is_some_and(|progress| progress.complete);
            if finished && !complete {
                self.remaining.entry(id.server.clone()).or_default().push(id);
            }
        }
        for files in self.remaining.values_mut() {
            files.sort();
        }
        let remaining = &self.remaining;
        self.unreadable
            .retain(|file, _| remaining.get(&file.server).is_some_and(|files| files.contains(file)));
    }

    /// Returns the next file and the position of its next block. Servers alternate, so that none delays the others.
    pub fn next_block(&mut self, now: f64) -> Option<(FileId, u64)> {
        let after_last = (Bound::Excluded(self.last_server.as_str()), Bound::Unbounded);
        let servers = self.remaining.range::<str, _>(after_last).chain(&self.remaining);
        let mut ready = servers.filter_map(|(server, files)| {
            let file = files.iter().find(|file| self.is_ready(now, file))?;
            Some((server, file))
        });
        let (server, file) = ready.next().map(|(server, file)| (server.clone(), file.clone()))?;
        self.last_server = server;
        let position = self.progress.get(&file).map_or(0, |progress| progress.blocks);
        Some((file, position))
    }

    /// Records how much of a file is stored.
    pub fn record_progress(&mut self, file: &FileId, progress: FileProgress) {
        self.progress.insert(file.clone(), progress);
        self.unreadable.remove(file);
        if progress.complete {
            if let Some(files) = self.remaining.get_mut(&file.server) {
                files.retain(|other| other != file);
            }
            self.remaining.retain(|_, files| !files.is_empty());
        }
    }

    /// Schedules a retry of an unreadable file after a backoff. Returns whether this is its first failure.
    pub fn back_off(&mut self, now: f64, file: &FileId) -> bool {
        let before = self.unreadable.get(file).map(|backoff| backoff.delay);
        let delay = before.map_or(FIRST_BACKOFF, |delay| (2.0 * delay).min(MAX_BACKOFF));
        if before.is_some() || self.unreadable.len() < MAX_UNREADABLE {
            self.unreadable.insert(file.clone(), Backoff { delay, retry_at: now + delay });
        } else if let Some(files) = self.remaining.get_mut(&file.server) {
            files.retain(|other| other != file);
        }
        before.is_none()
    }

    /// Returns whether a file is ready to be read.
    pub fn has_work(&self, now: f64) -> bool {
        self.remaining.values().flatten().any(|file| self.is_ready(now, file))
    }

    /// Returns whether a file is not in backoff.
    fn is_ready(&self, now: f64, file: &FileId) -> bool {
        self.unreadable.get(file).is_none_or(|backoff| backoff.retry_at <= now)
    }
}

/// Marks the files of one server as finished: all but the newest, and the newest if it is sealed. The recorder's file names
/// increase with time.
pub fn mark_finished(server: &str, mut files: Vec<ListedFile>) -> Vec<TraceFile> {
    files.sort();
    let count = files.len();
    let trace_file = |(position, ListedFile { name, sealed }): (usize, ListedFile)| TraceFile {
        id: FileId { server: server.into(), name },
        finished: sealed || position + 1 < count,
    };
    files.into_iter().enumerate().map(trace_file).collect()
}

#[cfg(test)]
mod tests;
