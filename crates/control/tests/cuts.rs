//! Network partitions between servers and the control service, on a simulated clock.
//!
//! Guards against callers on the smaller side of a partition being left without a plan, and against load moving to or from
//! the unreachable side faster than the limits allow.

use puffinladder_control::plan::{Plan, ServerShare};
use puffinladder_control::report::{ClassLoad, LoadReport};
use puffinladder_control::service::{ControlService, RestoredSnapshot, ServiceConfig};
use std::net::SocketAddr;
use std::ops::Range;

/// Seconds between reports and between plans.
const STEP: f64 = 0.25;
/// When the partition begins, seconds.
const PARTITION_AT: f64 = 10.0;
/// Seconds after the beginning of a partition within which the unreachable servers lose their load.
const WITHDRAWN_WITHIN: f64 = 30.0;
/// Maximum fraction of load moved per second: within a zone, and between zones.
const MAX_ZONE_STEP: f64 = 0.15;
const MAX_SPILL_STEP: f64 = 0.1;
/// Tolerance for rounding errors.
const ROUNDING: f64 = 1e-9;

/// Assignment of both sides to zones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Layout {
    /// Each side is a zone of its own.
    ZonePerSide,
    /// Both sides are in one zone.
    SingleZone,
}

/// Service and its reporting servers; the first `near` servers are on its side of the partition.
struct Simulation {
    service: ControlService,
    servers: Vec<LoadReport>,
    near: usize,
    now: f64,
    /// Network delay of reports, seconds.
    delay: f64,
    in_transit: Vec<(f64, LoadReport)>,
    /// Times after the first plan at which no plan was valid.
    times_without_plan: Vec<f64>,
    last_plan: Option<Plan>,
    check_step_bounds: bool,
}

impl Simulation {
    fn new(near: usize, far: usize, layout: Layout) -> Simulation {
        let server = |at: usize| {
            let zone = if at < near || layout == Layout::SingleZone { "near" } else { "far" };
            let [_, a, b, c] = (at as u32).to_be_bytes();
            let load = ClassLoad {
                product: "p".into(),
                customer: "k".into(),
                priority_weight: 1.0,
                offered: 100.0,
                rejected: 0.0,
            };
            LoadReport {
                zone: zone.into(),
                classes: vec![load],
                ..LoadReport::healthy_server(&format!("n{at:04}"), SocketAddr::from(([127, a, b, c], 4100)))
            }
        };
        Simulation {
            service: ControlService::new(0.0, ServiceConfig::default(), 1, None),
            servers: (0..near + far).map(server).collect(),
            near,
            now: 0.0,
            delay: 0.0,
            in_transit: Vec::new(),
            times_without_plan: Vec::new(),
            last_plan: None,
            check_step_bounds: true,
        }
    }

    fn all_servers(&self) -> Range<usize> {
        0..self.servers.len()
    }

    fn near_servers(&self) -> Range<usize> {
        0..self.near
    }

    /// Advances to the next plan; only the servers in `reporting` deliver reports.
    fn step(&mut self, reporting: Range<usize>) {
        self.now += STEP;
        for (at, report) in self.servers.iter_mut().enumerate() {
            report.sequence += 1;
            report.created_at = self.now;
            if reporting.contains(&at) {
                self.in_transit.push((self.now + self.delay, report.clone()));
            }
        }
        let (due, later) = self.in_transit.drain(..).partition(|(at, _)| *at <= self.now);
        self.in_transit = later;
        for (_, report) in due {
            self.service.handle_report(self.now, report);
        }
        self.service.tick(self.now);
        self.check_plan();
    }

    fn check_plan(&mut self) {
        let Some(plan) = self.service.plan().map(|plan| (**plan).clone()) else { return };
        if !self.service.has_valid_plan(self.now) {
            self.times_without_plan.push(self.now);
        }
        if let Some(last) = self.last_plan.as_ref().filter(|_| self.check_step_bounds) {
            self.assert_bounded_step(last, &plan);
        }
        self.last_plan = Some(plan);
    }

