//! One test for each failure that the policy guards against: it fails when that guard is taken out.

mod host;

use host::*;
use puffinladder::*;

fn busy_host(settings: &PolicySettings) -> Host {
    let mut host = Host::new(settings);
    host.arrive(&[request(1, 0), request(2, 0)]);
    assert_eq!(host.count("run"), 2);
    host
}

#[test]
fn a_freed_slot_goes_to_the_queue_and_what_waited_too_long_is_rejected_instead() {
    let mut host = busy_host(&settings());
    host.arrive(&[request(3, 0)]);
    host.advance(1.0);
    assert_eq!(host.finish(1), ["run 3"]);
    host.arrive(&[request(4, 0)]);
    let lines = host.advance(2.1); // a fifth of the timeout of 10 s
    assert_eq!(count(&lines, "reject 4 0.4"), 1, "{lines:?}");
}

#[test]
fn time_unread_counts_as_waiting() {
    let mut host = busy_host(&settings());
    host.arrive(&[Request { time_unread: 1.95, ..request(3, 0) }]);
    assert_eq!(count(&host.advance(0.1), "reject 3"), 1);
}

#[test]
fn low_weight_and_retries_wait_less_and_come_later() {
    let mut host = busy_host(&settings());
    host.arrive(&[request(3, 1), Request { is_retry: true, ..request(4, 0) }, request(5, 0)]);
    assert_eq!(count(&host.finish(1), "run 5"), 1);
    let lines = host.advance(1.2);
    assert_eq!((count(&lines, "reject 4"), count(&lines, "reject 3")), (1, 0));
    assert_eq!(count(&host.advance(0.4), "reject 3"), 1);
}

#[test]
fn a_request_with_too_little_time_left_is_not_started() {
    let mut host = busy_host(&settings());
    host.advance(1.0);
    host.finish(1);
    host.finish(2); // a run takes a second
    let left = |id, span: f64| Request { deadline: 101.0 + span, ..request(id, 0) };
    let lines = host.arrive(&[left(3, 0.8), left(4, 1.5)]);
    assert_eq!((count(&lines, "reject 3"), count(&lines, "run 4")), (1, 1), "{lines:?}");
}

#[test]
fn rule_1_a_run_that_never_ends_is_answered_once_before_it_is_due() {
    let mut host = busy_host(&settings());
    assert_eq!(count(&host.advance(9.9), "fail"), 0);
    host.advance(0.1);
    assert_eq!((host.count("fail 1"), host.count("fail 2")), (1, 1));
    assert_eq!(count(&host.advance(5.0), "fail"), 0);
}

#[test]
fn rule_1_nothing_is_owed_to_a_caller_who_has_gone() {
    let mut host = busy_host(&settings());
    host.arrive(&[request(3, 0)]);
    host.play(Round { abandoned: &[1, 3], ..Round::default() });
    host.advance(12.0);
    assert_eq!((host.count("fail 1"), host.count("reject 3"), host.count("fail 2")), (0, 0, 1));
}

#[test]
fn rule_2_a_keyed_request_is_remembered_before_it_runs_and_its_retry_replayed() {
    let mut host = Host::new(&settings());
    assert_eq!(host.arrive(&[request(1, 2)]), ["remember 1 30.050", "run 1"]);
    assert_eq!(host.arrive(&[Request { earlier_attempt: 1, is_retry: true, ..request(2, 2) }]), ["replay 2"]);
    host.finish(1);
    assert_eq!(host.arrive(&[Request { earlier_attempt: 1, is_retry: true, ..request(3, 2) }]), ["replay 3"]);
}

#[test]
fn rule_2_without_room_for_its_key_a_keyed_request_never_runs() {
    let mut host = Host::new(&PolicySettings { key_memory: 4_000.0, ..settings() });
    host.arrive(&[request(1, 2)]);
    host.finish(1);
    let lines = host.arrive(&[request(2, 2), request(3, 0)]);
    assert_eq!(
        (count(&lines, "reject 2"), count(&lines, "run 2"), count(&lines, "run 3")),
        (1, 0, 1),
        "{lines:?}"
    );
}

