use super::*;
use crate::plan::read;
use crate::planted::{but, points, sound, Laws};
use crate::point::Points;

const SHIPPED: &str = include_str!("../../../../deploy/capacity.scm");

fn plan() -> Plan {
    read("capacity.scm", SHIPPED).unwrap()
}

fn bounds() -> Vec<Bound> {
    vec![Bound {
        role: "control".into(),
        size: "proxies".into(),
        most: 10_000.0,
        named: "most-proxies".into(),
    }]
}

fn budgets(plan: &Plan, points: &Points) -> Vec<Line> {
    Reckoning { plan, costs: &Costs::of(points), bounds: &bounds() }.budgets()
}

fn line(lines: &[Line], what: &str) -> Line {
    lines
        .iter()
        .find(|line| line.what.contains(what))
        .unwrap_or_else(|| panic!("no line {what}: {lines:#?}"))
        .clone()
}

#[test]
fn a_fleet_that_carries_its_plan_has_every_line_held() {
    let lines = budgets(&plan(), &points(&sound()));
    for line in &lines {
        assert_eq!(line.verdict, Verdict::Held, "{line:#?}");
    }
    assert_eq!(lines.iter().filter(|line| line.what.contains("machine")).count(), 12);
    // b2 is the fullest, with the archive where others have a keeper: control, config, quota, turns, gather, archive.
    let full = line(&lines, "all 4 machines: processors of the fullest machine");
    let truly = (0.365 + 0.91) + 0.73 + 0.1195 + 0.0073 + (0.1 + 0.0275) + (0.05 + 0.11);
    assert!((full.needed.value / truly - 1.0).abs() < 1e-4, "{full:?}, truly {truly}");
    assert_eq!(full.why, "b2: most of it control");
    // Two machines have all callers between them.
    let cut = line(&lines, "one region's machines cut off: processors of the fullest machine");
    assert!((cut.needed.value - full.needed.value - 0.91).abs() < 0.2, "{cut:?}");
    let without = line(&lines, "a server's processor for control");
    assert!((without.needed.value - 0.01).abs() < 1e-6, "requests are no control: {without:?}");
}

#[test]
fn nothing_measured_holds_nothing_and_what_has_no_way_comes_first() {
    let (plan, none) = (plan(), Points::default());
    let lines = budgets(&plan, &none);
    assert_eq!(lines[0].verdict, Verdict::NoWay);
    let counted = |verdict| lines.iter().filter(|line| line.verdict == verdict).count();
    // The code's own bound is known without any measurement; all else is open.
    assert_eq!(
        (counted(Verdict::Held), counted(Verdict::NotHeld), counted(Verdict::NoWay)),
        (1, 0, 1),
        "{lines:#?}"
    );
    let costs = Costs::of(&none);
    let over =
        [Bound { role: "steward-quota".into(), size: "customers".into(), most: 10_000.0, named: "C".into() }];
    let ranked = Reckoning { plan: &plan, costs: &costs, bounds: &over }.ranking();
    let told: Vec<(&str, Verdict)> = ranked.iter().map(|line| (line.what.as_str(), line.verdict)).collect();
    assert_eq!(
        told,
        [
            ("a change in force at every server", Verdict::NoWay),
            ("steward-quota: customers", Verdict::NotHeld)
        ]
    );
    assert!((ranked[1].ratio() - 1.5).abs() < 1e-9);
}

