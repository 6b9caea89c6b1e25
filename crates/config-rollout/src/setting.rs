//! The value of one setting, and what can be wrong with it.

use crate::key::Key;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// The value of a setting, in the unit of its field. All settings that can be rolled out are numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value(pub f64);

/// Why a content or a change is not valid. Servers send it on as part of a rejection, so the reason is text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub struct ValidationError {
    /// The setting that is wrong; none where the content or the change is wrong as a whole.
    pub key: Option<Key>,
    /// What is wrong, for people.
    #[serde(rename = "what")]
    pub reason: String,
}

impl ValidationError {
    /// An error of the content or change as a whole.
    pub fn whole(reason: impl Into<String>) -> ValidationError {
        ValidationError { key: None, reason: reason.into() }
    }

    /// An error of one setting.
    pub fn at(key: &Key, reason: impl Into<String>) -> ValidationError {
        ValidationError { key: Some(key.clone()), reason: reason.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match &self.key {
            Some(key) => write!(out, "{key}: {}", self.reason),
            None => out.write_str(&self.reason),
        }
    }
}

/// Whether a key is valid, and its value, if it has one, is in the range of its field.
pub(crate) fn check_setting(key: &Key, value: Option<Value>) -> Result<(), ValidationError> {
    key.check().map_err(|error| ValidationError::at(key, error.to_string()))?;
    value.map_or(Ok(()), |value| check_range(key, value))
}

fn check_range(key: &Key, Value(value): Value) -> Result<(), ValidationError> {
    let range = key.field.range();
    // A negative zero has bits of its own, and two contents that are equal must have one digest.
    if range.contains(&value) && value.is_sign_positive() {
        return Ok(());
    }
    let reason = format!("should be from {} to {}, is {value}", range.start(), range.end());
    Err(ValidationError::at(key, reason))
}

/// Bytes that a setting counts for in the bounds of changes and contents; it takes fewer when it is sent.
pub(crate) fn counted_bytes(key: &Key) -> usize {
    /// Section, field, value and the lengths between them.
    const OVERHEAD_BYTES: usize = 14;
    key.name.len() + OVERHEAD_BYTES
}