    /// Asserts that load moved no faster than the limits.
    fn assert_bounded_step(&self, last: &Plan, plan: &Plan) {
        let elapsed = plan.decided_at - last.decided_at;
        for zone in plan.zones.keys() {
            let moved = total_weight_gain(last, plan, zone);
            let limit = MAX_ZONE_STEP * elapsed + ROUNDING;
            assert!(moved <= limit, "{moved} of zone {zone} moved in {elapsed} s at {}", self.now);
            let spill = |plan: &Plan| plan.zones.get(zone).map(|zone| zone.spill);
            if let (Some(before), Some(after)) = (spill(last), spill(plan)) {
                let limit = MAX_SPILL_STEP * elapsed + ROUNDING;
                assert!((after - before).abs() <= limit, "{zone}: {before} to {after} at {}", self.now);
            }
        }
    }

    fn run(&mut self, seconds: f64, reporting: Range<usize>) {
        for _ in 0..(seconds / STEP) as u64 {
            self.step(reporting.clone());
        }
    }

    /// Returns the weight that callers in a zone give to servers of the far side.
    fn weight_to_far_side(&self, zone: &str) -> f64 {
        let plan = self.service.plan().expect("a plan was made");
        let far = |share: &ServerShare| share.instance[1..].parse::<usize>().unwrap() >= self.near;
        let routes = plan.routes(zone);
        routes.iter().filter(|route| far(route.server)).map(|route| route.weight).sum()
    }
}

/// Returns the total weight gained by the servers of a zone between two plans; 0 if none of them had weight before.
fn total_weight_gain(last: &Plan, plan: &Plan, zone: &str) -> f64 {
    let before = |instance: &str| {
        let share = last.shares.iter().find(|share| share.instance == instance);
        share.map_or(0.0, |share| share.weight)
    };
    let in_zone = |share: &&ServerShare| share.zone == zone;
    if !last.shares.iter().filter(in_zone).any(|share| share.weight > 0.0) {
        return 0.0;
    }
    let gains = plan.shares.iter().filter(in_zone).map(|share| share.weight - before(&share.instance));
    gains.filter(|gain| *gain > 0.0).sum()
}

const LAYOUTS: [Layout; 2] = [Layout::ZonePerSide, Layout::SingleZone];
const NO_SERVERS: Range<usize> = 0..0;

#[test]
fn smaller_side_withdraws_from_unreachable_side_gradually() {
    for (near, far) in [(1, 11), (5, 7), (10, 30), (364, 366)] {
        for layout in LAYOUTS {
            println!("{near} servers partitioned from {far}, {layout:?}");
            let mut simulation = Simulation::new(near, far, layout);
            simulation.run(PARTITION_AT, simulation.all_servers());
            simulation.run(WITHDRAWN_WITHIN, simulation.near_servers());
            assert!(
                simulation.weight_to_far_side("near") < ROUNDING,
                "{}",
                simulation.weight_to_far_side("near")
            );
            assert!(
                simulation.weight_to_far_side("far") < ROUNDING,
                "{}",
                simulation.weight_to_far_side("far")
            );
            simulation.run(60.0, simulation.near_servers());
            assert!(
                simulation.weight_to_far_side("near") < ROUNDING,
                "{}",
                simulation.weight_to_far_side("near")
            );
            simulation.run(60.0, simulation.all_servers());
            assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
            let share = far as f64 / (near + far) as f64;
            match layout {
                Layout::ZonePerSide => {
                    assert!(
                        simulation.weight_to_far_side("far") > 1.0 - ROUNDING,
                        "{}",
                        simulation.weight_to_far_side("far")
                    )
                }
                Layout::SingleZone => {
                    assert!((simulation.weight_to_far_side("near") - share).abs() <= 0.05 * share)
                }
            }
        }
    }
}

