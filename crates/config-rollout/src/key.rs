//! Typed keys of the settings that can be rolled out. A key has a section of the base settings, the name of a tenant or route in that
//! section, and a field.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Maximum length of the name of a tenant, route or author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The name in every key of [`Section::Limit`], since limits apply to a whole server.
pub const FLEET: &str = "fleet";

/// Maximum value of a time, in ms (one hour).
const MAX_TIME_MS: f64 = 3_600_000.0;
/// Maximum deduplication window, in ms (one day).
const MAX_WINDOW_MS: f64 = 86_400_000.0;
/// Minimum value of a time that must be positive, in ms.
const MIN_TIME_MS: f64 = 0.001;

/// A section of the base settings. The order of the variants is part of stored data and of digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Section {
    /// A tenant: an entry of the list `Tenants`.
    Tenant,
    /// A route of the serving process: an entry of the list `Lanes`.
    Route,
    /// A limit of the whole server, with the name [`FLEET`].
    Limit,
}

impl Section {
    /// All sections, in declaration order.
    pub const ALL: [Section; 3] = [Section::Tenant, Section::Route, Section::Limit];

    /// Returns the name of the section in patches.
    pub fn name(self) -> &'static str {
        match self {
            Section::Tenant => "tenant",
            Section::Route => "route",
            Section::Limit => "limit",
        }
    }

    /// Returns the section with that name in patches.
    pub fn from_name(name: &str) -> Option<Section> {
        Section::ALL.into_iter().find(|section| section.name() == name)
    }

    /// Iterates over the fields of this section.
    pub fn fields(self) -> impl Iterator<Item = Field> {
        Field::ALL.into_iter().filter(move |field| field.section() == self)
    }

    /// Returns the field of this section with that name in patches.
    pub fn field(self, name: &str) -> Option<Field> {
        self.fields().find(|field| field.name() == name)
    }
}

/// One setting of a tenant, of a route or of the whole server. The order of the variants is part of stored data and of digests. Times
/// are in ms, as in the base settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Field {
    /// Request rate allowed to a tenant over the whole fleet, requests per second.
    Quota,
    /// Latency objective of a route, ms.
    #[serde(rename = "Promise")]
    LatencyObjective,
    /// Maximum factor by which the latency objective of a route may be stretched.
    #[serde(rename = "PromiseStretch")]
    ObjectiveStretch,
    /// Timeout of the callers of a route, ms.
    #[serde(rename = "GiveUp")]
    Timeout,
    /// Priority weight of a route.
    #[serde(rename = "Importance")]
    PriorityWeight,
    /// Fraction of its priority weight that a response keeps between the latency objective and the timeout.
    #[serde(rename = "LateShare")]
    LateWeightFraction,
    /// Time for which the idempotency keys of a route are stored, ms.
    #[serde(rename = "Window")]
    DedupWindow,
    /// Number of servers in the fleet.
    Servers,
    /// Fraction of their priority weight that requests keep above the quota of their tenant.
    #[serde(rename = "OverShareWorth")]
    OverQuotaFraction,
    /// Maximum `Retry-After` that a server sends, ms.
    MaxRetryAfter,
}

/// Static properties of a field.
struct FieldSpec {
    section: Section,
    /// Name in patches.
    name: &'static str,
    /// Key in the base settings.
    settings_key: &'static str,
    range: RangeInclusive<f64>,
}

impl FieldSpec {
    fn new(
        section: Section,
        name: &'static str,
        settings_key: &'static str,
        range: RangeInclusive<f64>,
    ) -> FieldSpec {
        FieldSpec { section, name, settings_key, range }
    }
}

impl Field {
    /// All fields, in declaration order.
    pub const ALL: [Field; 10] = [
        Field::Quota,
        Field::LatencyObjective,
        Field::ObjectiveStretch,
        Field::Timeout,
        Field::PriorityWeight,
        Field::LateWeightFraction,
        Field::DedupWindow,
        Field::Servers,
        Field::OverQuotaFraction,
        Field::MaxRetryAfter,
    ];

