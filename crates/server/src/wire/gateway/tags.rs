//! The tags that a connection has used.

use std::collections::BTreeSet;

/// Which tags were used: all up to one, and some above it.
#[derive(Default)]
pub struct UsedTags {
    /// All tags up to this one were used.
    pub highest_contiguous: u64,
    /// Tags that were used above one that was not.
    pub out_of_order: BTreeSet<u64>,
}

impl UsedTags {
    /// Marks a tag as used and says whether it is new; at most `max_remembered` of those above an unused one are
    /// remembered.
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
