use super::*;
use crate::fleet::{FleetConfig, FleetView};
use crate::plan::Planner;
use crate::report::LoadReport;
use crate::shedding::DropRule;
use crate::test_support::report;

fn plan(count: usize) -> Plan {
    let mut views = FleetView::new(FleetConfig::default());
    for at in 0..count {
        let zone = if at % 4 == 0 { "b" } else { "a" };
        views.record(0.0, LoadReport { zone: zone.into(), ..report(&format!("n{at:04}"), 1, 0.0) });
    }
    Planner::default().plan(0.0, &views).unwrap()
}
fn decoded(snapshot: &ResourceSnapshot) -> ClusterLoadAssignment {
    let body = &snapshot.set(ResourceType::Endpoints)[CLUSTER].body;
    ClusterLoadAssignment::decode(&body[..]).unwrap()
}

#[test]
fn the_same_decision_is_the_same_bytes_and_another_changes_only_what_it_concerns() {
    let (plan, profile, subsets) =
        (plan(8), ProxyProfile { zone: "a".into(), slot: 0 }, SubsetConfig::default());
    let one = resource_snapshot(&plan, PlanVersion::default(), &profile, &subsets);
    let again = resource_snapshot(&plan.clone(), PlanVersion { epoch: 1, number: 9 }, &profile, &subsets);
    assert_eq!(one.sets, again.sets);
    let mut dropping = plan.clone();
    dropping.drops = vec![DropRule { product: "p".into(), customer: "k".into(), fraction: 0.25 }];
    let two = resource_snapshot(&dropping, PlanVersion::default(), &profile, &subsets);
    let same: Vec<bool> = ResourceType::ALL.iter().map(|of| one.set(*of) == two.set(*of)).collect();
    assert_eq!(same, [true, true, true, false]);
    let body = &two.set(ResourceType::Routes)[ROUTES].body;
    let routes = RouteConfiguration::decode(&body[..]).unwrap().virtual_hosts.remove(0).routes;
    assert_eq!(routes.len(), 2);
    let fraction = routes[0].r#match.as_ref().unwrap().runtime_fraction.as_ref().unwrap();
    assert_eq!(fraction.default_value.as_ref().unwrap().numerator, 250_000);
}

#[test]
fn endpoints_carry_their_zone_s_servers_and_their_weights() {
    let plan = plan(8);
    let assignment = decoded(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "a".into(), slot: 0 },
        &SubsetConfig::default(),
    ));
    assert_eq!(assignment.endpoints.len(), 1);
    assert_eq!(assignment.endpoints[0].locality.as_ref().unwrap().zone, "a");
    let weights: Vec<u32> =
        assignment.endpoints[0].lb_endpoints.iter().map(|e| e.load_balancing_weight.unwrap().value).collect();
    assert_eq!(weights, [100; 6]);
    // A zone that nobody knows is served by both.
    let other = decoded(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "z".into(), slot: 0 },
        &SubsetConfig::default(),
    ));
    assert_eq!(other.endpoints.len(), 2);
}

#[test]
fn in_a_zone_of_thousands_a_slow_server_still_has_a_small_weight() {
    let mut views = FleetView::new(FleetConfig::default());
    for at in 0..2000 {
        let service_time = if at == 7 { 0.04 } else { 0.01 };
        views.record(0.0, LoadReport { service_time, ..report(&format!("n{at:04}"), 1, 0.0) });
    }
    let plan = Planner::default().plan(0.0, &views).unwrap();
    let subsets = SubsetConfig { size: 5000, slots: 1 };
    let assignment = decoded(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "a".into(), slot: 0 },
        &subsets,
    ));
    let weight = |at: usize| assignment.endpoints[0].lb_endpoints[at].load_balancing_weight.unwrap().value;
    assert_eq!((weight(6), weight(7)), (100, 25));
}

#[test]
fn subsets_of_a_large_fleet_are_bounded_even_and_hardly_change_with_one_server_more() {
    let subsets = SubsetConfig { size: 40, slots: 16 };
    let count = 600;
    let names: Vec<String> = (0..count).map(|at| format!("n{at:04}")).collect();
    let of = |slot: usize, names: &[String]| -> Vec<String> {
        names.iter().filter(|name| subsets.contains(slot, name, names.len())).cloned().collect()
    };
    let mut seen = std::collections::BTreeMap::new();
    for slot in 0..16 {
        let assignment = of(slot, &names);
        assert!((20..=120).contains(&assignment.len()), "{}", assignment.len());
        assignment.into_iter().for_each(|name| *seen.entry(name).or_insert(0) += 1);
    }
    assert!(seen.len() == count && seen.values().all(|slots| *slots == 2));
    let more: Vec<String> = names.iter().cloned().chain(["new".into()]).collect();
    let kept = of(3, &more).into_iter().filter(|name| name != "new").collect::<Vec<_>>();
    assert_eq!(kept, of(3, &names));
}
