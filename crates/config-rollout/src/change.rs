//! What a version changes: keys that get new values, and keys that are removed.

use crate::key::Key;
use crate::setting::{check_setting, counted_bytes, ValidationError, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Keys of one change, at the most.
pub const MAX_CHANGE_KEYS: usize = 4096;
/// Bytes of one change, at the most, as [`Change::bytes`] counts them.
pub const MAX_CHANGE_BYTES: usize = 256 << 10;

/// Keys with their new values; none removes the key, so that the base settings hold again. Being a map, it has no key twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Change {
    settings: BTreeMap<Key, Option<Value>>,
}

impl Change {
    /// This change, with a value for a key as well.
    pub fn set(mut self, key: Key, value: f64) -> Change {
        self.settings.insert(key, Some(Value(value)));
        self
    }

    /// This change, with the removal of a key as well.
    pub fn remove(mut self, key: Key) -> Change {
        self.settings.insert(key, None);
        self
    }

    /// Sets a key, or removes it where the value is none. Returns whether the change had the key already.
    pub fn insert(&mut self, key: Key, value: Option<Value>) -> bool {
        self.settings.insert(key, value).is_some()
    }

    /// Whether the change has the key, set or removed.
    pub fn contains(&self, key: &Key) -> bool {
        self.settings.contains_key(key)
    }

    /// The keys in their order, each with its new value; none where it is removed.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Option<Value>)> {
        self.settings.iter().map(|(key, value)| (key, *value))
    }

    /// Whether it has no key at all.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Keys that it sets or removes.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Bytes that it counts for in the bounds; it takes fewer when it is sent.
    pub fn bytes(&self) -> usize {
        /// A set or a removed key.
        const TAG_BYTES: usize = 1;
        self.settings.keys().map(|key| counted_bytes(key) + TAG_BYTES).sum()
    }

    /// Adds a later change, so that this one does what both do one after the other.
    pub fn append(&mut self, later: &Change) {
        for (key, value) in &later.settings {
            self.settings.insert(key.clone(), *value);
        }
    }

    /// Whether it is valid by itself, whatever content it is applied to.
    pub fn check(&self) -> Result<(), ValidationError> {
        if self.len() > MAX_CHANGE_KEYS || self.bytes() > MAX_CHANGE_BYTES {
            return Err(ValidationError::whole(format!(
                "a change has {MAX_CHANGE_KEYS} keys and {MAX_CHANGE_BYTES} bytes at the most, this one {} and {}",
                self.len(),
                self.bytes()
            )));
        }
        self.check_settings()
    }

    /// Whether each key and each value is valid, whatever the size.
    pub(crate) fn check_settings(&self) -> Result<(), ValidationError> {
        self.settings.iter().try_for_each(|(key, value)| check_setting(key, *value))
    }
}

impl FromIterator<(Key, Option<Value>)> for Change {
    fn from_iter<I: IntoIterator<Item = (Key, Option<Value>)>>(settings: I) -> Change {
        Change { settings: settings.into_iter().collect() }
    }
}
