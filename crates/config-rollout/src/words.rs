//! What distributors and servers say to each other, a line of JSON each. A body (a change, or a whole content) goes in pieces, so that no
//! line takes more than a server's credit and a body that broke off goes on where it was.

use crate::content::{Change, Content};
use crate::seal::{Digest, Head, Seal};
use puffinladder_leases::HolderId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes of a body in one piece, and of a whole body at the most: what no content needs more than.
pub const PIECE: usize = 2048;
pub const BODY: usize = 8 << 20;

/// What a piece belongs to: from which version to which, and how long the body is. `from` is none for a whole content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Way {
    pub from: Option<Head>,
    pub to: Head,
    pub total: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    pub way: Way,
    /// Where in the body these bytes stand.
    pub at: u32,
    #[serde(with = "packed")]
    pub bytes: Vec<u8>,
}

/// To a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tell {
    Piece(Piece),
    /// What it should have, and how old this knowledge is: s since a majority of the keepers was heard. `serial` is the last of its
    /// acknowledgements that was heard: the age counts from when that one was sent, or a line that lay somewhere would look young.
    /// `tag` is [`Seal::tag`]'s: what a faulty line or a stranger says of the age must not look true.
    Target {
        head: Head,
        age: f64,
        serial: u64,
        tag: u64,
    },
}

/// From a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    pub owner: HolderId,
    #[serde(default)]
    pub zone: String,
    /// Rises with every one of this incarnation.
    pub serial: u64,
    /// By this one it works.
    pub in_force: Head,
    /// Whole and checked, in force with the next round; else what is in force.
    pub holds: Head,
    /// How far a body has come.
    #[serde(default)]
    pub got: Option<(Way, u32)>,
    #[serde(default)]
    pub refused: Option<Refused>,
    /// Other contents that it was sent under numbers it knew.
    #[serde(default)]
    pub conflicts: u64,
    /// Its own word on how it fares.
    #[serde(default)]
    pub healthy: bool,
    /// Its own disk has an older version, and why.
    #[serde(default)]
    pub unsaved: Option<String>,
}

/// A version that a server will not have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    pub head: Head,
    pub cause: String,
}

impl Tell {
    pub fn target(seal: &Seal, server: &str, head: Head, age: f64, serial: u64) -> Tell {
        Tell::Target { head, age, serial, tag: seal.tag(server, head, age, serial) }
    }

    /// Bytes that it takes as a line.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |line| line.len() + 1)
    }
}

/// A whole content, or a change, as a body.
pub fn body_of_content(content: &Content) -> Vec<u8> {
    postcard::to_allocvec(content).unwrap_or_default()
}
pub fn body_of_change(change: &Change) -> Vec<u8> {
    postcard::to_allocvec(change).unwrap_or_default()
}

/// Bytes as text where people may read, as they are elsewhere.
mod packed {
    use super::*;
    use base64::prelude::{Engine, BASE64_STANDARD_NO_PAD};
    use serde::de::Error;

    pub fn serialize<S: Serializer>(bytes: &[u8], out: S) -> Result<S::Ok, S::Error> {
        if out.is_human_readable() {
            BASE64_STANDARD_NO_PAD.encode(bytes).serialize(out)
        } else {
            bytes.serialize(out)
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        if !from.is_human_readable() {
            return Vec::deserialize(from);
        }
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        BASE64_STANDARD_NO_PAD.decode(text.as_bytes()).map_err(D::Error::custom)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        packed::serialize(&self.0, out)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Digest, D::Error> {
        let bytes = packed::deserialize(from)?;
        let wrong = |bytes: Vec<u8>| serde::de::Error::invalid_length(bytes.len(), &"32 bytes");
        bytes.try_into().map(Digest).map_err(wrong)
    }
}

#[cfg(test)]
mod tests;
