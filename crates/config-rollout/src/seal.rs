//! Digests over whole contents. A digest covers the number that the content stands under, so that no old content can be passed off under a
//! new number; with a key of the fleet it is a MAC as well, and whoever lacks the key can make up no version at all.

use crate::content::Content;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Written as in `words`.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

/// A version's number and the digest of the whole content after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Head {
    /// 0 is the empty content, that is the start file alone.
    pub number: u64,
    pub digest: Digest,
}

/// How digests are made; the same at keepers, distributors and servers.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Seal {
    key: Option<[u8; 32]>,
}

/// What the hash begins with, so that it is no hash of anything else.
const DOMAIN: &[u8] = b"puffinladder config 1\0";

impl Seal {
    pub fn keyed(key: [u8; 32]) -> Seal {
        Seal { key: Some(key) }
    }

    pub fn digest(&self, number: u64, content: &Content) -> Digest {
        let mut hash = self.key.as_ref().map_or_else(blake3::Hasher::new, blake3::Hasher::new_keyed);
        hash.update(DOMAIN);
        hash.update(&number.to_le_bytes());
        let mut canonical = Vec::new();
        content.canonical(&mut canonical);
        hash.update(&canonical);
        Digest(*hash.finalize().as_bytes())
    }

    /// Of a distributor's word to one server that its content is so old.
    pub fn tag(&self, server: &str, head: Head, age: f64, serial: u64) -> u64 {
        let mut hash = self.key.as_ref().map_or_else(blake3::Hasher::new, blake3::Hasher::new_keyed);
        hash.update(b"puffinladder config target 1\0");
        hash.update(&head.number.to_le_bytes());
        hash.update(&head.digest.0);
        hash.update(&age.to_bits().to_le_bytes());
        hash.update(&serial.to_le_bytes());
        hash.update(server.as_bytes());
        let bytes = *hash.finalize().as_bytes();
        u64::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]])
    }

    pub fn head(&self, number: u64, content: &Content) -> Head {
        Head { number, digest: self.digest(number, content) }
    }
}

impl fmt::Debug for Seal {
    /// The key is not for logs.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(if self.key.is_some() { "Seal(keyed)" } else { "Seal(plain)" })
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

impl fmt::Display for Head {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}:{}", self.number, self.digest)
    }
}

#[cfg(test)]
mod tests;
