//! The listener resource: an HTTP listener whose routes are discovered from this service.

use super::{ads_source, LISTENER, ROUTES};
use envoy_types::pb::envoy::config::listener::v3 as listener;
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_connection_manager::RouteSpecifier;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_filter::ConfigType;
use envoy_types::pb::google::protobuf::Any;
use prost::{Message, Name};

fn to_any<T: Message + Name>(message: &T) -> Any {
    Any { type_url: T::type_url(), value: message.encode_to_vec() }
}

pub(super) fn listener() -> listener::Listener {
    let routes = manager::Rds { config_source: Some(ads_source()), route_config_name: ROUTES.into() };
    let router = manager::HttpFilter {
        name: "router".into(),
        config_type: Some(ConfigType::TypedConfig(to_any(&Router::default()))),
        ..Default::default()
    };
    let connections = manager::HttpConnectionManager {
        stat_prefix: LISTENER.into(),
        route_specifier: Some(RouteSpecifier::Rds(routes)),
        http_filters: vec![router],
        ..Default::default()
    };
    listener::Listener {
        name: LISTENER.into(),
        api_listener: Some(listener::ApiListener { api_listener: Some(to_any(&connections)) }),
        ..Default::default()
    }
}
