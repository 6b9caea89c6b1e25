//! Requests and updates of a stream, independent of the protocol and its encoding.

use super::resource::{PlanVersion, Resource, ResourceType};
use super::MAX_NAMES;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Request on a stream: a subscription, the response to an update, or both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyRequest {
    /// Requested type; none if the service does not serve it.
    pub resource_type: Option<ResourceType>,
    /// Nonce of the update that it responds to; empty if there is none.
    pub nonce: String,
    /// Reason for which the proxy rejects that update; none if it accepts it.
    pub error: Option<String>,
    /// State of the world: all subscribed names, empty for all resources. Incremental: added names.
    pub names: Vec<String>,
    /// Incremental only: removed names.
    pub removed_names: Vec<String>,
    /// Incremental only, in the first request: versions that the proxy already holds, by name.
    pub initial_versions: BTreeMap<String, String>,
}

/// Resource in an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateEntry {
    /// Name, version and body.
    pub resource: Arc<Resource>,
    /// Only the lease is renewed: the resource is sent without its body.
    pub heartbeat: bool,
}

/// Response to send on a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Type of its resources.
    pub resource_type: ResourceType,
    /// Version of the plan that it is based on.
    pub version: PlanVersion,
    /// Identifier of the update on its stream; see [`super::nonce`].
    pub nonce: String,
    /// New or renewed resources.
    pub entries: Vec<UpdateEntry>,
    /// Incremental only: names of removed resources.
    pub removed: Vec<String>,
    /// Seconds for which its decisions may be used; none if it contains no decisions.
    pub ttl: Option<f64>,
}

impl Update {
    /// Returns whether it only renews leases.
    pub fn is_heartbeat(&self) -> bool {
        let renews_only = self.entries.iter().all(|entry| entry.heartbeat);
        !self.entries.is_empty() && self.removed.is_empty() && renews_only
    }
}

/// Update that the proxy rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedUpdate {
    /// Type of its resources.
    pub resource_type: ResourceType,
    /// Version of the plan that it was based on.
    pub version: PlanVersion,
    /// Reason given by the proxy, truncated and without control characters.
    pub reason: String,
}

/// Error that closes a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An update was not answered within [`LeaseConfig::ack_timeout`](super::LeaseConfig).
    #[error("an update was not acknowledged in time")]
    AckTimeout,
    /// The proxy subscribed to more names than allowed.
    #[error("more than {MAX_NAMES} resource names")]
    TooManyNames,
}
