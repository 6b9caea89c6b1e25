//! Versioned xDS resources, and the snapshot of all resources of a plan.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Type of an xDS resource. Later types may refer to earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// Group of servers that routes refer to.
    Cluster,
    /// Servers of a cluster, with their weights.
    Endpoints,
    /// Address on which a proxy accepts requests.
    Listener,
    /// Routing rules of a listener.
    Routes,
}

impl ResourceType {
    /// Number of types.
    pub const COUNT: usize = 4;
    /// All types, in order.
    pub const ALL: [ResourceType; ResourceType::COUNT] =
        [ResourceType::Cluster, ResourceType::Endpoints, ResourceType::Listener, ResourceType::Routes];

    /// Returns whether resources of the type contain decisions, which expire. The other types only refer to them.
    pub fn holds_decisions(self) -> bool {
        matches!(self, ResourceType::Endpoints | ResourceType::Routes)
    }

    /// Returns the type that must be acknowledged first, because resources of this type refer to it.
    pub(super) fn depends_on(self) -> Option<ResourceType> {
        match self {
            ResourceType::Cluster | ResourceType::Listener => None,
            ResourceType::Endpoints => Some(ResourceType::Cluster),
            ResourceType::Routes => Some(ResourceType::Listener),
        }
    }

    /// Returns the index in [`ResourceType::ALL`], and in arrays with a value per type.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Named resource. Equal content has an equal version.
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

/// Version of a plan, ordered by epoch and number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanVersion {
    /// Number that increases with each start of the service.
    pub epoch: u64,
    /// Number that increases with each plan that changes a resource.
    pub number: u64,
}

/// Resources of one plan for the proxies of one profile.
#[derive(Clone, Debug, Default)]
pub struct ResourceSnapshot {
    /// Version of the first plan with these resources.
    pub version: PlanVersion,
    /// When a plan last confirmed these resources, seconds.
    pub decided_at: f64,
    /// Resources of each type, by [`ResourceType::index`].
    pub sets: [ResourceSet; ResourceType::COUNT],
}

impl ResourceSnapshot {
    /// Returns the resources of one type.
    pub fn set(&self, resource_type: ResourceType) -> &ResourceSet {
        &self.sets[resource_type.index()]
    }
}
