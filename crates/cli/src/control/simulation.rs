//! A fluid model of a fleet, to compare a plan with equal shares: in each step the demand is split over the servers by their
//! shares, each server serves the class of higher value first up to its capacity and rejects the rest; rejected demand is lost,
//! or retried once at the same shares. Rejecting a request costs the server a tenth of serving it.
//!
//! The model has no queues and no deadlines.

use super::demo::sample_report;
use puffinladder_control::fleet::{FleetConfig, FleetView};
use puffinladder_control::plan::{Plan, Planner};
use puffinladder_control::report::{ClassLoad, LoadReport};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Length of a step, s; reports and plans each take effect one step late.
const STEP_SECONDS: f64 = 0.25;
/// Cost of reading a request, as a share of serving it.
const READ_COST: f64 = 0.1;
/// Requests a second that a healthy server can serve.
const SERVER_CAPACITY: f64 = 400.0;

/// Disturbance of the simulated fleet.
#[derive(Clone, Copy)]
pub enum Scenario {
    /// A tenth of the servers runs at a quarter of its speed.
    SlowTenth,
    /// The demand is 1.5 times the fleet's capacity for 20 s.
    LoadSpike,
}

/// Simulates 60 s and returns the share of the demanded value that was served from 10 s on, when the disturbance begins.
pub fn simulate(servers: usize, scenario: Scenario, planned: bool, attempts: usize) -> f64 {
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let (mut view, mut planner) = (FleetView::new(FleetConfig::default()), Planner::default());
    let (mut delayed_plans, mut delayed_reports): (VecDeque<Plan>, VecDeque<Vec<LoadReport>>) =
        Default::default();
    let mut active_plan: Option<Plan> = None;
    let (mut demanded_value, mut served_value) = (0.0, 0.0);
    let fleet_capacity = SERVER_CAPACITY * servers as f64;
    for step in 0..(60.0 / STEP_SECONDS) as u64 {
        let now = step as f64 * STEP_SECONDS;
        let disturbed = now >= 10.0;
        let load = match scenario {
            Scenario::SlowTenth => 0.85 * fleet_capacity,
            Scenario::LoadSpike if (10.0..30.0).contains(&now) => 1.5 * fleet_capacity,
            Scenario::LoadSpike => 0.7 * fleet_capacity,
        };
        let speed = |at: usize| match scenario {
            Scenario::SlowTenth if disturbed && at.is_multiple_of(10) => 0.25,
            _ => 1.0,
        };
        // The second class has three times the value of the first.
        let demand = [load / 2.0, load / 2.0];
        let value = [1.0, 3.0];
        let drop = |class_index: usize| {
            let name = ["cheap", "dear"][class_index];
            let drops = active_plan.as_ref().map(|plan| plan.drops.as_slice()).unwrap_or_default();
            drops.iter().find(|d| d.product == name).map_or(0.0, |d| d.fraction)
        };
        let sent = [demand[0] * (1.0 - drop(0)), demand[1] * (1.0 - drop(1))];
        let equal_share = 1.0 / servers as f64;
        let share = |at: usize| active_plan.as_ref().map_or(equal_share, |plan| plan.shares[at].weight);
        let mut capacity: Vec<f64> = (0..servers).map(|at| SERVER_CAPACITY * speed(at)).collect();
        let (mut offered, mut rejected) = (vec![[0.0; 2]; servers], vec![[0.0; 2]; servers]);
        let mut flow = sent;
        for _ in 0..attempts {
            let mut retried = [0.0; 2];
            for at in 0..servers {
                let arriving = [flow[0] * share(at), flow[1] * share(at)];
                capacity[at] = (capacity[at] - READ_COST * (arriving[0] + arriving[1])).max(0.0);
                for class_index in [1, 0] {
                    let served = arriving[class_index].min(capacity[at] / (1.0 - READ_COST));
                    capacity[at] -= served * (1.0 - READ_COST);
                    offered[at][class_index] += arriving[class_index];
                    rejected[at][class_index] += arriving[class_index] - served;
                    retried[class_index] += arriving[class_index] - served;
                    if disturbed {
                        served_value += served * value[class_index] * STEP_SECONDS;
                    }
                }
            }
            flow = retried;
        }
        if disturbed {
            demanded_value += (demand[0] * value[0] + demand[1] * value[1]) * STEP_SECONDS;
        }
        let reports = (0..servers).map(|at| {
            let class = |class_index: usize| ClassLoad {
                product: ["cheap", "dear"][class_index].into(),
                customer: "k".into(),
                priority_weight: value[class_index],
                offered: offered[at][class_index],
                rejected: rejected[at][class_index],
            };
            let utilization = 1.0 - capacity[at] / (SERVER_CAPACITY * speed(at));
            LoadReport {
                sequence: step + 1,
                created_at: now,
                service_time: 0.01 / speed(at),
                pressure: ((utilization - 0.95) * 20.0).clamp(0.0, 1.0),
                classes: vec![class(0), class(1)],
                ..sample_report(at, address)
            }
        });
        delayed_reports.push_back(reports.collect());
        if delayed_reports.len() > 1 {
            for report in delayed_reports.pop_front().unwrap_or_default() {
                view.record(now, report);
            }
        }
        if planned {
            delayed_plans.extend(planner.plan(now, &view));
            if delayed_plans.len() > 1 {
                active_plan = delayed_plans.pop_front();
            }
        }
    }
    served_value / demanded_value
}

/// Prints the served value with equal shares and with the plan for each scenario.
pub fn compare_plans(servers: usize) {
    for (scenario, name) in [(Scenario::SlowTenth, "a slow tenth"), (Scenario::LoadSpike, "a load spike")] {
        for (attempts, retries) in [(1, "no retry"), (2, "one retry")] {
            let (without, with) =
                (simulate(servers, scenario, false, attempts), simulate(servers, scenario, true, attempts));
            println!(
                "{servers} servers, {name}, {retries}: value served {without:.3} with equal shares, {with:.3} by the plan \
                 (simulated)"
            );
        }
    }
}

#[cfg(test)]
mod tests;
