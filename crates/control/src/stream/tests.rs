use super::nonce::requests_seen;
use super::*;
use std::sync::Arc;

fn snapshot(number: u64, made: f64, endpoints: &[(&str, u64)]) -> ResourceSnapshot {
    let set = |all: &[(&str, u64)]| -> ResourceSet {
        let one = |(name, version): &(&str, u64)| {
            let resource = Resource { name: (*name).into(), version: *version, body: vec![1] };
            ((*name).to_owned(), Arc::new(resource))
        };
        all.iter().map(one).collect()
    };
    let sets = [set(&[("c", 1)]), set(endpoints), set(&[("l", 1)]), set(&[("r", 1)])];
    ResourceSnapshot { version: PlanVersion { epoch: 1, number }, decided_at: made, sets }
}

fn ask(resource_type: ResourceType) -> ProxyRequest {
    ProxyRequest { resource_type: Some(resource_type), ..ProxyRequest::default() }
}
fn answer(update: &Update, fault: Option<&str>) -> ProxyRequest {
    ProxyRequest { nonce: update.nonce.clone(), error: fault.map(str::to_owned), ..ask(update.resource_type) }
}
const LEASE: LeaseConfig = LeaseConfig { max_decision_age: 2.0, heartbeat_interval: 0.5, ack_timeout: 10.0 };

fn next(stream: &mut ProxyStream, now: f64, snapshot: &ResourceSnapshot) -> Option<Update> {
    stream.next_update(now, snapshot, &LEASE).unwrap()
}
fn versions(update: &Update) -> Vec<(&str, u64)> {
    update.entries.iter().map(|p| (p.resource.name.as_str(), p.resource.version)).collect()
}

#[test]
fn clusters_go_before_endpoints_and_a_response_waits_for_its_answer() {
    let mut stream = ProxyStream::new(false);
    let one = snapshot(1, 0.0, &[("e", 1)]);
    stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
    stream.handle_request(&ask(ResourceType::Cluster)).unwrap();
    let first = next(&mut stream, 0.0, &one).unwrap();
    assert_eq!((first.resource_type, first.ttl), (ResourceType::Cluster, None));
    assert_eq!(next(&mut stream, 0.0, &one), None);
    stream.handle_request(&answer(&first, None)).unwrap();
    let second = next(&mut stream, 0.5, &one).unwrap();
    assert_eq!(
        (second.resource_type, second.ttl, requests_seen(&second.nonce)),
        (ResourceType::Endpoints, Some(1.5), Some(3))
    );
    stream.handle_request(&answer(&second, None)).unwrap();
    assert_eq!(next(&mut stream, 0.6, &one), None);
    assert!(stream.in_sync(&one));
}

#[test]
fn plans_that_flip_while_an_answer_is_awaited_coalesce_to_the_latest() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
        let first = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
        for number in 2..42 {
            let flip = snapshot(number, 0.1, &[("e", 1 + number % 2)]);
            assert_eq!(next(&mut stream, 0.1, &flip), None);
        }
        stream.handle_request(&answer(&first, None)).unwrap();
        let last = snapshot(42, 0.2, &[("e", 7)]);
        let update = next(&mut stream, 0.2, &last).unwrap();
        assert_eq!((versions(&update), update.version.number), (vec![("e", 7)], 42));
        assert!(
            stream.counters.coalesced >= 15 && stream.counters.content_updates == 2,
            "{:?}",
            stream.counters
        );
    }
}

#[test]
fn what_is_refused_is_never_sent_again_and_the_next_content_is() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
        let good = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
        stream.handle_request(&answer(&good, None)).unwrap();
        let bad = snapshot(2, 0.0, &[("e", 2)]);
        let update = next(&mut stream, 0.0, &bad).unwrap();
        stream.handle_request(&answer(&update, Some("no such\nthing"))).unwrap();
        assert_eq!(stream.last_rejection.as_ref().unwrap().reason, "no suchthing");
        // Neither it nor a lease for what it still holds, which is older.
        for at in 1..20 {
            assert_eq!(
                next(
                    &mut stream,
                    f64::from(at) * 0.1,
                    &ResourceSnapshot { decided_at: f64::from(at) * 0.1, ..bad.clone() }
                ),
                None
            );
        }
        assert_eq!(stream.held(ResourceType::Endpoints)["e"], 1);
        let update = next(&mut stream, 2.0, &snapshot(3, 2.0, &[("e", 3)])).unwrap();
        assert_eq!(versions(&update), [("e", 3)]);
    }
}

#[test]
fn a_proxy_that_named_what_it_refused_is_not_told_that_there_is_nothing() {
    let mut stream = ProxyStream::new(false);
    let named = |request: ProxyRequest| ProxyRequest { names: vec!["e".into()], ..request };
    stream.handle_request(&named(ask(ResourceType::Endpoints))).unwrap();
    let one = snapshot(1, 0.0, &[("e", 1)]);
    let update = next(&mut stream, 0.0, &one).unwrap();
    stream.handle_request(&named(answer(&update, None))).unwrap();
    let two = snapshot(2, 0.0, &[("e", 2)]);
    let update = next(&mut stream, 0.0, &two).unwrap();
    stream.handle_request(&named(answer(&update, Some("no")))).unwrap();
    assert_eq!(next(&mut stream, 1.0, &ResourceSnapshot { decided_at: 1.0, ..two }), None);
    // What is really gone is told as gone.
    assert_eq!(next(&mut stream, 1.0, &snapshot(3, 1.0, &[])).unwrap().entries, []);
}

