//! The load report that each server sends: offered and rejected load, and the state from which its capacity is derived.
//!
//! Reports arrive as JSON, one object per line. The names on the wire differ from the field names here and must not
//! change: servers and control services of different versions exchange them. A server that reads the service's format
//! offer sends compact reports instead, which the [`decoder`] expands.

pub mod decoder;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of the name of an instance, zone, product or customer, bytes: bounds memory.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of classes in a report.
const MAX_CLASSES: usize = 4096;

/// Load of one product of one customer on one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Name of the product.
    pub product: String,
    /// Name of the customer.
    pub customer: String,
    /// Priority weight of the product: servers reject lower weights first.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Requests per second that arrived.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Rejected requests per second, included in `offered`.
    #[serde(rename = "declined")]
    pub rejected: f64,
}

/// State and load of a server since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the server, unique in the fleet.
    pub instance: String,
    /// Number that increases with each start of the process.
    pub incarnation: u64,
    /// Number that increases with each report of an incarnation.
    pub sequence: u64,
    /// When the report was created, seconds by the server's monotonic clock.
    #[serde(rename = "made")]
    pub created_at: f64,
    /// Zone of the server.
    pub zone: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Processor cores that the server may use.
    pub cores: f64,
    /// Maximum number of concurrent requests.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// Number of requests in flight.
    #[serde(rename = "running")]
    pub in_flight: f64,
    /// Service time of a request in seconds; 0 if no request has run.
    #[serde(rename = "takes")]
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    pub pressure: f64,
    /// Retry-After of rejections, seconds.
    pub retry_after: f64,
    /// Result of the server's own health check.
    pub healthy: bool,
    /// Seconds until a draining server is terminated; none unless it is draining.
    #[serde(rename = "leaving")]
    pub terminates_in: Option<f64>,
    /// Warm-up progress, from 0 to 1 (warm).
    #[serde(rename = "warmth")]
    pub warm_up_progress: f64,
    /// Requests per second completed within their latency objective.
    #[serde(rename = "settled")]
    pub goodput: f64,
    /// Load by product and customer.
    pub classes: Vec<ClassLoad>,
}

/// Reason why a report is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidReport {
    /// The name of the instance or zone is empty, too long, or contains control characters.
    #[error("instance or zone name is empty, over {MAX_NAME_BYTES} bytes, or has control characters")]
    Name,
    /// A number is negative or not finite, or `cores` is 0.
    #[error("a number is negative or not finite, or cores is 0")]
    Number,
    /// Pressure or warm-up progress is not between 0 and 1.
    #[error("pressure or warm-up progress is not between 0 and 1")]
    Fraction,
    /// The time until termination is negative or not finite.
    #[error("the time until termination is negative or not finite")]
    TerminationTime,
    /// There are too many classes, or a class has a name that is too long or an invalid number.
    #[error(
        "over {MAX_CLASSES} classes, or a class with a name over {MAX_NAME_BYTES} bytes or a negative or non-finite number"
    )]
    Class,
    /// The server's monotonic clock went backwards within one incarnation.
    #[error("the creation time is earlier than that of the incarnation's last report")]
    ClockWentBack,
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control)
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn is_fraction(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

impl ClassLoad {
    /// Creates load that is not attributed to a named class.
    fn unnamed(offered: f64, rejected: f64) -> ClassLoad {
        ClassLoad { product: String::new(), customer: String::new(), priority_weight: 0.0, offered, rejected }
    }

    /// Returns whether the load is not attributed to a named class: it counts in totals, but no rule can drop it.
    pub(crate) fn is_unnamed(&self) -> bool {
        self.product.is_empty() && self.customer.is_empty()
    }

    fn is_valid(&self) -> bool {
        self.product.len() <= MAX_NAME_BYTES
            && self.customer.len() <= MAX_NAME_BYTES
            && [self.priority_weight, self.offered, self.rejected].into_iter().all(is_non_negative)
    }
}

impl LoadReport {
    /// Creates a report of a healthy, nearly idle server with four cores, as a template for emulators and tests.
    pub fn healthy_server(instance: &str, address: SocketAddr) -> LoadReport {
        LoadReport {
            instance: instance.into(),
            incarnation: 1,
            sequence: 0,
            created_at: 0.0,
            zone: "a".into(),
            address,
            cores: 4.0,
            concurrency_limit: 4.0,
            in_flight: 2.0,
            service_time: 0.01,
            pressure: 0.0,
            retry_after: 0.25,
            healthy: true,
            terminates_in: None,
            warm_up_progress: 1.0,
            goodput: 100.0,
            classes: Vec::new(),
        }
    }

    /// Returns whether the server is draining: it receives no new requests and will be terminated.
    pub fn is_draining(&self) -> bool {
        self.terminates_in.is_some()
    }

    /// Validates the fields. The order of reports is checked by the fleet's view.
    pub(crate) fn validate(&self) -> Result<(), InvalidReport> {
        if !is_valid_name(&self.instance) || !is_valid_name(&self.zone) {
            return Err(InvalidReport::Name);
        }
        if !self.numbers_are_valid() {
            return Err(InvalidReport::Number);
        }
        if !is_fraction(self.pressure) || !is_fraction(self.warm_up_progress) {
            return Err(InvalidReport::Fraction);
        }
        if self.terminates_in.is_some_and(|seconds| !is_non_negative(seconds)) {
            return Err(InvalidReport::TerminationTime);
        }
        if self.classes.len() > MAX_CLASSES || !self.classes.iter().all(ClassLoad::is_valid) {
            return Err(InvalidReport::Class);
        }
        Ok(())
    }

    fn numbers_are_valid(&self) -> bool {
        let numbers = [
            self.created_at,
            self.concurrency_limit,
            self.in_flight,
            self.service_time,
            self.retry_after,
            self.goodput,
        ];
        numbers.into_iter().all(is_non_negative) && self.cores > 0.0 && self.cores.is_finite()
    }
}
