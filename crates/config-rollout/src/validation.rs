//! Whether a content can be activated. Whoever accepts a change asks first; each server asks again, since its base settings may differ.

use crate::content::Content;
use crate::key::{Field, Key, Section};
use crate::setting::ValidationError;
use puffinladder_settings::{parse_policy_config, ConfigError};
use serde_json::{Map, Value as Json};

/// Judges a whole content.
pub trait ContentValidator {
    /// An error with the key and the reason where the content must not be activated.
    fn validate(&self, content: &Content) -> Result<(), ValidationError>;
}

impl<F: Fn(&Content) -> Result<(), ValidationError>> ContentValidator for F {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        self(content)
    }
}

/// Checks sizes, keys and ranges only, without base settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct BoundsValidator;

impl ContentValidator for BoundsValidator {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        content.check()
    }
}

/// The settings with which a server starts and which contents overlay; `puffinladder-settings` parses both.
#[derive(Clone, Debug)]
pub struct BaseSettings {
    settings: Map<String, Json>,
}

impl BaseSettings {
    /// `text` is JSON as [`parse_policy_config`] takes it: the `settings` of a server's start text, or all of an adapter's.
    pub fn new(text: &[u8]) -> Result<BaseSettings, ConfigError> {
        parse_policy_config(text)?;
        match serde_json::from_slice(text) {
            Ok(Json::Object(settings)) => Ok(BaseSettings { settings }),
            _ => Err(ConfigError::NotAnObject),
        }
    }

    /// The settings with a content overlaid, as JSON that [`parse_policy_config`] takes. An error where the base settings lack the route that a
    /// key names, or have something else in its place.
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

/// The object in which a limit stands.
fn limits_of<'a>(
    settings: &'a mut Map<String, Json>,
    key: &Key,
) -> Result<&'a mut Map<String, Json>, ValidationError> {
    if key.field != Field::MaxRetryAfter {
        return Ok(settings);
    }
    let limits = settings.entry("Limits").or_insert_with(|| Json::Object(Map::new()));
    limits.as_object_mut().ok_or_else(|| ValidationError::at(key, "the start text's Limits is no object"))
}

/// The object of the tenant or route that a key names. A tenant that the base settings lack is added; a route is not, since it has
/// an effect and calls, which only the base settings name.
fn entry_of<'a>(
    settings: &'a mut Map<String, Json>,
    key: &Key,
) -> Result<&'a mut Map<String, Json>, ValidationError> {
    let error = |reason: &str| ValidationError::at(key, reason);
    let is_tenant = key.section == Section::Tenant;
    let list_key = if is_tenant { "Tenants" } else { "Lanes" };
    let list = settings.entry(list_key).or_insert_with(|| Json::Array(Vec::new()));
    let entries = list.as_array_mut().ok_or_else(|| error("the start text has no list of these"))?;
    let has_name = |entry: &Json| entry.get("Name").and_then(Json::as_str) == Some(&key.name);
    let position = match entries.iter().position(has_name) {
        Some(position) => position,
        None if is_tenant => {
            entries.push(serde_json::json!({ "Name": key.name }));
            entries.len() - 1
        }
        None => return Err(error("the start text has no route of that name")),
    };
    entries[position].as_object_mut().ok_or_else(|| error("the start text's entry is no object"))
}

impl ContentValidator for BaseSettings {
    fn validate(&self, content: &Content) -> Result<(), ValidationError> {
        content.check()?;
        let settings = self.overlay(content)?;
        // The check above covers keys and ranges; an error here concerns the settings as a whole and names its place itself.
        parse_policy_config(&settings).map_err(|error| ValidationError::whole(error.to_string()))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
