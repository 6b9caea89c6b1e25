//! Spillover between zones: a zone near its capacity sends the excess load to zones with free capacity.

use super::ZonePlan;
use crate::smoothing::sample_weight;
use std::collections::{BTreeMap, HashMap};

/// Utilization above which a zone spills load.
pub(super) const SPILL_UTILIZATION: f64 = 0.9;
/// Utilization up to which a zone receives load from others.
const RECEIVE_UTILIZATION: f64 = 0.8;
/// Maximum change of a zone's spill fraction per second.
pub(super) const MAX_SPILL_STEP: f64 = 0.1;
/// Time constant of a zone's smoothed source load, seconds: a few reports.
const LOAD_TIME_CONSTANT: f64 = 2.0;
/// Upper bound of the spill fraction when the source load is derived from the load of the zone's servers: avoids
/// division by zero.
const MAX_OBSERVED_SPILL: f64 = 0.99;

/// Computes the spillover of each plan from that of the last one.
#[derive(Debug, Default)]
pub(super) struct Spillover {
    /// Smoothed load that originates in each zone, whichever zone serves it, requests per second.
    source_loads: HashMap<String, f64>,
    /// Zones of the last plan.
    last_zones: BTreeMap<String, ZonePlan>,
}

impl Spillover {
    /// Sets the spillover of each zone. On input, `load` is the load received by the zone's servers; on output, the load that
    /// originates in the zone. With `gradually` (a mass outage), load leaves even a zone without capacity in bounded steps.
    pub(super) fn update(&mut self, elapsed: f64, gradually: bool, zones: &mut BTreeMap<String, ZonePlan>) {
        let source_loads = self.estimate_source_loads(elapsed, zones);
        let free_capacity = FreeCapacity::new(zones, &source_loads);
        let names: Vec<String> = zones.keys().cloned().collect();
        for name in &names {
            let mut spill = self.spill_fraction(elapsed, name, zones, &source_loads, &free_capacity);
            if !gradually && zones[name].capacity <= 0.0 {
                spill = 1.0;
            }
            let mut targets = free_capacity.targets(name, zones);
            if gradually && targets.is_empty() {
                // Load spilled to unreachable zones also returns in bounded steps.
                targets = self.last_targets(name, zones);
            }
            let Some(zone) = zones.get_mut(name) else { continue };
            zone.spill = if targets.is_empty() { 0.0 } else { spill };
            zone.spill_targets = targets;
            zone.load = source_loads[name];
        }
        self.source_loads = source_loads;
        self.last_zones = zones.clone();
    }

    /// Estimates the load that originates in each zone: the load of its servers, without load received and with load spilled.
    fn estimate_source_loads(
        &self,
        elapsed: f64,
        zones: &BTreeMap<String, ZonePlan>,
    ) -> HashMap<String, f64> {
        let sample_weight = sample_weight(elapsed, LOAD_TIME_CONSTANT);
        let estimate = |(name, zone): (&String, &ZonePlan)| {
            let spilled = self.last_spill(name).min(MAX_OBSERVED_SPILL);
            let current = ((zone.load - self.received_load(name)) / (1.0 - spilled)).max(0.0);
            let smoothed = match self.source_loads.get(name) {
                Some(last) => last + sample_weight * (current - last),
                None => current,
            };
            (name.clone(), smoothed)
        };
        zones.iter().map(estimate).collect()
    }

    fn last_spill(&self, zone: &str) -> f64 {
        self.last_zones.get(zone).map_or(0.0, |last| last.spill)
    }

    /// Returns the spill fraction from which a zone moves. The load of a zone missing from the last plan was served by
    /// other zones unless its servers already report load, so it returns in bounded steps.
    fn previous_spill(&self, zone: &str, load: f64) -> f64 {
        let is_new_and_idle =
            !self.last_zones.is_empty() && !self.last_zones.contains_key(zone) && load <= 0.0;
        if is_new_and_idle {
            1.0
        } else {
            self.last_spill(zone)
        }
    }

