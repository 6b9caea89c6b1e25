//! From a plan to the resources that proxies know: a listener, its routes with drops and retries, a cluster, its endpoints with
//! weights. Pure: the same plan gives the same bytes, so that content names its version.

use crate::plan::Plan;
use crate::stream::{Kind, Resource, Serial, World};
use envoy_types::pb::envoy::config::cluster::v3 as cluster;
use envoy_types::pb::envoy::config::core::v3 as base;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::config::listener::v3 as listener;
use envoy_types::pb::envoy::config::route::v3 as route;
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use envoy_types::pb::envoy::r#type::matcher::v3::{string_matcher::MatchPattern, StringMatcher};
use envoy_types::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent, Percent};
use envoy_types::pb::google::protobuf::{Any, UInt32Value};
use prost::{Message, Name};
use std::net::SocketAddr;
use std::sync::Arc;

/// Names under which proxies ask, and the headers that tell a txn's product and customer.
pub const CLUSTER: &str = "servers";
pub const LISTENER: &str = "front";
pub const ROUTES: &str = "front-routes";
pub const PRODUCT: &str = "x-product";
pub const CUSTOMER: &str = "x-customer";

/// Parts into which the load is split for zones; and those that a server of mean share has, so that a large zone's small shares
/// can still be told apart. Finer steps would be pushed for nothing.
const PARTS: f64 = 1000.0;
const MEAN: f64 = 100.0;

/// The address of a type.
pub fn type_url(kind: Kind) -> String {
    match kind {
        Kind::Cluster => cluster::Cluster::type_url(),
        Kind::Endpoints => endpoint::ClusterLoadAssignment::type_url(),
        Kind::Listener => listener::Listener::type_url(),
        Kind::Routes => route::RouteConfiguration::type_url(),
    }
}

pub fn kind_of(type_url: &str) -> Option<Kind> {
    Kind::ALL.into_iter().find(|kind| self::type_url(*kind) == type_url)
}

/// Which of a plan's proxies are alike: of one zone, and where a fleet is large, of one part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Profile {
    pub zone: String,
    pub slot: usize,
}

/// How a large fleet is cut into subsets, so that a proxy does not connect to all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subsets {
    /// Servers that a proxy is told at the least; a zone with fewer is told whole.
    pub size: usize,
    /// Different subsets.
    pub slots: usize,
}

impl Default for Subsets {
    fn default() -> Subsets {
        Subsets { size: 100, slots: 32 }
    }
}

/// Even spread of 64 bits: the first of a hash of the words.
fn hash(words: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for word in words {
        hasher.update(&(word.len() as u64).to_le_bytes());
        hasher.update(word);
    }
    hasher.finalize().as_bytes().first_chunk().map_or(0, |first| u64::from_le_bytes(*first))
}

impl Subsets {
    /// The slot of a proxy.
    pub fn slot(&self, node: &str) -> usize {
        (hash(&[node.as_bytes()]) % self.slots.max(1) as u64) as usize
    }
    /// Whether a server is told to a slot, of a zone with so many. Each server is in as many slots as any other, next to each
    /// other round a ring from where its name puts it: one more server changes no other's slots.
    fn told(&self, slot: usize, instance: &str, servers: usize) -> bool {
        let slots = self.slots.max(1);
        let copies = (self.size * slots).div_ceil(servers.max(1));
        if servers <= self.size || copies >= slots {
            return true;
        }
        let first = (hash(&[instance.as_bytes(), b"slot"]) % slots as u64) as usize;
        (slot + slots - first) % slots < copies
    }
}

fn resource(kind: Kind, name: &str, message: &impl Message) -> (String, Arc<Resource>) {
    let body = message.encode_to_vec();
    // Never 0, which stands for no version.
    let version = hash(&[type_url(kind).as_bytes(), name.as_bytes(), &body]).max(1);
    (name.to_owned(), Arc::new(Resource { name: name.into(), version, body }))
}

fn any<T: Message + Name>(message: &T) -> Any {
    Any { type_url: T::type_url(), value: message.encode_to_vec() }
}

fn parts(share: f64, of: f64) -> u32 {
    if share > 0.0 {
        (share * of).round().max(1.0) as u32
    } else {
        0
    }
}