#[test]
fn plan_stays_valid_in_partitions_of_any_length() {
    for layout in LAYOUTS {
        for seconds in [35.0, 50.0, 62.0, 120.0, 600.0] {
            println!("partition of {seconds} s, {layout:?}");
            let mut simulation = Simulation::new(4, 6, layout);
            simulation.run(PARTITION_AT, simulation.all_servers());
            simulation.run(seconds, simulation.near_servers());
            simulation.run(30.0, simulation.all_servers());
            assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
        }
        // The partition heals briefly, before the far servers are evicted.
        for healed_for in [0.5, 2.0, 10.0] {
            println!("healed for {healed_for} s, {layout:?}");
            let mut simulation = Simulation::new(4, 6, layout);
            simulation.run(PARTITION_AT, simulation.all_servers());
            for _ in 0..6 {
                simulation.run(37.0, simulation.near_servers());
                assert!(
                    simulation.weight_to_far_side("near") < ROUNDING,
                    "{}",
                    simulation.weight_to_far_side("near")
                );
                simulation.run(healed_for, simulation.all_servers());
            }
            simulation.run(30.0, simulation.all_servers());
            assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
        }
    }
}

#[test]
fn plan_stays_valid_while_far_side_reports_rarely() {
    let mut simulation = Simulation::new(5, 7, Layout::SingleZone);
    simulation.check_step_bounds = false;
    simulation.run(PARTITION_AT, simulation.all_servers());
    // Each far server reports every five seconds, so that most are silent at any time.
    for _ in 0..40 {
        for at in simulation.near..simulation.all_servers().end {
            simulation.step(simulation.near_servers());
            simulation.service.handle_report(simulation.now, simulation.servers[at].clone());
            simulation.run(0.5, simulation.near_servers());
        }
    }
    assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
}

#[test]
fn stops_planning_without_timely_reports() {
    let mut isolated = Simulation::new(5, 7, Layout::ZonePerSide);
    isolated.run(PARTITION_AT, isolated.all_servers());
    let before = isolated.service.plan().unwrap().shares.clone();
    isolated.run(29.0, NO_SERVERS);
    let shares = &isolated.service.plan().unwrap().shares;
    assert!(before.iter().zip(shares).all(|(a, b)| (a.weight - b.weight).abs() < ROUNDING));
    isolated.run(20.0, NO_SERVERS);
    assert!(!isolated.service.has_valid_plan(isolated.now));

    let mut delayed = Simulation::new(5, 7, Layout::ZonePerSide);
    delayed.run(PARTITION_AT, delayed.all_servers());
    delayed.delay = 3.0;
    // Until the clock offset is estimated again, all reports count as expired.
    delayed.run(14.0, delayed.all_servers());
    assert!(delayed.service.plan().unwrap().panic);
    assert_eq!(delayed.service.fleet().fresh_count(delayed.now), 0);
}

#[test]
fn losing_all_reports_during_partition_does_not_restore_far_side() {
    for layout in LAYOUTS {
        let mut simulation = Simulation::new(5, 7, layout);
        simulation.run(PARTITION_AT, simulation.all_servers());
        simulation.run(25.0, simulation.near_servers());
        simulation.run(20.0, NO_SERVERS);
        assert!(simulation.service.has_valid_plan(simulation.now));
        assert!(
            simulation.weight_to_far_side("near") < ROUNDING,
            "{}",
            simulation.weight_to_far_side("near")
        );
        simulation.run(20.0, NO_SERVERS);
        assert!(!simulation.service.has_valid_plan(simulation.now));
    }
}

#[test]
fn resumes_planning_after_pause_during_partition() {
    let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
    simulation.check_step_bounds = false;
    simulation.run(PARTITION_AT, simulation.all_servers());
    // The service pauses for eight seconds; then the near servers report again.
    simulation.now += 8.0;
    simulation.service.tick(simulation.now);
    simulation.times_without_plan.clear();
    simulation.run(45.0, simulation.near_servers());
    assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
    assert!(simulation.weight_to_far_side("near") < ROUNDING, "{}", simulation.weight_to_far_side("near"));
}

