//! How a large fleet is cut into subsets, so that a proxy does not connect to all of it.

use super::digest;

/// Which of a plan's proxies get the same resources: those of one zone, and where a fleet is large, of one part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyProfile {
    /// Zone of the proxies.
    pub zone: String,
    /// Number of their subset, see [`SubsetConfig::slot`].
    pub slot: usize,
}

/// Size and number of the subsets of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Servers in a subset at the least; proxies get all of a zone with fewer.
    pub size: usize,
    /// Number of subsets.
    pub slots: usize,
}

impl Default for SubsetConfig {
    fn default() -> SubsetConfig {
        SubsetConfig { size: 100, slots: 32 }
    }
}

impl SubsetConfig {
    /// The subset that a proxy belongs to, by the id of its node.
    pub fn slot(&self, node: &str) -> usize {
        (digest(&[node.as_bytes()]) % self.slots.max(1) as u64) as usize
    }

    /// Whether a server of a zone with so many belongs to a subset. Each server is in as many subsets as any other, next to each
    /// other round a ring from where its name puts it: one more server changes no other's subsets.
    pub(super) fn contains(&self, slot: usize, instance: &str, servers: usize) -> bool {
        let slots = self.slots.max(1);
        let copies = (self.size * slots).div_ceil(servers.max(1));
        if servers <= self.size || copies >= slots {
            return true;
        }
        let first = (digest(&[instance.as_bytes(), b"slot"]) % slots as u64) as usize;
        let distance = (slot + slots - first) % slots;
        distance < copies
    }
}
