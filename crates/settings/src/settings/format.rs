//! Formatting of values shared by several sections.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;

/// Returns the text in quotes, escaped for the reader.
pub(super) fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").replace('\t', "\\t");
    format!("\"{escaped}\"")
}

/// Formats lease-store replicas as `"1=127.0.0.1:18201"`, separated by spaces.
pub(super) fn format_replica_addresses(replicas: &BTreeMap<u64, SocketAddr>) -> String {
    let texts: Vec<String> =
        replicas.iter().map(|(number, address)| format!("\"{number}={address}\"")).collect();
    texts.join(" ")
}

/// Writes the separator and an entry with a quoted value, if there is a value.
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
