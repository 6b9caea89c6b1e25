//! Typed access to the keys of a JSON object, with the path of each key for error messages.

use crate::ConfigError;
use serde_json::Value;
use std::net::SocketAddr;

/// Times in the configuration are in milliseconds.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Default of keys whose value is a word.
const ABSENT_WORD: &str = "silent";

/// Value of an absent object.
const ABSENT_OBJECT: &Value = &Value::Null;

/// Parses a text whose top level must be an object.
pub(crate) fn parse_object(text: &[u8]) -> Result<Value, ConfigError> {
    let value: Value = serde_json::from_slice(text)?;
    if !value.is_object() {
        return Err(ConfigError::NotAnObject);
    }
    Ok(value)
}

/// An object of the configuration, or null if it is absent.
pub(crate) struct JsonObject<'a> {
    value: &'a Value,
    /// Path from the top level, empty or with a trailing dot.
    path: String,
}

impl<'a> JsonObject<'a> {
    /// Returns the top-level object of a configuration.
    pub(crate) fn top_level(value: &'a Value) -> JsonObject<'a> {
        JsonObject { value, path: String::new() }
    }

    /// Returns the value of a key; null counts as absent.
    pub(crate) fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn key_path(&self, key: &str) -> String {
        format!("{}{key}", self.path)
    }

    pub(crate) fn missing(&self, key: &str) -> ConfigError {
        ConfigError::Missing { key: self.key_path(key) }
    }

    pub(crate) fn invalid(&self, key: &str, expected: impl Into<String>) -> ConfigError {
        ConfigError::Invalid { key: self.key_path(key), expected: expected.into() }
    }

    /// Returns the object of a key. An absent one is treated as empty.
    pub(crate) fn object(&self, key: &str) -> Result<JsonObject<'a>, ConfigError> {
        let value = self.get(key).unwrap_or(ABSENT_OBJECT);
        if !value.is_object() && !value.is_null() {
            return Err(self.invalid(key, "an object"));
        }
        Ok(JsonObject { value, path: format!("{}.", self.key_path(key)) })
    }

    pub(crate) fn required_object(&self, key: &str) -> Result<JsonObject<'a>, ConfigError> {
        self.get(key).ok_or_else(|| self.missing(key))?;
        self.object(key)
    }

    /// Returns the values of a key's list; an absent list is empty.
    pub(crate) fn list(&self, key: &str) -> Result<&'a [Value], ConfigError> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(values)) => Ok(values),
            Some(_) => Err(self.invalid(key, "a list")),
        }
    }

    /// Returns the objects of a key's list.
    pub(crate) fn objects(&self, key: &str) -> Result<Vec<JsonObject<'a>>, ConfigError> {
        let object = |(index, value)| JsonObject { value, path: format!("{}[{index}].", self.key_path(key)) };
        Ok(self.list(key)?.iter().enumerate().map(object).collect())
    }

    /// Returns a required number that is not negative.
    pub(crate) fn number(&self, key: &str) -> Result<f64, ConfigError> {
        let value = self.get(key).ok_or_else(|| self.missing(key))?.as_f64();
        value.filter(|&value| value >= 0.0).ok_or_else(|| self.invalid(key, "a number from 0 up"))
    }

    pub(crate) fn positive_number(&self, key: &str) -> Result<f64, ConfigError> {
        Some(self.number(key)?).filter(|&value| value > 0.0).ok_or_else(|| self.invalid(key, "above 0"))
    }

    pub(crate) fn number_between(&self, key: &str, low: f64, high: f64) -> Result<f64, ConfigError> {
        let value = self.number(key)?;
        if !(low..=high).contains(&value) {
            return Err(self.invalid(key, format!("between {low} and {high}")));
        }
        Ok(value)
    }

    /// Returns an optional number, 0 by default.
    pub(crate) fn number_or_zero(&self, key: &str) -> Result<f64, ConfigError> {
        self.get(key).map_or(Ok(0.0), |_| self.number(key))
    }

    /// Returns an optional duration in seconds, 0 by default.
    pub(crate) fn duration_or_zero(&self, key: &str) -> Result<f64, ConfigError> {
        Ok(self.number_or_zero(key)? / MILLISECONDS_PER_SECOND)
    }

    /// Returns a required duration in seconds, which must be above 0.
    pub(crate) fn positive_duration(&self, key: &str) -> Result<f64, ConfigError> {
        Ok(self.positive_number(key)? / MILLISECONDS_PER_SECOND)
    }

    /// Returns a required duration in seconds. The bounds are in milliseconds.
    pub(crate) fn duration_between(&self, key: &str, low: f64, high: f64) -> Result<f64, ConfigError> {
        Ok(self.number_between(key, low, high)? / MILLISECONDS_PER_SECOND)
    }

    /// Returns an optional flag, false by default.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        match self.get(key) {
            None => Ok(false),
            Some(value) => value.as_bool().ok_or_else(|| self.invalid(key, "true or false")),
        }
    }

    fn text(&self, key: &str) -> Result<Option<&'a str>, ConfigError> {
        match self.get(key) {
            None => Ok(None),
            Some(value) => value.as_str().map(Some).ok_or_else(|| self.invalid(key, "a word")),
        }
    }

    pub(crate) fn word(&self, key: &str) -> Result<&'a str, ConfigError> {
        Ok(self.text(key)?.unwrap_or(ABSENT_WORD))
    }

    /// Returns the name of this object, empty by default: configurations of the simulator have no names.
    pub(crate) fn name(&self) -> Result<String, ConfigError> {
        Ok(self.text("Name")?.unwrap_or_default().to_owned())
    }

    /// Returns the value that `choices` maps the key's word to.
    pub(crate) fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let word = self.word(key)?;
        let found = choices.iter().find(|(name, _)| *name == word);
        let unknown = || ConfigError::UnknownWord { key: self.key_path(key), word: word.to_owned() };
        found.map(|&(_, value)| value).ok_or_else(unknown)
    }

    /// Returns an optional address; `fallback` is the default.
    pub(crate) fn address(
        &self,
        key: &str,
        fallback: Option<&str>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.text(key)?.or(fallback) else { return Ok(None) };
        let invalid = |_| self.invalid(key, "an address such as 127.0.0.1:4100");
        text.parse().map(Some).map_err(invalid)
    }

    pub(crate) fn required_address(
        &self,
        key: &str,
        fallback: Option<&str>,
    ) -> Result<SocketAddr, ConfigError> {
        self.address(key, fallback)?.ok_or_else(|| self.missing(key))
    }
}
