//! Errors of the JSON configuration.

use thiserror::Error;

/// An error of the JSON configuration. Messages contain the path of the key, as in `settings.Lanes[0].Promise`.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("start text is not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("start text is not a JSON object")]
    NotAnObject,
    /// A required key is absent or null.
    #[error("start text: {key} should be given")]
    Missing {
        /// Path of the key.
        key: String,
    },
    /// A value has the wrong type or is out of range.
    #[error("start text: {key} should be {expected}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// A word is not among those that the key accepts.
    #[error("start text: {key} should be one of the wire's: unknown word {word}")]
    UnknownWord {
        /// Path of the key.
        key: String,
        /// The word that was given.
        word: String,
    },
    /// The values are valid one by one, but the policy rejects their combination.
    #[error(transparent)]
    Policy(#[from] puffinladder::SettingsError),
}
