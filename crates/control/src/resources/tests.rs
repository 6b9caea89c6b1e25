use super::*;
use crate::fleet::{FleetConfig, FleetView};
use crate::plan::Planner;
use crate::report::LoadReport;
use crate::shedding::DropRule;
use crate::test_support::report;

fn plan(count: usize) -> Plan {
    let mut fleet_view = FleetView::new(FleetConfig::default());
    for index in 0..count {
        let zone = if index % 4 == 0 { "b" } else { "a" };
        fleet_view.record(0.0, LoadReport { zone: zone.into(), ..report(&format!("n{index:04}"), 1, 0.0) });
    }
    Planner::default().plan(0.0, &fleet_view).unwrap()
}

fn decode_endpoints(snapshot: &ResourceSnapshot) -> ClusterLoadAssignment {
    let body = &snapshot.set(ResourceType::Endpoints)[CLUSTER].body;
    ClusterLoadAssignment::decode(&body[..]).unwrap()
}

#[test]
fn encodes_deterministically_and_changes_only_affected_type() {
    let (plan, profile, subsets) =
        (plan(8), ProxyProfile { zone: "a".into(), subset: 0 }, SubsetConfig::default());
    let original = resource_snapshot(&plan, PlanVersion::default(), &profile, &subsets);
    let repeated = resource_snapshot(&plan.clone(), PlanVersion { epoch: 1, number: 9 }, &profile, &subsets);
    assert_eq!(original.sets, repeated.sets);
    let mut dropping = plan.clone();
    dropping.drops = vec![DropRule { product: "p".into(), customer: "k".into(), fraction: 0.25 }];
    let changed = resource_snapshot(&dropping, PlanVersion::default(), &profile, &subsets);
    let is_unchanged =
        |resource_type: &ResourceType| original.set(*resource_type) == changed.set(*resource_type);
    let unchanged: Vec<bool> = ResourceType::ALL.iter().map(is_unchanged).collect();
    assert_eq!(unchanged, [true, true, true, false]);
    let body = &changed.set(ResourceType::Routes)[ROUTES].body;
    let routes = RouteConfiguration::decode(&body[..]).unwrap().virtual_hosts.remove(0).routes;
    assert_eq!(routes.len(), 2);
    let fraction = routes[0].r#match.as_ref().unwrap().runtime_fraction.as_ref().unwrap();
    assert_eq!(fraction.default_value.as_ref().unwrap().numerator, 250_000);
}

#[test]
fn endpoints_list_servers_of_zone_with_weights() {
    let plan = plan(8);
    let assignment = decode_endpoints(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "a".into(), subset: 0 },
        &SubsetConfig::default(),
    ));
    assert_eq!(assignment.endpoints.len(), 1);
    assert_eq!(assignment.endpoints[0].locality.as_ref().unwrap().zone, "a");
    let weights: Vec<u32> =
        assignment.endpoints[0].lb_endpoints.iter().map(|e| e.load_balancing_weight.unwrap().value).collect();
    assert_eq!(weights, [100; 6]);
    // A zone without servers is routed to both other zones.
    let unknown_zone = decode_endpoints(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "z".into(), subset: 0 },
        &SubsetConfig::default(),
    ));
    assert_eq!(unknown_zone.endpoints.len(), 2);
}

#[test]
fn keeps_weight_resolution_in_large_zone() {
    let mut fleet_view = FleetView::new(FleetConfig::default());
    for index in 0..2000 {
        let service_time = if index == 7 { 0.04 } else { 0.01 };
        fleet_view.record(0.0, LoadReport { service_time, ..report(&format!("n{index:04}"), 1, 0.0) });
    }
    let plan = Planner::default().plan(0.0, &fleet_view).unwrap();
    let subsets = SubsetConfig { size: 5000, count: 1 };
    let assignment = decode_endpoints(&resource_snapshot(
        &plan,
        PlanVersion::default(),
        &ProxyProfile { zone: "a".into(), subset: 0 },
        &subsets,
    ));
    let weight =
        |index: usize| assignment.endpoints[0].lb_endpoints[index].load_balancing_weight.unwrap().value;
    assert_eq!((weight(6), weight(7)), (100, 25));
}

#[test]
fn subsets_are_bounded_even_and_stable() {
    let subsets = SubsetConfig { size: 40, count: 16 };
    let count = 600;
    let names: Vec<String> = (0..count).map(|index| format!("n{index:04}")).collect();
    let subset_members = |subset: usize, names: &[String]| -> Vec<String> {
        names.iter().filter(|name| subsets.contains(subset, name, names.len())).cloned().collect()
    };
    let mut subsets_by_server = std::collections::BTreeMap::new();
    for subset in 0..16 {
        let assignment = subset_members(subset, &names);
        assert!((20..=120).contains(&assignment.len()), "{}", assignment.len());
        assignment.into_iter().for_each(|name| *subsets_by_server.entry(name).or_insert(0) += 1);
    }
    assert!(subsets_by_server.len() == count && subsets_by_server.values().all(|subsets| *subsets == 2));
    let extended: Vec<String> = names.iter().cloned().chain(["new".into()]).collect();
    let kept = subset_members(3, &extended).into_iter().filter(|name| name != "new").collect::<Vec<_>>();
    assert_eq!(kept, subset_members(3, &names));
}
