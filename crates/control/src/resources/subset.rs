//! How a large fleet is cut into subsets, so that a proxy does not connect to all of it.

use super::digest;

/// Which of a plan's proxies get the same resources: those of one zone, and where a fleet is large, of one part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyProfile {
    /// Zone of the proxies.
    pub zone: String,
    /// Number of their subset, see [`SubsetConfig::subset_of`].
    pub subset: usize,
}

/// Size and number of the subsets of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Servers in a subset at the least; proxies get all of a zone with fewer.
    pub size: usize,
    /// Number of subsets.
    pub count: usize,
}

impl Default for SubsetConfig {
    fn default() -> SubsetConfig {
        SubsetConfig { size: 100, count: 32 }
    }
}

impl SubsetConfig {
    /// The subset that a proxy belongs to, by the id of its node.
    pub fn subset_of(&self, node: &str) -> usize {
        (digest(&[node.as_bytes()]) % self.count.max(1) as u64) as usize
    }

    /// Whether a server of a zone with so many belongs to a subset. Each server is in as many subsets as any other, next to each
    /// other round a ring from where its name puts it: one more server changes no other's subsets.
    pub(super) fn contains(&self, subset: usize, instance: &str, servers: usize) -> bool {
        let count = self.count.max(1);
        let subsets_per_server = (self.size * count).div_ceil(servers.max(1));
        if servers <= self.size || subsets_per_server >= count {
            return true;
        }
        let first = (digest(&[instance.as_bytes(), b"slot"]) % count as u64) as usize;
        let distance = (subset + count - first) % count;
        distance < subsets_per_server
    }
}
