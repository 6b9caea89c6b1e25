//! Readers of values shared by several sections.

use crate::sexpr::{Block, Problem};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Value of a required address that is missing; the settings that contain it are discarded.
const PLACEHOLDER_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Reads an optional address, written as quoted text.
pub(super) fn read_address(block: &Block, key: &'static str) -> Option<SocketAddr> {
    let text = block.text(key)?;
    let address = text.parse().ok();
    if address.is_none() {
        block.report(key, Problem::Expected("an address such as \"127.0.0.1:18000\"".into()));
    }
    address
}

/// Reads a required address.
pub(super) fn read_required_address(block: &Block, key: &'static str) -> SocketAddr {
    block.require(key);
    read_address(block, key).unwrap_or_else(|| SocketAddr::from(PLACEHOLDER_ADDRESS))
}

/// Reads text whose key is required. An invalid value is reported once, as invalid.
pub(super) fn read_text_of_required_key(block: &Block, key: &'static str) -> String {
    let text = block.text(key);
    block.require(key);
    text.unwrap_or_default()
}

/// Reads required text. Unlike [`read_text_of_required_key`], it reports an invalid value also as missing.
pub(super) fn read_required_text(block: &Block, key: &'static str) -> String {
    let text = block.text(key);
    if text.is_none() {
        block.report(key, Problem::Missing);
    }
    text.unwrap_or_default()
}

/// Reads the addresses of lease-store replicas by number, written as `"1=127.0.0.1:18201"`.
pub(super) fn read_replica_addresses(block: &Block, key: &'static str) -> BTreeMap<u64, SocketAddr> {
    let texts = block.texts(key);
    let mut replicas = BTreeMap::new();
    for text in &texts {
        match parse_replica_address(text) {
            Some((number, address)) if !replicas.contains_key(&number) => {
                replicas.insert(number, address);
            }
            _ => {
                let expected =
                    "should be a number and an address such as \"1=127.0.0.1:18201\", each number once";
                block.report(key, format!("{text:?}: {expected}"));
            }
        }
    }
    if texts.is_empty() {
        block.report(key, "should name keepers, such as \"1=127.0.0.1:18201\"");
    }
    replicas
}

/// Parses the number, which must not be 0, and the address of a replica.
fn parse_replica_address(text: &str) -> Option<(u64, SocketAddr)> {
    let (number, address) = text.split_once('=')?;
    let number = number.parse().ok().filter(|&number| number > 0)?;
    Some((number, address.parse().ok()?))
}