#[test]
fn rule_2_a_rejected_keyed_request_leaves_no_key_behind() {
    let mut host = busy_host(&settings());
    host.arrive(&[request(3, 2)]);
    let lines = host.advance(2.1);
    let at = |start: &str| lines.iter().position(|line| line.starts_with(start));
    assert!(at("forget 3").unwrap() < at("reject 3").unwrap());
}

#[test]
fn rule_2_a_call_that_may_have_run_is_not_retried_unless_idempotent() {
    for (outcome, calls, failures) in [(Outcome::TimedOut, 1, 1), (Outcome::Rejected, 2, 0)] {
        let mut host = Host::new(&settings());
        host.arrive(&[request(1, 3)]);
        host.reach_call(1);
        host.end_call(1, outcome, 0.1);
        host.advance(0.2);
        assert_eq!((host.count("call 1"), host.count("fail 1")), (calls, failures), "{outcome:?}");
        assert_eq!(host.count("reject 1"), 0);
    }
}

#[test]
fn rule_3_nothing_that_arrives_after_the_grace_runs_and_all_is_answered_before_the_kill() {
    let mut host = Host::new(&settings());
    host.arrive(&[request(1, 0)]);
    host.play(Round { drain_deadline: Some(105.0), ..Round::default() });
    host.advance(1.0);
    assert_eq!(count(&host.arrive(&[request(2, 0)]), "run 2"), 1);
    host.advance(1.2);
    assert_eq!(count(&host.arrive(&[request(3, 0)]), "reject 3 1 false"), 1);
    host.advance(2.8);
    assert_eq!((host.count("fail 1"), host.count("fail 2")), (1, 1));
}

#[test]
fn rule_4_the_limit_stays_under_the_crowd_that_a_cold_server_survives() {
    for (cold, most) in [(false, 7), (true, 2)] {
        let mut host = Host::new(&PolicySettings { starts_cold: cold, warm_up_duration: 1e3, ..settings() });
        host.gauges = Gauges { busy: Some(0.2), runnable: Some(1.0), ..Gauges::default() };
        for id in 1..40 {
            host.arrive(&[request(id, 0)]);
            host.advance(0.04);
        }
        assert_eq!(host.count("run"), most, "cold: {cold}");
    }
}

/// A cold server of six cores among 30 callers, and what its ramp bears in flight.
fn cold(signal: LoadSignal) -> (PolicySettings, f64) {
    let n: f64 = 6.0 * (1.0 + 4.0 * 0.2);
    let settings = PolicySettings {
        starts_cold: true,
        warm_up_duration: 1e3,
        cores: 6.0,
        callers: 30.0,
        load_signal: signal,
        ..settings()
    };
    (settings, n + 2.0 * n.sqrt() + 2.0)
}

#[test]
fn rule_4_a_cold_server_has_no_more_in_flight_than_its_ramp_and_the_rest_is_rejected_at_once() {
    let (settings, ramp) = cold(LoadSignal::Tokens);
    let mut host = Host::new(&settings);
    host.arrive(&(1..121).map(|id| request(id, 0)).collect::<Vec<_>>());
    let lines = host.advance(0.04);
    let rejected: Vec<&String> = lines.iter().filter(|line| line.starts_with("reject")).collect();
    assert_eq!(120 - rejected.len(), ramp as usize);
    // Rejected callers come back when their turn is, not when they like, and nobody else is asked for.
    assert!(rejected.iter().all(|line| line.split(' ').nth(2) == Some("1")), "{rejected:?}");
    assert!(lines.iter().any(|line| line == "signal 0.01"), "{lines:?}");
    // A server that is warm queues them all, and judges them by their wait.
    let mut host = Host::new(&PolicySettings { starts_cold: false, ..settings });
    host.arrive(&(1..121).map(|id| request(id, 0)).collect::<Vec<_>>());
    assert_eq!(count(&host.advance(0.5), "reject"), 0);
}

