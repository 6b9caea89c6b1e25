//! The messages between workers and the trace store, a line of JSON each. The names on the wire are older than the names here.

use puffinladder_leases::fence::Verdict;
use puffinladder_leases::{Epoch, Task};
use serde::{Deserialize, Serialize};

/// Longest line, in bytes: a block of a trace as base64.
pub const MAX_LINE_BYTES: usize = 12 << 20;

/// A trace file of one server, by the name that the server's recorder gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FileId {
    /// The server that wrote the file.
    pub server: String,
    /// The file's name, without a folder.
    #[serde(rename = "file")]
    pub name: String,
}

/// A block of a trace file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockId {
    /// The file that it stands in.
    #[serde(rename = "source")]
    pub file: FileId,
    /// How many blocks of the file come before it.
    #[serde(rename = "place")]
    pub position: u64,
    /// No block of the file comes after it.
    pub last: bool,
}

/// A worker's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// A lease holder shows its epoch before its first effect, and the number of parts that its own is one of: the response names the files of that part alone.
    Announce {
        /// The task's part that the worker holds.
        #[serde(rename = "duty")]
        task: Task,
        /// The fencing token of its lease.
        epoch: Epoch,
        /// How many parts the task has.
        parts: u32,
    },
    /// The next block of a file.
    Put {
        /// The task's part that the worker holds.
        #[serde(rename = "duty")]
        task: Task,
        /// The fencing token of its lease.
        epoch: Epoch,
        /// Of this effect under the epoch, from 1.
        number: u64,
        /// Which block it is.
        #[serde(rename = "piece")]
        id: BlockId,
        /// The block as it stands in its file, base64; empty for one that can't be read, and for a file without any.
        block: String,
    },
    /// What the store holds.
    Status,
}

/// The trace store's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Response {
    /// To an announcement. Where the verdict stands, the worker goes on after the last effect of its epoch, and from there in each file.
    #[serde(rename = "begun")]
    Announced {
        /// Whether the worker may go on.
        verdict: Verdict,
        /// Of the last effect under the epoch.
        number: u64,
        /// How much is stored of each file of the worker's part.
        #[serde(rename = "taken")]
        progress: Vec<(FileId, FileProgress)>,
    },
    /// To a block.
    Put(PutOutcome),
    /// What the store holds.
    Status {
        /// Files that are known, evicted ones included.
        files: usize,
        /// Files that were stored to their last block.
        #[serde(rename = "done")]
        complete_files: usize,
        /// Blocks that were stored, evicted ones included.
        blocks: u64,
        /// Bytes of all blocks that are stored now.
        bytes: u64,
        /// Effects of superseded epochs that were rejected since the process started.
        #[serde(rename = "refused")]
        rejected: u64,
    },
    /// The request is invalid, for this reason.
    Failed(String),
}

/// How much of a file is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileProgress {
    /// The number of its blocks, from the first.
    pub blocks: u64,
    /// The last of them is the file's last.
    #[serde(rename = "done")]
    pub complete: bool,
}

/// What became of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PutOutcome {
    /// The fence decided: stored where the verdict is `New`, else rejected.
    Fence(Verdict),
    /// The file's next block is another one: the worker's view of the file is out of date.
    #[serde(rename = "elsewhere")]
    UnexpectedBlock(FileProgress),
    /// No capacity is left. Nothing is lost: the worker is to retry later.
    Full,
}
