use super::*;
use crate::test_support::report;

#[test]
fn rejects_duplicate_out_of_order_and_earlier_incarnation_reports() {
    let mut fleet = FleetView::new(FleetConfig::default());
    assert_eq!(fleet.record(100.0, report("n1", 5, 1.0)), ReportOutcome::Accepted);
    assert_eq!(fleet.record(100.1, report("n1", 5, 1.0)), ReportOutcome::Duplicate);
    assert_eq!(fleet.record(100.2, report("n1", 7, 1.2)), ReportOutcome::Accepted);
    assert_eq!(fleet.record(100.3, report("n1", 6, 1.1)), ReportOutcome::OutOfOrder);
    let earlier = LoadReport { incarnation: 9, ..report("n1", 900, 50.0) };
    assert_eq!(fleet.record(100.4, earlier.clone()), ReportOutcome::EarlierIncarnation);
    assert_eq!(
        fleet.record(100.5, LoadReport { incarnation: 11, ..report("n1", 1, 0.1) }),
        ReportOutcome::Accepted
    );
    // The machine's clock was set back, and the last report of the later incarnation has expired.
    assert_eq!(fleet.record(105.0, earlier), ReportOutcome::Accepted);
    assert_eq!((fleet.accepted, fleet.rejected), (4, 3));
}

#[test]
fn ages_delayed_report_from_its_creation() {
    let mut fleet = FleetView::new(FleetConfig::default());
    for tick in 0..10u32 {
        let created_at = f64::from(tick) * 0.25;
        fleet.record(100.0 + created_at, report("n1", u64::from(tick), created_at));
    }
    // Created at 2.5 by the server's clock, which is 102.5 here; received at 105.
    assert_eq!(fleet.record(105.0, report("n1", 10, 2.5)), ReportOutcome::Accepted);
    let age = fleet.servers(105.0)[0].age;
    assert!((age - 2.5).abs() < 1e-9, "{age}");
}

#[test]
fn tolerates_clock_offset_and_drift() {
    for (offset, speed) in [(1e6, 1.0), (0.0, 1.001), (5.0, 0.999)] {
        let mut fleet = FleetView::new(FleetConfig::default());
        for tick in 0..2000u32 {
            let now = f64::from(tick) * 0.25;
            let outcome = fleet.record(now, report("n1", u64::from(tick), offset + now * speed));
            assert_eq!(outcome, ReportOutcome::Accepted);
            assert!(fleet.servers(now)[0].age < 0.05, "{speed}: {}", fleet.servers(now)[0].age);
        }
    }
    let mut fleet = FleetView::new(FleetConfig::default());
    fleet.record(0.0, report("n1", 1, 5.0));
    assert_eq!(fleet.record(1.0, report("n1", 2, 4.0)), ReportOutcome::Invalid(InvalidReport::ClockWentBack));
    assert_eq!(
        InvalidReport::ClockWentBack.to_string(),
        "the creation time is earlier than that of the incarnation's last report"
    );
}

#[test]
fn expires_silent_server_but_not_whole_fleet() {
    let mut fleet = FleetView::new(FleetConfig::default());
    for name in ["n1", "n2", "n3"] {
        fleet.record(0.0, report(name, 1, 0.0));
    }
    let confidence =
        |fleet: &FleetView, now| fleet.servers(now).iter().map(|b| b.confidence).collect::<Vec<_>>();
    for tick in 1..20u32 {
        let now = f64::from(tick) * 0.25;
        fleet.record(now, report("n1", 1 + u64::from(tick), now));
        fleet.record(now, report("n2", 1 + u64::from(tick), now));
    }
    assert_eq!(confidence(&fleet, 1.0), [1.0, 1.0, 1.0]);
    assert_eq!(confidence(&fleet, 4.75), [1.0, 1.0, 0.0]);
    assert!(!fleet.in_panic(4.75));
    // All servers are silent: a mass outage is suspected.
    assert!(fleet.in_panic(8.0));
    assert_eq!(confidence(&fleet, 8.0), [1.0, 1.0, 1.0]);
    fleet.evict_silent(100.0);
    assert!(fleet.is_empty());
}

#[test]
fn rejects_invalid_reports_and_servers_over_limit() {
    let mut fleet = FleetView::new(FleetConfig { max_servers: 1, ..FleetConfig::default() });
    for invalid in [
        LoadReport { concurrency_limit: f64::NAN, ..report("n1", 1, 0.0) },
        LoadReport { pressure: 1.5, ..report("n1", 1, 0.0) },
        LoadReport { instance: "x".repeat(500), ..report("n1", 1, 0.0) },
        LoadReport { terminates_in: Some(-1.0), ..report("n1", 1, 0.0) },
    ] {
        assert!(matches!(fleet.record(0.0, invalid), ReportOutcome::Invalid(_)));
    }
    assert_eq!(fleet.record(0.0, report("n1", 1, 0.0)), ReportOutcome::Accepted);
    assert_eq!(fleet.record(0.0, report("n2", 1, 0.0)), ReportOutcome::FleetFull);
}
