//! Section `control`: the control service.

use super::fields::{read_address, read_required_address, read_text_of_required_key};
use super::format::{quoted, write_optional};
use crate::sexpr::Block;
use std::fmt;
use std::net::SocketAddr;

/// The control service.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Address for proxies that subscribe over xDS. Key `xds`.
    pub xds_listen: SocketAddr,
    /// Address for reports of servers. Key `reports`.
    pub report_listen: SocketAddr,
    /// Address of the HTTP debug view. Key `debug`.
    pub debug_listen: Option<SocketAddr>,
    /// Maximum age of a decision that a proxy may use, in seconds. Key `bound`, default 2 s.
    pub max_staleness: f64,
    /// Seconds between heartbeats to a proxy. Key `heartbeat`, default 500 ms.
    pub heartbeat_interval: f64,
    /// Seconds between plans. Key `plan-every`, default 250 ms.
    pub plan_interval: f64,
    /// Age in seconds up to which a report has full weight. Key `fresh`, default 1 s.
    pub fresh_for: f64,
    /// Age in seconds from which a report has no weight; between `fresh_for` and this its weight decreases. Key `gone`,
    /// default 4 s.
    pub expired_after: f64,
    /// Fraction of silent servers above which the reporting path is assumed to have failed rather than the servers. Key
    /// `panic`, default 0.5.
    pub panic_threshold: f64,
    /// Number of servers of a service that each proxy receives. Key `subset`, default 100.
    pub subset_size: usize,
    /// Maximum number of connected proxies. Key `most-proxies`, default 10,000.
    pub max_proxies: usize,
    /// Maximum number of reporting servers. Key `most-servers`, default 20,000.
    pub max_servers: usize,
    /// File that preserves the state across restarts. Key `snapshot`.
    pub snapshot_file: Option<String>,
    /// Certificates of the xDS listener; without them it does not use TLS. Key `tls`.
    pub tls: Option<TlsFiles>,
}

/// PEM files of a TLS listener.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsFiles {
    /// Certificate chain of the listener. Key `certificate`.
    pub certificate: String,
    /// Private key of the certificate. Key `key`.
    pub key: String,
    /// Certificate authority of clients; without it client certificates are not required. Key `clients`.
    pub client_authority: Option<String>,
}

impl ControlSettings {
    pub(super) fn read(block: &Block) -> ControlSettings {
        let tls = block.block("tls").as_ref().map(TlsFiles::read);
        let control = ControlSettings {
            xds_listen: read_required_address(block, "xds"),
            report_listen: read_required_address(block, "reports"),
            debug_listen: read_address(block, "debug"),
            max_staleness: block.duration("bound", 2.0, 0.2..=600.0),
            heartbeat_interval: block.duration("heartbeat", 0.5, 0.05..=300.0),
            plan_interval: block.duration("plan-every", 0.25, 0.05..=60.0),
            fresh_for: block.duration("fresh", 1.0, 0.1..=600.0),
            expired_after: block.duration("gone", 4.0, 0.2..=3600.0),
            panic_threshold: block.number("panic", 0.5, 0.05..=1.0),
            subset_size: block.count("subset", 100, 1..=100_000),
            max_proxies: block.count("most-proxies", 10_000, 1..=1_000_000),
            max_servers: block.count("most-servers", 20_000, 1..=1_000_000),
            snapshot_file: block.text("snapshot"),
            tls,
        };
        if control.heartbeat_interval * 2.0 > control.max_staleness {
            block.report("heartbeat", "should be half of the bound at the most, or leases end between two");
        }
        if control.expired_after <= control.fresh_for {
            block.report("gone", "should be longer than fresh");
        }
        block.finish();
        control
    }
}

impl TlsFiles {
    fn read(block: &Block) -> TlsFiles {
        let tls = TlsFiles {
            certificate: read_text_of_required_key(block, "certificate"),
            key: read_text_of_required_key(block, "key"),
            client_authority: block.text("clients"),
        };
        block.finish();
        tls
    }
}

impl fmt::Display for ControlSettings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "(control\n  (xds \"{}\")", self.xds_listen)?;
        write!(f, "  (reports \"{}\")", self.report_listen)?;
        write_optional(f, "\n  ", "debug", self.debug_listen)?;
        write!(f, "\n  (bound {}s) (heartbeat {}s)", self.max_staleness, self.heartbeat_interval)?;
        writeln!(f, " (plan-every {}s)", self.plan_interval)?;
        write!(f, "  (fresh {}s) (gone {}s)", self.fresh_for, self.expired_after)?;
        writeln!(f, " (panic {})", self.panic_threshold)?;
        write!(f, "  (subset {}) (most-proxies {})", self.subset_size, self.max_proxies)?;
        write!(f, " (most-servers {})", self.max_servers)?;
        write_optional(f, "\n  ", "snapshot", self.snapshot_file.as_ref())?;
        if let Some(tls) = &self.tls {
            write!(f, "\n  {tls}")?;
        }
        f.write_str(")")
    }
}

impl fmt::Display for TlsFiles {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "(tls (certificate {}) (key {})", quoted(&self.certificate), quoted(&self.key))?;
        write_optional(f, " ", "clients", self.client_authority.as_ref())?;
        f.write_str(")")
    }
}
