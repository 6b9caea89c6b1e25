//! Why a JSON configuration can't be used.

use thiserror::Error;

/// Why a JSON configuration can't be used. Each message names the key by its path, as in `settings.Lanes[0].Promise`.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("start text is not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is JSON, but no object.
    #[error("start text is not a JSON object")]
    NotAnObject,
    /// A required key is absent or null.
    #[error("start text: {key} should be given")]
    Missing {
        /// Path of the key.
        key: String,
    },
    /// A value has another type than expected, or is out of range.
    #[error("start text: {key} should be {expected}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What would have been accepted.
        expected: String,
    },
    /// A word is none of those that the key accepts.
    #[error("start text: {key} should be one of the wire's: unknown word {word}")]
    UnknownWord {
        /// Path of the key.
        key: String,
        /// The word that was given.
        word: String,
    },
    /// Each value is acceptable, but the policy can't work by all of them together.
    #[error(transparent)]
    Policy(#[from] puffinladder::SettingsError),
}
