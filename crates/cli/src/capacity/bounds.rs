//! Limits that the code enforces, read from the code so that the page stays current.

use puffinladder_capacity::reckon::Bound;
use puffinladder_leases::{coordination, table};
use puffinladder_settings::parse_settings;

/// Returns the limits of lease store, workers and control service.
pub fn code_limits() -> Vec<Bound> {
    let bound = |role: &str, size: &str, most: usize, source: &str| Bound {
        role: role.into(),
        size: size.into(),
        most: most as f64,
        named: source.into(),
    };
    let mut bounds = vec![
        bound(
            "steward-quota",
            "customers",
            coordination::MAX_TENANTS,
            "MAX_TENANTS of crates/leases/src/coordination.rs",
        ),
        bound(
            "keeper",
            "instances",
            table::MAX_INSTANCES,
            "MAX_INSTANCES of crates/leases/src/table/limits.rs",
        ),
    ];
    // The defaults of a control service.
    let defaults = "(control (xds \"127.0.0.1:1\") (reports \"127.0.0.1:2\"))";
    if let Some(control) = parse_settings("defaults", defaults).ok().and_then(|settings| settings.control) {
        bounds.push(bound(
            "control",
            "servers",
            control.max_servers,
            "most-servers of a control service, as it is unless set",
        ));
        bounds.push(bound(
            "control",
            "proxies",
            control.max_proxies,
            "most-proxies of a control service, as it is unless set",
        ));
    }
    bounds
}

#[cfg(test)]
mod tests;
