//! Validation of a version's content, when a change is put and again on each server, whose base settings may differ.

use crate::content::Content;
use crate::key::{Field, Key, Section};
use crate::setting::ValidationError;
use puffinladder_settings::{parse_policy_config, ConfigError};
use serde_json::{Map, Value as Json};

/// Validates the whole content of a version before it is accepted or activated.
pub trait ContentValidator {
    /// Checks whether the content may be activated.
    ///
    /// # Errors
    ///
    /// Returns the reason, and the key where one setting is invalid.
    fn validate(&self, content: &Content) -> Result<(), ValidationError>;
}

impl<F: Fn(&Content) -> Result<(), ValidationError>> ContentValidator for F {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        self(content)
    }
}

/// A validator that checks sizes, keys and ranges, but no base settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct BoundsValidator;

impl ContentValidator for BoundsValidator {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        content.check()
    }
}

/// The base settings with which a server starts. Contents overlay them.
#[derive(Clone, Debug)]
pub struct BaseSettings {
    settings: Map<String, Json>,
}

impl BaseSettings {
    /// Parses base settings. `text` is JSON in the format of [`parse_policy_config`]: the `settings` object of a server's configuration,
    /// or the whole configuration of an adapter.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is no JSON object or the policy settings are invalid.
    pub fn new(text: &[u8]) -> Result<BaseSettings, ConfigError> {
        parse_policy_config(text)?;
        match serde_json::from_slice(text) {
            Ok(Json::Object(settings)) => Ok(BaseSettings { settings }),
            _ => Err(ConfigError::NotAnObject),
        }
    }

    /// Returns the base settings overlaid with the content, as JSON in the format of [`parse_policy_config`].
    ///
    /// # Errors
    ///
    /// Returns an error if the base settings lack the route of a key, or if a value in them has the wrong type.
    pub fn overlay(&self, content: &Content) -> Result<Vec<u8>, ValidationError> {
        let mut settings = self.settings.clone();
        for (key, value) in content.iter() {
            let target = match key.section {
                Section::Limit => limits_of(&mut settings, key)?,
                Section::Tenant | Section::Route => entry_of(&mut settings, key)?,
            };
            target.insert(key.field.settings_key().into(), Json::from(value));
        }
        serde_json::to_vec(&Json::Object(settings)).map_err(|error| ValidationError::whole(error.to_string()))
    }
}

/// Returns the object that contains a limit.
fn limits_of<'a>(
    settings: &'a mut Map<String, Json>,
    key: &Key,
) -> Result<&'a mut Map<String, Json>, ValidationError> {
    if key.field != Field::MaxRetryAfter {
        return Ok(settings);
    }
    let limits = settings.entry("Limits").or_insert_with(|| Json::Object(Map::new()));
    limits
        .as_object_mut()
        .ok_or_else(|| ValidationError::at(key, "base settings: Limits is not a JSON object"))
}

/// Returns the object of the tenant or route of a key. A missing tenant is added. A missing route is an error, because a route has further
/// required settings that only the base settings define.
fn entry_of<'a>(
    settings: &'a mut Map<String, Json>,
    key: &Key,
) -> Result<&'a mut Map<String, Json>, ValidationError> {
    let error = |reason: String| ValidationError::at(key, reason);
    let is_tenant = key.section == Section::Tenant;
    let list_key = if is_tenant { "Tenants" } else { "Lanes" };
    let list = settings.entry(list_key).or_insert_with(|| Json::Array(Vec::new()));
    let entries =
        list.as_array_mut().ok_or_else(|| error(format!("base settings: {list_key} is not a JSON array")))?;
    let has_name = |entry: &Json| entry.get("Name").and_then(Json::as_str) == Some(&key.name);
    let position = match entries.iter().position(has_name) {
        Some(position) => position,
        None if is_tenant => {
            entries.push(serde_json::json!({ "Name": key.name }));
            entries.len() - 1
        }
        None => return Err(error(format!("base settings: no entry with Name {:?} in {list_key}", key.name))),
    };
    let not_an_object = || error(format!("base settings: {list_key}[{position}] is not a JSON object"));
    entries[position].as_object_mut().ok_or_else(not_an_object)
}

impl ContentValidator for BaseSettings {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        content.check()?;
        let settings = self.overlay(content)?;
        // Keys and ranges were checked above. This error concerns the settings as a whole and names its own location.
        parse_policy_config(&settings).map_err(|error| ValidationError::whole(error.to_string()))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
