//! What a control service does while its region is cut from another for minutes: played on the service, without sockets or waits.

use puffinladder_control::report::LoadReport;
use puffinladder_control::service::{ControlService, ServiceConfig};
use std::net::SocketAddr;

/// s: reports and plans.
const STEP: f64 = 0.25;
/// The cut's beginning, and when it heals.
const PARTITION_AT: f64 = 10.0;
const HEALED_AT: f64 = 190.0;

/// Times at which no plan held, of a region with so many servers cut from one with so many.
fn times_without_plan(near: usize, far: usize) -> Vec<f64> {
    let mut service = ControlService::new(0.0, ServiceConfig::default(), 1, None);
    let (mut times, mut planned) = (Vec::new(), false);
    for step in 1..=(200.0 / STEP) as u64 {
        let now = step as f64 * STEP;
        let partitioned = (PARTITION_AT..HEALED_AT).contains(&now);
        for index in 0..near + far {
            if partitioned && index >= near {
                continue;
            }
            let address = SocketAddr::from(([127, 0, 0, 1], 4000 + index as u16));
            let zone = if index < near { "near" } else { "far" };
            let report = LoadReport::healthy_server(&format!("n{index:03}"), address);
            service.handle_report(
                now,
                LoadReport { sequence: step, created_at: now, zone: zone.into(), ..report },
            );
        }
        service.tick(now);
        planned |= service.plan().is_some();
        if planned && !service.has_valid_plan(now) {
            times.push(now);
        }
    }
    assert!(planned);
    times
}

#[test]
fn has_plan_when_partitioned_from_a_region_no_larger() {
    assert_eq!(times_without_plan(6, 6), Vec::<f64>::new());
    assert_eq!(times_without_plan(7, 5), Vec::<f64>::new());
}

#[test]
fn has_plan_when_partitioned_from_a_larger_region() {
    assert_eq!(times_without_plan(5, 7), Vec::<f64>::new());
}
