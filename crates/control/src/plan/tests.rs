use super::capacity::MAX_OVER_MEDIAN;
use super::rebalance::{MAX_SHARE_STEP, MAX_ZONE_STEP};
use super::spillover::{MAX_SPILL_STEP, SPILL_UTILIZATION};
use super::*;
use crate::fleet::{FleetConfig, FleetView, ReportOutcome};
use crate::report::{ClassLoad, LoadReport};
use crate::test_support::report;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A fleet in which every server reports four times a second.
struct Fleet {
    fleet_view: FleetView,
    planner: Planner,
    now: f64,
    sequence: u64,
    servers: Vec<LoadReport>,
}

impl Fleet {
    fn new(servers: Vec<LoadReport>) -> Fleet {
        let fleet_view = FleetView::new(FleetConfig::default());
        Fleet { fleet_view, planner: Planner::default(), now: 0.0, sequence: 0, servers }
    }
    fn of(count: usize) -> Fleet {
        Fleet::new((0..count).map(|index| report(&format!("n{index:03}"), 0, 0.0)).collect())
    }
    /// Records a report of each server, then computes a plan.
    fn step(&mut self) -> Plan {
        self.now += 0.25;
        self.sequence += 1;
        for server in &self.servers {
            let report = LoadReport { sequence: self.sequence, created_at: self.now, ..server.clone() };
            assert_eq!(self.fleet_view.record(self.now, report), ReportOutcome::Accepted);
        }
        let plan = self.planner.plan(self.now, &self.fleet_view).unwrap();
        assert_valid(&plan);
        plan
    }
    fn steps(&mut self, count: usize) -> Plan {
        (1..count).for_each(|_| drop(self.step()));
        self.step()
    }
}

/// Checks the invariants of every plan.
fn assert_valid(plan: &Plan) {
    for zone in plan.zones.keys() {
        let sum: f64 = plan.shares.iter().filter(|s| &s.zone == zone).map(|s| s.weight).sum();
        assert!((sum - 1.0).abs() < 1e-6 || sum == 0.0, "{zone}: shares sum to {sum}");
        let routed: f64 = plan.routes(zone).iter().map(|route| route.weight).sum();
        assert!((routed - 1.0).abs() < 1e-6, "{zone}: routes sum to {routed}");
    }
    assert!(plan.shares.iter().all(|s| s.weight >= 0.0 && s.weight.is_finite()));
}

fn weight(plan: &Plan, name: &str) -> f64 {
    plan.shares.iter().find(|s| s.instance == name).unwrap().weight
}

#[test]
fn lowers_share_of_slow_server_in_bounded_steps() {
    let mut fleet = Fleet::of(10);
    assert!(fleet.step().shares.iter().all(|s| (s.weight - 0.1).abs() < 1e-9));
    fleet.servers[3].service_time *= 5.0;
    let mut last = 0.1;
    for _ in 0..100 {
        let plan = fleet.step();
        let now = weight(&plan, "n003");
        assert!(now <= last + 1e-9 && last - now <= MAX_ZONE_STEP * 0.25 + 1e-9, "{last} to {now}");
        last = now;
    }
    assert!((last - 0.2 / 9.2).abs() < 0.002, "{last}");
}

#[test]
fn removes_draining_unhealthy_and_silent_servers_at_once() {
    let mut fleet = Fleet::of(5);
    fleet.step();
    fleet.servers[0].terminates_in = Some(3.0);
    fleet.servers[1].healthy = false;
    let plan = fleet.step();
    assert_eq!((weight(&plan, "n000"), weight(&plan, "n001")), (0.0, 0.0));
    assert!((weight(&plan, "n002") - 1.0 / 3.0).abs() < 1e-9);
    let silent = fleet.servers.remove(4);
    let plan = fleet.steps(20);
    assert_eq!(weight(&plan, &silent.instance), 0.0);
    assert_eq!(
        plan.shares.iter().find(|s| s.instance == "n004").unwrap().explanation.limited_by.as_str(),
        "was silent for too long"
    );
}

