//! Tests of the module `replica_selector`.

use super::*;

fn selector(seed: u64) -> ReplicaSelector<&'static str> {
    ReplicaSelector::new(BTreeMap::from([(1, "one"), (2, "two"), (5, "five")]), seed)
}

#[test]
fn spreads_first_replicas_and_backoffs() {
    let mut first = [0; 6];
    let mut backoffs = Vec::new();
    for seed in 0..300 {
        let mut selector = selector(seed);
        let NextAction::Connect(to) = selector.next_action(0.0) else { panic!() };
        first[to as usize] += 1;
        (0..9).for_each(|_| selector.mark_failed(0.0));
        let NextAction::WaitUntil(until) = selector.next_action(0.0) else { panic!() };
        backoffs.push(until);
    }
    assert!(first.iter().all(|count| *count == 0 || (60..140).contains(count)), "{first:?}");
    backoffs.sort_by(f64::total_cmp);
    assert!(backoffs[0] < 0.2 && backoffs[290] > 0.4 && backoffs[299] < MAX_BACKOFF, "{backoffs:?}");
}

#[test]
fn follows_redirects_without_loops() {
    let mut selector = selector(1);
    let NextAction::Connect(first) = selector.next_action(0.0) else { panic!() };
    let other = if first == 5 { 1 } else { 5 };
    selector.mark_connected();
    selector.follow_redirect(0.0, Some((other, None)));
    assert_eq!(selector.next_action(0.0), NextAction::Connect(other));
    for _ in 0..2 {
        let NextAction::Connect(to) = selector.next_action(0.0) else { break };
        selector.follow_redirect(0.0, Some((if to == 5 { 1 } else { 5 }, None)));
    }
    (0..2).for_each(|_| selector.follow_redirect(0.0, None));
    assert!(
        matches!(selector.next_action(0.0), NextAction::WaitUntil(_)),
        "a redirect loop ends in a backoff"
    );
    assert!(matches!(selector.next_action(9.0), NextAction::Connect(_)));
    selector.mark_healthy();
    assert!(matches!(selector.next_action(0.0), NextAction::Connect(_)));
}

#[test]
fn adds_redirected_replica_and_keeps_configured_address() {
    let mut selector = selector(1);
    selector.follow_redirect(0.0, Some((7, Some("seven"))));
    assert_eq!((selector.next_action(0.0), selector.address(7)), (NextAction::Connect(7), Some(&"seven")));
    selector.follow_redirect(0.0, Some((1, Some("elsewhere"))));
    assert_eq!(selector.address(1), Some(&"one"));
    for number in 100..200 {
        selector.follow_redirect(0.0, Some((number, Some("more"))));
    }
    assert_eq!(selector.replicas.len(), MAX_REPLICAS);
    assert_eq!(
        ReplicaSelector::<u8>::new(BTreeMap::new(), 1).next_action(0.0),
        NextAction::WaitUntil(f64::MAX)
    );
}
