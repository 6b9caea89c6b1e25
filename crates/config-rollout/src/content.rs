//! The configuration of one version: a bounded, sorted map of settings that overlays the base settings of each server. What it does not
//! name stays as the base settings have it, and the empty content is the base settings alone.

use crate::change::Change;
use crate::key::Key;
use crate::setting::{check_setting, counted_bytes, ValidationError, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Keys of a content, at the most.
pub const MAX_KEYS: usize = 100_000;
/// Bytes of a content, at the most, as [`Content::bytes`] counts them. 15,000 tenants and 2,300 routes of four fields take 1 MB.
pub const MAX_BYTES: usize = 4 << 20;

/// The settings of one version, as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    #[serde(rename = "map")]
    settings: BTreeMap<Key, Value>,
}

impl Content {
    /// The value of a setting, in the unit of its field.
    pub fn get(&self, key: &Key) -> Option<f64> {
        self.settings.get(key).map(|value| value.0)
    }

    /// All settings in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, f64)> {
        self.settings.iter().map(|(key, value)| (key, value.0))
    }

    /// The number of settings.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Whether this is the content of the base settings alone.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Bytes that it counts for in the bounds; it takes fewer when it is sent.
    pub fn bytes(&self) -> usize {
        self.settings.keys().map(counted_bytes).sum()
    }

    /// The content with a change applied. An error where the result would be too large or a setting of the change is not valid.
    pub fn with_change(&self, change: &Change) -> Result<Content, ValidationError> {
        let mut content = self.clone();
        for (key, value) in change.iter() {
            match value {
                Some(value) => content.settings.insert(key.clone(), value),
                None => content.settings.remove(key),
            };
        }
        content.check_size()?;
        change.check_settings()?;
        Ok(content)
    }

    fn check_size(&self) -> Result<(), ValidationError> {
        let (keys, bytes) = (self.len(), self.bytes());
        if keys > MAX_KEYS || bytes > MAX_BYTES {
            return Err(ValidationError::whole(format!(
                "a content has {MAX_KEYS} keys and {MAX_BYTES} bytes at the most, this one {keys} and {bytes}"
            )));
        }
        Ok(())
    }

    /// Whether its size and all its settings are valid; for contents from outside.
    pub fn check(&self) -> Result<(), ValidationError> {
        self.check_size()?;
        self.settings.iter().try_for_each(|(key, value)| check_setting(key, Some(*value)))
    }

    /// The change that makes `other` of this content.
    pub fn diff(&self, other: &Content) -> Change {
        let mut change = Change::default();
        for (key, value) in &other.settings {
            if self.settings.get(key) != Some(value) {
                change.insert(key.clone(), Some(*value));
            }
        }
        for key in self.settings.keys().filter(|key| !other.settings.contains_key(key)) {
            change.insert(key.clone(), None);
        }
        change
    }

    /// Appends the form over which digests are computed: the settings in the order of their keys, each length written out. It must
    /// never change, or no stored digest would hold any more.
    pub fn canonical(&self, out: &mut Vec<u8>) {
        out.extend((self.settings.len() as u64).to_le_bytes());
        for (key, value) in &self.settings {
            out.push(key.section as u8);
            out.extend((key.name.len() as u32).to_le_bytes());
            out.extend(key.name.as_bytes());
            out.push(key.field as u8);
            out.extend(value.0.to_bits().to_le_bytes());
        }
    }
}

#[cfg(test)]
mod tests;
