//! Serde encoding of byte strings: base64 in human-readable formats, raw bytes in binary formats.

use base64::prelude::{Engine, BASE64_STANDARD_NO_PAD};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;

pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    if serializer.is_human_readable() {
        BASE64_STANDARD_NO_PAD.encode(bytes).serialize(serializer)
    } else {
        bytes.serialize(serializer)
    }
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    let text = Cow::<str>::deserialize(deserializer)?;
    BASE64_STANDARD_NO_PAD.decode(text.as_bytes()).map_err(D::Error::custom)
}
