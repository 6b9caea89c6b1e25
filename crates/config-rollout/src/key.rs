//! The settings that can be rolled out, each under a typed key: which section of a server's base settings it belongs to, the name of
//! the tenant or route there, and the field.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Longest name of a tenant, a route or an author, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The one name that keys of [`Section::Limit`] have: a limit holds for a whole server.
pub const FLEET: &str = "fleet";

/// Longest time that a field may hold, in ms: an hour.
const MAX_TIME_MS: f64 = 3_600_000.0;
/// Longest deduplication window, in ms: a day.
const MAX_WINDOW_MS: f64 = 86_400_000.0;
/// Shortest positive time, in ms.
const MIN_TIME_MS: f64 = 0.001;

/// The part of the base settings in which a key stands. The order of the variants is part of stored data and of digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Section {
    /// An entry of the list `Tenants`.
    Tenant,
    /// An entry of the list `Lanes`: the routes of the serving process.
    Route,
    /// A limit of the whole server, under the name [`FLEET`].
    Limit,
}

impl Section {
    /// All sections, in the order of their declaration.
    pub const ALL: [Section; 3] = [Section::Tenant, Section::Route, Section::Limit];

    /// The section as operators write it in a patch.
    pub fn name(self) -> &'static str {
        match self {
            Section::Tenant => "tenant",
            Section::Route => "route",
            Section::Limit => "limit",
        }
    }

    /// The section of that name, as operators write it.
    pub fn from_name(name: &str) -> Option<Section> {
        Section::ALL.into_iter().find(|section| section.name() == name)
    }

    /// The fields that a key of this section may have.
    pub fn fields(self) -> impl Iterator<Item = Field> {
        Field::ALL.into_iter().filter(move |field| field.section() == self)
    }

    /// The field of that name in this section, as operators write it.
    pub fn field(self, name: &str) -> Option<Field> {
        self.fields().find(|field| field.name() == name)
    }
}

/// One setting of a tenant, of a route or of the whole server. The order of the variants is part of stored data and of digests. Times
/// are in ms, as in the base settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Field {
    /// Requests per second that a tenant may send, over the whole fleet.
    Quota,
    /// Latency objective of a route, ms.
    #[serde(rename = "Promise")]
    LatencyObjective,
    /// Factor by which the latency objective of a route may be stretched.
    #[serde(rename = "PromiseStretch")]
    ObjectiveStretch,
    /// Time after which the caller of a route has given up, ms.
    #[serde(rename = "GiveUp")]
    Timeout,
    /// Priority weight of a route.
    #[serde(rename = "Importance")]
    PriorityWeight,
    /// Fraction of its priority weight that a response still has between the latency objective and the timeout.
    #[serde(rename = "LateShare")]
    LateWeightFraction,
    /// Time for which a route's idempotency keys are remembered, ms.
    #[serde(rename = "Window")]
    DedupWindow,
    /// Servers in the fleet.
    Servers,
    /// Fraction of their priority weight that requests above their tenant's quota have.
    #[serde(rename = "OverShareWorth")]
    OverQuotaFraction,
    /// Longest `Retry-After` that a server may announce, ms.
    MaxRetryAfter,
}

/// What is fixed about a field.
struct FieldSpec {
    section: Section,
    /// As operators write it in a patch.
    name: &'static str,
    /// As the base settings name it.
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
    /// All fields, in the order of their declaration.
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

    /// The section whose keys have this field.
    pub fn section(self) -> Section {
        self.spec().section
    }

    /// The field as operators write it in a patch.
    pub fn name(self) -> &'static str {
        self.spec().name
    }

    /// The field as the base settings name it.
    pub fn settings_key(self) -> &'static str {
        self.spec().settings_key
    }

    /// The values that the field may have.
    pub fn range(self) -> RangeInclusive<f64> {
        self.spec().range
    }

    /// Whether the field is a time, which operators write with a unit.
    pub fn is_time(self) -> bool {
        matches!(self, Field::LatencyObjective | Field::Timeout | Field::DedupWindow | Field::MaxRetryAfter)
    }
}

/// The full name of one setting, such as `tenant "acme" quota`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The part of the base settings.
    pub section: Section,
    /// The tenant or the route; [`FLEET`] for a limit.
    pub name: String,
    /// The setting.
    pub field: Field,
}

/// Why a key is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The section has no such field.
    #[error("a {} has no {}", section.name(), field.name())]
    FieldOfOtherSection {
        /// The section of the key.
        section: Section,
        /// The field of the key.
        field: Field,
    },
    /// The name is empty, too long or has control characters.
    #[error("a name should have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName,
    /// A limit has another name than [`FLEET`].
    #[error("limits stand under the name {FLEET:?}")]
    LimitName,
}

impl Key {
    /// A key of its parts, which are not checked: see [`Key::check`].
    pub fn new(section: Section, name: &str, field: Field) -> Key {
        Key { section, name: name.into(), field }
    }

    /// The quota of a tenant.
    pub fn tenant(name: &str) -> Key {
        Key::new(Section::Tenant, name, Field::Quota)
    }

    /// A field of a route.
    pub fn route(name: &str, field: Field) -> Key {
        Key::new(Section::Route, name, field)
    }

    /// A limit of the whole server.
    pub fn limit(field: Field) -> Key {
        Key::new(Section::Limit, FLEET, field)
    }

    /// Whether the parts of the key fit each other and the name is valid.
    pub fn check(&self) -> Result<(), KeyError> {
        if self.field.section() != self.section {
            return Err(KeyError::FieldOfOtherSection { section: self.section, field: self.field });
        }
        let length_fits = (1..=MAX_NAME_BYTES).contains(&self.name.len());
        if !length_fits || self.name.chars().any(char::is_control) {
            return Err(KeyError::InvalidName);
        }
        if self.section == Section::Limit && self.name != FLEET {
            return Err(KeyError::LimitName);
        }
        Ok(())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} {:?} {}", self.section.name(), self.name, self.field.name())
    }
}
