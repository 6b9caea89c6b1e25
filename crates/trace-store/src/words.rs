//! What owners and the archive say to each other, a line of JSON each.

use puffinladder_leases::fence::Verdict;
use puffinladder_leases::{Epoch, Task};
use serde::{Deserialize, Serialize};

/// Bytes of a line at the most: a block as base64.
pub const LINE: usize = 12 << 20;

/// A file of a server's, as the recorder named it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    pub server: String,
    pub file: String,
}

/// A block of a file: its place there, and whether it is the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    pub source: Source,
    pub place: u64,
    pub last: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// An owner shows its epoch before its first effect, and of how many parts its own is one: it is told of those files only.
    Announce {
        duty: Task,
        epoch: Epoch,
        parts: u32,
    },
    Put {
        duty: Task,
        epoch: Epoch,
        number: u64,
        piece: Piece,
        /// The block as it stands in its file, base64; empty for one that can't be read, and for a file without any.
        block: String,
    },
    Status,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The owner may go on behind the last effect of its epoch, and from there in each file.
    Begun {
        verdict: Verdict,
        number: u64,
        taken: Vec<(Source, Taken)>,
    },
    Put(Outcome),
    Status {
        files: usize,
        done: usize,
        blocks: u64,
        bytes: u64,
        refused: u64,
    },
    Failed(String),
}

/// How much of a file was taken: so many of its blocks, from the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    pub blocks: u64,
    pub done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Fence(Verdict),
    /// The file's next block is another: what the owner knew is old.
    Elsewhere(Taken),
    /// No room; nothing is lost, it is to be brought again later.
    Full,
}
