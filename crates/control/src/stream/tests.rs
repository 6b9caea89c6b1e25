use super::nonce::requests_seen;
use super::*;
use std::sync::Arc;

fn snapshot(number: u64, decided_at: f64, endpoints: &[(&str, u64)]) -> ResourceSnapshot {
    let set = |resources: &[(&str, u64)]| -> ResourceSet {
        let named = |(name, version): &(&str, u64)| {
            let resource = Resource { name: (*name).into(), version: *version, body: vec![1] };
            ((*name).to_owned(), Arc::new(resource))
        };
        resources.iter().map(named).collect()
    };
    let sets = [set(&[("c", 1)]), set(endpoints), set(&[("l", 1)]), set(&[("r", 1)])];
    ResourceSnapshot { version: PlanVersion { epoch: 1, number }, decided_at, sets }
}

fn subscribe(resource_type: ResourceType) -> ProxyRequest {
    ProxyRequest { resource_type: Some(resource_type), ..ProxyRequest::default() }
}
fn reply(update: &Update, error: Option<&str>) -> ProxyRequest {
    ProxyRequest {
        nonce: update.nonce.clone(),
        error: error.map(str::to_owned),
        ..subscribe(update.resource_type)
    }
}
const LEASE: LeaseConfig = LeaseConfig { max_decision_age: 2.0, heartbeat_interval: 0.5, ack_timeout: 10.0 };

fn next(stream: &mut ProxyStream, now: f64, snapshot: &ResourceSnapshot) -> Option<Update> {
    stream.next_update(now, snapshot, &LEASE).unwrap()
}
fn versions(update: &Update) -> Vec<(&str, u64)> {
    update.entries.iter().map(|entry| (entry.resource.name.as_str(), entry.resource.version)).collect()
}

#[test]
fn sends_clusters_before_endpoints_and_waits_for_acks() {
    let mut stream = ProxyStream::new(false);
    let first_snapshot = snapshot(1, 0.0, &[("e", 1)]);
    stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
    stream.handle_request(&subscribe(ResourceType::Cluster)).unwrap();
    let first = next(&mut stream, 0.0, &first_snapshot).unwrap();
    assert_eq!((first.resource_type, first.ttl), (ResourceType::Cluster, None));
    assert_eq!(next(&mut stream, 0.0, &first_snapshot), None);
    stream.handle_request(&reply(&first, None)).unwrap();
    let second = next(&mut stream, 0.5, &first_snapshot).unwrap();
    assert_eq!(
        (second.resource_type, second.ttl, requests_seen(&second.nonce)),
        (ResourceType::Endpoints, Some(1.5), Some(3))
    );
    stream.handle_request(&reply(&second, None)).unwrap();
    assert_eq!(next(&mut stream, 0.6, &first_snapshot), None);
    assert!(stream.in_sync(&first_snapshot));
}

#[test]
fn coalesces_plans_while_an_ack_is_pending() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
        let first = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
        for number in 2..42 {
            let flip = snapshot(number, 0.1, &[("e", 1 + number % 2)]);
            assert_eq!(next(&mut stream, 0.1, &flip), None);
        }
        stream.handle_request(&reply(&first, None)).unwrap();
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
fn never_resends_rejected_content() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
        let good = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
        stream.handle_request(&reply(&good, None)).unwrap();
        let bad = snapshot(2, 0.0, &[("e", 2)]);
        let update = next(&mut stream, 0.0, &bad).unwrap();
        stream.handle_request(&reply(&update, Some("no such\nthing"))).unwrap();
        assert_eq!(stream.last_rejection.as_ref().unwrap().reason, "no suchthing");
        // Neither the rejected content is sent nor a lease for the older content that the proxy holds.
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
fn rejected_resource_is_not_reported_as_removed() {
    let mut stream = ProxyStream::new(false);
    let named = |request: ProxyRequest| ProxyRequest { names: vec!["e".into()], ..request };
    stream.handle_request(&named(subscribe(ResourceType::Endpoints))).unwrap();
    let first_snapshot = snapshot(1, 0.0, &[("e", 1)]);
    let update = next(&mut stream, 0.0, &first_snapshot).unwrap();
    stream.handle_request(&named(reply(&update, None))).unwrap();
    let second_snapshot = snapshot(2, 0.0, &[("e", 2)]);
    let update = next(&mut stream, 0.0, &second_snapshot).unwrap();
    stream.handle_request(&named(reply(&update, Some("no")))).unwrap();
    assert_eq!(next(&mut stream, 1.0, &ResourceSnapshot { decided_at: 1.0, ..second_snapshot }), None);
    // A resource removed from the plan is reported as removed.
    assert_eq!(next(&mut stream, 1.0, &snapshot(3, 1.0, &[])).unwrap().entries, []);
}