fn address(at: SocketAddr) -> base::Address {
    let socket = base::SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(base::socket_address::PortSpecifier::PortValue(at.port().into())),
        ..Default::default()
    };
    base::Address { address: Some(base::address::Address::SocketAddress(socket)) }
}

fn ads() -> base::ConfigSource {
    base::ConfigSource {
        resource_api_version: base::ApiVersion::V3.into(),
        config_source_specifier: Some(base::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    }
}

fn endpoints(plan: &Plan, profile: &Profile, subsets: &Subsets) -> endpoint::ClusterLoadAssignment {
    let mut zones = Vec::new();
    let routes = plan.routes(&profile.zone);
    let names: std::collections::BTreeSet<&str> =
        routes.iter().map(|(share, _)| share.zone.as_str()).collect();
    for zone in names {
        let of = || routes.iter().filter(|(share, _)| share.zone == zone);
        let count = of().count();
        let mut told: Vec<_> =
            of().filter(|(share, _)| subsets.told(profile.slot, &share.instance, count)).collect();
        if told.is_empty() {
            // Chance may leave a slot empty: it is told all.
            told = of().collect();
        }
        let all: f64 = of().map(|(_, weight)| weight).sum();
        let here: f64 = told.iter().map(|(share, _)| share.weight).sum();
        let one = |(share, _): &&(&crate::plan::Share, f64)| endpoint::LbEndpoint {
            load_balancing_weight: Some(UInt32Value {
                value: parts(share.weight / here, MEAN * told.len() as f64),
            }),
            health_status: base::HealthStatus::Healthy.into(),
            host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint::Endpoint {
                address: Some(address(share.address)),
                hostname: share.instance.clone(),
                ..Default::default()
            })),
            ..Default::default()
        };
        zones.push(endpoint::LocalityLbEndpoints {
            locality: Some(base::Locality { zone: zone.into(), ..Default::default() }),
            lb_endpoints: told.iter().map(one).collect(),
            load_balancing_weight: Some(UInt32Value { value: parts(all, PARTS) }),
            ..Default::default()
        });
    }
    endpoint::ClusterLoadAssignment { cluster_name: CLUSTER.into(), endpoints: zones, ..Default::default() }
}

fn the_cluster(plan: &Plan) -> cluster::Cluster {
    use cluster::cluster::common_lb_config::{LocalityConfigSpecifier, LocalityWeightedLbConfig};
    // In powers of two, so that a limit that moves a little changes no cluster.
    let open = plan.shares.iter().map(|share| share.open).max().unwrap_or(1).next_power_of_two();
    let thresholds = |per_host: bool| cluster::circuit_breakers::Thresholds {
        max_requests: per_host.then_some(UInt32Value { value: open }),
        retry_budget: (!per_host).then(|| cluster::circuit_breakers::thresholds::RetryBudget {
            budget_percent: Some(Percent { value: plan.retries * 100.0 }),
            min_retry_concurrency: Some(UInt32Value { value: 1 }),
            ..Default::default()
        }),
        ..Default::default()
    };
    cluster::Cluster {
        name: CLUSTER.into(),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds.into(),
        )),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(ads()),
            service_name: CLUSTER.into(),
        }),
        circuit_breakers: Some(cluster::CircuitBreakers {
            thresholds: vec![thresholds(false)],
            per_host_thresholds: vec![thresholds(true)],
        }),
        common_lb_config: Some(cluster::cluster::CommonLbConfig {
            locality_config_specifier: Some(LocalityConfigSpecifier::LocalityWeightedLbConfig(
                LocalityWeightedLbConfig {},
            )),
            ..Default::default()
        }),
        ..Default::default()
    }
}

fn header(name: &str, value: &str) -> route::HeaderMatcher {
    let matcher =
        StringMatcher { match_pattern: Some(MatchPattern::Exact(value.into())), ignore_case: false };
    route::HeaderMatcher {
        name: name.into(),
        header_match_specifier: Some(route::header_matcher::HeaderMatchSpecifier::StringMatch(matcher)),
        ..Default::default()
    }
}

