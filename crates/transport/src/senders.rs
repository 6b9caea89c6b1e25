//! Names under which one connection speaks. A peer that sends under ever new names would use up a service's table of them.

use crate::lines::TransportError;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// Bounded set of the names used on one connection, kept as hashes.
#[derive(Debug)]
pub struct SenderNames {
    hasher: RandomState,
    known: HashSet<u64>,
    max_names: usize,
}

impl SenderNames {
    /// Creates the set of a new connection, which may use `max_names` names.
    pub fn new(max_names: usize) -> SenderNames {
        SenderNames { hasher: RandomState::new(), known: HashSet::new(), max_names }
    }

    /// Records the name of a message's sender.
    ///
    /// # Errors
    ///
    /// Fails if the connection has used `max_names` other names. It must be closed.
    pub fn admit(&mut self, name: &str) -> Result<(), TransportError> {
        self.known.insert(self.hasher.hash_one(name));
        match self.known.len() <= self.max_names {
            true => Ok(()),
            false => Err(TransportError::TooManyNames(self.max_names)),
        }
    }
}

#[cfg(test)]
mod tests;
