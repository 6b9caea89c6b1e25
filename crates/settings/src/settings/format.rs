//! How values of several sections are written.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;

/// Text in quotes, with the escapes that the reader knows.
pub(super) fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").replace('\t', "\\t");
    format!("\"{escaped}\"")
}

/// Lease-store replicas as `"1=127.0.0.1:18201"`, with spaces between them.
pub(super) fn format_replica_addresses(replicas: &BTreeMap<u64, SocketAddr>) -> String {
    let texts: Vec<String> =
        replicas.iter().map(|(number, address)| format!("\"{number}={address}\"")).collect();
    texts.join(" ")
}

/// An entry behind others, if there is a value: what separates it from them, then key and text in quotes.
pub(super) fn write_optional(
    f: &mut fmt::Formatter,
    separator: &str,
    key: &str,
    value: Option<impl Display>,
) -> fmt::Result {
    match value {
        None => Ok(()),
        Some(value) => write!(f, "{separator}({key} {})", quoted(&value.to_string())),
    }
}