#[test]
fn what_a_cold_server_tells_all_its_callers_adds_up_to_its_ramp() {
    for (signal, most) in
        [(LoadSignal::Tokens, cold(LoadSignal::Tokens).1 / 30.0), (LoadSignal::SelectionBias, 0.28)]
    {
        let host = Host::new(&cold(signal).0);
        let sent: f64 = host.log.lines[1].strip_prefix("signal ").expect("the load signal").parse().unwrap();
        assert!(sent > 0.9 * most && sent <= most + 0.005, "{signal:?}: {sent}, {most}");
    }
    // Of two weights the lower may be cut, by the share of its speed that the server lacks.
    let mut host = Host::new(&cold(LoadSignal::MinimumRank).0);
    assert_eq!(host.count("signal 0.40"), 1);
    // Work that leaves cores free shows that it lacks less; none at all shows nothing.
    host.gauges.busy = Some(0.1);
    host.advance(1.0);
    assert_eq!(host.log.lines.iter().rfind(|line| line.starts_with("signal")).unwrap(), "signal 0.40");
    host.arrive(&[request(1, 0)]);
    host.advance(2.0);
    assert_eq!(host.log.lines.iter().rfind(|line| line.starts_with("signal")).unwrap(), "signal 0.00");
}

#[test]
fn the_limit_grows_only_while_cores_are_free() {
    let mut host = busy_host(&settings());
    host.arrive(&(3..30).map(|id| request(id, 0)).collect::<Vec<_>>());
    host.advance(1.0);
    assert_eq!(host.count("run"), 2);
    host.gauges = Gauges { busy: Some(0.5), runnable: Some(1.0), ..Gauges::default() };
    host.advance(0.9);
    assert!(host.count("run") > 2);
}

#[test]
fn a_slot_that_is_just_being_given_away_does_not_make_the_limit_grow() {
    let mut host = busy_host(&settings());
    let older_first = |id: u32| Request { time_unread: 0.3 - 0.01 * f64::from(id), ..request(id, 0) };
    host.arrive(&(3..30).map(older_first).collect::<Vec<_>>());
    host.advance(0.98);
    host.gauges = Gauges { busy: Some(0.5), runnable: Some(1.0), ..Gauges::default() };
    for id in 1..=6 {
        host.now += 0.02; // six ticks: at least one of them is a step of the limit
        let (ended, wake) = ([completion(id, Outcome::Completed, 1.0)], Some(host.gauges));
        host.play(Round { finished_runs: &ended, tick: wake, ..Round::default() });
    }
    assert_eq!(host.count("run"), 2 + 6);
}

#[test]
fn rule_4_calls_stay_within_the_share_and_given_up_ones_count() {
    let mut host = Host::new(&PolicySettings { cores: 20.0, ..settings() });
    let ids: Vec<u32> = (1..=12).collect();
    host.arrive(&ids.iter().map(|&id| request(id, 2)).collect::<Vec<_>>());
    host.play(Round { awaiting_call: &ids, ..Round::default() });
    assert_eq!(host.count("call"), 2); // a quarter of ten
    let called: Vec<u32> = host
        .log
        .lines
        .iter()
        .filter_map(|l| l.strip_prefix("call ")?.split(' ').next()?.parse().ok())
        .collect();
    host.end_call(called[0], Outcome::TimedOut, 0.1);
    host.end_call(called[1], Outcome::Completed, 0.1);
    assert_eq!(host.count("call"), 3); // the one given up lingers below for a while
    host.advance(0.3);
    assert_eq!(host.count("call"), 4);
}

/// Has one request at a call every tenth of a second; returns the calls made and the time for which one was
/// open.
fn calls_open(share: f64, class: usize, requests: u32) -> (usize, f64) {
    let mut host = Host::new(&PolicySettings { call_concurrency_share: share, ..settings() });
    let mut open = 0.0;
    for id in 1..=requests {
        host.arrive(&[request(id, class)]);
        let mut lines = host.reach_call(id);
        for _ in 0..5 {
            open += 0.02 * count(&lines, "call") as f64;
            lines.extend(host.advance(0.02));
        }
        host.end_call(id, Outcome::Completed, 0.1);
        host.finish(id);
    }
    (host.count("call"), open)
}

#[test]
fn rule_4_a_share_under_one_call_is_kept_as_a_mean() {
    let (calls, open) = calls_open(0.25, 2, 199);
    assert!(calls > 10 && open < 0.3 * 19.9, "{calls} {open}");
}

