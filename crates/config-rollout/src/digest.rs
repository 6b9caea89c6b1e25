//! Digests over whole contents, and tags over messages to a server.
//!
//! A digest covers the number under which the content stands, so that an old content can't be passed off under a new number. With a
//! secret key of the fleet digests are message authentication codes as well: whoever lacks the key can't make up a version.

use crate::base64_bytes;
use crate::content::Content;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Prefix of what is hashed for a digest, so that it equals no hash made for another purpose.
const DIGEST_DOMAIN: &[u8] = b"puffinladder config 1\0";
/// The same for the tag of a target message.
const TAG_DOMAIN: &[u8] = b"puffinladder config target 1\0";
/// Bytes of a digest that its text shows.
const DISPLAYED_BYTES: usize = 6;
const DIGEST_BYTES: usize = 32;

/// A BLAKE3 hash, keyed or not. Written as base64 in JSON.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

/// Identifies a version: its number and the digest of the whole content after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionId {
    /// Rises by one with each version; 0 is the empty content, that is the base settings alone.
    pub number: u64,
    /// Over the number and the whole content.
    pub digest: Digest,
}

/// Computes digests and tags; the same at lease-store replicas, distributors and servers.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Digester {
    key: Option<[u8; 32]>,
}

impl Digester {
    /// Digests under a secret of the fleet. The default has no key: it finds faults, but does not keep anybody out.
    pub fn keyed(key: [u8; 32]) -> Digester {
        Digester { key: Some(key) }
    }

    fn hasher(&self) -> blake3::Hasher {
        self.key.as_ref().map_or_else(blake3::Hasher::new, blake3::Hasher::new_keyed)
    }

    /// The digest of a content under a version's number.
    pub fn digest(&self, number: u64, content: &Content) -> Digest {
        let mut canonical = Vec::new();
        content.canonical(&mut canonical);
        let mut hasher = self.hasher();
        hasher.update(DIGEST_DOMAIN);
        hasher.update(&number.to_le_bytes());
        hasher.update(&canonical);
        Digest(*hasher.finalize().as_bytes())
    }

    /// The tag of a distributor's message that tells one server its target version and how old, in s, this knowledge is.
    /// `acknowledged` is the sequence number of the acknowledgement that the message answers.
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

    /// The id of a version with that number and content.
    pub fn version_id(&self, number: u64, content: &Content) -> VersionId {
        VersionId { number, digest: self.digest(number, content) }
    }
}

impl fmt::Debug for Digester {
    /// Without the key, which must not appear in logs.
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
        let length_error = |bytes: Vec<u8>| serde::de::Error::invalid_length(bytes.len(), &"32 bytes");
        bytes.try_into().map(Digest).map_err(length_error)
    }
}

#[cfg(test)]
mod tests;
