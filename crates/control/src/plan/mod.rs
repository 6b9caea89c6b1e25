//! The routing plan computed from the fleet's view: server weights per zone, spillover between zones, and load that
//! proxies drop. Performs no I/O and reads no clock.

mod capacity;
mod per_incarnation;
mod planner;
mod rebalance;
mod spillover;

#[cfg(test)]
mod tests;

pub use planner::Planner;

use crate::shedding::DropRule;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Reason why a server's share differs from its target. The texts appear in the stored snapshot and on the `/plan` page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareLimit {
    /// The share is at its target.
    #[default]
    #[serde(rename = "")]
    None,
    /// The share is within the deadband around its target.
    #[serde(rename = "near its target")]
    NearTarget,
    /// The share recently moved in the opposite direction.
    #[serde(rename = "moved the other way just now")]
    ReversedRecently,
    /// The step of the share is bounded.
    #[serde(rename = "moves step by step")]
    StepSize,
    /// The total move of the zone's shares is bounded.
    #[serde(rename = "much moves at once")]
    ZoneStepSize,
    /// The share compensates the moves of other shares in its zone.
    #[serde(rename = "takes or gives what others move")]
    Compensating,
    /// The server is draining.
    #[serde(rename = "leaves")]
    Draining,
    /// The server's health check fails.
    #[serde(rename = "says it is not well")]
    Unhealthy,
    /// The server's last report has expired.
    #[serde(rename = "was silent for too long")]
    ReportExpired,
}

impl ShareLimit {
    /// Returns the text shown to operators; empty for [`ShareLimit::None`].
    pub fn as_str(self) -> &'static str {
        match self {
            ShareLimit::None => "",
            ShareLimit::NearTarget => "near its target",
            ShareLimit::ReversedRecently => "moved the other way just now",
            ShareLimit::StepSize => "moves step by step",
            ShareLimit::ZoneStepSize => "much moves at once",
            ShareLimit::Compensating => "takes or gives what others move",
            ShareLimit::Draining => "leaves",
            ShareLimit::Unhealthy => "says it is not well",
            ShareLimit::ReportExpired => "was silent for too long",
        }
    }
}

impl fmt::Display for ShareLimit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Inputs of a server's share, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareExplanation {
    /// Capacity by the server's own report, requests per second.
    #[serde(rename = "says")]
    pub reported_capacity: f64,
    /// Capacity assumed by the plan, requests per second: adjusted for pressure, peers, warm-up and confidence, and smoothed.
    #[serde(rename = "carries")]
    pub effective_capacity: f64,
    /// Confidence in the last report, from 0 to 1.
    #[serde(rename = "belief")]
    pub confidence: f64,
    /// Target of the share.
    #[serde(rename = "target")]
    pub target_weight: f64,
    /// Reason why the share differs from its target.
    #[serde(rename = "held")]
    pub limited_by: ShareLimit,
}

/// A server's share of its zone's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerShare {
    /// Name of the server.
    pub instance: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Fraction of the load sent to the zone's servers; the weights of a zone sum to 1, or all are 0.
    pub weight: f64,
    /// Requests that one proxy may have in flight at the server.
    #[serde(rename = "open")]
    pub max_requests: u32,
    /// Inputs of the share.
    #[serde(rename = "why")]
    pub explanation: ShareExplanation,
}

/// Capacity, load and spillover of a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Capacity of the zone's servers, requests per second.
    pub capacity: f64,
    /// Load that originates in the zone, requests per second.
    pub load: f64,
    /// Fraction of the load that is sent to other zones.
    pub spill: f64,
    /// Fraction of the spilled load that each other zone receives.
    #[serde(rename = "to")]
    pub spill_targets: BTreeMap<String, f64>,
}

/// A routing plan for the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When the plan was computed, seconds by the service's clock.
    #[serde(rename = "made")]
    pub decided_at: f64,
    /// A mass outage is suspected: shares keep their last values.
    pub panic: bool,
    /// Shares of all servers, ordered by name.
    pub shares: Vec<ServerShare>,
    /// All zones with servers, by name.
    pub zones: BTreeMap<String, ZonePlan>,
    /// Rules by which proxies drop requests, ordered by product and customer.
    pub drops: Vec<DropRule>,
    /// Retry-After of dropped requests, seconds.
    pub retry_after: f64,
    /// Retries that a proxy may have in flight, as a fraction of its requests in flight.
    #[serde(rename = "retries")]
    pub retry_budget: f64,
}

/// A server to which load of a zone is routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route<'a> {
    /// The server's share of its own zone.
    pub server: &'a ServerShare,
    /// Fraction of the zone's load.
    pub weight: f64,
}

impl Plan {
    /// Returns the routes of a zone's load: its own servers and those of zones that it spills to. The weights sum to 1;
    /// routes with weight 0 are left out.
    pub fn routes(&self, zone: &str) -> Vec<Route<'_>> {
        let weight = |server: &ServerShare| server.weight * self.zone_fraction(zone, &server.zone);
        let routes = self.shares.iter().map(|server| Route { server, weight: weight(server) });
        routes.filter(|route| route.weight > 0.0).collect()
    }

    /// Returns the fraction of the load of zone `from` that is sent to zone `to`.
    fn zone_fraction(&self, from: &str, to: &str) -> f64 {
        match self.zones.get(from) {
            None => self.capacity_fraction(to),
            Some(plan) if from == to => 1.0 - plan.spill,
            Some(plan) => plan.spill * plan.spill_targets.get(to).copied().unwrap_or(0.0),
        }
    }

    /// Returns a zone's fraction of the total capacity, by which the load of zones without servers is spread.
    fn capacity_fraction(&self, zone: &str) -> f64 {
        let total: f64 = self.zones.values().map(|plan| plan.capacity).sum();
        let fraction = |plan: &ZonePlan| if total > 0.0 { plan.capacity / total } else { 0.0 };
        self.zones.get(zone).map_or(0.0, fraction)
    }
}
