//! The load report that each server sends: what it was asked, what it rejected, and how much it can carry.
//!
//! Reports arrive as JSON, one object a line. The names on the wire predate the names of the fields here and stay as they are, so
//! that servers and control services of different versions understand each other. A server that reads the service's offer sends
//! compact reports instead, which the [`decoder`] completes.

pub mod decoder;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of an instance, zone, product or customer, in bytes: names beyond it are mistakes or attacks on memory.
const MAX_NAME_BYTES: usize = 128;
/// Most classes in one report: a server with more products and customers than that reports the busiest.
const MAX_CLASSES: usize = 4096;

/// Load of one product of one customer on one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Name of the product.
    pub product: String,
    /// Name of the customer.
    pub customer: String,
    /// Value of each unit of work, by which servers order whom they reject first.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Requests a second that arrived.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Requests a second, of those that arrived, that were rejected.
    #[serde(rename = "declined")]
    pub rejected: f64,
}

/// What one server decided since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the server, unique in the fleet.
    pub instance: String,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Grows with each report of one incarnation.
    pub sequence: u64,
    /// When the report was made, seconds by the server's own monotonic clock.
    #[serde(rename = "made")]
    pub created_at: f64,
    /// Zone that the server runs in.
    pub zone: String,
    /// Where the server listens for requests.
    pub address: SocketAddr,
    /// Processor cores that the server may use.
    pub cores: f64,
    /// Requests that the server runs at once at the most.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// Requests that run now.
    #[serde(rename = "running")]
    pub in_flight: f64,
    /// Seconds that one request takes to run; 0 where nothing ran.
    #[serde(rename = "takes")]
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    pub pressure: f64,
    /// Retry-After that the server gives with a rejection, seconds.
    pub retry_after: f64,
    /// Result of the server's own health check.
    pub healthy: bool,
    /// Seconds until a draining server is terminated; none while it is not draining.
    #[serde(rename = "leaving")]
    pub terminates_in: Option<f64>,
    /// Progress of the slow start, from 0 to 1 (warm).
    #[serde(rename = "warmth")]
    pub warm_up_progress: f64,
    /// Requests a second that were completed within their latency objective.
    #[serde(rename = "settled")]
    pub goodput: f64,
    /// Load by product and customer.
    pub classes: Vec<ClassLoad>,
}

/// Why a report can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidReport {
    /// The instance or the zone has no name, one that is too long, or one with control characters.
    #[error("a name is missing or too long")]
    Name,
    /// A number is negative, infinite, or not a number.
    #[error("a number is out of range")]
    Number,
    /// Pressure or warm-up progress lies outside 0 to 1.
    #[error("pressure or warm-up progress is not between 0 and 1")]
    Fraction,
    /// The time until termination is negative or not finite.
    #[error("the time until termination is out of range")]
    TerminationTime,
    /// There are too many classes, or one has a name that is too long or a number out of range.
    #[error("a class is out of range")]
    Class,
    /// The server's monotonic clock went back within one incarnation.
    #[error("its clock went back")]
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
    /// Load of classes that a server did not name.
    fn unnamed(offered: f64, rejected: f64) -> ClassLoad {
        ClassLoad { product: String::new(), customer: String::new(), priority_weight: 0.0, offered, rejected }
    }

    /// Whether it is load of classes that the server did not name: it counts in sums, and nobody can drop it.
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
    /// Report of a healthy, nearly idle server with four cores, for emulators and tests to change.
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

    /// Whether the server is draining: it gets no new requests and will be terminated.
    pub fn is_draining(&self) -> bool {
        self.terminates_in.is_some()
    }

    /// Checks every field by itself; the order of reports is not checked here.
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
