//! Set of tags used on a connection.

use std::collections::BTreeSet;

/// Set of used tags, stored as a contiguous range and the tags above it.
#[derive(Default)]
pub struct UsedTags {
    /// Highest tag of the contiguous range: it and all tags below it were used.
    pub highest_contiguous: u64,
    /// Used tags above the contiguous range.
    pub out_of_order: BTreeSet<u64>,
}

impl UsedTags {
    /// Marks a tag as used. Returns whether it is new. Remembers at most `max_remembered` tags above the contiguous range.
    pub fn insert(&mut self, tag: u64, max_remembered: usize) -> bool {
        if tag <= self.highest_contiguous || !self.out_of_order.insert(tag) {
            return false;
        }
        while self.out_of_order.remove(&(self.highest_contiguous + 1)) {
            self.highest_contiguous += 1;
        }
        if self.out_of_order.len() > max_remembered {
            self.out_of_order.pop_first();
        }
        true
    }
}
