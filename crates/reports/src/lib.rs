//! Encoding of the load reports that servers send to control services. Performs no I/O and reads no clock.
//! Servers and emulated servers share it; `puffinladder_control::report` decodes it.
//!
//! A full report names each class (a product of a customer) with load. To a control service that offers to read it, a
//! server sends the compact format instead ([`compact`]), which is bounded in size ([`ReportEncoder`]).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod compact;
mod encoder;

pub use encoder::{max_report_bytes, ReportEncoder};

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of connecting to a control service, and of sending a line.
pub const IO_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of classes in a full report: control services reject reports of more than 4,096 classes.
const MAX_FULL_CLASSES: usize = 4_000;
/// Maximum encoded size of the classes of a full report, bytes: control services reject lines of more than 1 MiB.
const MAX_FULL_CLASS_BYTES: usize = 1_000_000;

/// A product that a server serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    /// Name of the product.
    pub name: String,
    /// Priority weight of the product: servers reject lower weights first.
    pub priority_weight: f64,
}

/// Properties of a server that are constant for its process.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerIdentity {
    /// Name of the server, unique in the fleet.
    pub instance: String,
    /// Number that increases with each start of the process.
    pub incarnation: u64,
    /// Zone of the server.
    pub zone: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Processor cores that the server may use.
    pub cores: f64,
    /// Seconds from the start until the server is warm; none if it starts warm.
    pub warm_up_span: Option<f64>,
    /// Capacity at the start of the warm-up, as a fraction of the capacity once warm.
    pub initial_capacity: f64,
    /// Products that the server serves.
    pub products: Arc<[Product]>,
    /// Names of the customers that the server serves.
    pub customers: Arc<[String]>,
}

/// Load of one product of one customer since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLoad {
    /// Index in [`ServerIdentity::products`].
    pub product: usize,
    /// Index in [`ServerIdentity::customers`].
    pub customer: usize,
    /// Requests per second that arrived.
    pub offered: f64,
    /// Rejected requests per second, included in `offered`.
    pub rejected: f64,
}

/// State and load of a server since its last report.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// Maximum number of concurrent requests; reported as at least 1.
    pub concurrency_limit: f64,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Service time of a request in seconds; 0 if no request has run.
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    pub pressure: f64,
    /// Retry-After of rejections, seconds.
    pub retry_after: f64,
    /// Result of the server's own health check.
    pub healthy: bool,
    /// Seconds until a draining server is terminated; none unless it is draining.
    pub terminates_in: Option<f64>,
    /// Requests per second completed within their latency objective.
    pub goodput: f64,
    /// Load by class; classes without requests are omitted.
    pub classes: Vec<ClassLoad>,
}

impl LoadSample {
    /// Returns the concurrency limit as reported: at least 1.
    fn reported_limit(&self) -> f64 {
        self.concurrency_limit.max(1.0)
    }

    /// Returns the indices of the classes, ordered by most rejected, then by most offered.
    fn indices_by_load(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.classes.len()).collect();
        indices.sort_by(|a, b| {
            let (a, b) = (&self.classes[*a], &self.classes[*b]);
            let by_load = b.rejected.total_cmp(&a.rejected).then(b.offered.total_cmp(&a.offered));
            by_load.then((a.product, a.customer).cmp(&(b.product, b.customer)))
        });
        indices
    }
}

impl ServerIdentity {
    /// Encodes a full report as a line with its line end. `created_at` is in seconds since the server started, by its
    /// monotonic clock.
    pub fn report_line(&self, sample: &LoadSample, sequence: u64, created_at: f64) -> String {
        let classes = self.classes_json(sample);
        let report = json!({
            "instance": self.instance,
            "incarnation": self.incarnation,
            "sequence": sequence,
            "made": created_at,
            "zone": self.zone,
            "address": self.address,
            "cores": self.cores,
            "limit": sample.reported_limit(),
            "running": sample.in_flight,
            "takes": sample.service_time,
            "pressure": sample.pressure,
            "retry_after": sample.retry_after,
            "healthy": sample.healthy,
            "leaving": sample.terminates_in,
            "warmth": self.warm_up_progress(created_at),
            "settled": sample.goodput,
            "classes": classes,
        });
        format!("{report}\n")
    }

    /// Returns the warm-up progress, from 0 to 1, `since_start` seconds after the start.
    fn warm_up_progress(&self, since_start: f64) -> f64 {
        let Some(span) = self.warm_up_span else { return 1.0 };
        (self.initial_capacity + (1.0 - self.initial_capacity) * since_start / span).min(1.0)
    }

    /// Encodes the classes of a full report, up to the limits of control services. The remaining classes form one
    /// unnamed class with their offered load, so that the total is exact. Its rejected load is 0: no drop rule can
    /// apply to it.
    fn classes_json(&self, sample: &LoadSample) -> Vec<Value> {
        let mut named = Vec::with_capacity(sample.classes.len().min(MAX_FULL_CLASSES));
        let (mut bytes, mut offered_unnamed) = (0, 0.0);
        for index in sample.indices_by_load() {
            let class = &sample.classes[index];
            let class_json = self.class_json(class);
            bytes += class_json.to_string().len() + 1;
            if named.len() < MAX_FULL_CLASSES && bytes <= MAX_FULL_CLASS_BYTES {
                named.push((index, class_json));
            } else {
                offered_unnamed += class.offered;
            }
        }
        named.sort_by_key(|(index, _)| *index);
        let mut classes: Vec<Value> = named.into_iter().map(|(_, class)| class).collect();
        if offered_unnamed > 0.0 {
            classes.push(json!({
                "product": "", "customer": "", "worth": 0.0, "asked": offered_unnamed, "declined": 0.0,
            }));
        }
        classes
    }

    /// Encodes a class; names are empty where an index is out of range.
    fn class_json(&self, class: &ClassLoad) -> Value {
        let product = self.products.get(class.product);
        json!({
            "product": product.map_or("", |product| product.name.as_str()),
            "customer": self.customers.get(class.customer).map_or("", String::as_str),
            "worth": product.map_or(0.0, |product| product.priority_weight),
            "asked": class.offered,
            "declined": class.rejected,
        })
    }
}
