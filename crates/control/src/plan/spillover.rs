//! How much of each zone's load goes to other zones: a zone near its capacity hands the rest to zones that have some left.

use super::ZonePlan;
use crate::smoothing::sample_weight;
use std::collections::{BTreeMap, HashMap};

/// Load over capacity from which a zone hands load to others.
pub(super) const SPILL_UTILIZATION: f64 = 0.9;
/// Load over capacity up to which a zone takes load from others.
const RECEIVE_UTILIZATION: f64 = 0.8;
/// Fraction of a zone's load that starts or stops going elsewhere in a second.
pub(super) const MAX_SPILL_STEP: f64 = 0.1;
/// Time constant of the load that a zone is taken to have, seconds: over a few reports.
const LOAD_TIME_CONSTANT: f64 = 2.0;
/// Most of a zone's load that is taken to have gone elsewhere when its own load is told from what its servers saw: with all of it
/// gone nothing would be left to tell it from.
const MAX_OBSERVED_SPILL: f64 = 0.99;

/// Moves spillover from one plan to the next.
#[derive(Debug, Default)]
pub(super) struct Spillover {
    /// Requests a second that start in each zone, whichever zone serves them, smoothed.
    source_loads: HashMap<String, f64>,
    /// The zones by the last plan.
    last_zones: BTreeMap<String, ZonePlan>,
}

impl Spillover {
    /// Decides where the load of each zone goes. In, `load` is what the zone's servers saw; out, what starts in the zone. While most
    /// servers are silent, load moves `gradually` even out of a zone that can carry nothing: the others could not take it at once.
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
                // What went to zones that are out of reach comes home in steps too.
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

    /// What starts in each zone: what its servers saw, less what came from elsewhere by the last plan, plus what went elsewhere.
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

    /// What a zone's spill moves from. What starts in a zone that the last plan did not know went to the others, unless its servers
    /// carry load already: it comes home in steps.
    fn previous_spill(&self, zone: &str, load: f64) -> f64 {
        let is_new_and_idle =
            !self.last_zones.is_empty() && !self.last_zones.contains_key(zone) && load <= 0.0;
        if is_new_and_idle {
            1.0
        } else {
            self.last_spill(zone)
        }
    }

    /// Where a zone's load went by the last plan, of the zones that are left.
    fn last_targets(&self, zone: &str, zones: &BTreeMap<String, ZonePlan>) -> BTreeMap<String, f64> {
        let Some(last) = self.last_zones.get(zone) else { return BTreeMap::new() };
        proportions(last.spill_targets.iter().filter(|(target, _)| zones.contains_key(*target)))
    }

    /// Load that came to a zone from others by the last plan.
    fn received_load(&self, zone: &str) -> f64 {
        let others = self.last_zones.iter().filter(|(other, _)| other.as_str() != zone);
        let received = others.map(|(other, plan)| {
            let source_load = self.source_loads.get(other).copied().unwrap_or(0.0);
            source_load * plan.spill * plan.spill_targets.get(zone).copied().unwrap_or(0.0)
        });
        received.sum()
    }

    /// Fraction of a zone's load that goes elsewhere: a bounded step from the last plan's.
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

/// Fraction of a zone's load that is to go elsewhere in the end.
fn target_spill(load: f64, capacity: f64, free_capacity: &FreeCapacity) -> f64 {
    if capacity <= 0.0 {
        1.0
    } else if load > 0.0 {
        (1.0 - SPILL_UTILIZATION * capacity / load).max(0.0) * free_capacity.accepted_fraction()
    } else {
        0.0
    }
}

/// Capacity that zones have left for others.
struct FreeCapacity {
    /// Requests a second by zone.
    by_zone: BTreeMap<String, f64>,
    /// Requests a second that all zones together want to hand over.
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

    /// How much of what all want to hand over the others have room for.
    fn accepted_fraction(&self) -> f64 {
        let free: f64 = self.by_zone.values().sum();
        if self.excess > 0.0 {
            (free / self.excess).min(1.0)
        } else {
            1.0
        }
    }

    /// Where a zone's spilled load goes: to others by their room. Where nobody has room, the others that can carry anything share
    /// what a zone without capacity must hand over.
    fn targets(&self, name: &str, zones: &BTreeMap<String, ZonePlan>) -> BTreeMap<String, f64> {
        let targets = proportions(self.by_zone.iter().filter(|(other, _)| *other != name));
        if !targets.is_empty() || zones[name].capacity > 0.0 {
            return targets;
        }
        let others = zones.iter().filter(|(other, _)| *other != name);
        proportions(others.map(|(other, zone)| (other, &zone.capacity)))
    }
}

/// Each positive part of a whole, as a fraction of it.
fn proportions<'a>(parts: impl Iterator<Item = (&'a String, &'a f64)> + Clone) -> BTreeMap<String, f64> {
    let whole: f64 = parts.clone().map(|(_, part)| part).sum();
    let positive = parts.filter(|(_, part)| **part > 0.0 && whole > 0.0);
    positive.map(|(name, part)| (name.clone(), part / whole)).collect()
}
