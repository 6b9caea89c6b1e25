//! Tests of the module `assignment`.

use super::*;

fn fleet(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        instance: format!("n{index}"),
        zone: ["east", "west"][index % 2].into(),
        task_parts: 0,
        total_parts: 0,
    };
    (0..count).map(candidate).collect()
}

fn loads(holders: &BTreeMap<u32, String>, count: usize) -> Vec<usize> {
    (0..count)
        .map(|index| holders.values().filter(|holder| **holder == format!("n{index}")).count())
        .collect()
}

fn assign_all(count: usize, parts: u32) -> BTreeMap<u32, String> {
    let mut fleet = fleet(count);
    let vacant: Vec<u32> = (0..parts).collect();
    let assigned = assign_vacant("gather", None, &vacant, parts as usize, &mut fleet, |_, _| false);
    assigned.into_iter().map(|assignment| (assignment.part, assignment.instance)).collect()
}

#[test]
fn spreads_parts_within_load_bounds() {
    let holders = assign_all(300, 10_000);
    let loads = loads(&holders, 300);
    assert_eq!(holders.len(), 10_000);
    assert!(loads.iter().all(|load| (1..=41).contains(load)), "{loads:?}");
}

#[test]
fn leaving_and_joining_move_few_parts() {
    let holders = assign_all(30, 1000);
    let lost: Vec<u32> =
        holders.iter().filter(|(_, holder)| *holder == "n7").map(|(part, _)| *part).collect();
    let mut remaining: Vec<Candidate> =
        fleet(30).into_iter().filter(|candidate| candidate.instance != "n7").collect();
    for candidate in &mut remaining {
        candidate.task_parts = holders.values().filter(|holder| **holder == candidate.instance).count();
    }
    let assigned = assign_vacant("gather", None, &lost, 1000, &mut remaining, |_, _| false);
    assert_eq!(assigned.len(), lost.len());
    // n7 joins a balanced fleet: parts move to it up to the lower bound, three quarters of the mean.
    let mut holders_after = holders.clone();
    holders_after.extend(assigned.into_iter().map(|assignment| (assignment.part, assignment.instance)));
    let mut rejoined = fleet(30);
    for candidate in &mut rejoined {
        candidate.task_parts = holders_after.values().filter(|holder| **holder == candidate.instance).count();
    }
    let moves = rebalance("gather", &holders_after, 1000, &rejoined, 1000, |_, _| false);
    let to_rejoined: Vec<_> = moves.iter().filter(|part_move| part_move.to == "n7").collect();
    assert!(to_rejoined.len() == 25 && moves.len() < 40, "{} of {}", to_rejoined.len(), moves.len());
    let returned = to_rejoined.iter().filter(|part_move| lost.contains(&part_move.part)).count();
    // Of randomly chosen parts, about one would return.
    assert!(returned > 5, "{returned} of 25 moved parts return to n7, where they rank first");
}

#[test]
fn prefers_zone_while_it_has_capacity() {
    let mut four = fleet(4);
    let assigned = assign_vacant("gather", Some("east"), &[0, 1, 2, 3], 4, &mut four, |_, _| false);
    let east =
        assigned.iter().filter(|assignment| ["n0", "n2"].contains(&assignment.instance.as_str())).count();
    assert_eq!((assigned.len(), east), (4, 2), "at most one part per instance: two go west");
}

#[test]
fn excluded_instance_is_assigned_nothing() {
    let mut two = fleet(2);
    let assigned = assign_vacant("turns", None, &[0], 1, &mut two, |_, instance| instance == "n0");
    assert_eq!(assigned, [Assignment { part: 0, instance: "n1".into() }]);
    // The only eligible instance is assigned all parts, although that exceeds its bound.
    let mut two = fleet(2);
    let assigned = assign_vacant("gather", None, &[0, 1, 2, 3], 4, &mut two, |_, instance| instance == "n0");
    assert!(
        assigned.len() == 4 && assigned.iter().all(|assignment| assignment.instance == "n1"),
        "{assigned:?}"
    );
    assert!(assign_vacant("turns", None, &[0], 1, &mut fleet(2), |_, _| true).is_empty());
    assert!(assign_vacant("turns", None, &[0], 1, &mut [], |_, _| false).is_empty());
}

#[test]
fn single_part_tasks_go_to_least_loaded() {
    let mut three = fleet(3);
    for task in ["a", "b", "c"] {
        for candidate in &mut three {
            candidate.task_parts = 0;
        }
        assert_eq!(assign_vacant(task, None, &[0], 1, &mut three, |_, _| false).len(), 1, "{task}");
    }
    assert!(three.iter().all(|candidate| candidate.total_parts == 1), "{three:?}");
}

#[test]
fn balanced_fleet_moves_no_parts() {
    let holders = assign_all(30, 1000);
    let mut balanced = fleet(30);
    for candidate in &mut balanced {
        candidate.task_parts = holders.values().filter(|holder| **holder == candidate.instance).count();
    }
    let first = rebalance("gather", &holders, 1000, &balanced, 1000, |_, _| false);
    let mut moved = holders.clone();
    moved.extend(first.iter().map(|part_move| (part_move.part, part_move.to.clone())));
    for candidate in &mut balanced {
        candidate.task_parts = moved.values().filter(|holder| **holder == candidate.instance).count();
    }
    assert!(rebalance("gather", &moved, 1000, &balanced, 1000, |_, _| false).is_empty());
    assert!(first.len() < 100, "{} moves balance an assignment by rank", first.len());
}
