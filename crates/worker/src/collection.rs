//! Which block of which trace file comes next, for the holder of one part of the task that collects traces. Decided without I/O: from the files that there
//! are, what the trace store has of them, and which could not be read before.

use puffinladder_leases::assignment;
use puffinladder_trace_store::protocol::{FileId, FileProgress};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The task's name.
pub const TASK_NAME: &str = "gather";
/// Seconds until a file that could not be read is retried; doubled with each attempt, up to the longest.
const FIRST_BACKOFF: f64 = 1.0;
/// The longest backoff, in seconds.
const MAX_BACKOFF: f64 = 300.0;
/// Unreadable files that are remembered, a bound on memory; past that a file is left until the next listing.
const MAX_UNREADABLE: usize = 10_000;

/// Which part of so many a server's files belong to.
pub fn part_for_server(server: &str, parts: u32) -> u32 {
    assignment::part_for_key(TASK_NAME, server, parts)
}

/// A file in a server's folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceFile {
    /// Which file it is.
    pub id: FileId,
    /// Its writer has sealed it, or has begun another since.
    pub finished: bool,
}

/// A file's name in the listing of a server's folder, and whether its writer has sealed it. The order is that of the names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedFile {
    /// The file's name, without a folder.
    pub name: String,
    /// Nothing will be written to it any more.
    pub sealed: bool,
}

/// When a file that could not be read may be retried.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Seconds.
    delay: f64,
    /// By the clock that the caller goes by, in seconds.
    retry_at: f64,
}

/// What the holder of a part knows of its files.
#[derive(Clone, Debug, Default)]
pub struct CollectionPlan {
    progress: BTreeMap<FileId, FileProgress>,
    /// Finished files that are not completely stored, by server, the oldest first.
    remaining: BTreeMap<String, Vec<FileId>>,
    unreadable: BTreeMap<FileId, Backoff>,
    /// The server whose turn it was last.
    last_server: String,
}

impl CollectionPlan {
    /// Starts over from what the trace store says that it has.
    pub fn reset(&mut self, progress: impl IntoIterator<Item = (FileId, FileProgress)>) {
        self.progress = progress.into_iter().collect();
        self.remaining.clear();
    }

    /// Takes over a listing of all files of this part's servers.
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

    /// The next file, and the position of its next block. Servers take turns, so that one with many files holds up no other.
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

    /// Notes how much of a file the trace store has.
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

    /// Notes that a file could not be read: it is retried after a backoff, while others go on. Returns whether it is the first time.
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

    /// Whether there is something to do now.
    pub fn has_work(&self, now: f64) -> bool {
        self.remaining.values().flatten().any(|file| self.is_ready(now, file))
    }

    /// Whether a file may be read: it was not found unreadable, or its backoff is over.
    fn is_ready(&self, now: f64, file: &FileId) -> bool {
        self.unreadable.get(file).is_none_or(|backoff| backoff.retry_at <= now)
    }
}

/// Which files of one server are finished: all but the newest, and that one too once it is sealed. Names rise
/// with time, as the recorder gives them.
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