fn routes(plan: &Plan) -> route::RouteConfiguration {
    let every = || Some(route::route_match::PathSpecifier::Prefix("/".into()));
    let seconds = plan.retry_after.max(0.05);
    let drop = |drop: &crate::shed::Drop| {
        let percent = FractionalPercent {
            numerator: (drop.share * 100.0).round() as u32 * 10_000,
            denominator: DenominatorType::Million.into(),
        };
        let matched = route::RouteMatch {
            path_specifier: every(),
            headers: vec![header(PRODUCT, &drop.product), header(CUSTOMER, &drop.customer)],
            runtime_fraction: Some(base::RuntimeFractionalPercent {
                default_value: Some(percent),
                runtime_key: String::new(),
            }),
            ..Default::default()
        };
        let told = base::HeaderValue {
            key: "retry-after".into(),
            value: format!("{}", seconds.ceil()),
            ..Default::default()
        };
        route::Route {
            name: format!("drop {} of {}", drop.product, drop.customer),
            r#match: Some(matched),
            action: Some(route::route::Action::DirectResponse(route::DirectResponseAction {
                status: 503,
                ..Default::default()
            })),
            response_headers_to_add: vec![base::HeaderValueOption {
                header: Some(told),
                ..Default::default()
            }],
            ..Default::default()
        }
    };
    // Only what is known not to have run is tried again: refused before a byte of it was read, or declined by a server.
    let retry = route::RetryPolicy {
        retry_on: "connect-failure,refused-stream,retriable-status-codes".into(),
        retriable_status_codes: vec![503],
        num_retries: Some(UInt32Value { value: 1 }),
        ..Default::default()
    };
    let on = route::Route {
        name: "on".into(),
        r#match: Some(route::RouteMatch { path_specifier: every(), ..Default::default() }),
        action: Some(route::route::Action::Route(route::RouteAction {
            cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster(CLUSTER.into())),
            retry_policy: Some(retry),
            ..Default::default()
        })),
        ..Default::default()
    };
    let all = route::VirtualHost {
        name: "all".into(),
        domains: vec!["*".into()],
        routes: plan.drops.iter().filter(|d| d.share >= 0.005).map(drop).chain([on]).collect(),
        ..Default::default()
    };
    route::RouteConfiguration { name: ROUTES.into(), virtual_hosts: vec![all], ..Default::default() }
}

fn the_listener() -> listener::Listener {
    let connections = manager::HttpConnectionManager {
        stat_prefix: LISTENER.into(),
        route_specifier: Some(manager::http_connection_manager::RouteSpecifier::Rds(manager::Rds {
            config_source: Some(ads()),
            route_config_name: ROUTES.into(),
        })),
        http_filters: vec![manager::HttpFilter {
            name: "router".into(),
            config_type: Some(manager::http_filter::ConfigType::TypedConfig(any(&Router::default()))),
            ..Default::default()
        }],
        ..Default::default()
    };
    listener::Listener {
        name: LISTENER.into(),
        api_listener: Some(listener::ApiListener { api_listener: Some(any(&connections)) }),
        ..Default::default()
    }
}