#[test]
fn rule_4_a_fleet_that_comes_up_does_not_open_a_call_each_where_the_share_is_under_one() {
    let (_, open) = calls_open(0.64, 0, 32);
    assert!(open > 0.5 && open < 0.8 * 0.64 * 5.0, "{open}");
}

#[test]
fn rule_4_the_crowd_bears_all_calls_returning_at_once() {
    let mut host = Host::new(&PolicySettings { downstream: Downstream::NextTier, ..settings() });
    for id in 1..=30 {
        host.arrive(&[request(id, 2)]);
        host.reach_call(id);
        host.end_call(id, Outcome::Rejected, 0.01);
    }
    assert_eq!(count(&host.advance(1.0), "call"), 8); // of the ten that two cores survive
}

#[test]
fn with_a_small_crowd_those_that_wait_for_a_call_go_on_before_new_runs_start() {
    // Two cores and a crowd of four, of which four may run or call: runs would take every place that frees.
    let mut host =
        Host::new(&PolicySettings { overload_multiple: 2.0, call_concurrency_share: 40.0, ..settings() });
    // The lower its number, the longer one has waited.
    let waited = |id: u32| Request { time_unread: 0.1 - 0.01 * f64::from(id), ..request(id, 0) };
    host.arrive(&(1..=9).map(waited).collect::<Vec<_>>());
    for id in 1..=3 {
        let lines = host.reach_call(id);
        assert_eq!((count(&lines, &format!("call {id} ")), count(&lines, "skip")), (1, 0), "{id}: {lines:?}");
    }
    assert_eq!(host.count("run"), 4, "three calls and a run");
    assert_eq!(host.count("call"), 3);
    // All places are taken: the next one waits for one that comes back, which is within what the crowd bears.
    let lines = host.reach_call(4);
    assert_eq!((count(&lines, "call 4 "), count(&lines, "run")), (1, 0), "{lines:?}");
    assert_eq!(host.arrive(&[]), Vec::<String>::new());
}

#[test]
fn rule_4_memory_is_cut_from_the_queue_lowest_weight_first() {
    let mut host = busy_host(&settings());
    let large = |id, class| Request { memory: 4_000.0, ..request(id, class) };
    host.arrive(&[large(3, 0), large(4, 1), large(5, 0)]);
    let lines = host.advance(0.02);
    assert_eq!((count(&lines, "reject 4"), count(&lines, "reject")), (1, 1), "{lines:?}");
}

#[test]
fn a_deployment_of_short_latency_objectives_is_neither_given_up_early_nor_left_alone_for_long() {
    let mut quick = settings();
    (quick.classes[0].latency_objective, quick.classes[0].timeout) = (0.08, 0.4);
    let mut host = busy_host(&quick);
    host.arrive(&[request(3, 0), request(4, 0)]);
    assert_eq!(host.finish(1), ["run 3"]); // the margin before its deadline is no reason to reject it
    let leave = Round { drain_deadline: Some(host.now + 10.0), ..Round::default() };
    host.play(leave);
    assert_eq!(count(&host.advance(0.1), "reject 4 0.08 "), 1);
}

#[test]
fn a_hung_call_is_left_out_with_time_to_spare() {
    let mut host = Host::new(&PolicySettings { downstream: Downstream::NextTier, ..settings() });
    host.arrive(&[request(1, 0)]);
    assert_eq!(host.reach_call(1), ["call 1 2.000"]);
    host.advance(2.0);
    assert_eq!(host.end_call(1, Outcome::TimedOut, 2.0), ["skip 1"]);
}

#[test]
fn a_call_that_broke_is_retried_once_and_says_nothing_of_load() {
    let mut host = Host::new(&PolicySettings { downstream: Downstream::NextTier, ..settings() });
    host.arrive(&[request(1, 0)]);
    host.reach_call(1);
    assert!(host.end_call(1, Outcome::ConnectionLost, 0.1).is_empty());
    assert_eq!(count(&host.advance(0.1), "call 1"), 1);
    assert_eq!(host.end_call(1, Outcome::ConnectionLost, 0.1), ["skip 1"]);
    // One that is not idempotent may have run.
    host.arrive(&[request(2, 2)]);
    host.reach_call(2);
    assert_eq!(host.end_call(2, Outcome::ConnectionLost, 0.1), ["fail 2"]);
}

