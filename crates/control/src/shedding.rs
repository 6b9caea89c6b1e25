//! Load shedding at the proxies, controlled by the fraction of requests that servers reject.
//!
//! Proxies drop a fraction of the requests of each class (a product of a customer). The controller raises it until
//! servers reject only a few percent of the remaining requests. This residue shows when the overload ends. A class of
//! higher priority weight is never dropped more than one of lower weight.

use crate::fleet::ServerView;
use crate::smoothing::sample_weight;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Target of the rejected fraction at servers: visible in a report of a few dozen requests.
const TARGET_REJECTED: f64 = 0.05;
/// Rise of the dropped fraction per second, as a fraction of the surplus: stable with a feedback delay of one second.
const RISE_GAIN: f64 = 0.5;
/// Maximum fall of the dropped fraction per second below the target; the slope at the target equals that of the rise.
const FALL_RATE: f64 = RISE_GAIN * TARGET_REJECTED;
/// Fall of the dropped fraction per second once servers reject nothing and have spare cores.
const RECOVERY_RATE: f64 = 0.15;
/// Smoothed rejected fraction below which servers count as rejecting nothing: well below the target, above a smoothed zero.
const MIN_REJECTED_FRACTION: f64 = TARGET_REJECTED / 10.0;
/// Mean pressure below which the fleet has spare cores.
const LOW_PRESSURE: f64 = 0.1;
/// Maximum dropped fraction: the remaining requests show when the class can be served again.
const MAX_DROP: f64 = 0.95;
/// Time constant of the smoothed rejected fraction, seconds: one report holds few requests.
const REJECTED_TIME_CONSTANT: f64 = 0.5;
/// Smallest dropped fraction for which a rule is emitted.
const MIN_DROP: f64 = 0.01;

/// Fraction of the requests of a class that proxies drop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DropRule {
    /// Name of the product.
    pub product: String,
    /// Name of the customer.
    pub customer: String,
    /// Fraction of the class's requests, from 0 to 1.
    #[serde(rename = "share")]
    pub fraction: f64,
}

/// Key of a class, ordered by product first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey<S> {
    product: S,
    customer: S,
}

impl ClassKey<String> {
    fn as_str(&self) -> ClassKey<&str> {
        ClassKey { product: &self.product, customer: &self.customer }
    }
}

impl ClassKey<&str> {
    fn into_owned(self) -> ClassKey<String> {
        ClassKey { product: self.product.to_owned(), customer: self.customer.to_owned() }
    }
}

/// Load of a class summed over all servers.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTotals {
    /// Requests a second.
    offered: f64,
    rejected: f64,
    priority_weight: f64,
}

impl ClassTotals {
    fn rejected_fraction(&self) -> f64 {
        if self.offered > 0.0 {
            (self.rejected / self.offered).min(1.0)
        } else {
            0.0
        }
    }
}

/// Controller state of a class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Smoothed fraction of arriving requests that servers reject.
    rejected_fraction: f64,
    drop_fraction: f64,
    priority_weight: f64,
    /// Requests a second.
    offered: f64,
}

impl ClassState {
    /// Returns the change of the dropped fraction per second.
    fn drop_rate(&self, has_spare_cores: bool) -> f64 {
        let surplus = self.rejected_fraction - TARGET_REJECTED;
        if surplus > 0.0 {
            // Proportional to the remaining requests, so that steps shrink as the drop grows.
            RISE_GAIN * surplus * (1.0 - self.drop_fraction)
        } else if has_spare_cores && self.rejected_fraction < MIN_REJECTED_FRACTION {
            -RECOVERY_RATE
        } else {
            FALL_RATE * surplus / TARGET_REJECTED
        }
    }
}

/// Load of all classes by the latest reports.
struct FleetTotals<'a> {
    classes: BTreeMap<ClassKey<&'a str>, ClassTotals>,
    has_spare_cores: bool,
}

