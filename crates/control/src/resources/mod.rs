//! From a plan to the resources that proxies know: a listener, its routes with drops and retries, a cluster, its endpoints with
//! weights. Pure: the same plan gives the same bytes, so that content names its version.

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

/// Name under which proxies ask for the cluster and its endpoints.
pub const CLUSTER: &str = "servers";
/// Name under which proxies ask for the listener.
pub const LISTENER: &str = "front";
/// Name under which proxies ask for the routes.
pub const ROUTES: &str = "front-routes";
/// Header with a request's product.
pub const PRODUCT_HEADER: &str = "x-product";
/// Header with a request's customer.
pub const CUSTOMER_HEADER: &str = "x-customer";

/// The type URL by which xDS names a type.
pub fn type_url(resource_type: ResourceType) -> String {
    match resource_type {
        ResourceType::Cluster => Cluster::type_url(),
        ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
        ResourceType::Listener => Listener::type_url(),
        ResourceType::Routes => RouteConfiguration::type_url(),
    }
}

/// The type that a type URL names; none where the service does not know it.
pub fn resource_type_of(type_url: &str) -> Option<ResourceType> {
    ResourceType::ALL.into_iter().find(|resource_type| self::type_url(*resource_type) == type_url)
}

/// 64 evenly spread bits of some parts: the first of their hash.
fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().as_bytes().first_chunk().map_or(0, |first| u64::from_le_bytes(*first))
}

/// A set with one resource.
fn resource_set(resource_type: ResourceType, name: &str, message: &impl Message) -> ResourceSet {
    let body = message.encode_to_vec();
    // Never 0, which stands for no version.
    let version = digest(&[type_url(resource_type).as_bytes(), name.as_bytes(), &body]).max(1);
    let resource = Resource { name: name.into(), version, body };
    [(name.to_owned(), Arc::new(resource))].into()
}

/// Says that a resource's details come from this service, on the same stream.
fn ads_source() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    }
}

/// All that proxies of one profile are to hold.
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