#[test]
fn a_report_that_names_each_customer_breaks_a_servers_bytes_by_its_slope() {
    let plan = plan();
    let costs_of = |laws: &Laws| budgets(&plan, &points(laws));
    let lines = costs_of(&but("server", "sent", |at| 300.0 + 280.0 * at["customers"]));
    let bytes = line(&lines, "a server's bytes for control");
    // To each of four control services; with four quota stewards, turn stewards and distributors 200, 100 and 100.
    let truly = 4.0 * (300.0 + 280.0 * 15_000.0 + 200.0 + 200.0 + 100.0 + 100.0);
    assert!((bytes.needed.value / truly - 1.0).abs() < 1e-6, "{bytes:?}");
    assert_eq!(bytes.verdict, Verdict::NotHeld);
    assert!((bytes.ratio() - truly / 12_288.0).abs() < 0.01);
    // Half the tenants, half of it.
    let half = read("p", &SHIPPED.replace("(tenants 15000)", "(tenants 7500)")).unwrap();
    let laws = but("server", "sent", |at| 300.0 + 280.0 * at["customers"]);
    let halved = line(&budgets(&half, &points(&laws)), "a server's bytes for control");
    assert!((halved.needed.value - 4.0 * (300.0 + 280.0 * 7500.0 + 600.0)).abs() < 10.0, "{halved:?}");
    // Points that say with how many control services they were taken count as they are.
    let mut told = points(&laws);
    for point in &mut told.points {
        point.sizes.insert("controls".into(), 4.0);
    }
    let whole = line(&budgets(&half, &told), "a server's bytes for control");
    let truly = 300.0 + 280.0 * 7500.0 + 200.0 + 4.0 * 400.0;
    assert!((whole.needed.value - truly).abs() < 10.0, "{whole:?}");
}

#[test]
fn what_stewards_hear_of_each_customer_is_a_servers_to_send() {
    // 70 B for each customer, four times a second, from each server to each of four stewards.
    let laws = but("steward-quota", "received", |at| 280.0 * at["servers"] * at["customers"]);
    let bytes = line(&budgets(&plan(), &points(&laws)), "a server's bytes for control");
    let truly = 4.0 * (280.0 * 15_000.0 + 100.0 + 100.0 + 100.0 + 1200.0);
    assert!((bytes.needed.value / truly - 1.0).abs() < 1e-6, "{bytes:?}, truly {truly}");
    assert_eq!(bytes.verdict, Verdict::NotHeld);
    assert!(bytes.why.contains("quota stewards 16"), "{}", bytes.why);
    // Nothing measured of the stewards: what is known is a least, and can't keep the budget.
    let mut laws = sound();
    laws.retain(|(role, ..)| *role != "steward-quota");
    let bytes = line(&budgets(&plan(), &points(&laws)), "a server's bytes for control");
    assert!(
        bytes.verdict == Verdict::NotKnown && bytes.why.contains("steward-quota: not measured"),
        "{bytes:?}"
    );
}

#[test]
fn what_is_not_carried_is_ranked_by_way_ratio_and_harm() {
    let mut laws = but("server", "sent", |at| 280.0 * at["customers"]);
    laws.retain(|(role, ..)| *role != "config");
    for one in &mut laws {
        match (one.0, one.1) {
            ("server", "latency_p99") => one.2 = |at| 0.002 + 0.0001 * at["requests"],
            ("server", "memory") => one.2 = |at| 20_000.0 * at["customers"],
            _ => {}
        }
    }
    let (plan, points, bounds) = (plan(), points(&laws), bounds());
    let costs = Costs::of(&points);
    let ranked = Reckoning { plan: &plan, costs: &costs, bounds: &bounds }.ranking();
    let told: Vec<&str> = ranked.iter().map(|line| line.what.as_str()).collect();
    assert_eq!(
        told,
        [
            "a change in force at every server",
            "a server's bytes for control",
            "added to a request, p99",
            "a server's memory"
        ]
    );
}

#[test]
fn a_doubled_plan_names_what_gives_out_first() {
    // 4.55 cores for 2,275 callers a service, 6.07 for a third of all; 1.1 for the other roles.
    let laws = but("control", "cpu", |at| 0.002 * at["proxies"]);
    let (plan, points, bounds) = (plan(), points(&laws), bounds());
    let costs = Costs::of(&points);
    let all = doubled(&plan, &costs, &bounds);
    // With one region's machines cut off 4,550 callers each: not held today already, so that it comes first.
    let cut = &all[0];
    assert!(cut.now.what.contains("cut off") && cut.now.ratio() > 1.0 && cut.gives_out.is_none(), "{cut:#?}");
    let first = all.iter().find(|one| one.gives_out.is_some()).unwrap();
    assert!(first.now.what.contains("one machine lost"), "{first:#?}");
    let (below, above) = first.gives_out.unwrap();
    assert!(below < above && above <= 2.0);
    let mut before = 0.0;
    for one in all.iter().filter_map(|one| one.gives_out) {
        assert!(one.1 >= before, "not in their order");
        before = one.1;
    }
    // The plan's own sizes are twice as large, but not a server's share of the requests.
    let added = all.iter().find(|one| one.now.what.starts_with("added")).unwrap();
    assert!((added.now.needed.value - added.twice.needed.value).abs() < 1e-9, "{added:#?}");
    // With nothing measured only the code's bound is known to have room.
    let none = Points::default();
    let costs = Costs::of(&none);
    let all = doubled(&plan, &costs, &bounds);
    assert!(all.iter().all(|one| one.gives_out.is_none()), "{all:#?}");
}

