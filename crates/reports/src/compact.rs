//! The compact format of a report: what does not change while the process lives is left to the full report before it on the same
//! connection, and names are told once, then numbers stand for them.

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Number of the format in which each report names everything.
pub const FULL_FORMAT: u32 = 1;
/// Number of the format of [`CompactReport`].
pub const COMPACT_FORMAT: u32 = 2;

/// Significant digits of a figure less one: reports jitter by far more.
const FRACTION_DIGITS: usize = 3;
/// Steps of a second in which a report's time is told.
const TIME_STEPS_PER_SECOND: f64 = 1000.0;
/// Up to here whole numbers are exact in an f64.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// The line that a control service writes after the first report of a connection: which formats it reads. Services of earlier
/// versions write nothing, and get full reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatOffer {
    /// Numbers of the formats.
    pub report_formats: Vec<u32>,
}

impl FormatOffer {
    /// All formats that this version reads.
    pub fn supported() -> FormatOffer {
        FormatOffer { report_formats: vec![FULL_FORMAT, COMPACT_FORMAT] }
    }
}

/// A report that follows a full one on the same connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompactReport {
    /// [`COMPACT_FORMAT`].
    pub format: u32,
    /// Grows with each report of one incarnation.
    pub sequence: u64,
    /// When the report was made, seconds by the server's own monotonic clock.
    #[serde(rename = "made", serialize_with = "serialize_time")]
    pub created_at: f64,
    /// Requests that the server runs at once at the most.
    #[serde(rename = "limit", serialize_with = "serialize_rounded")]
    pub concurrency_limit: f64,
    /// Requests that run now.
    #[serde(rename = "running", serialize_with = "serialize_rounded")]
    pub in_flight: f64,
    /// Seconds that one request takes to run; 0 where nothing ran.
    #[serde(rename = "takes", serialize_with = "serialize_rounded")]
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    #[serde(serialize_with = "serialize_rounded")]
    pub pressure: f64,
    /// Retry-After that the server gives with a rejection, seconds.
    #[serde(serialize_with = "serialize_rounded")]
    pub retry_after: f64,
    /// Result of the server's own health check; left out while it is well.
    #[serde(default = "default_healthy", skip_serializing_if = "is_healthy")]
    pub healthy: bool,
    /// Seconds until a draining server is terminated; left out while it is not draining.
    #[serde(rename = "leaving", default, skip_serializing_if = "Option::is_none")]
    pub terminates_in: Option<f64>,
    /// Progress of the slow start, from 0 to 1 (warm); left out once it is warm.
    #[serde(rename = "warmth", default = "default_warm_up_progress", skip_serializing_if = "is_warm")]
    pub warm_up_progress: f64,
    /// Requests a second that were completed within their latency objective.
    #[serde(rename = "settled", serialize_with = "serialize_rounded")]
    pub goodput: f64,
    /// Products that are named for the first time on the connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub products: Vec<NamedProduct>,
    /// Customers that are named for the first time on the connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<NamedCustomer>,
    /// Load by product and customer, by their numbers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub load: Vec<CompactClassLoad>,
    /// Load of all that had no room in the report.
    #[serde(default, skip_serializing_if = "Rates::are_zero")]
    pub rest: Rates,
}

/// A product's number on a connection, its name, and the value of each unit of its work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedProduct(pub u32, pub String, pub f64);

/// A customer's number on a connection, and its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedCustomer(pub u32, pub String);

/// Requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// That arrived.
    #[serde(rename = "asked", serialize_with = "serialize_rounded")]
    pub offered: f64,
    /// Of those that arrived, that were rejected.
    #[serde(rename = "declined", serialize_with = "serialize_rounded")]
    pub rejected: f64,
}

impl Rates {
    fn are_zero(&self) -> bool {
        *self == Rates::default()
    }
}

/// Load of one product of one customer: an array of their numbers, what was offered, and what was rejected if anything was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompactClassLoad {
    /// The product's number.
    pub product: u32,
    /// The customer's number.
    pub customer: u32,
    /// Its load.
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
        f.write_str("an array of product, customer, offered and, if any, rejected")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<CompactClassLoad, A::Error> {
        let product = array.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let customer = array.next_element()?.ok_or_else(|| A::Error::invalid_length(1, &self))?;
        let offered = array.next_element()?.ok_or_else(|| A::Error::invalid_length(2, &self))?;
        let rejected = array.next_element()?.unwrap_or(0.0);
        Ok(CompactClassLoad { product, customer, rates: Rates { offered, rejected } })
    }
}

/// A figure as it is written: in few digits, and without a point where it is whole.
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
