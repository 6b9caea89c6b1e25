//! The settings that a version sets or removes.

use crate::key::Key;
use crate::setting::{check_setting, counted_bytes, ValidationError, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of keys in one change.
pub const MAX_CHANGE_KEYS: usize = 4096;
/// Maximum size of one change in bytes, as counted by [`Change::bytes`].
pub const MAX_CHANGE_BYTES: usize = 256 << 10;

/// A map from keys to their new values. A `None` value removes the key, which restores the value of the base settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Change {
    settings: BTreeMap<Key, Option<Value>>,
}

impl Change {
    /// Returns the change with `key` set to `value`, in the unit of its field.
    pub fn set(mut self, key: Key, value: f64) -> Change {
        self.settings.insert(key, Some(Value(value)));
        self
    }

    /// Returns the change with `key` removed.
    pub fn remove(mut self, key: Key) -> Change {
        self.settings.insert(key, None);
        self
    }

    /// Sets a key, or removes it if `value` is `None`. Returns whether the change already contained the key.
    pub fn insert(&mut self, key: Key, value: Option<Value>) -> bool {
        self.settings.insert(key, value).is_some()
    }

    /// Returns whether the change sets or removes the key.
    pub fn contains(&self, key: &Key) -> bool {
        self.settings.contains_key(key)
    }

    /// Iterates over the keys in order, each with its new value, or `None` if the change removes it.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Option<Value>)> {
        self.settings.iter().map(|(key, value)| (key, *value))
    }

    /// Returns whether the change sets and removes no key.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Returns the number of keys that are set or removed.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Returns the size that counts towards the limits, in bytes. The encoded size is smaller.
    pub fn bytes(&self) -> usize {
        const TAG_BYTES: usize = 1;
        self.settings.keys().map(|key| counted_bytes(key) + TAG_BYTES).sum()
    }

    /// Merges a later change into this one, so that applying the result equals applying both in sequence.
    pub fn append(&mut self, later: &Change) {
        for (key, value) in &later.settings {
            self.settings.insert(key.clone(), *value);
        }
    }

    /// Checks the size, keys and values, independently of the content to which the change is applied.
    pub fn check(&self) -> Result<(), ValidationError> {
        if self.len() > MAX_CHANGE_KEYS || self.bytes() > MAX_CHANGE_BYTES {
            return Err(ValidationError::whole(format!(
                "change too large: got {} keys and {} bytes, expected at most {MAX_CHANGE_KEYS} keys and \
                 {MAX_CHANGE_BYTES} bytes",
                self.len(),
                self.bytes()
            )));
        }
        self.check_settings()
    }

    /// Checks each key and value, but not the size.
    pub(crate) fn check_settings(&self) -> Result<(), ValidationError> {
        self.settings.iter().try_for_each(|(key, value)| check_setting(key, *value))
    }
}

impl FromIterator<(Key, Option<Value>)> for Change {
    fn from_iter<I: IntoIterator<Item = (Key, Option<Value>)>>(settings: I) -> Change {
        Change { settings: settings.into_iter().collect() }
    }
}
