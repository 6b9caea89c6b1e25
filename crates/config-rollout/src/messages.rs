//! Messages between distributors and servers, a line of JSON each.
//!
//! The body of a transfer is an encoded change or an encoded whole content. It is sent in chunks, so that no line takes more than a
//! server's byte budget and a transfer that broke off can resume.

use crate::base64_bytes;
use crate::change::Change;
use crate::content::Content;
use crate::digest::{Digester, VersionId};
use puffinladder_leases::HolderId;
use serde::{Deserialize, Serialize};

/// Bytes of a body in one chunk, at the most.
pub const MAX_CHUNK_BYTES: usize = 2048;
/// Bytes of a whole body, at the most: more than any valid content needs.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of a line that carries one chunk, at the most: the chunk as base64, its version ids and numbers.
pub const MAX_CHUNK_LINE_BYTES: usize = MAX_CHUNK_BYTES * 4 / 3 + 512;

/// Identifies a transfer: the same versions and length mean the same body, whichever distributor sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TransferId {
    /// The version to which the body is a change; none where the body is a whole content.
    #[serde(rename = "from")]
    pub base: Option<VersionId>,
    /// The version after it.
    #[serde(rename = "to")]
    pub target: VersionId,
    /// Length of the body.
    #[serde(rename = "total")]
    pub total_bytes: u32,
}

/// A part of a transfer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The transfer to which it belongs.
    #[serde(rename = "way")]
    pub transfer: TransferId,
    /// Where in the body the bytes begin.
    #[serde(rename = "at")]
    pub offset: u32,
    /// Base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// A message from a distributor to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DistributorMessage {
    /// Part of what the server lacks.
    #[serde(rename = "piece")]
    Chunk(Chunk),
    /// The version that the server should have.
    Target {
        /// That version.
        #[serde(rename = "head")]
        target: VersionId,
        /// How old this knowledge is: s since a majority of the lease store was heard.
        age: f64,
        /// The last of the server's acknowledgements that was received. The server counts the age from when it sent that one, or a
        /// message that was delayed for long would look fresh.
        #[serde(rename = "serial")]
        acknowledged: u64,
        /// From [`Digester::tag`], so that a corrupted or forged message can't make old knowledge look fresh.
        tag: u64,
    },
}

/// What a server reports to its distributor, regularly and after each event.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The server and its incarnation.
    #[serde(rename = "owner")]
    pub server: HolderId,
    /// The failure domain in which the server runs.
    #[serde(default)]
    pub zone: String,
    /// Rises with every acknowledgement of this incarnation.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The version by which the server works.
    #[serde(rename = "in_force")]
    pub active: VersionId,
    /// The version that is complete, checked and becomes active in the next round; otherwise the active one.
    #[serde(rename = "holds")]
    pub staged: VersionId,
    /// How far the latest incomplete transfer has come.
    #[serde(default, rename = "got")]
    pub progress: Option<TransferProgress>,
    /// The last version that the server rejected.
    #[serde(default, rename = "refused")]
    pub rejected: Option<RejectedVersion>,
    /// How often it was sent another content under a number it knew.
    #[serde(default)]
    pub conflicts: u64,
    /// Whether the server finds itself healthy.
    #[serde(default)]
    pub healthy: bool,
    /// Why the last good version could not be written to the server's disk, if so.
    #[serde(default, rename = "unsaved")]
    pub save_error: Option<String>,
}

/// How far a transfer has come at a server. Written as the pair of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TransferId, u32)", into = "(TransferId, u32)")]
pub struct TransferProgress {
    /// The transfer.
    pub transfer: TransferId,
    /// Bytes of the body that the server has, without a gap from the beginning.
    pub received_bytes: u32,
}

impl From<(TransferId, u32)> for TransferProgress {
    fn from((transfer, received_bytes): (TransferId, u32)) -> TransferProgress {
        TransferProgress { transfer, received_bytes }
    }
}

impl From<TransferProgress> for (TransferId, u32) {
    fn from(progress: TransferProgress) -> (TransferId, u32) {
        (progress.transfer, progress.received_bytes)
    }
}

/// A version that a server rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// The version.
    #[serde(rename = "head")]
    pub version: VersionId,
    /// Why, for people.
    pub cause: String,
}

impl DistributorMessage {
    /// The message that tells `server` its target; see [`DistributorMessage::Target`].
    pub fn target(
        digester: &Digester,
        server: &str,
        target: VersionId,
        age: f64,
        acknowledged: u64,
    ) -> DistributorMessage {
        let tag = digester.tag(server, target, age, acknowledged);
        DistributorMessage::Target { target, age, acknowledged, tag }
    }

    /// Bytes that it takes as a line, its end included.
    pub fn line_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |line| line.len() + 1)
    }
}

/// A whole content as the body of a transfer.
pub fn encode_content(content: &Content) -> Vec<u8> {
    postcard::to_allocvec(content).expect("plain data is written to memory without an error")
}

/// A change as the body of a transfer.
pub fn encode_change(change: &Change) -> Vec<u8> {
    postcard::to_allocvec(change).expect("plain data is written to memory without an error")
}

#[cfg(test)]
mod tests;
