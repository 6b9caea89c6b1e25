//! What proxies say on a stream and what they are sent, of either protocol, apart from their encoding.

use super::resource::{PlanVersion, Resource, ResourceType};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request on a stream: a subscription, the answer to an update, or both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyRequest {
    /// Type that it is about; none where the service does not know it.
    pub resource_type: Option<ResourceType>,
    /// Nonce of the update that it answers; empty where it answers none.
    pub nonce: String,
    /// Why the proxy rejects that update; none where it accepts it.
    pub error: Option<String>,
    /// State of the world: all names wanted, none for all. Incremental: names added.
    pub names: Vec<String>,
    /// Incremental only: names taken out.
    pub removed_names: Vec<String>,
    /// Incremental only, in the first request: what the proxy held before, versions by name.
    pub initial_versions: BTreeMap<String, String>,
}

/// A resource in an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateEntry {
    /// The resource.
    pub resource: Arc<Resource>,
    /// Only the lease is new: the resource is sent without its body.
    pub heartbeat: bool,
}

/// A response to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Type of its resources.
    pub resource_type: ResourceType,
    /// Plan that it carries out.
    pub version: PlanVersion,
    /// Identifies it on its stream, and tells how many requests it had seen; see [`super::nonce`].
    pub nonce: String,
    /// Resources that are new or renewed.
    pub entries: Vec<UpdateEntry>,
    /// Incremental only: names of resources that are gone.
    pub removed: Vec<String>,
    /// Seconds for which its decisions may be used; none where it holds none.
    pub ttl: Option<f64>,
}

impl Update {
    /// Whether it only renews leases.
    pub fn is_heartbeat(&self) -> bool {
        let renews_only = self.entries.iter().all(|entry| entry.heartbeat);
        !self.entries.is_empty() && self.removed.is_empty() && renews_only
    }
}

/// An update that the proxy could not use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedUpdate {
    /// Type of its resources.
    pub resource_type: ResourceType,
    /// Plan that it carried out.
    pub version: PlanVersion,
    /// What the proxy said, without control characters, shortened.
    pub reason: String,
}

/// Why a stream must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The proxy left an update unanswered for longer than [`LeaseConfig::ack_timeout`](super::LeaseConfig).
    #[error("an update was not acknowledged in time")]
    AckTimeout,
    /// The proxy asked for more names than one stream may.
    #[error("too many resource names")]
    TooManyNames,
}
