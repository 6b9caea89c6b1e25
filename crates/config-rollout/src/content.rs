//! The configuration of one version: a bounded, sorted map of settings that overlays the base settings of each server. Settings that are
//! absent keep their base value, so the empty content is equivalent to the unmodified base settings.

use crate::change::Change;
use crate::key::Key;
use crate::setting::{check_setting, counted_bytes, ValidationError, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of keys in the content of a version.
pub const MAX_KEYS: usize = 100_000;
/// Maximum size of the content of a version in bytes, as counted by [`Content::bytes`].
pub const MAX_BYTES: usize = 4 << 20;

/// All settings of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    #[serde(rename = "map")]
    settings: BTreeMap<Key, Value>,
}

impl Content {
    /// Returns the value of a setting in the unit of its field, or `None` if the content does not set it.
    pub fn get(&self, key: &Key) -> Option<f64> {
        self.settings.get(key).map(|value| value.0)
    }

    /// Iterates over all settings in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, f64)> {
        self.settings.iter().map(|(key, value)| (key, value.0))
    }

    /// Returns the number of settings.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Returns whether the content overrides no base setting.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Returns the size that counts towards the limits, in bytes. The encoded size is smaller.
    pub fn bytes(&self) -> usize {
        self.settings.keys().map(counted_bytes).sum()
    }

    /// Returns the content with a change applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the result is too large or a setting of the change is invalid.
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
                "content too large: got {keys} keys and {bytes} bytes, expected at most {MAX_KEYS} keys and \
                 {MAX_BYTES} bytes"
            )));
        }
        Ok(())
    }

    /// Checks the size and all settings of content that was received or read from a file.
    pub fn check(&self) -> Result<(), ValidationError> {
        self.check_size()?;
        self.settings.iter().try_for_each(|(key, value)| check_setting(key, Some(*value)))
    }

    /// Returns the change that turns this content into `other`.
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

    /// Appends the canonical encoding over which digests are computed: the settings in key order, with explicit lengths. Changing this
    /// encoding would invalidate every stored digest.
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
