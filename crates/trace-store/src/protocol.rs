//! Messages between workers and the trace store, one line of JSON each. Names on the wire differ from those in the code for
//! compatibility.

use puffinladder_leases::fence::Verdict;
use puffinladder_leases::{Epoch, Task};
use serde::{Deserialize, Serialize};

/// Maximum length of a line, in bytes; a block is sent as base64.
pub const MAX_LINE_BYTES: usize = 12 << 20;

/// Identity of a trace file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FileId {
    /// Server that recorded the file.
    pub server: String,
    /// File name without a directory.
    #[serde(rename = "file")]
    pub name: String,
}

/// Identity of a block of a trace file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockId {
    /// File of the block.
    #[serde(rename = "source")]
    pub file: FileId,
    /// Index of the block in the file, from 0.
    #[serde(rename = "place")]
    pub position: u64,
    /// Whether it is the last block of the file.
    pub last: bool,
}

/// A worker's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Announces a lease holder's epoch before its first effect. The response contains the progress of the files of its part.
    Announce {
        /// The task's part that the worker holds.
        #[serde(rename = "duty")]
        task: Task,
        /// The fencing token of its lease.
        epoch: Epoch,
        /// Number of parts of the task.
        parts: u32,
    },
    /// Stores the next block of a file.
    Put {
        /// The task's part that the worker holds.
        #[serde(rename = "duty")]
        task: Task,
        /// The fencing token of its lease.
        epoch: Epoch,
        /// Number of this effect under the epoch, from 1.
        number: u64,
        /// Identity of the block.
        #[serde(rename = "piece")]
        id: BlockId,
        /// The packed block in base64; empty if it is unreadable, or if the file has no blocks.
        block: String,
    },
    /// Requests statistics of the store.
    Status,
}

/// The trace store's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Response {
    /// Response to an announcement. If the epoch is accepted, the worker continues after the last effect and from each file's
    /// progress.
    #[serde(rename = "begun")]
    Announced {
        /// Whether the epoch is accepted.
        verdict: Verdict,
        /// Number of the last effect under the epoch.
        number: u64,
        /// Stored progress of each file of the worker's part.
        #[serde(rename = "taken")]
        progress: Vec<(FileId, FileProgress)>,
    },
    /// Response to a block.
    Put(PutOutcome),
    /// Statistics of the store.
    Status {
        /// Number of indexed files, including evicted ones.
        files: usize,
        /// Number of files stored completely.
        #[serde(rename = "done")]
        complete_files: usize,
        /// Number of stored blocks, including evicted ones.
        blocks: u64,
        /// Total size of the stored blocks, in bytes.
        bytes: u64,
        /// Number of effects of superseded epochs that were rejected since the process started.
        #[serde(rename = "refused")]
        rejected: u64,
    },
    /// The request is invalid, with the reason.
    Failed(String),
}

/// How much of a file is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileProgress {
    /// Number of consecutive blocks stored, from the first.
    pub blocks: u64,
    /// Whether the last block of the file is stored.
    #[serde(rename = "done")]
    pub complete: bool,
}

/// Outcome of storing a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PutOutcome {
    /// Verdict of the fence: the block was stored if it is `New`, and rejected otherwise.
    Fence(Verdict),
    /// Another block of the file is expected next, after this progress.
    #[serde(rename = "elsewhere")]
    UnexpectedBlock(FileProgress),
    /// The store has reached its capacity: the worker should retry later.
    Full,
}
