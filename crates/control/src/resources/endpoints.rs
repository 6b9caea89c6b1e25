//! The endpoints resource: servers grouped by zone, with their weights.

use super::subset::{ProxyProfile, SubsetConfig};
use super::CLUSTER;
use crate::plan::{Plan, Route, ServerShare};
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::google::protobuf::UInt32Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Sum of the integer weights of the zones: coarse, so that insignificant changes are not pushed.
const TOTAL_ZONE_WEIGHT: f64 = 1000.0;
/// Integer weight of a server with the mean share, so that small shares in large zones stay distinguishable.
const MEAN_SERVER_WEIGHT: f64 = 100.0;

/// Returns an integer weight: at least 1 unless the fraction is 0.
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

/// Builds the endpoints of a zone for the proxies of a subset.
fn zone_endpoints(
    zone: &str,
    routes: &[Route],
    subset: usize,
    subsets: &SubsetConfig,
) -> endpoint::LocalityLbEndpoints {
    let in_subset = |route: &&Route| subsets.contains(subset, &route.server.instance, routes.len());
    let mut selected: Vec<&Route> = routes.iter().filter(in_subset).collect();
    if selected.is_empty() {
        // A subset may be empty by chance: its proxies get all servers.
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

/// Builds the endpoints of all zones to which the load of the profile's zone is routed.
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
