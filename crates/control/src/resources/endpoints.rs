//! The endpoints resource: servers by zone, with their weights.

use super::subset::{ProxyProfile, SubsetConfig};
use super::CLUSTER;
use crate::plan::{Plan, Route, ServerShare};
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::google::protobuf::UInt32Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Parts into which the load is split among zones. Finer steps would be pushed for nothing.
const TOTAL_ZONE_WEIGHT: f64 = 1000.0;
/// Parts that a server of mean share has, so that a large zone's small shares can still be told apart.
const MEAN_SERVER_WEIGHT: f64 = 100.0;

/// A weight in whole parts: at least 1 unless it is nothing.
fn weight(fraction: f64, scale: f64) -> Option<UInt32Value> {
    let value = if fraction > 0.0 { (fraction * scale).round().max(1.0) as u32 } else { 0 };
    Some(UInt32Value { value })
}

fn address(address: SocketAddr) -> core::Address {
    let socket = core::SocketAddress {
        address: address.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(address.port().into())),
        ..Default::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket)) }
}

fn server_endpoint(server: &ServerShare, weight: Option<UInt32Value>) -> endpoint::LbEndpoint {
    let endpoint = endpoint::Endpoint {
        address: Some(address(server.address)),
        hostname: server.instance.clone(),
        ..Default::default()
    };
    endpoint::LbEndpoint {
        load_balancing_weight: weight,
        health_status: core::HealthStatus::Healthy.into(),
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint)),
        ..Default::default()
    }
}

/// The servers of one zone that proxies of a subset get.
fn zone_endpoints(
    zone: &str,
    routes: &[Route],
    subset: usize,
    subsets: &SubsetConfig,
) -> endpoint::LocalityLbEndpoints {
    let in_subset = |route: &&Route| subsets.contains(subset, &route.server.instance, routes.len());
    let mut selected: Vec<&Route> = routes.iter().filter(in_subset).collect();
    if selected.is_empty() {
        // Chance may leave a subset empty: its proxies get all servers.
        selected = routes.iter().collect();
    }
    let zone_weight: f64 = routes.iter().map(|route| route.weight).sum();
    let selected_weight: f64 = selected.iter().map(|route| route.server.weight).sum();
    let scale = MEAN_SERVER_WEIGHT * selected.len() as f64;
    let endpoint = |route: &&Route| {
        let server = route.server;
        server_endpoint(server, weight(server.weight / selected_weight, scale))
    };
    endpoint::LocalityLbEndpoints {
        locality: Some(core::Locality { zone: zone.into(), ..Default::default() }),
        lb_endpoints: selected.iter().map(endpoint).collect(),
        load_balancing_weight: weight(zone_weight, TOTAL_ZONE_WEIGHT),
        ..Default::default()
    }
}

/// Servers of all zones that the load of a profile's zone is routed to.
pub(super) fn endpoints(
    plan: &Plan,
    profile: &ProxyProfile,
    subsets: &SubsetConfig,
) -> endpoint::ClusterLoadAssignment {
    let mut by_zone: BTreeMap<&str, Vec<Route>> = BTreeMap::new();
    for route in plan.routes(&profile.zone) {
        by_zone.entry(&route.server.zone).or_default().push(route);
    }
    let zones = by_zone.iter().map(|(zone, routes)| zone_endpoints(zone, routes, profile.subset, subsets));
    endpoint::ClusterLoadAssignment {
        cluster_name: CLUSTER.into(),
        endpoints: zones.collect(),
        ..Default::default()
    }
}
