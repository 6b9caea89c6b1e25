//! What proxies drop before it reaches a server: load shedding at the fleet's edge, led by what servers reject themselves.
//!
//! Each product of each customer has a fraction that proxies drop. It follows the fraction that servers still reject: a few in a
//! hundred are to go on being rejected there, so that the servers, not this service, say when the overload is over. A class of
//! higher priority weight is never dropped more than one of lower.

use crate::fleet::ServerView;
use crate::smoothing::sample_weight;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Fraction of what arrives that servers are left to reject: enough to be seen in a report of a few dozen requests.
const TARGET_REJECTED: f64 = 0.05;
/// Fraction of the surplus by which a drop rises in a second: with a second's delay a loop of this gain does not swing.
const RISE_GAIN: f64 = 0.5;
/// By how much a drop falls in a second while servers reject less than the target: of the same slope around it.
const FALL_RATE: f64 = RISE_GAIN * TARGET_REJECTED;
/// The same while servers reject nothing and have cores to spare: the cause is over.
const RECOVERY_RATE: f64 = 0.15;
/// Rejected fraction below which servers count as rejecting nothing: well under the target, and above a smoothed zero.
const MIN_REJECTED_FRACTION: f64 = TARGET_REJECTED / 10.0;
/// Pressure of the fleet under which it has cores to spare.
const LOW_PRESSURE: f64 = 0.1;
/// Largest fraction that is dropped: something must arrive to show that it could be served again.
const MAX_DROP: f64 = 0.95;
/// Time constant of the rejected fraction, seconds: a report holds few requests.
const REJECTED_TIME_CONSTANT: f64 = 0.5;
/// Drops under this fraction are not worth a rule.
const MIN_DROP: f64 = 0.01;

/// A fraction of one product of one customer that proxies drop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DropRule {
    /// Name of the product.
    pub product: String,
    /// Name of the customer.
    pub customer: String,
    /// Fraction of its requests, from 0 to 1.
    #[serde(rename = "share")]
    pub fraction: f64,
}

/// A product of a customer, ordered by product first.
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

/// One class over all servers, by the latest reports.
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

/// One class from one plan to the next.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Fraction of what arrives that servers reject, smoothed.
    rejected_fraction: f64,
    drop_fraction: f64,
    priority_weight: f64,
    /// Requests a second.
    offered: f64,
}

impl ClassState {
    /// Change of the dropped fraction in a second.
    fn drop_rate(&self, has_spare_cores: bool) -> f64 {
        let surplus = self.rejected_fraction - TARGET_REJECTED;
        if surplus > 0.0 {
            // What is left after the drop shrinks as the drop grows, and so does each step.
            RISE_GAIN * surplus * (1.0 - self.drop_fraction)
        } else if has_spare_cores && self.rejected_fraction < MIN_REJECTED_FRACTION {
            -RECOVERY_RATE
        } else {
            FALL_RATE * surplus / TARGET_REJECTED
        }
    }
}

/// What the fleet reported since the last plan.
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

/// Moves the dropped fractions from one plan to the next.
#[derive(Debug, Default)]
pub struct LoadShedder {
    classes: BTreeMap<ClassKey<String>, ClassState>,
}

impl LoadShedder {
    /// The rules as last decided, ordered by product and customer.
    pub fn rules(&self) -> Vec<DropRule> {
        // From the lowest priority weight up: a class is not dropped more than any below it.
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
                // All classes of the last weight or a lower one bound what follows.
                max_fraction = max_fraction.min(min_fraction_of_weight);
                weight = state.priority_weight;
                min_fraction_of_weight = MAX_DROP;
            }
            let fraction = state.drop_fraction.min(max_fraction);
            // A class without requests bounds nothing.
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

    /// Moves the fractions by what servers report, `elapsed` seconds after the last time, and gives the rules.
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
