//! Typed access to the keys of a JSON object, with the path of each key for error messages.

use crate::ConfigError;
use serde_json::Value;
use std::net::SocketAddr;

/// Milliseconds, the unit of times in the configuration, in a second.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// What an absent word reads as.
const ABSENT_WORD: &str = "silent";

/// The value of an object that is absent.
const ABSENT_OBJECT: &Value = &Value::Null;

/// Parses a text whose top level has to be an object.
pub(crate) fn parse_object(text: &[u8]) -> Result<Value, ConfigError> {
    let value: Value = serde_json::from_slice(text)?;
    if !value.is_object() {
        return Err(ConfigError::NotAnObject);
    }
    Ok(value)
}

/// An object of the configuration, or null where it is absent.
pub(crate) struct JsonObject<'a> {
    value: &'a Value,
    /// Path from the top, with a dot behind it unless it is empty.
    path: String,
}

impl<'a> JsonObject<'a> {
    /// The object at the top of a configuration.
    pub(crate) fn top_level(value: &'a Value) -> JsonObject<'a> {
        JsonObject { value, path: String::new() }
    }

    /// The value of a key; null counts as absent.
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

    /// The object under a key. An absent one reads as an object without keys.
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

    /// The values of the list under a key; an absent list has none.
    pub(crate) fn list(&self, key: &str) -> Result<&'a [Value], ConfigError> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(values)) => Ok(values),
            Some(_) => Err(self.invalid(key, "a list")),
        }
    }

    /// The objects of the list under a key.
    pub(crate) fn objects(&self, key: &str) -> Result<Vec<JsonObject<'a>>, ConfigError> {
        let object = |(index, value)| JsonObject { value, path: format!("{}[{index}].", self.key_path(key)) };
        Ok(self.list(key)?.iter().enumerate().map(object).collect())
    }

    /// A number that is not negative.
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

    /// An absent number is 0, as an absent value is anywhere on the wire.
    pub(crate) fn number_or_zero(&self, key: &str) -> Result<f64, ConfigError> {
        self.get(key).map_or(Ok(0.0), |_| self.number(key))
    }

    /// Seconds from a key in milliseconds; an absent one is 0.
    pub(crate) fn duration_or_zero(&self, key: &str) -> Result<f64, ConfigError> {
        Ok(self.number_or_zero(key)? / MILLISECONDS_PER_SECOND)
    }

    /// Seconds from a key in milliseconds that has to be above 0.
    pub(crate) fn positive_duration(&self, key: &str) -> Result<f64, ConfigError> {
        Ok(self.positive_number(key)? / MILLISECONDS_PER_SECOND)
    }

    /// Seconds from a key in milliseconds that has to lie within bounds, given in milliseconds too.
    pub(crate) fn duration_between(&self, key: &str, low: f64, high: f64) -> Result<f64, ConfigError> {
        Ok(self.number_between(key, low, high)? / MILLISECONDS_PER_SECOND)
    }

    /// An absent flag is false.
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

    /// The name of this object. The simulator has no use for names, so its configurations may lack them.
    pub(crate) fn name(&self) -> Result<String, ConfigError> {
        Ok(self.text("Name")?.unwrap_or_default().to_owned())
    }

    /// The value that belongs to the word under a key.
    pub(crate) fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let word = self.word(key)?;
        let found = choices.iter().find(|(name, _)| *name == word);
        let unknown = || ConfigError::UnknownWord { key: self.key_path(key), word: word.to_owned() };
        found.map(|&(_, value)| value).ok_or_else(unknown)
    }

    /// An address; `fallback` stands in where the key is absent.
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
