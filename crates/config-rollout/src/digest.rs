//! Digests of versions, and authentication tags of target messages.
//!
//! A digest covers the version number and the whole content, so old content cannot be replayed under a new number. With a secret key
//! of the fleet, digests and tags are message authentication codes: without the key nobody can forge a version.

use crate::base64_bytes;
use crate::content::Content;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Domain separation prefix of content digests.
const DIGEST_DOMAIN: &[u8] = b"puffinladder config 1\0";
/// Domain separation prefix of target message tags.
const TAG_DOMAIN: &[u8] = b"puffinladder config target 1\0";
/// Leading bytes of a digest that are displayed.
const DISPLAYED_BYTES: usize = 6;
const DIGEST_BYTES: usize = 32;

/// A plain or keyed BLAKE3 hash. Encoded as base64 in JSON.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// Identifier of a version: its number and the digest of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionId {
    /// Sequence number. Version 0 has the empty content, which leaves the base settings unmodified.
    pub number: u64,
    /// Digest of the number and the whole content.
    pub digest: Digest,
}

/// Computes digests and tags. Lease-store replicas, distributors and servers must all use the same key.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Digester {
    key: Option<[u8; 32]>,
}

impl Digester {
    /// Creates a digester with a secret key of the fleet. The default digester has no key: it detects corruption, but not forgery.
    pub fn keyed(key: [u8; 32]) -> Digester {
        Digester { key: Some(key) }
    }

    fn hasher(&self) -> blake3::Hasher {
        self.key.as_ref().map_or_else(blake3::Hasher::new, blake3::Hasher::new_keyed)
    }

    /// Returns the digest of a version's number and content.
    pub fn digest(&self, number: u64, content: &Content) -> Digest {
        let mut canonical = Vec::new();
        content.canonical(&mut canonical);
        let mut hasher = self.hasher();
        hasher.update(DIGEST_DOMAIN);
        hasher.update(&number.to_le_bytes());
        hasher.update(&canonical);
        Digest(*hasher.finalize().as_bytes())
    }

    /// Returns the tag of a target message to one server. `age` is the age of the distributor's replica of the history in seconds,
    /// `acknowledged` the sequence number of the acknowledgement that the message answers.
    pub fn tag(&self, server: &str, target: VersionId, age: f64, acknowledged: u64) -> u64 {
        let mut hasher = self.hasher();
        hasher.update(TAG_DOMAIN);
        hasher.update(&target.number.to_le_bytes());
        hasher.update(&target.digest.0);
        hasher.update(&age.to_bits().to_le_bytes());
        hasher.update(&acknowledged.to_le_bytes());
        hasher.update(server.as_bytes());
        let hash = hasher.finalize();
        let [b0, b1, b2, b3, b4, b5, b6, b7, ..] = *hash.as_bytes();
        u64::from_le_bytes([b0, b1, b2, b3, b4, b5, b6, b7])
    }

    /// Returns the identifier of a version with that number and content.
    pub fn version_id(&self, number: u64, content: &Content) -> VersionId {
        VersionId { number, digest: self.digest(number, content) }
    }
}

impl fmt::Debug for Digester {
    /// Omits the key, which must not appear in logs.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(if self.key.is_some() { "Digester(keyed)" } else { "Digester(plain)" })
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(DISPLAYED_BYTES).try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}:{}", self.number, self.digest)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        base64_bytes::serialize(&self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let bytes = base64_bytes::deserialize(deserializer)?;
        let length_error =
            |bytes: Vec<u8>| serde::de::Error::invalid_length(bytes.len(), &"a digest of 32 bytes");
        bytes.try_into().map(Digest).map_err(length_error)
    }
}

#[cfg(test)]
mod tests;
