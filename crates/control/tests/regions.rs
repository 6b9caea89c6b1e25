//! What a control service does while its region is cut from another for minutes: played on the service, without sockets or waits.

use puffinladder_control::report::LoadReport;
use puffinladder_control::service::{ControlService, ServiceConfig};
use std::net::SocketAddr;

/// s: reports and plans.
const STEP: f64 = 0.25;
/// The cut's beginning, and when it heals.
const CUT: f64 = 10.0;
const HEALED: f64 = 190.0;

/// Times at which no plan held, of a region with so many servers cut from one with so many.
fn without_a_plan(near: usize, far: usize) -> Vec<f64> {
    let mut service = ControlService::new(0.0, ServiceConfig::default(), 1, None);
    let (mut without, mut planned) = (Vec::new(), false);
    for step in 1..=(200.0 / STEP) as u64 {
        let now = step as f64 * STEP;
        let cut = (CUT..HEALED).contains(&now);
        for at in 0..near + far {
            if cut && at >= near {
                continue;
            }
            let address = SocketAddr::from(([127, 0, 0, 1], 4000 + at as u16));
            let zone = if at < near { "near" } else { "far" };
            let report = LoadReport::healthy_server(&format!("n{at:03}"), address);
            service.handle_report(
                now,
                LoadReport { sequence: step, created_at: now, zone: zone.into(), ..report },
            );
        }
        service.tick(now);
        planned |= service.plan().is_some();
        if planned && !service.has_valid_plan(now) {
            without.push(now);
        }
    }
    assert!(planned);
    without
}

#[test]
fn a_region_cut_from_one_no_larger_always_has_a_plan() {
    assert_eq!(without_a_plan(6, 6), Vec::<f64>::new());
    assert_eq!(without_a_plan(7, 5), Vec::<f64>::new());
}

#[test]
fn a_region_cut_from_a_larger_one_always_has_a_plan() {
    assert_eq!(without_a_plan(5, 7), Vec::<f64>::new());
}
