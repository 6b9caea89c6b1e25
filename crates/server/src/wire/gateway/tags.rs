//! The tags that a connection has used.

use std::collections::BTreeSet;

/// Which tags were used: all up to one, and some above it.
#[derive(Default)]
pub struct UsedTags {
    /// All tags up to this one were used.
    pub all_up_to: u64,
    /// Tags that were used above one that was not.
    pub above: BTreeSet<u64>,
}

impl UsedTags {
    /// Marks a tag as used and says whether it is new; at most `max_remembered` of those above an unused one are
    /// remembered.
    pub fn insert(&mut self, tag: u64, max_remembered: usize) -> bool {
        if tag <= self.all_up_to || !self.above.insert(tag) {
            return false;
        }
        while self.above.remove(&(self.all_up_to + 1)) {
            self.all_up_to += 1;
        }
        if self.above.len() > max_remembered {
            self.above.pop_first();
        }
        true
    }
}
