//! What is configured: a bounded sorted map of typed keys. It lies over the start file that a server has anyway; what it does not
//! name stays as the start file says, and the empty content is the start file alone.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Keys of a content, and bytes of its canonical form. 15,000 tenants and 2,300 routes of four fields take 1 MB.
pub const KEYS: usize = 100_000;
pub const BYTES: usize = 4 << 20;
/// Keys and bytes of one change.
pub const CHANGE_KEYS: usize = 4096;
pub const CHANGE_BYTES: usize = 256 << 10;
/// Longest name of a tenant, a route or an author, in bytes.
pub const NAME: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Section {
    /// The start text's `Tenants`.
    Tenant,
    /// The start text's `Lanes`, the module's products.
    Route,
    /// Limits of a class of work over the whole server; they have one name, [`FLEET`].
    Limit,
}

/// The one name in [`Section::Limit`].
pub const FLEET: &str = "fleet";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Field {
    /// Of a tenant, txns a second over the whole fleet.
    Quota,
    /// Of a route. Times in ms, as in the start text.
    Promise,
    PromiseStretch,
    GiveUp,
    Importance,
    LateShare,
    Window,
    /// Of the fleet.
    Servers,
    OverShareWorth,
    MaxRetryAfter,
}

impl Section {
    pub const ALL: [Section; 3] = [Section::Tenant, Section::Route, Section::Limit];

    pub fn name(self) -> &'static str {
        match self {
            Section::Tenant => "tenant",
            Section::Route => "route",
            Section::Limit => "limit",
        }
    }
}

impl Field {
    pub const ALL: [Field; 10] = [
        Field::Quota,
        Field::Promise,
        Field::PromiseStretch,
        Field::GiveUp,
        Field::Importance,
        Field::LateShare,
        Field::Window,
        Field::Servers,
        Field::OverShareWorth,
        Field::MaxRetryAfter,
    ];

    /// Where it stands, as it is written, as the start text has it, and what it may be.
    fn told(self) -> (Section, &'static str, &'static str, RangeInclusive<f64>) {
        const LONGEST: f64 = 3_600_000.0;
        match self {
            Field::Quota => (Section::Tenant, "quota", "QuotaRps", 0.0..=1e9),
            Field::Promise => (Section::Route, "promise", "Promise", 0.001..=LONGEST),
            Field::PromiseStretch => (Section::Route, "promise-stretch", "AimStretch", 0.0..=1e6),
            Field::GiveUp => (Section::Route, "give-up", "GiveUp", 0.001..=LONGEST),
            Field::Importance => (Section::Route, "importance", "Importance", 0.0..=1e9),
            Field::LateShare => (Section::Route, "late-share", "LateShare", 0.0..=1.0),
            Field::Window => (Section::Route, "window", "DedupWindow", 0.0..=86_400_000.0),
            Field::Servers => (Section::Limit, "servers", "Servers", 1.0..=1e6),
            Field::OverShareWorth => (Section::Limit, "over-share-worth", "OverShareWorth", 0.0..=1.0),
            Field::MaxRetryAfter => (Section::Limit, "max-retry-after", "MaxRetryAfter", 0.0..=LONGEST),
        }
    }
    pub fn section(self) -> Section {
        self.told().0
    }
    /// As operators write it.
    pub fn name(self) -> &'static str {
        self.told().1
    }
    /// As the start text has it.
    pub fn wire(self) -> &'static str {
        self.told().2
    }
    pub fn range(self) -> RangeInclusive<f64> {
        self.told().3
    }
}

/// What one setting is called: `tenant "acme" quota`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub section: Section,
    pub name: String,
    pub field: Field,
}

impl Key {
    pub fn new(section: Section, name: &str, field: Field) -> Key {
        Key { section, name: name.into(), field }
    }
    pub fn tenant(name: &str) -> Key {
        Key::new(Section::Tenant, name, Field::Quota)
    }
    pub fn route(name: &str, field: Field) -> Key {
        Key::new(Section::Route, name, field)
    }
    pub fn limit(field: Field) -> Key {
        Key::new(Section::Limit, FLEET, field)
    }

    fn check(&self) -> Result<(), String> {
        if self.field.section() != self.section {
            return Err(format!("a {} has no {}", self.section.name(), self.field.name()));
        }
        if self.name.is_empty() || self.name.len() > NAME || self.name.chars().any(char::is_control) {
            return Err(format!("a name should have 1 to {NAME} bytes and no control characters"));
        }
        if self.section == Section::Limit && self.name != FLEET {
            return Err(format!("limits stand under the name {FLEET:?}"));
        }
        Ok(())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} {:?} {}", self.section.name(), self.name, self.field.name())
    }
}

/// A setting's value. All that the start text lets change today are numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value(pub f64);

/// What is wrong with a content or a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub struct Wrong {
    /// None where it is wrong as a whole.
    pub key: Option<Key>,
    pub what: String,
}