#[test]
fn ignores_stale_unknown_and_repeated_nonces() {
    let mut stream = ProxyStream::new(false);
    stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
    let first = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("e", 1)])).unwrap();
    stream.handle_request(&reply(&first, None)).unwrap();
    let second = next(&mut stream, 0.0, &snapshot(2, 0.0, &[("e", 2)])).unwrap();
    let other = ProxyRequest { names: vec!["x".into()], ..reply(&first, Some("late")) };
    stream.handle_request(&other).unwrap();
    stream
        .handle_request(&ProxyRequest { nonce: "900.1".into(), ..subscribe(ResourceType::Endpoints) })
        .unwrap();
    stream
        .handle_request(&ProxyRequest { nonce: "what".into(), ..subscribe(ResourceType::Endpoints) })
        .unwrap();
    assert_eq!(
        (stream.counters.stale_nonces, stream.counters.unknown_nonces, stream.counters.rejected),
        (1, 2, 0)
    );
    assert_eq!(stream.held(ResourceType::Endpoints)["e"], 1);
    stream.handle_request(&reply(&second, None)).unwrap();
    stream.handle_request(&reply(&second, None)).unwrap();
    assert_eq!(
        (stream.held(ResourceType::Endpoints)["e"], stream.counters.acked, stream.counters.stale_nonces),
        (2, 2, 2)
    );
}

#[test]
fn renews_leases_by_heartbeats_until_the_decision_expires() {
    for incremental in [false, true] {
        let mut stream = ProxyStream::new(incremental);
        stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
        let first_snapshot = snapshot(1, 0.0, &[("e", 1)]);
        let first = next(&mut stream, 0.0, &first_snapshot).unwrap();
        stream.handle_request(&reply(&first, None)).unwrap();
        assert_eq!(next(&mut stream, 0.4, &first_snapshot), None);
        let heartbeat_update =
            next(&mut stream, 0.5, &ResourceSnapshot { decided_at: 0.45, ..first_snapshot.clone() }).unwrap();
        assert!(heartbeat_update.entries[0].heartbeat && (heartbeat_update.ttl.unwrap() - 1.95).abs() < 1e-9);
        stream.handle_request(&reply(&heartbeat_update, None)).unwrap();
        assert_eq!(next(&mut stream, 2.1, &first_snapshot), None);
        assert_eq!((stream.counters.heartbeats, stream.counters.content_updates), (1, 1));
    }
}

#[test]
fn incremental_reconnect_sends_differences_and_removals() {
    let mut stream = ProxyStream::new(true);
    let held = [("a", "1"), ("b", "ffff"), ("old", "5"), ("c", "lies")];
    let held = held.map(|(name, version)| (name.to_owned(), version.to_owned())).into();
    stream
        .handle_request(&ProxyRequest { initial_versions: held, ..subscribe(ResourceType::Endpoints) })
        .unwrap();
    let update = next(&mut stream, 0.0, &snapshot(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])).unwrap();
    let bodies: Vec<&str> = update
        .entries
        .iter()
        .filter(|entry| !entry.heartbeat)
        .map(|entry| entry.resource.name.as_str())
        .collect();
    assert_eq!((bodies, update.removed.as_slice()), (vec!["b", "c"], &["old".to_owned()][..]));
    stream.handle_request(&reply(&update, None)).unwrap();
    assert!(stream.in_sync(&snapshot(1, 0.0, &[("a", 1), ("b", 2), ("c", 3)])));
}

#[test]
fn incremental_stream_sends_only_changed_names() {
    let mut stream = ProxyStream::new(true);
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    stream
        .handle_request(&ProxyRequest { names: names(&["a", "b"]), ..subscribe(ResourceType::Cluster) })
        .unwrap();
    let set = |b: u64| {
        let mut snapshot_b = snapshot(b, 0.0, &[]);
        snapshot_b.sets[0] = [("a", 1), ("b", b), ("z", 1)]
            .map(|(n, v)| (n.to_owned(), Arc::new(Resource { name: n.into(), version: v, body: vec![] })))
            .into();
        snapshot_b
    };
    let update = next(&mut stream, 0.0, &set(1)).unwrap();
    assert_eq!(versions(&update), [("a", 1), ("b", 1)]);
    stream.handle_request(&reply(&update, None)).unwrap();
    let update = next(&mut stream, 0.0, &set(2)).unwrap();
    assert_eq!(versions(&update), [("b", 2)]);
    stream
        .handle_request(&ProxyRequest {
            names: names(&["z"]),
            removed_names: names(&["a"]),
            ..reply(&update, None)
        })
        .unwrap();
    let update = next(&mut stream, 0.0, &set(2)).unwrap();
    assert_eq!((versions(&update), update.removed.len()), (vec![("z", 1)], 0));
}

#[test]
fn closes_stream_on_ack_timeout_or_too_many_names() {
    let mut stream = ProxyStream::new(false);
    stream.handle_request(&subscribe(ResourceType::Endpoints)).unwrap();
    let first_snapshot = snapshot(1, 0.0, &[("e", 1)]);
    next(&mut stream, 0.0, &first_snapshot).unwrap();
    assert_eq!(stream.next_update(10.1, &first_snapshot, &LEASE), Err(StreamError::AckTimeout));
    let names = (0..=MAX_NAMES).map(|at| at.to_string()).collect();
    assert_eq!(
        stream.handle_request(&ProxyRequest { names, ..subscribe(ResourceType::Routes) }),
        Err(StreamError::TooManyNames)
    );
}
