//! From the fleet's view to a routing plan: which server of which zone gets what share, how much of a zone's load goes elsewhere,
//! and what proxies drop before it reaches a server. No I/O, no clock.

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

/// What keeps a server's share from its target. The texts stand in the stored snapshot and on the `/plan` page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareLimit {
    /// Nothing.
    #[default]
    #[serde(rename = "")]
    None,
    /// It is as near its target as reports are exact.
    #[serde(rename = "near its target")]
    NearTarget,
    /// It moved the other way a moment ago, and the effect has yet to show.
    #[serde(rename = "moved the other way just now")]
    ReversedRecently,
    /// A share moves by a bounded step.
    #[serde(rename = "moves step by step")]
    StepSize,
    /// The shares of a zone move by a bounded step in all.
    #[serde(rename = "much moves at once")]
    ZoneStepSize,
    /// It takes up what other servers' shares give up, or the other way round.
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
    /// The text for operators; empty for [`ShareLimit::None`].
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

/// Why a server has the share it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareExplanation {
    /// Requests a second that it can carry by its own report.
    #[serde(rename = "says")]
    pub reported_capacity: f64,
    /// Requests a second that it is planned to carry: less pressure, smoothed, bounded by its peers, warm-up and confidence.
    #[serde(rename = "carries")]
    pub effective_capacity: f64,
    /// Trust in its last report, from 0 to 1.
    #[serde(rename = "belief")]
    pub confidence: f64,
    /// The share that it moves toward.
    #[serde(rename = "target")]
    pub target_weight: f64,
    /// What kept it from its target.
    #[serde(rename = "held")]
    pub limited_by: ShareLimit,
}

/// One server's part of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerShare {
    /// Name of the server.
    pub instance: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Fraction of what the zone's own servers get; they sum to 1, or all are 0.
    pub weight: f64,
    /// Requests that one proxy may have in flight there.
    #[serde(rename = "open")]
    pub max_requests: u32,
    /// Why it has this share.
    #[serde(rename = "why")]
    pub explanation: ShareExplanation,
}

/// Where a zone's load goes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Requests a second that its servers can carry.
    pub capacity: f64,
    /// Requests a second that start in it.
    pub load: f64,
    /// Fraction of its load that goes to other zones.
    pub spill: f64,
    /// Of what goes to other zones, each one's fraction.
    #[serde(rename = "to")]
    pub spill_targets: BTreeMap<String, f64>,
}

/// A decision on the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When it was decided, seconds by the service's clock.
    #[serde(rename = "made")]
    pub decided_at: f64,
    /// Most reports are missing: the shares are as they last were.
    pub panic: bool,
    /// All servers, ordered by name.
    pub shares: Vec<ServerShare>,
    /// All zones that have servers.
    pub zones: BTreeMap<String, ZonePlan>,
    /// What proxies drop, ordered by product and customer.
    pub drops: Vec<DropRule>,
    /// Retry-After that proxies give their callers when they drop, seconds.
    pub retry_after: f64,
    /// Retries that a proxy may have in flight, as a fraction of its requests in flight.
    #[serde(rename = "retries")]
    pub retry_budget: f64,
}

/// A server that a zone's load is routed to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route<'a> {
    /// The server's share of its own zone.
    pub server: &'a ServerShare,
    /// Fraction of the load of the zone asked about.
    pub weight: f64,
}

impl Plan {
    /// Where a zone's load is routed: to its own servers and to those of zones that it spills to. The weights sum to 1, and those
    /// of 0 are left out.
    pub fn routes(&self, zone: &str) -> Vec<Route<'_>> {
        let weight = |server: &ServerShare| server.weight * self.zone_fraction(zone, &server.zone);
        let routes = self.shares.iter().map(|server| Route { server, weight: weight(server) });
        routes.filter(|route| route.weight > 0.0).collect()
    }

    /// Fraction of the load of zone `from` that goes to zone `to`.
    fn zone_fraction(&self, from: &str, to: &str) -> f64 {
        match self.zones.get(from) {
            None => self.capacity_fraction(to),
            Some(plan) if from == to => 1.0 - plan.spill,
            Some(plan) => plan.spill * plan.spill_targets.get(to).copied().unwrap_or(0.0),
        }
    }

    /// A zone's part of all capacity: the load of a zone without servers is spread by it.
    fn capacity_fraction(&self, zone: &str) -> f64 {
        let total: f64 = self.zones.values().map(|plan| plan.capacity).sum();
        let fraction = |plan: &ZonePlan| if total > 0.0 { plan.capacity / total } else { 0.0 };
        self.zones.get(zone).map_or(0.0, fraction)
    }
}
