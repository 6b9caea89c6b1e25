//! The routes resource: routes that drop requests, and the route to the cluster with its retry policy.

use super::{CLUSTER, CUSTOMER_HEADER, PRODUCT_HEADER, ROUTES};
use crate::plan::Plan;
use crate::shedding::DropRule;
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::route::v3 as route;
use envoy_types::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::ClusterSpecifier;
use envoy_types::pb::envoy::config::route::v3::route_match::PathSpecifier;
use envoy_types::pb::envoy::r#type::matcher::v3::{string_matcher::MatchPattern, StringMatcher};
use envoy_types::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent};
use envoy_types::pb::google::protobuf::UInt32Value;

/// HTTP status of requests dropped by a proxy or rejected by a server.
const UNAVAILABLE: u32 = 503;
/// Smallest fraction for which a drop route is emitted; less rounds to 0 %.
const MIN_DROP: f64 = 0.005;
/// Millionths per percent: fractions are rounded to whole percents, so that small changes are not pushed.
const MILLIONTHS_PER_PERCENT: u32 = 10_000;
/// Minimum Retry-After in seconds, before it is rounded up to whole seconds.
const MIN_RETRY_AFTER: f64 = 0.05;
/// Retry conditions: only requests that have not run, because the connection was refused or a server rejected them.
const RETRY_ON: &str = "connect-failure,refused-stream,retriable-status-codes";
/// Maximum retries of a request: more would amplify an overload.
const MAX_RETRIES: u32 = 1;

fn any_path() -> Option<PathSpecifier> {
    Some(PathSpecifier::Prefix("/".into()))
}

fn header_equals(name: &str, value: &str) -> route::HeaderMatcher {
    let matcher =
        StringMatcher { match_pattern: Some(MatchPattern::Exact(value.into())), ignore_case: false };
    route::HeaderMatcher {
        name: name.into(),
        header_match_specifier: Some(HeaderMatchSpecifier::StringMatch(matcher)),
        ..Default::default()
    }
}

/// Returns a match for the rule's fraction of a class's requests.
fn drop_match(rule: &DropRule) -> route::RouteMatch {
    let fraction = FractionalPercent {
        numerator: (rule.fraction * 100.0).round() as u32 * MILLIONTHS_PER_PERCENT,
        denominator: DenominatorType::Million.into(),
    };
    route::RouteMatch {
        path_specifier: any_path(),
        headers: vec![
            header_equals(PRODUCT_HEADER, &rule.product),
            header_equals(CUSTOMER_HEADER, &rule.customer),
        ],
        runtime_fraction: Some(core::RuntimeFractionalPercent {
            default_value: Some(fraction),
            runtime_key: String::new(),
        }),
        ..Default::default()
    }
}

fn retry_after_header(seconds: f64) -> core::HeaderValueOption {
    let value = format!("{}", seconds.max(MIN_RETRY_AFTER).ceil());
    let header = core::HeaderValue { key: "retry-after".into(), value, ..Default::default() };
    core::HeaderValueOption { header: Some(header), ..Default::default() }
}

/// Returns the route that rejects the requests dropped by a rule.
fn drop_route(rule: &DropRule, retry_after: f64) -> route::Route {
    let response = route::DirectResponseAction { status: UNAVAILABLE, ..Default::default() };
    route::Route {
        name: format!("drop {} of {}", rule.product, rule.customer),
        r#match: Some(drop_match(rule)),
        action: Some(Action::DirectResponse(response)),
        response_headers_to_add: vec![retry_after_header(retry_after)],
        ..Default::default()
    }
}

/// Returns the route that sends all other requests to the cluster.
fn cluster_route() -> route::Route {
    let retry_policy = route::RetryPolicy {
        retry_on: RETRY_ON.into(),
        retriable_status_codes: vec![UNAVAILABLE],
        num_retries: Some(UInt32Value { value: MAX_RETRIES }),
        ..Default::default()
    };
    let action = route::RouteAction {
        cluster_specifier: Some(ClusterSpecifier::Cluster(CLUSTER.into())),
        retry_policy: Some(retry_policy),
        ..Default::default()
    };
    route::Route {
        name: "on".into(),
        r#match: Some(route::RouteMatch { path_specifier: any_path(), ..Default::default() }),
        action: Some(Action::Route(action)),
        ..Default::default()
    }
}

pub(super) fn routes(plan: &Plan) -> route::RouteConfiguration {
    let rules = plan.drops.iter().filter(|rule| rule.fraction >= MIN_DROP);
    let drops = rules.map(|rule| drop_route(rule, plan.retry_after));
    let host = route::VirtualHost {
        name: "all".into(),
        domains: vec!["*".into()],
        routes: drops.chain([cluster_route()]).collect(),
        ..Default::default()
    };
    route::RouteConfiguration { name: ROUTES.into(), virtual_hosts: vec![host], ..Default::default() }
}
