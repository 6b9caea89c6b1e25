//! Plan validity while a region is partitioned from another for minutes, on a simulated clock.

use puffinladder_control::report::LoadReport;
use puffinladder_control::service::{ControlService, ServiceConfig};
use std::net::SocketAddr;

/// Seconds between reports and between plans.
const STEP: f64 = 0.25;
/// When the partition begins and heals, seconds.
const PARTITION_AT: f64 = 10.0;
const HEALED_AT: f64 = 190.0;

/// Returns the times without a valid plan in a region of `near` servers partitioned from one of `far` servers.
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