#[test]
fn calls_that_hang_or_fail_keep_the_way_to_a_next_tier_open() {
    let mut host = Host::new(&PolicySettings { downstream: Downstream::NextTier, cores: 20.0, ..settings() });
    let ids: Vec<u32> = (1..=20).collect();
    host.arrive(&ids.iter().map(|&id| request(id, 0)).collect::<Vec<_>>());
    for &id in &ids {
        host.reach_call(id);
        host.end_call(id, Outcome::TimedOut, 0.0);
        host.advance(0.02);
    }
    assert_eq!((host.count("call"), host.count("skip")), (20, 20));
}

#[test]
fn lying_cost_hints_are_no_longer_trusted() {
    // Every run takes a second, whatever its hint: after some, a large hint has nobody rejected for want of
    // time.
    let mut host = busy_host(&settings());
    for id in 3..60 {
        host.arrive(&[Request { cost_hint: [0.2, 1.8][id as usize % 2], ..request(id, 0) }]);
        host.advance(0.5);
        host.finish(id - 2);
    }
    host.arrive(&[Request { cost_hint: 8.0, ..request(99, 0) }]);
    assert_eq!(count(&host.finish(58), "run 99"), 1);
}

#[test]
fn requests_that_wait_for_a_call_leave_the_cores_to_others() {
    let mut host = Host::new(&PolicySettings { call_concurrency_share: 1.0, ..settings() });
    for id in 1..=20 {
        host.arrive(&[request(id, 2)]);
        host.reach_call(id);
    }
    assert_eq!((host.count("run"), host.count("call")), (20, 1));
}

#[test]
fn a_slow_machine_leaves_a_list_that_follows_health_and_comes_back() {
    let mut host = Host::new(&PolicySettings { endpoints_follow_health: true, ..settings() });
    let mut turn = |span: f64, ids: std::ops::Range<u32>| {
        for id in ids {
            host.arrive(&[request(2 * id, 0), request(2 * id + 1, 0), request(2 * id + 900, 0)]);
            host.advance(span);
            host.finish(2 * id);
            host.finish(2 * id + 1);
            host.finish(2 * id + 900);
        }
        host.count("health false")
    };
    assert_eq!(turn(0.2, 1..30), 0);
    assert_eq!(turn(2.0, 30..33), 1);
    host.advance(8.2);
    assert_eq!(host.count("health true"), 2);
}

#[test]
fn a_tenant_far_over_its_quota_waits_behind_the_others() {
    let tenants = vec![Tenant { quota: 8.0 }, Tenant { quota: 400.0 }];
    let mut host = busy_host(&PolicySettings { tenants, ..settings() });
    let flood: Vec<Request> = (10..60).map(|id| request(id, 0)).collect();
    host.arrive(&flood);
    host.advance(0.3);
    host.arrive(&[Request { tenant: 1, ..request(70, 2) }]);
    // The first of the flood are within its quota; what came beyond it waits behind all others.
    assert_eq!((host.finish(1), host.finish(2)), (vec!["run 10".into()], vec!["run 70".into()]));
}

#[test]
fn a_request_over_its_tenant_s_quota_weighs_less_than_the_cheapest_within_one() {
    let tenants = vec![Tenant { quota: 8.0 }, Tenant { quota: 400.0 }];
    let mut host = busy_host(&PolicySettings { tenants, ..settings() });
    let dear: Vec<Request> = (10..60).map(|id| request(id, 0)).collect();
    host.arrive(&dear);
    host.arrive(&[Request { tenant: 1, ..request(70, 1) }]);
    host.finish(1);
    assert_eq!(host.finish(2), ["run 70"]);
}

