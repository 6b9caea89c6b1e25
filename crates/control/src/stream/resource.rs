//! Resources that proxies hold, and the versions by which they are told apart.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Types of xDS resources, in the order in which they may refer to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// A group of servers that routes send requests to.
    Cluster,
    /// The servers of a cluster, with their weights.
    Endpoints,
    /// Where a proxy accepts requests.
    Listener,
    /// What a listener does with a request.
    Routes,
}

impl ResourceType {
    /// Number of types.
    pub const COUNT: usize = 4;
    /// All types, in order.
    pub const ALL: [ResourceType; ResourceType::COUNT] =
        [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Routes];

    /// Whether it holds decisions, which age; the others only say where decisions are to be found.
    pub fn holds_decisions(self) -> bool {
        matches!(self, ResourceType::Endpoints | ResourceType::Routes)
    }

    /// The type that must be acknowledged before this one is sent, since this one's resources refer to it.
    pub(super) fn depends_on(self) -> Option<ResourceType> {
        match self {
            ResourceType::Cluster | ResourceType::Listener => None,
            ResourceType::Endpoints => Some(ResourceType::Cluster),
            ResourceType::Routes => Some(ResourceType::Listener),
        }
    }

    /// Its place in [`ResourceType::ALL`], and in arrays with a value for each type.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// One named resource; the same content has the same version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// Name, unique among resources of its type.
    pub name: String,
    /// Digest of the content, never 0.
    pub version: u64,
    /// Encoded protobuf message.
    pub body: Vec<u8>,
}

/// Resources of one type by name.
pub type ResourceSet = BTreeMap<String, Arc<Resource>>;

/// Which plan: the epoch of the service's process, then the plan's number in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanVersion {
    /// Grows with each start of the service.
    pub epoch: u64,
    /// Grows with each plan that changes what any proxy holds.
    pub number: u64,
}

/// All that proxies of one profile are to hold, by one plan.
#[derive(Clone, Debug, Default)]
pub struct ResourceSnapshot {
    /// The plan that first said so.
    pub version: PlanVersion,
    /// When it was last decided that this holds, seconds.
    pub decided_at: f64,
    /// Resources of each type, by [`ResourceType::index`].
    pub sets: [ResourceSet; ResourceType::COUNT],
}

impl ResourceSnapshot {
    /// The resources of one type.
    pub fn set(&self, resource_type: ResourceType) -> &ResourceSet {
        &self.sets[resource_type.index()]
    }
}
