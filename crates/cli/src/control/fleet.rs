//! A fleet as a fluid, to see what a plan does for service: each quarter of a second what is asked for flows to the servers by
//! the shares that proxies hold, each server serves the dearer first as far as it can and declines the rest; what was
//! declined is lost, or tried once more at the same shares. Reading costs a tenth of serving, also of what is declined.
//!
//! Simulated, and cruder than the bench: no queues, no SLA times but that what is not served is lost.

use super::town::report;
use puffinladder_control::fleet::{FleetConfig, FleetView};
use puffinladder_control::plan::{Plan, Planner};
use puffinladder_control::report::{ClassLoad, LoadReport};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// s of a step; reports take one, plans another.
const STEP: f64 = 0.25;
/// Work of reading one txn over that of serving it.
const READING: f64 = 0.1;
/// Txns a second that a sound server can serve.
const CAN: f64 = 400.0;

/// What happens to a fleet.
#[derive(Clone, Copy)]
pub enum Day {
    /// A tenth of the servers runs at a quarter of their speed.
    SlowTenth,
    /// For twenty seconds three halves of what the fleet can serve.
    Flash,
}

/// Share of the value asked for that was served, from `from` s on.
pub fn play(servers: usize, day: Day, planned: bool, tries: usize) -> f64 {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let (mut views, mut planner) = (FleetView::new(FleetConfig::default()), Planner::default());
    let (mut plans, mut late): (VecDeque<Plan>, VecDeque<Vec<LoadReport>>) = Default::default();
    let mut held: Option<Plan> = None;
    let (mut asked_value, mut served_value) = (0.0, 0.0);
    let all = CAN * servers as f64;
    for step in 0..(60.0 / STEP) as u64 {
        let now = step as f64 * STEP;
        let trouble = now >= 10.0;
        let load = match day {
            Day::SlowTenth => 0.85 * all,
            Day::Flash if (10.0..30.0).contains(&now) => 1.5 * all,
            Day::Flash => 0.7 * all,
        };
        let speed = |at: usize| match day {
            Day::SlowTenth if trouble && at.is_multiple_of(10) => 0.25,
            _ => 1.0,
        };
        // Half of it is worth three times the other half.
        let asked = [load / 2.0, load / 2.0];
        let worth = [1.0, 3.0];
        let drop = |which: usize| {
            let name = ["cheap", "dear"][which];
            let drops = held.as_ref().map(|plan| plan.drops.as_slice()).unwrap_or_default();
            drops.iter().find(|d| d.product == name).map_or(0.0, |d| d.fraction)
        };
        let sent = [asked[0] * (1.0 - drop(0)), asked[1] * (1.0 - drop(1))];
        let even = 1.0 / servers as f64;
        let share = |at: usize| held.as_ref().map_or(even, |plan| plan.shares[at].weight);
        let mut can: Vec<f64> = (0..servers).map(|at| CAN * speed(at)).collect();
        let (mut seen, mut refused) = (vec![[0.0; 2]; servers], vec![[0.0; 2]; servers]);
        let mut flow = sent;
        for _ in 0..tries {
            let mut again = [0.0; 2];
            for at in 0..servers {
                let here = [flow[0] * share(at), flow[1] * share(at)];
                can[at] = (can[at] - READING * (here[0] + here[1])).max(0.0);
                for which in [1, 0] {
                    let served = here[which].min(can[at] / (1.0 - READING));
                    can[at] -= served * (1.0 - READING);
                    seen[at][which] += here[which];
                    refused[at][which] += here[which] - served;
                    again[which] += here[which] - served;
                    if trouble {
                        served_value += served * worth[which] * STEP;
                    }
                }
            }
            flow = again;
        }
        if trouble {
            asked_value += (asked[0] * worth[0] + asked[1] * worth[1]) * STEP;
        }
        let reports = (0..servers).map(|at| {
            let class = |which: usize| ClassLoad {
                product: ["cheap", "dear"][which].into(),
                customer: "k".into(),
                priority_weight: worth[which],
                offered: seen[at][which],
                rejected: refused[at][which],
            };
            let use_ = 1.0 - can[at] / (CAN * speed(at));
            LoadReport {
                sequence: step + 1,
                created_at: now,
                service_time: 0.01 / speed(at),
                pressure: ((use_ - 0.95) * 20.0).clamp(0.0, 1.0),
                classes: vec![class(0), class(1)],
                ..report(at, address)
            }
        });
        late.push_back(reports.collect());
        if late.len() > 1 {
            for report in late.pop_front().unwrap_or_default() {
                views.record(now, report);
            }
        }
        if planned {
            plans.extend(planner.plan(now, &views));
            if plans.len() > 1 {
                held = plans.pop_front();
            }
        }
    }
    served_value / asked_value
}

pub fn compare(servers: usize) {
    for (day, what) in [(Day::SlowTenth, "a slow tenth"), (Day::Flash, "a flash of load")] {
        for (tries, how) in [(1, "no second try"), (2, "a second try")] {
            let (without, with) = (play(servers, day, false, tries), play(servers, day, true, tries));
            println!(
                "{servers} servers, {what}, {how}: value served {without:.3} with equal shares, {with:.3} by the plan \
                 (simulated)"
            );
        }
    }
}

#[cfg(test)]
mod tests;