#[test]
fn the_minimum_rank_follows_waits_within_the_quotas_and_falls_at_once_when_cores_stand_free() {
    let tenants = vec![Tenant { quota: 8.0 }, Tenant { quota: 400.0 }];
    let mut host = busy_host(&PolicySettings { tenants, load_signal: LoadSignal::MinimumRank, ..settings() });
    let beyond: Vec<Request> = (10..60).map(|id| request(id, 0)).collect();
    host.arrive(&beyond);
    host.finish(1);
    assert_eq!(count(&host.advance(1.9), "signal"), 0, "only what is over its quota waits");
    host.arrive(&(60..70).map(|id| Request { tenant: 1, ..request(id, 0) }).collect::<Vec<_>>());
    assert!(count(&host.advance(1.9), "signal 0.0") > 4);
    (1..70).for_each(|id| drop(host.finish(id)));
    host.gauges.busy = Some(0.2);
    let eased = host.advance(0.7);
    assert_eq!(count(&eased, "signal 0.00"), 1, "{eased:?}");
}

#[test]
fn four_requests_in_a_row_are_no_proof_that_a_small_tenant_is_over_its_quota() {
    let tenants = vec![Tenant { quota: 12.0 }, Tenant { quota: 400.0 }];
    let mut host = busy_host(&PolicySettings { tenants, ..settings() });
    host.arrive(&[request(10, 0), request(11, 0)]);
    host.arrive(&[Request { tenant: 1, ..request(70, 0) }]);
    assert_eq!(host.finish(1), ["run 10"]);
}

#[test]
fn a_rejection_keeps_few_callers_off_for_no_more_than_a_few_of_their_requests() {
    // Two callers bring some forty requests a second: off for a second each, they would leave the server
    // idle.
    let mut host = Host::new(&settings());
    for id in 1..100 {
        host.arrive(&[request(id, 0)]);
        host.advance(0.02);
        host.finish(id);
    }
    host.gauges.busy = Some(1.0);
    host.arrive(&(100..120).map(|id| request(id, 0)).collect::<Vec<_>>());
    // A machine that hangs asks for the longest time.
    let lines = host.advance(3.0);
    let spans = lines.iter().filter(|line| line.starts_with("reject"));
    let spans: Vec<f64> = spans.map(|line| line.split(' ').nth(2).unwrap().parse().unwrap()).collect();
    assert!(spans.iter().all(|span| (0.1..0.7).contains(span)) && spans.len() > 9, "{spans:?}");
}

#[test]
fn tokens_follow_what_is_finished_and_shrink_once_requests_wait() {
    let mut host = Host::new(&PolicySettings { load_signal: LoadSignal::Tokens, ..settings() });
    host.gauges.busy = Some(0.1);
    let idle = host.advance(0.2);
    host.gauges.busy = Some(1.0);
    host.arrive(&(1..9).map(|id| request(id, 0)).collect::<Vec<_>>());
    let full = host.advance(1.0);
    let last_signal =
        |lines: &[String]| lines.iter().rfind(|line| line.starts_with("signal")).unwrap().clone();
    assert_eq!((last_signal(&idle).as_str(), last_signal(&full).as_str()), ("signal 3.00", "signal 1.00"));
}

#[test]
fn stale_events_and_empty_rounds_do_nothing() {
    let mut host = busy_host(&settings());
    let (ended, ids) = ([completion(7, Outcome::Completed, 1.0)], [7]);
    let round = Round {
        finished_calls: &ended,
        awaiting_call: &ids,
        finished_runs: &ended,
        abandoned: &ids,
        ..Round::default()
    };
    assert!(host.play(round).is_empty());
    assert!(host.play(Round::default()).is_empty());
    host.finish(1);
    assert!(host.end_call(1, Outcome::Completed, 1.0).is_empty());
}

#[test]
fn settings_out_of_range_are_refused() {
    assert!(settings().validate().is_ok());
    assert!(PolicySettings { cores: 0.0, ..settings() }.validate().is_err());
    assert!(PolicySettings { drain_grace: -1.0, ..settings() }.validate().is_err());
    assert!(PolicySettings { classes: vec![], ..settings() }.validate().is_err());
}

#[test]
fn a_table_full_of_idle_connections_is_emptied_and_a_small_one_left_alone() {
    let mut host = Host::new(&settings());
    host.gauges.sockets = Some(8.0);
    assert_eq!(host.advance(1.0).last().unwrap(), "keepalive 30.0");
    host.gauges.sockets = Some(80.0);
    assert_eq!(host.advance(10.0).last().unwrap(), "keepalive 0.1");
}

