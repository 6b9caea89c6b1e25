//! Tests of the module `assignment`.

use super::*;

fn fleet(count: usize) -> Vec<Candidate> {
    let one = |at: usize| Candidate {
        instance: format!("n{at}"),
        zone: ["east", "west"][at % 2].into(),
        task_parts: 0,
        total_parts: 0,
    };
    (0..count).map(one).collect()
}

fn loads(holders: &BTreeMap<u32, String>, count: usize) -> Vec<usize> {
    (0..count).map(|at| holders.values().filter(|who| **who == format!("n{at}")).count()).collect()
}

fn assign_all(count: usize, parts: u32) -> BTreeMap<u32, String> {
    let mut fleet = fleet(count);
    let vacant: Vec<u32> = (0..parts).collect();
    let assigned = assign_vacant("gather", None, &vacant, parts as usize, &mut fleet, |_, _| false);
    assigned.into_iter().map(|one| (one.part, one.instance)).collect()
}

#[test]
fn ten_thousand_parts_lie_on_three_hundred_with_none_over_a_quarter_more_and_none_idle() {
    let holders = assign_all(300, 10_000);
    let loads = loads(&holders, 300);
    assert_eq!(holders.len(), 10_000);
    assert!(loads.iter().all(|n| (1..=41).contains(n)), "{loads:?}");
}

#[test]
fn an_instance_that_leaves_moves_its_own_parts_and_one_that_joins_takes_no_more_than_its_share() {
    let holders = assign_all(30, 1000);
    let lost: Vec<u32> = holders.iter().filter(|(_, who)| *who == "n7").map(|(part, _)| *part).collect();
    let mut left: Vec<Candidate> = fleet(30).into_iter().filter(|c| c.instance != "n7").collect();
    for c in &mut left {
        c.task_parts = holders.values().filter(|who| **who == c.instance).count();
    }
    let assigned = assign_vacant("gather", None, &lost, 1000, &mut left, |_, _| false);
    assert_eq!(assigned.len(), lost.len());
    // It comes back to an even fleet: parts move to it until it has three quarters of the mean, no further.
    let mut holders_after = holders.clone();
    holders_after.extend(assigned.into_iter().map(|one| (one.part, one.instance)));
    let mut back = fleet(30);
    for c in &mut back {
        c.task_parts = holders_after.values().filter(|who| **who == c.instance).count();
    }
    let moves = rebalance("gather", &holders_after, 1000, &back, 1000, |_, _| false);
    let back: Vec<_> = moves.iter().filter(|one| one.to == "n7").collect();
    assert!(back.len() == 25 && moves.len() < 40, "{} of {}", back.len(), moves.len());
    let home = back.iter().filter(|one| lost.contains(&one.part)).count();
    // Picked blindly, one of them would be.
    assert!(home > 5, "{home} of 25 come back to where they rank first");
}

#[test]
fn a_zone_is_kept_to_while_it_has_capacity_and_then_left() {
    let mut four = fleet(4);
    let assigned = assign_vacant("gather", Some("east"), &[0, 1, 2, 3], 4, &mut four, |_, _| false);
    let east = assigned.iter().filter(|one| ["n0", "n2"].contains(&one.instance.as_str())).count();
    assert_eq!((assigned.len(), east), (4, 2), "one each at the most: two go west");
}

#[test]
fn an_excluded_instance_gets_none_and_a_part_for_none_is_left() {
    let mut two = fleet(2);
    let assigned = assign_vacant("turns", None, &[0], 1, &mut two, |_, who| who == "n0");
    assert_eq!(assigned, [Assignment { part: 0, instance: "n1".into() }]);
    // One is excluded from all four, and the other has its share of them at the most: better too many than nobody.
    let mut two = fleet(2);
    let assigned = assign_vacant("gather", None, &[0, 1, 2, 3], 4, &mut two, |_, who| who == "n0");
    assert!(assigned.len() == 4 && assigned.iter().all(|one| one.instance == "n1"), "{assigned:?}");
    assert!(assign_vacant("turns", None, &[0], 1, &mut fleet(2), |_, _| true).is_empty());
    assert!(assign_vacant("turns", None, &[0], 1, &mut [], |_, _| false).is_empty());
}

#[test]
fn tasks_of_one_part_go_to_those_that_have_least() {
    let mut three = fleet(3);
    for (at, task) in ["a", "b", "c"].into_iter().enumerate() {
        for c in &mut three {
            c.task_parts = 0;
        }
        assert_eq!(assign_vacant(task, None, &[0], 1, &mut three, |_, _| false).len(), 1, "{at}");
    }
    assert!(three.iter().all(|c| c.total_parts == 1), "{three:?}");
}

#[test]
fn an_even_fleet_is_left_alone() {
    let holders = assign_all(30, 1000);
    let mut even = fleet(30);
    for c in &mut even {
        c.task_parts = holders.values().filter(|who| **who == c.instance).count();
    }
    let first = rebalance("gather", &holders, 1000, &even, 1000, |_, _| false);
    let mut moved = holders.clone();
    moved.extend(first.iter().map(|one| (one.part, one.to.clone())));
    for c in &mut even {
        c.task_parts = moved.values().filter(|who| **who == c.instance).count();
    }
    assert!(rebalance("gather", &moved, 1000, &even, 1000, |_, _| false).is_empty());
    assert!(first.len() < 100, "{} moves to balance what was assigned by rank", first.len());
}
