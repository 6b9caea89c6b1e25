//! Whether a content can be put in force: a server's own check of the terms that a content makes of its start text. Whoever accepts a
//! change asks first, and each server asks again, since its start text may be another.

use crate::content::{Content, Field, Section, Wrong};
use serde_json::{Map, Value as Json};

/// Judges a whole content.
pub trait Checker {
    fn check(&self, content: &Content) -> Result<(), Wrong>;
}

/// Keys and values only.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shape;

impl Checker for Shape {
    fn check(&self, content: &Content) -> Result<(), Wrong> {
        content.check()
    }
}

impl<F: Fn(&Content) -> Result<(), Wrong>> Checker for F {
    fn check(&self, content: &Content) -> Result<(), Wrong> {
        self(content)
    }
}

/// The terms of a start text, over which contents are laid and which `puffinladder-settings` reads.
#[derive(Clone, Debug)]
pub struct Start {
    settings: Map<String, Json>,
}

impl Start {
    /// `settings` is what `parse_policy_config` takes: the `settings` of a server's start text, or all of an adapter's.
    pub fn new(settings: &[u8]) -> Result<Start, String> {
        puffinladder_settings::parse_policy_config(settings).map_err(|error| error.to_string())?;
        match serde_json::from_slice(settings) {
            Ok(Json::Object(settings)) => Ok(Start { settings }),
            _ => Err("start text is not a JSON object".into()),
        }
    }

    /// The settings with a content laid over them, as `parse_policy_config` takes them.
    pub fn under(&self, content: &Content) -> Result<Vec<u8>, Wrong> {
        let mut settings = self.settings.clone();
        for (key, value) in content.all() {
            let wrong = |what: &str| Wrong::at(key, what);
            let number = Json::from(value);
            match key.section {
                Section::Limit if key.field == Field::MaxRetryAfter => {
                    let limits = settings.entry("Limits").or_insert_with(|| Json::Object(Map::new()));
                    let limits = limits
                        .as_object_mut()
                        .ok_or_else(|| wrong("the start text's Limits is no object"))?;
                    limits.insert(key.field.wire().into(), number);
                }
                Section::Limit => drop(settings.insert(key.field.wire().into(), number)),
                Section::Tenant | Section::Route => {
                    let list = if key.section == Section::Tenant { "Tenants" } else { "Lanes" };
                    let all = settings.entry(list).or_insert_with(|| Json::Array(Vec::new()));
                    let all =
                        all.as_array_mut().ok_or_else(|| wrong("the start text has no list of these"))?;
                    let named = |one: &&mut Json| one.get("Name").and_then(Json::as_str) == Some(&key.name);
                    let one = match all.iter_mut().find(named) {
                        Some(one) => one,
                        None if key.section == Section::Tenant => {
                            all.push(serde_json::json!({ "Name": key.name }));
                            all.last_mut().ok_or_else(|| wrong("no room"))?
                        }
                        // A route has an effect and calls, which no change gives: those are the start text's to name.
                        None => return Err(wrong("the start text has no route of that name")),
                    };
                    let one =
                        one.as_object_mut().ok_or_else(|| wrong("the start text's entry is no object"))?;
                    one.insert(key.field.wire().into(), number);
                }
            }
        }
        serde_json::to_vec(&Json::Object(settings)).map_err(|e| Wrong::whole(e.to_string()))
    }
}

impl Checker for Start {
    fn check(&self, content: &Content) -> Result<(), Wrong> {
        content.check()?;
        let settings = self.under(content)?;
        // Ranges were seen to above, by key; what is left concerns the terms as a whole and says so itself.
        puffinladder_settings::parse_policy_config(&settings)
            .map_err(|error| Wrong::whole(error.to_string()))?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