#[test]
fn stale_unknown_and_repeated_nonces_change_nothing() {
    let mut stream = ProxyStream::new(false);
    stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
    let first = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
    stream.handle_request(&answer(&first, None)).unwrap();
    let second = next(&mut stream, 0.0, &snapshot(2, 0.0, &[("e", 2)])).unwrap();
    let other = ProxyRequest { names: vec!["x".into()], ..answer(&first, Some("late")) };
    stream.handle_request(&other).unwrap();
    stream.handle_request(&ProxyRequest { nonce: "900.1".into(), ..ask(ResourceType::Endpoints) }).unwrap();
    stream.handle_request(&ProxyRequest { nonce: "what".into(), ..ask(ResourceType::Endpoints) }).unwrap();
    assert_eq!(
        (stream.counters.stale_nonces, stream.counters.unknown_nonces, stream.counters.rejected),
        (1, 2, 0)
    );
    assert_eq!(stream.held(ResourceType::Endpoints)["e"], 1);
    stream.handle_request(&answer(&second, None)).unwrap();
    stream.handle_request(&answer(&second, None)).unwrap();
    assert_eq!(
        (stream.held(ResourceType::Endpoints)["e"], stream.counters.acked, stream.counters.stale_nonces),
        (2, 2, 2)
    );
}

#[test]
fn what_holds_is_renewed_by_heartbeats_and_nothing_is_sent_past_the_bound() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
        let one = snapshot(1, 0.0, &[("e", 1)]);
        let first = next(&mut stream, 0.0, &one).unwrap();
        stream.handle_request(&answer(&first, None)).unwrap();
        assert_eq!(next(&mut stream, 0.4, &one), None);
        let beat = next(&mut stream, 0.5, &ResourceSnapshot { decided_at: 0.45, ..one.clone() }).unwrap();
        assert!(beat.entries[0].heartbeat && (beat.ttl.unwrap() - 1.95).abs() < 1e-9);
        stream.handle_request(&answer(&beat, None)).unwrap();
        assert_eq!(next(&mut stream, 2.1, &one), None);
        assert_eq!((stream.counters.heartbeats, stream.counters.content_updates), (1, 1));
    }
}

#[test]
fn a_differing_client_that_comes_back_with_wrong_versions_gets_what_differs_and_loses_what_is_gone() {
    let mut stream = ProxyStream::new(true);
    let held = [("a", "1"), ("b", "ffff"), ("old", "5"), ("c", "lies")];
    let held = held.map(|(name, version)| (name.to_owned(), version.to_owned())).into();
    stream.handle_request(&ProxyRequest { initial_versions: held, ..ask(ResourceType::Endpoints) }).unwrap();
    let update = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])).unwrap();
    let bodies: Vec<&str> =
        update.entries.iter().filter(|p| !p.heartbeat).map(|p| p.resource.name.as_str()).collect();
    assert_eq!((bodies, update.removed.as_slice()), (vec!["b", "c"], &["old".to_owned()][..]));
    stream.handle_request(&answer(&update, None)).unwrap();
    assert!(stream.in_sync(&snapshot(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])));
}

#[test]
fn names_come_and_go_on_a_differing_stream_and_one_changed_name_is_all_that_is_sent() {
    let mut stream = ProxyStream::new(true);
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    stream.handle_request(&ProxyRequest { names: names(&["a", "b"]), ..ask(ResourceType::Cluster) }).unwrap();
    let set = |b: u64| {
        let mut all = snapshot(b, 0.0, &[]);
        all.sets[0] = [("a", 1), ("b", b), ("z", 1)]
            .map(|(n, v)| (n.to_owned(), Arc::new(Resource { name: n.into(), version: v, body: vec![] })))
            .into();
        all
    };
    let update = next(&mut stream, 0.0, &set(1)).unwrap();
    assert_eq!(versions(&update), [("a", 1), ("b", 1)]);
    stream.handle_request(&answer(&update, None)).unwrap();
    let update = next(&mut stream, 0.0, &set(2)).unwrap();
    assert_eq!(versions(&update), [("b", 2)]);
    stream
        .handle_request(&ProxyRequest {
            names: names(&["z"]),
            removed_names: names(&["a"]),
            ..answer(&update, None)
        })
        .unwrap();
    let update = next(&mut stream, 0.0, &set(2)).unwrap();
    assert_eq!((versions(&update), update.removed.len()), (vec![("z", 1)], 0));
}

#[test]
fn whoever_never_answers_is_cut_and_whoever_asks_for_too_much_too() {
    let mut stream = ProxyStream::new(false);
    stream.handle_request(&ask(ResourceType::Endpoints)).unwrap();
    let one = snapshot(1, 0.0, &[("e", 1)]);
    next(&mut stream, 0.0, &one).unwrap();
    assert_eq!(stream.next_update(10.1, &one, &LEASE), Err(StreamError::AckTimeout));
    let names = (0..=MAX_NAMES).map(|at| at.to_string()).collect();
    assert_eq!(
        stream.handle_request(&ProxyRequest { names, ..ask(ResourceType::Routes) }),
        Err(StreamError::TooManyNames)
    );
}
