//! Replaces customers, callers and keys of a trace by keyed hashes. The same key gives the same pseudonyms in every
//! file; without the key they cannot be reversed or joined with files made with another key.

use crate::recorder::{keyed_hash, request_key_hash};
use crate::row::{Names, Row};
use std::collections::HashMap;

/// Parses a key of 32 bytes from 64 hex digits. Surrounding whitespace is ignored.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let text = text.trim();
    let mut key = [0; 32];
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, pair) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(key)
}

/// Mapping of names and keys to pseudonyms.
pub struct Anonymiser {
    customers_key: [u8; 32],
    callers_key: [u8; 32],
    tries_key: [u8; 32],
    keys_key: [u8; 32],
    nodes_key: Option<[u8; 32]>,
    /// Numbers of the pseudonyms assigned so far, and whether each customer is rare.
    customers: HashMap<u32, u32>,
    rare: HashMap<u32, bool>,
    floor: u64,
    nodes: HashMap<u32, u32>,
}

/// Name shared by all rare customers.
pub const RARE: &str = "rare";

impl Anonymiser {
    /// Creates a mapping. `counts` holds the requests of each customer; customers with fewer than `floor` become
    /// [`RARE`].
    pub fn new(key: &[u8; 32], counts: &HashMap<u32, u64>, floor: u64, nodes: bool) -> Anonymiser {
        // Separate derived keys, so that equal bytes of different kinds get different hashes.
        let derived = |kind: &str| blake3::derive_key(&format!("puffinladder trace 2026 {kind}"), key);
        Anonymiser {
            customers_key: derived("customers"),
            callers_key: derived("callers"),
            tries_key: derived("tries"),
            keys_key: derived("keys"),
            nodes_key: nodes.then(|| derived("nodes")),
            customers: HashMap::new(),
            rare: counts.iter().map(|(customer, count)| (*customer, *count < floor)).collect(),
            floor,
            nodes: HashMap::new(),
        }
    }

    /// Anonymises a row in place and interns the pseudonyms in `names`.
    pub fn anonymise_row(&mut self, names: &mut Names, row: &mut Row) {
        row.customer = *self.customers.entry(row.customer).or_insert_with_key(|old| {
            let rare = self.floor > 0 && self.rare.get(old).copied().unwrap_or(true);
            let new = match rare {
                true => RARE.to_owned(),
                false => {
                    format!("c{:012x}", keyed_hash(&self.customers_key, names.text(*old).as_bytes()) >> 16)
                }
            };
            names.intern(&new)
        });
        row.node = self.anonymise_node(names, row.node);
        row.caller = keyed_hash(&self.callers_key, &row.caller.to_le_bytes()) as u32;
        row.name = keyed_hash(&self.tries_key, &row.name.to_le_bytes()) as u32;
        if row.key != 0 {
            row.key = request_key_hash(&self.keys_key, &row.key.to_le_bytes());
        }
    }

    /// Returns the number of a node's pseudonym, or `node` itself if nodes stay.
    pub fn anonymise_node(&mut self, names: &mut Names, node: u32) -> u32 {
        let Some(key) = &self.nodes_key else { return node };
        *self.nodes.entry(node).or_insert_with_key(|old| {
            let new = format!("n{:012x}", keyed_hash(key, names.text(*old).as_bytes()) >> 16);
            names.intern(&new)
        })
    }
}
