//! Conversion of a plan into xDS resources: a listener, its routes with drops and retries, a cluster, and its weighted
//! endpoints. The encoding is deterministic, and a resource's version is the hash of its content.

mod cluster;
mod endpoints;
mod listener;
mod routes;
mod subset;

#[cfg(test)]
mod tests;

pub use subset::{ProxyProfile, SubsetConfig};

use crate::plan::Plan;
use crate::stream::{PlanVersion, Resource, ResourceSet, ResourceSnapshot, ResourceType};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::listener::v3::Listener;
use envoy_types::pb::envoy::config::route::v3::RouteConfiguration;
use prost::{Message, Name};
use std::sync::Arc;

/// Resource name of the cluster and its endpoints.
pub const CLUSTER: &str = "servers";
/// Resource name of the listener.
pub const LISTENER: &str = "front";
/// Resource name of the routes.
pub const ROUTES: &str = "front-routes";
/// Header that carries a request's product.
pub const PRODUCT_HEADER: &str = "x-product";
/// Header that carries a request's customer.
pub const CUSTOMER_HEADER: &str = "x-customer";

/// Returns the xDS type URL of a resource type.
pub fn type_url(resource_type: ResourceType) -> String {
    match resource_type {
        ResourceType::Cluster => Cluster::type_url(),
        ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
        ResourceType::Listener => Listener::type_url(),
        ResourceType::Routes => RouteConfiguration::type_url(),
    }
}

/// Returns the resource type of a type URL; none if it is not supported.
pub fn resource_type_of(type_url: &str) -> Option<ResourceType> {
    ResourceType::ALL.into_iter().find(|resource_type| self::type_url(*resource_type) == type_url)
}

/// Returns a 64-bit hash of the parts.
fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().as_bytes().first_chunk().map_or(0, |first| u64::from_le_bytes(*first))
}

/// Encodes a set with one resource.
fn resource_set(resource_type: ResourceType, name: &str, message: &impl Message) -> ResourceSet {
    let body = message.encode_to_vec();
    // 0 is reserved for no version.
    let version = digest(&[type_url(resource_type).as_bytes(), name.as_bytes(), &body]).max(1);
    let resource = Resource { name: name.into(), version, body };
    [(name.to_owned(), Arc::new(resource))].into()
}

/// Returns the config source of resources that are served on the same aggregated stream.
fn ads_source() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    }
}

/// Builds the resources for the proxies of a profile.
pub fn resource_snapshot(
    plan: &Plan,
    version: PlanVersion,
    profile: &ProxyProfile,
    subsets: &SubsetConfig,
) -> ResourceSnapshot {
    let endpoints = endpoints::endpoints(plan, profile, subsets);
    let sets = [
        resource_set(ResourceType::Cluster, CLUSTER, &cluster::cluster(plan)),
        resource_set(ResourceType::Endpoints, CLUSTER, &endpoints),
        resource_set(ResourceType::Listener, LISTENER, &listener::listener()),
        resource_set(ResourceType::Routes, ROUTES, &routes::routes(plan)),
    ];
    ResourceSnapshot { version, decided_at: plan.decided_at, sets }
}
