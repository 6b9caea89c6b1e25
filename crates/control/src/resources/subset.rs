//! Subsets of large zones, which limit the servers that a proxy connects to.

use super::digest;

/// Key of proxies that receive the same resources: their zone and their subset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyProfile {
    /// Zone of the proxies.
    pub zone: String,
    /// Index of the proxies' subset, see [`SubsetConfig::subset_of`].
    pub subset: usize,
}

/// Size and number of subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Minimum mean number of servers in a subset; proxies get all servers of a zone with at most as many.
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
    /// Returns the subset of a proxy by the id of its node.
    pub fn subset_of(&self, node: &str) -> usize {
        (digest(&[node.as_bytes()]) % self.count.max(1) as u64) as usize
    }

    /// Returns whether a server of a zone with `servers` servers belongs to a subset. Each server belongs to the same number of
    /// consecutive subsets on a ring, starting at the hash of its name, so that adding a server does not move others.
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