#[test]
fn keeps_shares_in_panic_and_makes_no_empty_plan() {
    let mut fleet = Fleet::of(4);
    let before = fleet.step();
    let plan = fleet.planner.plan(fleet.now + 3.0, &fleet.fleet_view).unwrap();
    assert!(plan.panic);
    assert_eq!(plan.shares.iter().map(|s| s.weight).collect::<Vec<_>>(), [0.25; 4]);
    assert_eq!(before.drops, plan.drops);
    fleet.servers.iter_mut().for_each(|s| s.healthy = false);
    fleet.now += 1.0;
    for server in fleet.servers.clone() {
        fleet.fleet_view.record(fleet.now, LoadReport { sequence: 99, created_at: fleet.now, ..server });
    }
    assert!(fleet.planner.plan(fleet.now, &fleet.fleet_view).is_none());
}

#[test]
fn caps_share_of_server_reporting_implausible_capacity() {
    let mut fleet = Fleet::of(10);
    fleet.step();
    (fleet.servers[7].service_time, fleet.servers[7].concurrency_limit) = (1e-6, 4000.0);
    let plan = fleet.steps(80);
    assert!((weight(&plan, "n007") - MAX_OVER_MEDIAN / 11.0).abs() < 0.01, "{}", weight(&plan, "n007"));
}

#[test]
fn raises_share_of_cold_or_restarted_server_slowly() {
    let mut fleet = Fleet::of(4);
    fleet.step();
    fleet.servers.push(LoadReport { warm_up_progress: 0.2, ..report("n9", 0, 0.0) });
    let first = weight(&fleet.step(), "n9");
    assert!(first > 0.0 && first <= MAX_SHARE_STEP * 0.25 * 0.2 + 1e-9, "{first}");
    let cold = weight(&fleet.steps(40), "n9");
    assert!((cold - 0.2 / 4.2).abs() < 0.01, "{cold}");
    fleet.servers[4].warm_up_progress = 1.0;
    let warm = weight(&fleet.steps(60), "n9");
    assert!((warm - 0.2).abs() < 0.015, "{warm}");
    (fleet.servers[4].incarnation, fleet.servers[4].warm_up_progress) = (11, 0.2);
    assert!(weight(&fleet.step(), "n9") <= MAX_SHARE_STEP * 0.25 * 0.2 + 1e-9);
}

fn zone_report(zone: &str, name: &str, offered: f64) -> LoadReport {
    let class =
        ClassLoad { product: "p".into(), customer: "k".into(), priority_weight: 1.0, offered, rejected: 0.0 };
    LoadReport { zone: zone.into(), classes: vec![class], ..report(name, 0, 0.0) }
}

#[test]
fn spills_load_of_full_zone_and_returns_it() {
    // Each server has a capacity of 400 requests per second. Zone a offers 480 to one server, zone b 80 to two.
    let mut fleet = Fleet::new(vec![
        zone_report("a", "a1", 480.0),
        zone_report("b", "b1", 40.0),
        zone_report("b", "b2", 40.0),
    ]);
    let (mut spill, mut max_spill) = (0.0, 0.0f64);
    for _ in 0..200 {
        // Proxies apply the spill: the servers of zone a receive the rest, those of zone b the spilled load.
        fleet.servers[0].classes[0].offered = 480.0 * (1.0 - spill);
        for index in [1, 2] {
            fleet.servers[index].classes[0].offered = (80.0 + 480.0 * spill) / 2.0;
        }
        let plan = fleet.step();
        assert!((plan.zones["a"].spill - spill).abs() <= MAX_SPILL_STEP * 0.25 + 1e-9);
        assert_eq!(plan.zones["b"].spill, 0.0);
        spill = plan.zones["a"].spill;
        max_spill = max_spill.max(spill);
    }
    let target_spill = 1.0 - SPILL_UTILIZATION * 400.0 / 480.0;
    assert!(
        (spill - target_spill).abs() < 0.02 && max_spill < target_spill + 0.02,
        "{spill}, {max_spill}, expected {target_spill}"
    );
    assert_eq!(fleet.step().zones["a"].spill_targets.keys().collect::<Vec<_>>(), ["b"]);
    fleet.servers[0].classes[0].offered = 100.0;
    fleet.servers[1].classes[0].offered = 40.0;
    fleet.servers[2].classes[0].offered = 40.0;
    assert!(fleet.steps(100).zones["a"].spill < 1e-6);
}

