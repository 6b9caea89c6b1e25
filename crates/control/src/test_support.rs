//! Helpers for unit tests.

use crate::report::LoadReport;

/// Creates a report of a healthy server.
pub(crate) fn report(instance: &str, sequence: u64, created_at: f64) -> LoadReport {
    let address = "127.0.0.1:4100".parse().unwrap();
    LoadReport { incarnation: 10, sequence, created_at, ..LoadReport::healthy_server(instance, address) }
}
