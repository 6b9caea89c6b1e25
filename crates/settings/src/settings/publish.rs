//! Section `publish`: a server's reports to the control services.

use super::fields::read_address;
use super::format::{quoted, write_optional};
use crate::sexpr::{Block, Problem};
use std::fmt;
use std::net::SocketAddr;

/// Settings of a server's reports to the control services.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishSettings {
    /// Addresses of the control services; each receives every report. Key `control`.
    pub control_addresses: Vec<SocketAddr>,
    /// Zone of the server. Key `zone`, default `default`.
    pub zone: String,
    /// Seconds between reports. Key `every`, default 250 ms.
    pub interval: f64,
    /// Address at which proxies reach this server, if it differs from the listen address. Key `address`.
    pub advertised_address: Option<SocketAddr>,
}

impl PublishSettings {
    pub(super) fn read(block: &Block) -> PublishSettings {
        let publish = PublishSettings {
            control_addresses: read_control_addresses(block),
            zone: block.text("zone").unwrap_or_else(|| "default".into()),
            interval: block.duration("every", 0.25, 0.05..=10.0),
            advertised_address: read_address(block, "address"),
        };
        block.finish();
        publish
    }
}

fn read_control_addresses(block: &Block) -> Vec<SocketAddr> {
    let texts = block.texts("control");
    let addresses: Vec<SocketAddr> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if addresses.len() != texts.len() || addresses.is_empty() {
        let expected = "addresses such as \"127.0.0.1:18001\", one or more";
        block.report("control", Problem::Expected(expected.into()));
    }
    addresses
}

impl fmt::Display for PublishSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("(publish (control")?;
        for address in &self.control_addresses {
            write!(f, " \"{address}\"")?;
        }
        write!(f, ") (zone {}) (every {}s)", quoted(&self.zone), self.interval)?;
        write_optional(f, " ", "address", self.advertised_address)?;
        f.write_str(")")
    }
}
