//! Messages between distributors and servers, encoded as JSON lines.
//!
//! The body of a transfer is an encoded change or an encoded whole content. It is sent in chunks, so that each line fits the byte budget
//! of a server and an interrupted transfer can resume.

use crate::base64_bytes;
use crate::change::Change;
use crate::content::Content;
use crate::digest::{Digester, VersionId};
use puffinladder_leases::HolderId;
use serde::{Deserialize, Serialize};

/// Maximum number of body bytes in one chunk.
pub const MAX_CHUNK_BYTES: usize = 2048;
/// Maximum length of a body in bytes. Any valid content fits.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum length of a line with one chunk in bytes: the base64 chunk, the version identifiers and numbers.
pub const MAX_CHUNK_LINE_BYTES: usize = MAX_CHUNK_BYTES * 4 / 3 + 512;

/// Identifier of a transfer. Equal versions and lengths imply the same body, regardless of the distributor that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TransferId {
    /// The version to which the change in the body applies, or `None` if the body is a whole content.
    #[serde(rename = "from")]
    pub base: Option<VersionId>,
    /// The version that results from the transfer.
    #[serde(rename = "to")]
    pub target: VersionId,
    /// Length of the body in bytes.
    #[serde(rename = "total")]
    pub total_bytes: u32,
}

/// Consecutive bytes of a transfer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The transfer to which the bytes belong.
    #[serde(rename = "way")]
    pub transfer: TransferId,
    /// Offset of the first byte in the body.
    #[serde(rename = "at")]
    pub offset: u32,
    /// The bytes, encoded as base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// A message from a distributor to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DistributorMessage {
    /// A chunk of the transfer to the server.
    #[serde(rename = "piece")]
    Chunk(Chunk),
    /// The target version of the server.
    Target {
        /// The version that the server should activate.
        #[serde(rename = "head")]
        target: VersionId,
        /// Age of the distributor's replica: time since it last reached a majority of the lease store, s.
        age: f64,
        /// Sequence number of the latest acknowledgement received from the server. The server adds `age` to the time since it sent that
        /// acknowledgement, so that a delayed message does not appear fresh.
        #[serde(rename = "serial")]
        acknowledged: u64,
        /// Authentication tag from [`Digester::tag`], which detects corrupted and forged messages.
        tag: u64,
    },
}

/// The state that a server reports to its distributor, periodically and after each event.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The server and its incarnation.
    #[serde(rename = "owner")]
    pub server: HolderId,
    /// The failure domain in which the server runs.
    #[serde(default)]
    pub zone: String,
    /// Sequence number, increasing within an incarnation.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The active version.
    #[serde(rename = "in_force")]
    pub active: VersionId,
    /// The complete and validated version that is activated in the next round, or the active version if there is none.
    #[serde(rename = "holds")]
    pub staged: VersionId,
    /// Progress of the latest incomplete transfer.
    #[serde(default, rename = "got")]
    pub progress: Option<TransferProgress>,
    /// The last version that the server rejected.
    #[serde(default, rename = "refused")]
    pub rejected: Option<RejectedVersion>,
    /// Number of received messages whose digest conflicted with the known digest of the same version number.
    #[serde(default)]
    pub conflicts: u64,
    /// Whether the server considers itself healthy.
    #[serde(default)]
    pub healthy: bool,
    /// Error of the latest attempt to write the last good version to disk, if it failed.
    #[serde(default, rename = "unsaved")]
    pub save_error: Option<String>,
}

/// Progress of a transfer at a server. Serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TransferId, u32)", into = "(TransferId, u32)")]
pub struct TransferProgress {
    /// The transfer.
    pub transfer: TransferId,
    /// Number of contiguous bytes received from the start of the body.
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
    /// Human-readable cause.
    pub cause: String,
}

impl DistributorMessage {
    /// Creates an authenticated target message to `server`; see [`DistributorMessage::Target`] for the fields.
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

    /// Returns the length of the encoded line in bytes, including the newline.
    pub fn line_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |line| line.len() + 1)
    }
}

/// Encodes a whole content as the body of a transfer.
pub fn encode_content(content: &Content) -> Vec<u8> {
    postcard::to_allocvec(content).expect("plain data serializes to memory")
}

/// Encodes a change as the body of a transfer.
pub fn encode_change(change: &Change) -> Vec<u8> {
    postcard::to_allocvec(change).expect("plain data serializes to memory")
}

#[cfg(test)]
mod tests;
