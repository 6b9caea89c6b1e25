//! Computes plans from the fleet's view.

use super::capacity::{total_capacity, Candidate, CapacityEstimator};
use super::rebalance::Rebalancer;
use super::spillover::Spillover;
use super::{Plan, ServerShare, ZonePlan};
use crate::fleet::{FleetView, ServerView};
use crate::shedding::LoadShedder;
use crate::smoothing::median;
use std::collections::{BTreeMap, HashSet};

/// Retry budget: retries in flight over requests in flight, low enough to prevent retry storms.
const RETRY_BUDGET: f64 = 0.1;
/// Upper bound in seconds of the time between plans, which bounds the steps after a pause.
const MAX_ELAPSED: f64 = 5.0;

/// Computes plans and keeps the state that carries over to the next plan.
#[derive(Debug, Default)]
pub struct Planner {
    capacities: CapacityEstimator,
    rebalancer: Rebalancer,
    spillover: Spillover,
    shedder: LoadShedder,
    /// When the last plan was computed.
    last_plan_at: Option<f64>,
}

impl Planner {
    /// Computes a plan. Returns none if no server can receive load: the last plan then expires by its age bound.
    pub fn plan(&mut self, now: f64, fleet: &FleetView) -> Option<Plan> {
        let views = fleet.servers(now);
        let elapsed = self.last_plan_at.map(|last| (now - last).clamp(0.0, MAX_ELAPSED));
        let candidates = self.capacities.candidates(&views, elapsed);
        if !candidates.iter().any(|server| !server.is_excluded() && server.effective_capacity > 0.0) {
            return None;
        }
        let (shares, mut zones) = self.shares_by_zone(now, elapsed, &candidates);
        let elapsed = elapsed.unwrap_or(0.0);
        let gradually = views.iter().any(|view| view.withdrawn_gradually);
        self.spillover.update(elapsed, gradually, &mut zones);
        self.retain_servers(&shares);
        let panic = fleet.in_panic(now);
        let drops = if panic { self.shedder.rules() } else { self.shedder.update(elapsed, &views) };
        self.last_plan_at = Some(now);
        Some(Plan {
            decided_at: now,
            panic,
            shares,
            zones,
            drops,
            retry_after: median_retry_after(&views),
            retry_budget: RETRY_BUDGET,
        })
    }

    fn shares_by_zone(
        &mut self,
        now: f64,
        elapsed: Option<f64>,
        candidates: &[Candidate],
    ) -> (Vec<ServerShare>, BTreeMap<String, ZonePlan>) {
        let mut by_zone: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
        for candidate in candidates {
            by_zone.entry(&candidate.view.report.zone).or_default().push(candidate);
        }
        let mut shares = Vec::with_capacity(candidates.len());
        let mut zones = BTreeMap::new();
        for (zone, servers) in &by_zone {
            self.rebalancer.rebalance(now, elapsed, servers, &mut shares);
            let (capacity, load) = (total_capacity(servers), observed_load(servers));
            zones.insert((*zone).to_owned(), ZonePlan { capacity, load, ..ZonePlan::default() });
        }
        shares.sort_by(|a, b| a.instance.cmp(&b.instance));
        (shares, zones)
    }

    fn retain_servers(&mut self, shares: &[ServerShare]) {
        let known: HashSet<&str> = shares.iter().map(|share| share.instance.as_str()).collect();
        self.rebalancer.retain(&known);
        self.capacities.retain(&known);
    }
}

/// Returns the load that arrived at the servers, requests per second.
fn observed_load(servers: &[&Candidate]) -> f64 {
    let offered = |server: &&Candidate| {
        let classes = &server.view.report.classes;
        classes.iter().map(|class| class.offered).sum::<f64>()
    };
    // Other servers receive the load of a silent server: its last reported load is weighted by the confidence in it.
    servers.iter().map(|server| offered(server) * server.view.confidence).sum()
}

fn median_retry_after(views: &[ServerView]) -> f64 {
    let trusted = views.iter().filter(|view| view.confidence > 0.0);
    median(trusted.map(|view| view.report.retry_after).collect())
}