impl Wrong {
    pub fn whole(what: impl Into<String>) -> Wrong {
        Wrong { key: None, what: what.into() }
    }
    pub fn at(key: &Key, what: impl Into<String>) -> Wrong {
        Wrong { key: Some(key.clone()), what: what.into() }
    }
}

impl fmt::Display for Wrong {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match &self.key {
            Some(key) => write!(out, "{key}: {}", self.what),
            None => out.write_str(&self.what),
        }
    }
}

/// What a version changes: keys with their new values, and keys that go. A map, so that no key stands in it twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change(pub BTreeMap<Key, Option<Value>>);

impl Change {
    pub fn set(mut self, key: Key, value: f64) -> Change {
        self.0.insert(key, Some(Value(value)));
        self
    }
    pub fn remove(mut self, key: Key) -> Change {
        self.0.insert(key, None);
        self
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes that it counts for; what it takes on a link is less.
    pub fn bytes(&self) -> usize {
        self.0.keys().map(|key| bytes_of(key) + 1).sum()
    }

    /// This one and then `later`, as one.
    pub fn then(&mut self, later: &Change) {
        for (key, value) in &later.0 {
            self.0.insert(key.clone(), *value);
        }
    }

    /// Whether it is fit by itself, whatever it is laid over.
    pub fn check(&self) -> Result<(), Wrong> {
        if self.0.len() > CHANGE_KEYS || self.bytes() > CHANGE_BYTES {
            return Err(Wrong::whole(format!(
                "a change has {CHANGE_KEYS} keys and {CHANGE_BYTES} bytes at the most, this one {} and {}",
                self.0.len(),
                self.bytes()
            )));
        }
        for (key, value) in &self.0 {
            key.check().map_err(|what| Wrong::at(key, what))?;
            value.map_or(Ok(()), |value| fits(key, value))?;
        }
        Ok(())
    }
}

fn fits(key: &Key, Value(value): Value) -> Result<(), Wrong> {
    let range = key.field.range();
    // A negative zero has a form of its own, and two contents that are equal must have one digest.
    if range.contains(&value) && value.is_sign_positive() {
        return Ok(());
    }
    Err(Wrong::at(key, format!("should be from {} to {}, is {value}", range.start(), range.end())))
}

fn bytes_of(key: &Key) -> usize {
    key.name.len() + 14
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    map: BTreeMap<Key, Value>,
}

impl Content {
    pub fn get(&self, key: &Key) -> Option<f64> {
        self.map.get(key).map(|value| value.0)
    }
    pub fn all(&self) -> impl Iterator<Item = (&Key, f64)> {
        self.map.iter().map(|(key, value)| (key, value.0))
    }
    pub fn len(&self) -> usize {
        self.map.len()
    }
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }
    pub fn bytes(&self) -> usize {
        self.map.keys().map(bytes_of).sum()
    }

    /// The content after a change, whole, or why there is none.
    pub fn after(&self, change: &Change) -> Result<Content, Wrong> {
        let mut content = self.clone();
        for (key, value) in &change.0 {
            match value {
                Some(value) => content.map.insert(key.clone(), *value),
                None => content.map.remove(key),
            };
        }
        content.check_size()?;
        for (key, value) in &change.0 {
            key.check().map_err(|what| Wrong::at(key, what))?;
            value.map_or(Ok(()), |value| fits(key, value))?;
        }
        Ok(content)
    }

    fn check_size(&self) -> Result<(), Wrong> {
        if self.map.len() > KEYS || self.bytes() > BYTES {
            let (keys, bytes) = (self.map.len(), self.bytes());
            return Err(Wrong::whole(format!(
                "a content has {KEYS} keys and {BYTES} bytes at the most, this one {keys} and {bytes}"
            )));
        }
        Ok(())
    }

    /// Whether every key and value is fit; for contents that came from outside.
    pub fn check(&self) -> Result<(), Wrong> {
        self.check_size()?;
        for (key, value) in &self.map {
            key.check().map_err(|what| Wrong::at(key, what))?;
            fits(key, *value)?;
        }
        Ok(())
    }

    /// What makes `other` of this one.
    pub fn diff(&self, other: &Content) -> Change {
        let mut change = Change::default();
        for (key, value) in &other.map {
            if self.map.get(key) != Some(value) {
                change.0.insert(key.clone(), Some(*value));
            }
        }
        for key in self.map.keys().filter(|key| !other.map.contains_key(key)) {
            change.0.insert(key.clone(), None);
        }
        change
    }

    /// The one form that is hashed: keys in their order, each length written out.
    pub fn canonical(&self, out: &mut Vec<u8>) {
        out.extend((self.map.len() as u64).to_le_bytes());
        for (key, value) in &self.map {
            out.push(key.section as u8);
            out.extend((key.name.len() as u32).to_le_bytes());
            out.extend(key.name.as_bytes());
            out.push(key.field as u8);
            out.extend(value.0.to_bits().to_le_bytes());
        }
    }
}

#[cfg(test)]
mod tests;
