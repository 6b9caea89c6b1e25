//! The line by which a server tells a control service what it decided of late, made from plain values: no I/O, no clock. The serving
//! process and the emulated servers write it by this one function, so that what is measured with the one holds of the other.
#![forbid(unsafe_code)]

use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a connection to a control service may take to open, and a line to leave.
pub const WAIT: Duration = Duration::from_millis(200);

/// What does not change while the process lives.
#[derive(Clone, Debug, PartialEq)]
pub struct Who {
    pub instance: String,
    pub incarnation: u64,
    pub zone: String,
    pub address: SocketAddr,
    pub cores: f64,
    /// s until it is warm, if it starts cold; and what it carries at first.
    pub cold: Option<f64>,
    pub cold_share: f64,
    /// Each with its worth.
    pub products: Arc<[(String, f64)]>,
    pub customers: Arc<[String]>,
}

/// What was asked of one product by one customer since the last report, txns a second; both by their places in [`Who`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub product: usize,
    pub customer: usize,
    pub asked: f64,
    pub declined: f64,
}

/// What changes from one report to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    pub limit: f64,
    pub running: usize,
    /// s that a run takes, 0 where nothing ran.
    pub takes: f64,
    pub pressure: f64,
    pub retry_after: f64,
    pub healthy: bool,
    /// s until the kill, once it was told to leave.
    pub leaving: Option<f64>,
    pub settled: f64,
    /// Those that nobody asked for are left out.
    pub classes: Vec<Class>,
}

impl Who {
    /// The report as it goes over the wire, with the end of its line. `made` is s by the server's monotonic clock since it started.
    pub fn line(&self, state: &State, sequence: u64, made: f64) -> String {
        let warmth = match self.cold {
            Some(cold) => (self.cold_share + (1.0 - self.cold_share) * made / cold).min(1.0),
            None => 1.0,
        };
        let class = |class: &Class| {
            let (name, worth) =
                self.products.get(class.product).map_or(("", 0.0), |(name, worth)| (name, *worth));
            let customer = self.customers.get(class.customer).map_or("", String::as_str);
            json!({
                "product": name, "customer": customer, "worth": worth, "asked": class.asked, "declined": class.declined,
            })
        };
        let report = json!({
            "instance": self.instance, "incarnation": self.incarnation, "sequence": sequence, "made": made,
            "zone": self.zone, "address": self.address, "cores": self.cores,
            "limit": state.limit.max(1.0), "running": state.running, "takes": state.takes,
            "pressure": state.pressure, "retry_after": state.retry_after, "healthy": state.healthy,
            "leaving": state.leaving, "warmth": warmth, "settled": state.settled,
            "classes": state.classes.iter().map(class).collect::<Vec<_>>(),
        });
        format!("{report}\n")
    }
}
