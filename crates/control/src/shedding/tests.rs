use super::*;
use crate::report::{ClassLoad, LoadReport};
use crate::test_support::report;
use std::collections::VecDeque;

const LOW_PRIORITY: usize = 0;

/// Reports a server that serves `capacity` requests per second of those `arriving`, in order of priority.
fn server(capacity: f64, arriving: &[f64; 2]) -> LoadReport {
    let mut remaining = capacity;
    let mut classes = Vec::new();
    for (product, priority_weight, offered) in
        [("high", 3.0, arriving[1]), ("low", 1.0, arriving[LOW_PRIORITY])]
    {
        let served = offered.min(remaining);
        remaining -= served;
        let (product, customer) = (product.into(), "k1".into());
        classes.push(ClassLoad { product, customer, priority_weight, offered, rejected: offered - served });
    }
    let pressure = if remaining <= 0.0 { 0.8 } else { 0.0 };
    LoadReport { pressure, classes, ..report("n1", 1, 0.0) }
}

/// Returns the dropped fractions of the low and the high priority class over time. `load` gives offered load and
/// capacity at a time; rules take effect a second late.
fn simulate(seconds: f64, load: impl Fn(f64) -> ([f64; 2], f64)) -> Vec<[f64; 2]> {
    let (mut shedder, mut in_transit, mut fractions) = (LoadShedder::default(), VecDeque::new(), Vec::new());
    let step = 0.25;
    let mut applied = [0.0; 2];
    for index in 0..(seconds / step) as usize {
        let (offered, capacity) = load(index as f64 * step);
        let arriving = [offered[0] * (1.0 - applied[0]), offered[1] * (1.0 - applied[1])];
        let report_of_server = server(capacity, &arriving);
        let drops = shedder.update(
            step,
            &[ServerView {
                report: &report_of_server,
                confidence: 1.0,
                age: 0.0,
                withdrawn_gradually: false,
            }],
        );
        let fraction =
            |product: &str| drops.iter().find(|d| d.product == product).map_or(0.0, |d| d.fraction);
        in_transit.push_back([fraction("low"), fraction("high")]);
        if in_transit.len() > 4 {
            applied = in_transit.pop_front().unwrap();
        }
        fractions.push(applied);
    }
    fractions
}

#[test]
fn drops_low_priority_first_and_converges() {
    // 150 offered, capacity for 100: of the 90 of low priority, 50 are excess.
    let fractions = simulate(120.0, |_| ([90.0, 60.0], 100.0));
    let end = &fractions[fractions.len() - 120..];
    let (low, high) = end.iter().fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s[0]), h.max(s[0])));
    // Of the arriving requests, TARGET_REJECTED are rejected: (1 - fraction) * 90 * (1 - 0.05) = 40.
    let expected = 1.0 - 40.0 / (90.0 * (1.0 - TARGET_REJECTED));
    assert!((low - expected).abs() < 0.02 && high - low < 0.02, "{low} to {high}, expected {expected}");
    assert!(fractions.iter().all(|s| s[1] == 0.0), "the high-priority class was dropped");
}

#[test]
fn never_drops_high_priority_more_and_recovers() {
    let fractions =
        simulate(240.0, |now| if now < 120.0 { ([60.0, 140.0], 80.0) } else { ([60.0, 20.0], 100.0) });
    assert!(fractions.iter().all(|s| s[1] <= s[0] + 1e-12));
    let overloaded = fractions[470];
    assert!(overloaded[0] > 0.9 && overloaded[1] > 0.3, "{overloaded:?}");
    let recovered = fractions.iter().skip(480).position(|s| *s == [0.0, 0.0]);
    assert!(recovered.is_some_and(|steps| steps < 60), "{recovered:?}");
}

#[test]
fn lowers_drop_slowly_without_reports() {
    let mut shedder = LoadShedder::default();
    let report_of_server = server(10.0, &[90.0, 0.0]);
    for _ in 0..40 {
        shedder.update(
            0.25,
            &[ServerView {
                report: &report_of_server,
                confidence: 1.0,
                age: 0.0,
                withdrawn_gradually: false,
            }],
        );
    }
    let before = shedder.rules()[0].fraction;
    assert!(before > 0.5);
    let after = shedder.update(0.25, &[]);
    assert!(after[0].fraction <= before && after[0].fraction > before - 0.02);
}