impl<'a> FleetTotals<'a> {
    fn from_views(views: &[ServerView<'a>]) -> FleetTotals<'a> {
        let mut classes: BTreeMap<ClassKey<&str>, ClassTotals> = BTreeMap::new();
        let (mut pressure, mut cores) = (0.0, 0.0);
        for view in views.iter().filter(|view| view.confidence > 0.0) {
            pressure += view.report.pressure * view.report.cores;
            cores += view.report.cores;
            for class in view.report.classes.iter().filter(|class| !class.is_unnamed()) {
                let key = ClassKey { product: class.product.as_str(), customer: class.customer.as_str() };
                let totals = classes.entry(key).or_default();
                totals.offered += class.offered;
                totals.rejected += class.rejected;
                totals.priority_weight = totals.priority_weight.max(class.priority_weight);
            }
        }
        FleetTotals { classes, has_spare_cores: cores > 0.0 && pressure / cores < LOW_PRESSURE }
    }
}

/// Controller of the dropped fractions.
#[derive(Debug, Default)]
pub struct LoadShedder {
    classes: BTreeMap<ClassKey<String>, ClassState>,
}

impl LoadShedder {
    /// Returns the current rules, ordered by product and customer.
    pub fn rules(&self) -> Vec<DropRule> {
        // In ascending priority weight: a class is not dropped more than any class of lower weight.
        let mut ordered: Vec<_> = self.classes.iter().collect();
        ordered.sort_by(|(key_a, a), (key_b, b)| {
            a.priority_weight.total_cmp(&b.priority_weight).then(key_a.cmp(key_b))
        });
        let mut max_fraction = MAX_DROP;
        let mut weight = f64::NEG_INFINITY;
        let mut min_fraction_of_weight = MAX_DROP;
        let mut rules = Vec::new();
        for (key, state) in ordered {
            if state.priority_weight > weight {
                // Classes of lower weight limit the fractions of the following ones.
                max_fraction = max_fraction.min(min_fraction_of_weight);
                weight = state.priority_weight;
                min_fraction_of_weight = MAX_DROP;
            }
            let fraction = state.drop_fraction.min(max_fraction);
            // A class without requests limits no other.
            if state.offered > 0.0 {
                min_fraction_of_weight = min_fraction_of_weight.min(fraction);
            }
            if fraction >= MIN_DROP {
                let ClassKey { product, customer } = key.clone();
                rules.push(DropRule { product, customer, fraction });
            }
        }
        rules.sort_by(|a, b| (&a.product, &a.customer).cmp(&(&b.product, &b.customer)));
        rules
    }

    /// Updates the fractions from the latest reports, `elapsed` seconds after the last update, and returns the rules.
    pub fn update(&mut self, elapsed: f64, views: &[ServerView]) -> Vec<DropRule> {
        let totals = FleetTotals::from_views(views);
        let sample_weight = sample_weight(elapsed, REJECTED_TIME_CONSTANT);
        self.observe(&totals, sample_weight);
        for (key, state) in &mut self.classes {
            if !totals.classes.contains_key(&key.as_str()) {
                state.rejected_fraction -= sample_weight * state.rejected_fraction;
                state.offered = 0.0;
            }
            let change = state.drop_rate(totals.has_spare_cores) * elapsed;
            state.drop_fraction = (state.drop_fraction + change).clamp(0.0, MAX_DROP);
        }
        self.classes
            .retain(|key, state| state.drop_fraction > 0.0 || totals.classes.contains_key(&key.as_str()));
        self.rules()
    }

    fn observe(&mut self, totals: &FleetTotals, sample_weight: f64) {
        for (key, class) in &totals.classes {
            let key = key.into_owned();
            let has_load = class.rejected > 0.0 || class.offered > 0.0;
            if !has_load && !self.classes.contains_key(&key) {
                continue;
            }
            let state = self.classes.entry(key).or_default();
            state.priority_weight = class.priority_weight;
            state.offered = class.offered;
            state.rejected_fraction += sample_weight * (class.rejected_fraction() - state.rejected_fraction);
        }
    }
}