/// All that proxies of one profile are to hold.
pub fn world(plan: &Plan, serial: Serial, profile: &Profile, subsets: &Subsets) -> World {
    let sets = [
        [resource(Kind::Cluster, CLUSTER, &the_cluster(plan))].into(),
        [resource(Kind::Endpoints, CLUSTER, &endpoints(plan, profile, subsets))].into(),
        [resource(Kind::Listener, LISTENER, &the_listener())].into(),
        [resource(Kind::Routes, ROUTES, &routes(plan))].into(),
    ];
    World { serial, made: plan.made, sets }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Planner;
    use crate::shed::Drop;
    use crate::view::tests::report;
    use crate::view::{Bounds, Report, Views};

    fn plan(count: usize) -> Plan {
        let mut views = Views::new(Bounds::default());
        for at in 0..count {
            let zone = if at % 4 == 0 { "b" } else { "a" };
            views.take(0.0, Report { zone: zone.into(), ..report(&format!("n{at:04}"), 1, 0.0) });
        }
        Planner::default().plan(0.0, &views).unwrap()
    }
    fn decoded(world: &World) -> endpoint::ClusterLoadAssignment {
        let body = &world.set(Kind::Endpoints)[CLUSTER].body;
        endpoint::ClusterLoadAssignment::decode(&body[..]).unwrap()
    }

    #[test]
    fn the_same_decision_is_the_same_bytes_and_another_changes_only_what_it_concerns() {
        let (plan, profile, subsets) = (plan(8), Profile { zone: "a".into(), slot: 0 }, Subsets::default());
        let one = world(&plan, Serial::default(), &profile, &subsets);
        let again = world(&plan.clone(), Serial { epoch: 1, number: 9 }, &profile, &subsets);
        assert_eq!(one.sets, again.sets);
        let mut dropping = plan.clone();
        dropping.drops = vec![Drop { product: "p".into(), customer: "k".into(), share: 0.25 }];
        let two = world(&dropping, Serial::default(), &profile, &subsets);
        let same: Vec<bool> = Kind::ALL.iter().map(|kind| one.set(*kind) == two.set(*kind)).collect();
        assert_eq!(same, [true, true, true, false]);
        let body = &two.set(Kind::Routes)[ROUTES].body;
        let routes = route::RouteConfiguration::decode(&body[..]).unwrap().virtual_hosts.remove(0).routes;
        assert_eq!(routes.len(), 2);
        let fraction = routes[0].r#match.as_ref().unwrap().runtime_fraction.as_ref().unwrap();
        assert_eq!(fraction.default_value.as_ref().unwrap().numerator, 250_000);
    }

    #[test]
    fn endpoints_carry_their_zone_s_servers_and_their_weights() {
        let plan = plan(8);
        let told = decoded(&world(
            &plan,
            Serial::default(),
            &Profile { zone: "a".into(), slot: 0 },
            &Subsets::default(),
        ));
        assert_eq!(told.endpoints.len(), 1);
        assert_eq!(told.endpoints[0].locality.as_ref().unwrap().zone, "a");
        let weights: Vec<u32> =
            told.endpoints[0].lb_endpoints.iter().map(|e| e.load_balancing_weight.unwrap().value).collect();
        assert_eq!(weights, [100; 6]);
        // A zone that nobody knows is served by both.
        let other = decoded(&world(
            &plan,
            Serial::default(),
            &Profile { zone: "z".into(), slot: 0 },
            &Subsets::default(),
        ));
        assert_eq!(other.endpoints.len(), 2);
    }

    #[test]
    fn in_a_zone_of_thousands_a_slow_server_still_has_a_small_weight() {
        let mut views = Views::new(Bounds::default());
        for at in 0..2000 {
            let takes = if at == 7 { 0.04 } else { 0.01 };
            views.take(0.0, Report { takes, ..report(&format!("n{at:04}"), 1, 0.0) });
        }
        let plan = Planner::default().plan(0.0, &views).unwrap();
        let subsets = Subsets { size: 5000, slots: 1 };
        let told =
            decoded(&world(&plan, Serial::default(), &Profile { zone: "a".into(), slot: 0 }, &subsets));
        let weight = |at: usize| told.endpoints[0].lb_endpoints[at].load_balancing_weight.unwrap().value;
        assert_eq!((weight(6), weight(7)), (100, 25));
    }

    #[test]
    fn subsets_of_a_large_fleet_are_bounded_even_and_hardly_change_with_one_server_more() {
        let subsets = Subsets { size: 40, slots: 16 };
        let count = 600;
        let names: Vec<String> = (0..count).map(|at| format!("n{at:04}")).collect();
        let of = |slot: usize, names: &[String]| -> Vec<String> {
            names.iter().filter(|name| subsets.told(slot, name, names.len())).cloned().collect()
        };
        let mut seen = std::collections::BTreeMap::new();
        for slot in 0..16 {
            let told = of(slot, &names);
            assert!((20..=120).contains(&told.len()), "{}", told.len());
            told.into_iter().for_each(|name| *seen.entry(name).or_insert(0) += 1);
        }
        assert!(seen.len() == count && seen.values().all(|slots| *slots == 2));
        let more: Vec<String> = names.iter().cloned().chain(["new".into()]).collect();
        let kept = of(3, &more).into_iter().filter(|name| name != "new").collect::<Vec<_>>();
        assert_eq!(kept, of(3, &names));
    }
}
