//! Conversion of requests and updates to the protobuf messages of both protocols: state of the world and incremental ("delta").

use crate::resources::{resource_type_of, type_url};
use crate::stream::{ProxyRequest, Update, UpdateEntry};
use envoy_types::pb::envoy::config::core::v3::{ControlPlane, Node};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::{Any, Duration};
use envoy_types::pb::google::rpc::Status;
use prost::{Message, Name};

/// Request of either protocol.
pub(super) trait DiscoveryMessage: Send + 'static {
    /// Returns the node that sent it; required in the first request of a stream.
    fn node(&self) -> Option<&Node>;
    /// Converts it, without the node.
    fn into_request(self) -> ProxyRequest;
}

/// Converts the fields that both protocols share.
fn base_request(type_url: &str, nonce: String, error: Option<Status>) -> ProxyRequest {
    let error = error.map(|status| status.message);
    ProxyRequest { resource_type: resource_type_of(type_url), nonce, error, ..ProxyRequest::default() }
}

impl DiscoveryMessage for DiscoveryRequest {
    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn into_request(self) -> ProxyRequest {
        ProxyRequest {
            names: self.resource_names,
            ..base_request(&self.type_url, self.response_nonce, self.error_detail)
        }
    }
}

impl DiscoveryMessage for DeltaDiscoveryRequest {
    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn into_request(self) -> ProxyRequest {
        ProxyRequest {
            names: self.resource_names_subscribe,
            removed_names: self.resource_names_unsubscribe,
            initial_versions: self.initial_resource_versions.into_iter().collect(),
            ..base_request(&self.type_url, self.response_nonce, self.error_detail)
        }
    }
}

fn ttl(update: &Update) -> Option<Duration> {
    let duration =
        |seconds: f64| Duration { seconds: seconds.trunc() as i64, nanos: (seconds.fract() * 1e9) as i32 };
    update.ttl.map(duration)
}

fn control_plane(name: &str) -> Option<ControlPlane> {
    Some(ControlPlane { identifier: name.into() })
}

/// Returns the entries as wrapped resources; a heartbeat has no body.
fn wrapped_resources(update: &Update) -> Vec<Resource> {
    let ttl = ttl(update);
    let body = |entry: &UpdateEntry| Any {
        type_url: type_url(update.resource_type),
        value: entry.resource.body.clone(),
    };
    let wrapped = |entry: &UpdateEntry| Resource {
        name: entry.resource.name.clone(),
        version: format!("{:x}", entry.resource.version),
        resource: (!entry.heartbeat).then(|| body(entry)),
        ttl,
        ..Default::default()
    };
    update.entries.iter().map(wrapped).collect()
}

fn version(update: &Update) -> String {
    format!("{}.{}", update.version.epoch, update.version.number)
}

/// Encodes a response of the state-of-the-world protocol. Resources are wrapped only if they have a lease.
pub(super) fn state_of_the_world_response(update: &Update, service: &str) -> DiscoveryResponse {
    let plain = |resource: Resource| match resource {
        Resource { ttl: None, resource: Some(any), .. } => any,
        wrapped => Any { type_url: Resource::type_url(), value: wrapped.encode_to_vec() },
    };
    DiscoveryResponse {
        version_info: version(update),
        resources: wrapped_resources(update).into_iter().map(plain).collect(),
        type_url: type_url(update.resource_type),
        nonce: update.nonce.clone(),
        control_plane: control_plane(service),
        ..Default::default()
    }
}

/// Encodes a response of the incremental protocol.
pub(super) fn delta_response(update: &Update, service: &str) -> DeltaDiscoveryResponse {
    DeltaDiscoveryResponse {
        system_version_info: version(update),
        resources: wrapped_resources(update),
        type_url: type_url(update.resource_type),
        removed_resources: update.removed.clone(),
        nonce: update.nonce.clone(),
        control_plane: control_plane(service),
        ..Default::default()
    }
}
