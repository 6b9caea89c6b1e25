//! Setting values and their validation errors.

use crate::key::Key;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// The value of a setting, in the unit of its field. All settings of a rollout are numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value(pub f64);

/// An invalid content or change. Servers report the error in their acknowledgements, so the reason is text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub struct ValidationError {
    /// The invalid setting, or `None` if the content or change is invalid as a whole.
    pub key: Option<Key>,
    /// Human-readable description of the error.
    #[serde(rename = "what")]
    pub reason: String,
}

impl ValidationError {
    /// Creates an error that concerns the content or change as a whole.
    pub fn whole(reason: impl Into<String>) -> ValidationError {
        ValidationError { key: None, reason: reason.into() }
    }

    /// Creates an error that concerns one setting.
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

/// Checks that a key is valid and that its value, if any, is in the range of its field.
pub(crate) fn check_setting(key: &Key, value: Option<Value>) -> Result<(), ValidationError> {
    key.check().map_err(|error| ValidationError::at(key, error.to_string()))?;
    value.map_or(Ok(()), |value| check_range(key, value))
}

fn check_range(key: &Key, Value(value): Value) -> Result<(), ValidationError> {
    let range = key.field.range();
    // Negative zero equals zero but has another encoding, which would give equal settings different digests.
    if range.contains(&value) && value.is_sign_positive() {
        return Ok(());
    }
    let reason = format!("got {value}, expected a value from {} to {}", range.start(), range.end());
    Err(ValidationError::at(key, reason))
}

/// Returns the size of a setting that counts towards the size limits of a change and of a version's content, in bytes.
pub(crate) fn counted_bytes(key: &Key) -> usize {
    /// Upper bound on the encoded size of section, field, value and lengths.
    const OVERHEAD_BYTES: usize = 14;
    key.name.len() + OVERHEAD_BYTES
}
