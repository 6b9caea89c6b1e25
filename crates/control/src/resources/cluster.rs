//! The cluster resource: all servers as one cluster, with circuit breakers on the requests and retries of a proxy.

use super::{ads_source, CLUSTER};
use crate::plan::Plan;
use envoy_types::pb::envoy::config::cluster::v3 as cluster;
use envoy_types::pb::envoy::config::cluster::v3::circuit_breakers::{thresholds::RetryBudget, Thresholds};
use envoy_types::pb::envoy::config::cluster::v3::cluster::common_lb_config::{
    LocalityConfigSpecifier, LocalityWeightedLbConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, CommonLbConfig, DiscoveryType, EdsClusterConfig,
};
use envoy_types::pb::envoy::r#type::v3::Percent;
use envoy_types::pb::google::protobuf::UInt32Value;

/// Retries that a proxy may have in flight regardless of the retry budget.
const MIN_RETRIES: u32 = 1;

fn retry_thresholds(plan: &Plan) -> Thresholds {
    let retry_budget = RetryBudget {
        budget_percent: Some(Percent { value: plan.retry_budget * 100.0 }),
        min_retry_concurrency: Some(UInt32Value { value: MIN_RETRIES }),
        ..Default::default()
    };
    Thresholds { retry_budget: Some(retry_budget), ..Default::default() }
}

fn server_thresholds(plan: &Plan) -> Thresholds {
    // Rounded up to a power of two, so that small changes of limits do not change the cluster.
    let largest = plan.shares.iter().map(|share| share.max_requests).max().unwrap_or(1);
    let value = largest.next_power_of_two();
    Thresholds { max_requests: Some(UInt32Value { value }), ..Default::default() }
}

pub(super) fn cluster(plan: &Plan) -> cluster::Cluster {
    let weighted = LocalityConfigSpecifier::LocalityWeightedLbConfig(LocalityWeightedLbConfig {});
    cluster::Cluster {
        name: CLUSTER.into(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(ads_source()),
            service_name: CLUSTER.into(),
        }),
        circuit_breakers: Some(cluster::CircuitBreakers {
            thresholds: vec![retry_thresholds(plan)],
            per_host_thresholds: vec![server_thresholds(plan)],
        }),
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(weighted),
            ..Default::default()
        }),
        ..Default::default()
    }
}
