//! The load report by which a server tells a control service what it decided of late, written from plain values: no I/O, no clock.
//! The serving process and the emulated servers write it by this one function, so that what is measured with the one holds of the
//! other. `puffinladder_control::report` reads it.
//!
//! A full report names each product of each customer that was asked for. To a control service that offers to read it, a server
//! sends the compact format instead ([`compact`]), bounded in bytes ([`ReportEncoder`]).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod compact;
mod encoder;

pub use encoder::{max_report_bytes, ReportEncoder};

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a connection to a control service may take to open, and a line to leave: a server never waits longer for one.
pub const IO_TIMEOUT: Duration = Duration::from_millis(200);

/// Classes that a full report names at the most, and the bytes that they take: a control service refuses a report of more than
/// 4,096 classes, or of more than a megabyte, whole, and the server would seem silent.
const MAX_FULL_CLASSES: usize = 4_000;
const MAX_FULL_CLASS_BYTES: usize = 1_000_000;

/// A product that a server serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    /// Its name.
    pub name: String,
    /// Value of each unit of work, by which servers order whom they reject first.
    pub priority_weight: f64,
}

/// What does not change while the process lives.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerIdentity {
    /// Name of the server, unique in the fleet.
    pub instance: String,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Zone that the server runs in.
    pub zone: String,
    /// Where the server listens for requests.
    pub address: SocketAddr,
    /// Processor cores that the server may use.
    pub cores: f64,
    /// Seconds from the start until the server is warm; none where it starts warm.
    pub warm_up_span: Option<f64>,
    /// What it carries at the start of its warm-up, as a fraction of what it carries once it is warm.
    pub initial_capacity: f64,
    /// Products that it serves.
    pub products: Arc<[Product]>,
    /// Names of the customers that it serves.
    pub customers: Arc<[String]>,
}

/// Load of one product of one customer since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLoad {
    /// Index in [`ServerIdentity::products`].
    pub product: usize,
    /// Index in [`ServerIdentity::customers`].
    pub customer: usize,
    /// Requests a second that arrived.
    pub offered: f64,
    /// Requests a second, of those that arrived, that were rejected.
    pub rejected: f64,
}

/// What changes from one report to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests that the server runs at once at the most; reported as 1 at the least.
    pub concurrency_limit: f64,
    /// Requests that run now.
    pub in_flight: usize,
    /// Seconds that one request takes to run; 0 where nothing ran.
    pub service_time: f64,
    /// Overload signal, from 0 (idle) to 1 (saturated).
    pub pressure: f64,
    /// Retry-After that the server gives with a rejection, seconds.
    pub retry_after: f64,
    /// Result of the server's own health check.
    pub healthy: bool,
    /// Seconds until a draining server is terminated; none while it is not draining.
    pub terminates_in: Option<f64>,
    /// Requests a second that were completed within their latency objective.
    pub goodput: f64,
    /// Load by product and customer; those without requests are left out.
    pub classes: Vec<ClassLoad>,
}

impl LoadSample {
    /// The concurrency limit as it is reported: 1 at the least.
    fn reported_limit(&self) -> f64 {
        self.concurrency_limit.max(1.0)
    }

    /// Places of the classes, ordered by how much depends on them: first what was rejected most, then what was offered most.
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
    /// The report as it goes over the wire, with the end of its line. `created_at` is in seconds since the server started, by its
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

    /// Progress of the warm-up, from 0 to 1, so many seconds after the start.
    fn warm_up_progress(&self, since_start: f64) -> f64 {
        let Some(span) = self.warm_up_span else { return 1.0 };
        (self.initial_capacity + (1.0 - self.initial_capacity) * since_start / span).min(1.0)
    }

    /// The classes of a full report in their order, as far as a service takes them; what is left out is one class without names,
    /// so that the sum of what was offered is whole. No proxy can drop it, so that nothing of it counts as rejected.
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

    /// A class whose index is out of range has no name.
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
