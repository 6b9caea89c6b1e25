use super::*;

/// Guards against requests that are never removed while the connection to the agent breaks again and again.
#[test]
fn further_reconnects_do_not_postpone_the_removal_of_a_lost_run() {
    let mut requests = InFlightRequests::default();
    let attempt = [b'a'; 16];
    let id = requests.insert(attempt, None, true, Arc::default()).unwrap();
    let request = requests.get_mut(id).unwrap();
    (request.running, request.answered_at) = (true, Some(1.0));
    for reconnected_at in [2.0, 4.0, 6.0] {
        requests.mark_outcome_uncertain(id, reconnected_at);
    }
    assert!(requests.take_lost_runs(6.9, 5.0).is_empty());
    assert_eq!(requests.take_lost_runs(7.0, 5.0).len(), 1);
    requests.mark_outcome_uncertain(id, 8.0);
    requests.record_run_notice(&attempt);
    assert!(requests.take_lost_runs(99.0, 5.0).is_empty());
}