#[test]
fn routes_zone_without_servers_to_other_zones() {
    let mut fleet = Fleet::new(vec![zone_report("a", "a1", 10.0), zone_report("b", "b1", 10.0)]);
    fleet.step();
    fleet.servers[0].terminates_in = Some(2.0);
    let plan = fleet.step();
    let routes = plan.routes("a");
    assert_eq!(
        routes.iter().map(|route| (route.server.instance.as_str(), route.weight)).collect::<Vec<_>>(),
        [("b1", 1.0)]
    );
    // A zone that never had servers is routed the same way.
    let sum: f64 = plan.routes("c").iter().map(|route| route.weight).sum();
    assert!((sum - 1.0).abs() < 1e-9);
}

/// Shares converge although service times grow with the load and are observed a second late.
#[test]
fn shares_converge_with_delayed_feedback() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..30);
        let speeds: Vec<f64> = (0..count).map(|_| rng.random_range(0.3..1.5)).collect();
        let load = rng.random_range(0.5..0.95) * speeds.iter().sum::<f64>();
        let mut fleet = Fleet::of(count);
        let mut history: Vec<Vec<f64>> = Vec::new();
        for _ in 0..400 {
            let observed_weights = if history.len() > 4 {
                history[history.len() - 5].clone()
            } else {
                vec![1.0 / count as f64; count]
            };
            for (index, server) in fleet.servers.iter_mut().enumerate() {
                let utilization = (load * observed_weights[index] / speeds[index]).min(1.5);
                // Above 90 % utilization, service time and pressure rise; the service time is noisy.
                let slowdown = if utilization > 0.9 { 1.0 + 2.0 * (utilization - 0.9) } else { 1.0 };
                server.service_time = 0.01 / speeds[index] * slowdown * rng.random_range(0.97..1.03);
                server.pressure = ((utilization - 0.9) * 3.0).clamp(0.0, 1.0);
            }
            let plan = fleet.step();
            history.push(plan.shares.iter().map(|s| s.weight).collect());
        }
        for index in 0..count {
            let end: Vec<f64> = history[280..].iter().map(|w| w[index]).collect();
            let (low, high) = end.iter().fold((1.0f64, 0.0f64), |(l, h), w| (l.min(*w), h.max(*w)));
            assert!(high - low < 0.12 * high, "seed {seed}, server {index}: {low} to {high}");
        }
    }
}

#[test]
fn share_limits_are_serialized_as_displayed() {
    let texts = [
        "",
        "near its target",
        "moved the other way just now",
        "moves step by step",
        "much moves at once",
        "takes or gives what others move",
        "leaves",
        "says it is not well",
        "was silent for too long",
    ];
    for text in texts {
        let limit: ShareLimit = serde_json::from_value(text.into()).unwrap();
        assert_eq!((limit.as_str(), serde_json::to_value(limit).unwrap()), (text, text.into()));
    }
}

/// Guards against counting load twice: the last reported load of lost servers, and the same load at the servers that
/// took it over. The zone then spilled load although its remaining servers had the capacity.
#[test]
fn discounts_load_of_lost_servers() {
    let capacity = 400.0;
    let load = 0.5 * capacity;
    let with_load = |report: LoadReport, zone: &str, offered: f64| {
        let (product, customer) = ("p".into(), "k".into());
        let class = ClassLoad { product, customer, priority_weight: 1.0, offered, rejected: 0.0 };
        LoadReport { zone: zone.into(), classes: vec![class], ..report }
    };
    let mut fleet = Fleet::of(24);
    for (index, server) in fleet.servers.iter_mut().enumerate() {
        *server = with_load(server.clone(), if index < 12 { "a" } else { "b" }, load);
    }
    assert_eq!(fleet.steps(40).zones["a"].spill, 0.0);
    // Five servers of zone a are lost; the remaining seven receive its whole load and have the capacity.
    fleet.servers.drain(..5);
    for server in &mut fleet.servers[..7] {
        server.classes[0].offered = load * 12.0 / 7.0;
    }
    // Load may spill until the reports of the lost servers expire, and then returns in bounded steps.
    let (expiry, return_time) = (4.0, 1.0 / MAX_SPILL_STEP);
    for step in 1..200 {
        let plan = fleet.step();
        let zone = &plan.zones["a"];
        let settled = f64::from(step) * 0.25 > expiry + return_time;
        assert!(zone.spill == 0.0 || !settled, "step {step}: {} of {} spilled", zone.spill, zone.load);
    }
    let zone = &fleet.step().zones["a"];
    assert!((zone.load - 12.0 * load).abs() < 0.01 * zone.load, "{}", zone.load);
}
