//! The compact report format. Fields that are constant for a process are taken from the last full report on the same
//! connection, and names of products and customers are sent once and then referred to by number.

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Number of the full format, in which each report is self-contained.
pub const FULL_FORMAT: u32 = 1;
/// Number of the format of [`CompactReport`].
pub const COMPACT_FORMAT: u32 = 2;

/// Decimal places of a number in scientific notation: one less than its significant digits.
const FRACTION_DIGITS: usize = 3;
/// Resolution of a report's creation time.
const TIME_STEPS_PER_SECOND: f64 = 1000.0;
/// Bound below which integers are exact in an f64.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// The line that a control service writes after the first report of a connection, listing the formats it reads.
/// Services of earlier versions write none and receive full reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatOffer {
    /// Numbers of the supported formats.
    pub report_formats: Vec<u32>,
}

impl FormatOffer {
    /// Returns the offer of all formats that this version reads.
    pub fn supported() -> FormatOffer {
        FormatOffer { report_formats: vec![FULL_FORMAT, COMPACT_FORMAT] }
    }
}

/// A report that follows a full report on the same connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompactReport {
    /// Always [`COMPACT_FORMAT`].
    pub format: u32,
    /// Number that increases with each report of an incarnation.
    pub sequence: u64,
    /// When the report was created, seconds by the server's monotonic clock.
    #[serde(rename = "made", serialize_with = "serialize_time")]
    pub created_at: f64,
    /// Maximum number of concurrent requests.
    #[serde(rename = "limit", serialize_with = "serialize_rounded")]
    pub concurrency_limit: f64,
    /// Number of requests in flight.
    #[serde(rename = "running", serialize_with = "serialize_rounded")]
    pub in_flight: f64,
    /// Service time of a request in seconds; 0 if no request has run.
    #[serde(rename = "takes", serialize_with = "serialize_rounded")]
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    #[serde(serialize_with = "serialize_rounded")]
    pub pressure: f64,
    /// Retry-After of rejections, seconds.
    #[serde(serialize_with = "serialize_rounded")]
    pub retry_after: f64,
    /// Result of the server's own health check; omitted while healthy.
    #[serde(default = "default_healthy", skip_serializing_if = "is_healthy")]
    pub healthy: bool,
    /// Seconds until a draining server is terminated; omitted unless it is draining.
    #[serde(rename = "leaving", default, skip_serializing_if = "Option::is_none")]
    pub terminates_in: Option<f64>,
    /// Warm-up progress, from 0 to 1 (warm); omitted once warm.
    #[serde(rename = "warmth", default = "default_warm_up_progress", skip_serializing_if = "is_warm")]
    pub warm_up_progress: f64,
    /// Requests per second completed within their latency objective.
    #[serde(rename = "settled", serialize_with = "serialize_rounded")]
    pub goodput: f64,
    /// Products named for the first time on the connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub products: Vec<NamedProduct>,
    /// Customers named for the first time on the connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<NamedCustomer>,
    /// Load by class.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub load: Vec<CompactClassLoad>,
    /// Total load of the classes that did not fit into the report.
    #[serde(default, skip_serializing_if = "Rates::are_zero")]
    pub rest: Rates,
}

/// A product's number on the connection, its name, and its priority weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedProduct(pub u32, pub String, pub f64);

/// A customer's number on the connection, and its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedCustomer(pub u32, pub String);

/// Request rates, requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Requests that arrived.
    #[serde(rename = "asked", serialize_with = "serialize_rounded")]
    pub offered: f64,
    /// Rejected requests, included in `offered`.
    #[serde(rename = "declined", serialize_with = "serialize_rounded")]
    pub rejected: f64,
}

impl Rates {
    fn are_zero(&self) -> bool {
        *self == Rates::default()
    }
}

/// Load of a product of a customer, encoded as an array: product number, customer number, offered, and rejected if not 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompactClassLoad {
    /// The product's number.
    pub product: u32,
    /// The customer's number.
    pub customer: u32,
    /// Load of the class.
    pub rates: Rates,
}

impl Serialize for CompactClassLoad {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let any_rejected = self.rates.rejected > 0.0;
        let mut array = serializer.serialize_seq(Some(if any_rejected { 4 } else { 3 }))?;
        array.serialize_element(&self.product)?;
        array.serialize_element(&self.customer)?;
        array.serialize_element(&RoundedNumber(self.rates.offered))?;
        if any_rejected {
            array.serialize_element(&RoundedNumber(self.rates.rejected))?;
        }
        array.end()
    }
}

impl<'de> Deserialize<'de> for CompactClassLoad {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<CompactClassLoad, D::Error> {
        deserializer.deserialize_seq(ClassVisitor)
    }
}

struct ClassVisitor;

impl<'de> Visitor<'de> for ClassVisitor {
    type Value = CompactClassLoad;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array [product, customer, offered] or [product, customer, offered, rejected]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<CompactClassLoad, A::Error> {
        let product = array.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let customer = array.next_element()?.ok_or_else(|| A::Error::invalid_length(1, &self))?;
        let offered = array.next_element()?.ok_or_else(|| A::Error::invalid_length(2, &self))?;
        let rejected = array.next_element()?.unwrap_or(0.0);
        Ok(CompactClassLoad { product, customer, rates: Rates { offered, rejected } })
    }
}

/// A number serialized in few digits, and as an integer if it is one.
struct RoundedNumber(f64);

impl Serialize for RoundedNumber {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serialize_rounded(&self.0, serializer)
    }
}

fn serialize_rounded<S: Serializer>(number: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    if number.fract() == 0.0 && (0.0..MAX_EXACT_INTEGER).contains(number) {
        return serializer.serialize_u64(*number as u64);
    }
    let rounded = format!("{number:.FRACTION_DIGITS$e}").parse().unwrap_or(*number);
    serializer.serialize_f64(rounded)
}

fn serialize_time<S: Serializer>(seconds: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((seconds * TIME_STEPS_PER_SECOND).round() / TIME_STEPS_PER_SECOND)
}

fn default_healthy() -> bool {
    true
}

fn is_healthy(healthy: &bool) -> bool {
    *healthy
}

fn default_warm_up_progress() -> f64 {
    1.0
}

fn is_warm(progress: &f64) -> bool {
    *progress >= 1.0
}