#[test]
fn where_callers_give_up_early_no_request_is_started_that_would_outlast_them() {
    let mut host = busy_host(&settings());
    for id in 10..20 {
        host.arrive(&[request(id, 0)]);
    }
    host.advance(1.0);
    for id in 10..20 {
        host.play(Round { abandoned: &[id], ..Round::default() });
    }
    host.arrive(&[request(20, 0)]);
    assert_eq!(count(&host.advance(0.5), "reject 20"), 0);
    assert_eq!(count(&host.advance(0.6), "reject 20"), 1);
}

#[test]
fn a_caller_that_goes_with_a_lost_connection_has_not_lost_patience() {
    let mut host = busy_host(&settings());
    let ids: Vec<u32> = (10..20).collect();
    host.arrive(&ids.iter().map(|&id| request(id, 0)).collect::<Vec<_>>());
    host.advance(0.1);
    for pair in ids.chunks(2) {
        host.play(Round { abandoned: pair, ..Round::default() });
    }
    host.arrive(&[request(20, 0)]);
    assert_eq!(count(&host.advance(1.5), "reject 20"), 0);
}

#[test]
fn a_class_once_found_too_slow_is_tried_again() {
    let mut host = Host::new(&settings());
    let mut pair = |id, span, rest| {
        host.advance(rest);
        let lines = host.arrive(&[request(id, 0), request(id + 1, 0)]);
        host.advance(span);
        host.finish(id);
        host.finish(id + 1);
        count(&lines, "run")
    };
    assert!((1..31).step_by(2).all(|id| pair(id, 0.1, 0.0) == 2));
    // A fault: every run outlasts its latency objective, until none of them is started together with another.
    let last = (31..999).step_by(2).find(|&id| pair(id, 9.0, 0.0) < 2).unwrap();
    assert_eq!(pair(last + 2, 0.1, 10.0), 2);
}

#[test]
fn what_callers_claim_changes_no_size_unless_it_runs() {
    let mut host = busy_host(&settings());
    let hinted = |id, hint| Request { cost_hint: hint, ..request(id, 0) };
    host.finish(1);
    host.finish(2);
    for id in 3..9 {
        host.arrive(&[hinted(id, 1.0)]);
        host.advance(1.0);
        host.finish(id);
    }
    host.arrive(&[request(9, 2), request(10, 2)]);
    for id in 11..99 {
        host.arrive(&[hinted(id, 99.0)]);
        host.play(Round { abandoned: &[id], ..Round::default() });
    }
    // One like those that ran does not count as small beside what was only claimed.
    host.arrive(&[request(101, 0), hinted(100, 1.0)]);
    let lines = host.finish(9);
    assert_eq!(count(&lines, "run 101"), 1, "{lines:?}");
}

#[test]
fn a_machine_slow_from_its_first_run_is_noticed_by_runs_that_outlast_their_latency_objective() {
    let mut host = busy_host(&PolicySettings { endpoints_follow_health: true, ..settings() });
    for id in 10..16 {
        host.arrive(&[request(id, 0)]);
        assert_eq!(count(&host.advance(0.8), "health false"), 0);
    }
    host.arrive(&[request(20, 0)]);
    assert_eq!(count(&host.advance(1.5), "health false"), 1);
}

#[test]
fn settings_of_zeros_bring_neither_panic_nor_nan() {
    let none = PolicySettings {
        callers: 0.0,
        call_concurrency_share: 0.0,
        max_retry_after: 0.0,
        abandoned_call_linger: 0.0,
        ..settings()
    };
    let tenants = vec![Tenant { quota: 0.0 }];
    let mut host = busy_host(&PolicySettings {
        load_signal: LoadSignal::Tokens,
        starts_cold: true,
        warm_up_duration: 0.0,
        tenants,
        ..none
    });
    host.arrive(&[Request { cost_hint: 1e-9, memory: 0.0, ..request(3, 1) }]);
    host.reach_call(1);
    host.advance(11.0);
    assert_eq!((host.count("call"), host.count("skip 1"), host.count("fail 3")), (0, 1, 1));
    assert!(host.log.lines.iter().all(|line| !line.contains("NaN") && !line.contains("inf")));
}