#[test]
fn server_lost_before_outage_stays_without_load() {
    let mut simulation = Simulation::new(8, 4, Layout::SingleZone);
    simulation.check_step_bounds = false;
    simulation.run(PARTITION_AT, simulation.all_servers());
    simulation.run(20.0, simulation.near_servers());
    assert_eq!(simulation.weight_to_far_side("near"), 0.0);
    // More servers are lost: seven of twelve are silent.
    for _ in 0..(25.0 / STEP) as u64 {
        simulation.step(0..5);
        assert_eq!(simulation.weight_to_far_side("near"), 0.0, "at {}", simulation.now);
    }
}

#[test]
fn draining_server_loses_load_at_once_during_partition() {
    for seconds in [2.0, 7.0, 20.0] {
        let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
        simulation.check_step_bounds = false;
        simulation.run(PARTITION_AT, simulation.all_servers());
        simulation.run(seconds, simulation.near_servers());
        simulation.servers[2].terminates_in = Some(30.0);
        simulation.step(simulation.near_servers());
        let plan = simulation.service.plan().unwrap();
        assert_eq!(plan.shares[2].weight, 0.0, "{seconds} s into the cut");
        assert_eq!(plan.shares[2].explanation.limited_by.as_str(), "leaves");
    }
}

#[test]
fn drops_follow_near_side_load_during_partition() {
    let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
    simulation.run(PARTITION_AT, simulation.all_servers());
    simulation.run(20.0, simulation.near_servers());
    simulation.servers.iter_mut().for_each(|server| server.classes[0].rejected = 60.0);
    simulation.run(5.0, simulation.near_servers());
    assert!(!simulation.service.plan().unwrap().drops.is_empty());
}

#[test]
fn spilled_load_returns_gradually_after_partition_begins() {
    let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
    let near = simulation.near_servers();
    simulation.servers[near].iter_mut().for_each(|server| server.classes[0].offered = 450.0);
    simulation.run(PARTITION_AT, simulation.all_servers());
    assert!(
        simulation.weight_to_far_side("near") > 2.0 * MAX_SPILL_STEP,
        "{}",
        simulation.weight_to_far_side("near")
    );
    simulation.run(WITHDRAWN_WITHIN, simulation.near_servers());
    assert!(simulation.weight_to_far_side("near") < ROUNDING, "{}", simulation.weight_to_far_side("near"));
    assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
}

#[test]
fn load_returns_gradually_to_zone_lost_for_minutes() {
    let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
    simulation.run(PARTITION_AT, simulation.all_servers());
    simulation.run(120.0, simulation.near_servers());
    // The far servers return without load.
    simulation.servers[5..].iter_mut().for_each(|server| server.classes.clear());
    simulation.step(simulation.all_servers());
    assert!(
        simulation.weight_to_far_side("far") <= MAX_SPILL_STEP,
        "{}",
        simulation.weight_to_far_side("far")
    );
    simulation.run(15.0, simulation.all_servers());
    assert!(
        simulation.weight_to_far_side("far") > 1.0 - ROUNDING,
        "{}",
        simulation.weight_to_far_side("far")
    );
}

#[test]
fn service_started_during_partition_plans_for_near_side() {
    let mut before = Simulation::new(5, 7, Layout::ZonePerSide);
    before.run(PARTITION_AT, before.all_servers());
    let snapshot = before.service.stored_snapshot(before.now, 0.0).unwrap();
    let mut simulation = Simulation::new(5, 7, Layout::ZonePerSide);
    let restored = Some(RestoredSnapshot { snapshot, age: 1.0 });
    simulation.service = ControlService::new(0.0, ServiceConfig::default(), 2, restored);
    // The restored plan expires; the next is computed five seconds after the first report.
    simulation.run(6.0, simulation.near_servers());
    simulation.times_without_plan.clear();
    simulation.run(120.0, simulation.near_servers());
    simulation.run(30.0, simulation.all_servers());
    assert_eq!(simulation.times_without_plan, Vec::<f64>::new());
}