    fn spec(self) -> FieldSpec {
        use Section::{Limit, Route, Tenant};
        match self {
            Field::Quota => FieldSpec::new(Tenant, "quota", "QuotaRps", 0.0..=1e9),
            Field::LatencyObjective => FieldSpec::new(Route, "promise", "Promise", MIN_TIME_MS..=MAX_TIME_MS),
            Field::ObjectiveStretch => FieldSpec::new(Route, "promise-stretch", "AimStretch", 0.0..=1e6),
            Field::Timeout => FieldSpec::new(Route, "give-up", "GiveUp", MIN_TIME_MS..=MAX_TIME_MS),
            Field::PriorityWeight => FieldSpec::new(Route, "importance", "Importance", 0.0..=1e9),
            Field::LateWeightFraction => FieldSpec::new(Route, "late-share", "LateShare", 0.0..=1.0),
            Field::DedupWindow => FieldSpec::new(Route, "window", "DedupWindow", 0.0..=MAX_WINDOW_MS),
            Field::Servers => FieldSpec::new(Limit, "servers", "Servers", 1.0..=1e6),
            Field::OverQuotaFraction => {
                FieldSpec::new(Limit, "over-share-worth", "OverShareWorth", 0.0..=1.0)
            }
            Field::MaxRetryAfter => {
                FieldSpec::new(Limit, "max-retry-after", "MaxRetryAfter", 0.0..=MAX_TIME_MS)
            }
        }
    }

    /// Returns the section to which the field belongs.
    pub fn section(self) -> Section {
        self.spec().section
    }

    /// Returns the name of the field in patches.
    pub fn name(self) -> &'static str {
        self.spec().name
    }

    /// Returns the key of the field in the base settings.
    pub fn settings_key(self) -> &'static str {
        self.spec().settings_key
    }

    /// Returns the range of valid values.
    pub fn range(self) -> RangeInclusive<f64> {
        self.spec().range
    }

    /// Returns whether the field is a time, which has a unit in patches.
    pub fn is_time(self) -> bool {
        matches!(self, Field::LatencyObjective | Field::Timeout | Field::DedupWindow | Field::MaxRetryAfter)
    }
}

/// The key of one setting, displayed for example as `tenant "acme" quota`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The section of the base settings.
    pub section: Section,
    /// The name of the tenant or route, or [`FLEET`] for a limit.
    pub name: String,
    /// The field of the tenant, route or limit.
    pub field: Field,
}

/// An invalid key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The field belongs to another section.
    #[error("field {} belongs to section {}, got section {}", field.name(), field.section().name(), section.name())]
    FieldOfOtherSection {
        /// The section of the key.
        section: Section,
        /// The field of the key.
        field: Field,
    },
    /// The name is empty or too long.
    #[error("name: got {length} bytes, expected 1 to {MAX_NAME_BYTES}")]
    NameLength {
        /// Length of the name in bytes.
        length: usize,
    },
    /// The name has a control character.
    #[error("name: got control character {character:?}, expected none")]
    ControlCharacter {
        /// The first control character of the name.
        character: char,
    },
    /// The name of a limit is not [`FLEET`].
    #[error("name of a limit: got {name:?}, expected {FLEET:?}")]
    LimitName {
        /// The name in the key.
        name: String,
    },
}

impl Key {
    /// Creates a key without checking it; see [`Key::check`].
    pub fn new(section: Section, name: &str, field: Field) -> Key {
        Key { section, name: name.into(), field }
    }

    /// Returns the key of a tenant's quota.
    pub fn tenant(name: &str) -> Key {
        Key::new(Section::Tenant, name, Field::Quota)
    }

    /// Returns the key of a route's field.
    pub fn route(name: &str, field: Field) -> Key {
        Key::new(Section::Route, name, field)
    }

    /// Returns the key of a limit.
    pub fn limit(field: Field) -> Key {
        Key::new(Section::Limit, FLEET, field)
    }

    /// Checks that the field belongs to the section and that the name is valid.
    pub fn check(&self) -> Result<(), KeyError> {
        if self.field.section() != self.section {
            return Err(KeyError::FieldOfOtherSection { section: self.section, field: self.field });
        }
        let length = self.name.len();
        if !(1..=MAX_NAME_BYTES).contains(&length) {
            return Err(KeyError::NameLength { length });
        }
        if let Some(character) = self.name.chars().find(|character| character.is_control()) {
            return Err(KeyError::ControlCharacter { character });
        }
        if self.section == Section::Limit && self.name != FLEET {
            return Err(KeyError::LimitName { name: self.name.clone() });
        }
        Ok(())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} {:?} {}", self.section.name(), self.name, self.field.name())
    }
}