#[test]
fn a_zone_that_reconnects_costs_what_the_slopes_say() {
    let (plan, points) = (plan(), points(&sound()));
    let costs = Costs::of(&points);
    let reckoning = Reckoning { plan: &plan, costs: &costs, bounds: &[] };
    let zone = events(&plan).into_iter().find(|event| event.name == "a zone").unwrap();
    assert!((zone.servers - 730.0 / 6.0).abs() < 1e-9 && (zone.callers - 9100.0 / 6.0).abs() < 1e-9);
    let told = reckoning.outcome(zone);
    let control = told.bursts.iter().find(|burst| burst.role == "control").unwrap();
    // All servers of the zone, and this service's quarter of its callers.
    let truly = 730.0 / 6.0 + 9100.0 / 6.0 / 4.0;
    assert!((control.connections.value - truly).abs() < 0.5, "{control:?}, truly {truly}");
    // Two seconds of what they cost steadily.
    let truly = 2.0 * (0.0005 * 730.0 / 6.0 + 0.0004 * 9100.0 / 24.0);
    assert!((control.cpu.value / truly - 1.0).abs() < 0.01, "{control:?}, truly {truly}");
    // The product: 36 B for each server and caller, before less after.
    let (n, m) = (730.0, 2275.0);
    let truly = 2.0 * (36.0 * (n * m - (n * 5.0 / 6.0) * (m * 5.0 / 6.0)) + 800.0 * n / 6.0);
    assert!((control.bytes.value / truly - 1.0).abs() < 0.01, "{control:?}, truly {truly}");
    assert!(
        told.absorbed.verdict == Verdict::Held && told.absorbed.needed.value > 0.0,
        "{:?}",
        told.absorbed
    );
    // Five sixths of the servers have all requests.
    assert!(
        (told.server_cpu.value - (0.01 + 0.001 * 110_000.0 / 730.0 * 1.2)).abs() < 1e-6,
        "{:?}",
        told.server_cpu
    );
}

#[test]
fn a_machine_without_a_spare_core_never_takes_a_burst_in() {
    let laws = but("control", "cpu", |at| 0.01 * at["proxies"]);
    let (plan, points) = (plan(), points(&laws));
    let costs = Costs::of(&points);
    let reckoning = Reckoning { plan: &plan, costs: &costs, bounds: &[] };
    for event in events(&plan).into_iter().skip(2) {
        let told = reckoning.outcome(event);
        assert_eq!(told.absorbed.verdict, Verdict::NotHeld, "{:?}", told.absorbed);
    }
}

#[test]
fn what_is_open_above_breaks_a_budget_but_never_keeps_one() {
    let of = |low: f64, high: f64, above: bool, below: bool| Estimate {
        low,
        value: low,
        high,
        above: if above { vec!["x".into()] } else { Vec::new() },
        below: if below { vec!["y".into()] } else { Vec::new() },
        ..Estimate::none()
    };
    for (told, wanted) in [
        (of(1.0, 2.0, false, false), Verdict::Held),
        (of(1.0, 2.0, true, false), Verdict::NotKnown),
        (of(1.0, 2.0, false, true), Verdict::Held),
        (of(4.0, 5.0, false, false), Verdict::NotHeld),
        (of(4.0, 5.0, true, false), Verdict::NotHeld),
        (of(4.0, 5.0, false, true), Verdict::NotKnown),
        (of(2.0, 4.0, false, false), Verdict::NotKnown),
    ] {
        assert_eq!(verdict(&told, 3.0), wanted, "{told:?}");
    }
}