    /// Returns the zone's spill targets of the last plan, limited to zones that still exist.
    fn last_targets(&self, zone: &str, zones: &BTreeMap<String, ZonePlan>) -> BTreeMap<String, f64> {
        let Some(last) = self.last_zones.get(zone) else { return BTreeMap::new() };
        proportions(last.spill_targets.iter().filter(|(target, _)| zones.contains_key(*target)))
    }

    /// Returns the load that a zone received from others by the last plan, requests per second.
    fn received_load(&self, zone: &str) -> f64 {
        let others = self.last_zones.iter().filter(|(other, _)| other.as_str() != zone);
        let received = others.map(|(other, plan)| {
            let source_load = self.source_loads.get(other).copied().unwrap_or(0.0);
            source_load * plan.spill * plan.spill_targets.get(zone).copied().unwrap_or(0.0)
        });
        received.sum()
    }

    /// Returns the zone's spill fraction, at most a bounded step from that of the last plan.
    fn spill_fraction(
        &self,
        elapsed: f64,
        name: &str,
        zones: &BTreeMap<String, ZonePlan>,
        source_loads: &HashMap<String, f64>,
        free_capacity: &FreeCapacity,
    ) -> f64 {
        let last = self.previous_spill(name, zones[name].load);
        let max_step = MAX_SPILL_STEP * elapsed;
        let target = target_spill(source_loads[name], zones[name].capacity, free_capacity);
        target.clamp(last - max_step, last + max_step).clamp(0.0, 1.0)
    }
}

/// Returns the spill fraction that a zone moves toward.
fn target_spill(load: f64, capacity: f64, free_capacity: &FreeCapacity) -> f64 {
    if capacity <= 0.0 {
        1.0
    } else if load > 0.0 {
        (1.0 - SPILL_UTILIZATION * capacity / load).max(0.0) * free_capacity.accepted_fraction()
    } else {
        0.0
    }
}

/// Capacity that zones can offer to others.
struct FreeCapacity {
    /// Free capacity by zone, requests per second.
    by_zone: BTreeMap<String, f64>,
    /// Load above the spill threshold, summed over all zones, requests per second.
    excess: f64,
}

impl FreeCapacity {
    fn new(zones: &BTreeMap<String, ZonePlan>, source_loads: &HashMap<String, f64>) -> FreeCapacity {
        let free = |(name, zone): (&String, &ZonePlan)| {
            (name.clone(), (RECEIVE_UTILIZATION * zone.capacity - source_loads[name]).max(0.0))
        };
        let excess = |(name, zone): (&String, &ZonePlan)| {
            (source_loads[name] - SPILL_UTILIZATION * zone.capacity).max(0.0)
        };
        FreeCapacity { by_zone: zones.iter().map(free).collect(), excess: zones.iter().map(excess).sum() }
    }

    /// Returns the fraction of the excess load that fits into the free capacity.
    fn accepted_fraction(&self) -> f64 {
        let free: f64 = self.by_zone.values().sum();
        if self.excess > 0.0 {
            (free / self.excess).min(1.0)
        } else {
            1.0
        }
    }

    /// Returns the fractions of a zone's spilled load by target zone, proportional to free capacity. If no zone has
    /// any, the load of a zone without capacity is spread by total capacity.
    fn targets(&self, name: &str, zones: &BTreeMap<String, ZonePlan>) -> BTreeMap<String, f64> {
        let targets = proportions(self.by_zone.iter().filter(|(other, _)| *other != name));
        if !targets.is_empty() || zones[name].capacity > 0.0 {
            return targets;
        }
        let others = zones.iter().filter(|(other, _)| *other != name);
        proportions(others.map(|(other, zone)| (other, &zone.capacity)))
    }
}

/// Returns each positive part as a fraction of the sum.
fn proportions<'a>(parts: impl Iterator<Item = (&'a String, &'a f64)> + Clone) -> BTreeMap<String, f64> {
    let whole: f64 = parts.clone().map(|(_, part)| part).sum();
    let positive = parts.filter(|(_, part)| **part > 0.0 && whole > 0.0);
    positive.map(|(name, part)| (name.clone(), part / whole)).collect()
}
