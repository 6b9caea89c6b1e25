//! The service on loopback sockets, with reporting servers and proxies.

mod common;

use common::{can_route, pick, report, start_service, wait_until, Servers, BOUND};
use puffinladder_control::report::ClassLoad;
use puffinladder_control::serve::RunningService;
use puffinladder_proxy::{Behaviour, Pick, Proxy};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns the ports of the servers that a proxy routes to.
fn ports(proxy: &Proxy) -> Vec<u16> {
    let mut ports: Vec<u16> = (0..200)
        .filter_map(|at| match pick(proxy, f64::from(at) / 200.0) {
            Pick::RouteTo { server, .. } => Some(server.port()),
            _ => None,
        })
        .collect();
    ports.dedup();
    ports
}

async fn start_fleet(servers: u16) -> (RunningService, Servers, Vec<Proxy>) {
    let running = start_service(None, None).await;
    let servers = Servers::start(vec![running.reports], (0..servers).map(report).collect());
    let proxies: Vec<Proxy> =
        (0..4).map(|at| Proxy::start(running.xds, &format!("p{at}"), "a", at % 2 == 0)).collect();
    wait_until("all proxies to route", || proxies.iter().all(can_route)).await;
    (running, servers, proxies)
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_of_both_protocols_follow_drains_and_drops() {
    let (_running, servers, proxies) = start_fleet(3).await;
    for proxy in &proxies {
        wait_until("all three servers", || ports(proxy) == [4000, 4001, 4002]).await;
    }
    servers.with(|(_, reports)| reports[1].terminates_in = Some(2.0));
    for proxy in &proxies {
        wait_until("the drained server to get no requests", || ports(proxy) == [4000, 4002]).await;
    }
    let class = |product: &str| ClassLoad {
        product: product.into(),
        customer: "k".into(),
        priority_weight: 1.0,
        offered: 100.0,
        rejected: if product == "p" { 60.0 } else { 0.0 },
    };
    // The reports do not reflect the drops, so the drop fraction increases.
    servers.change(|server| server.classes = vec![class("p")]);
    for proxy in &proxies {
        wait_until("a dropped request", || matches!(pick(proxy, 0.0), Pick::Dropped { .. })).await;
        assert!(matches!(proxy.pick("other", "k", [0.0; 3]), Pick::RouteTo { .. }));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_proxy_routes_past_the_bound_after_the_service_is_killed() {
    let (running, servers, proxies) = start_fleet(2).await;
    running.kill();
    let died = Instant::now();
    // No decision is made after the kill: each proxy may route until the bound and not after it.
    while died.elapsed().as_secs_f64() < BOUND {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..20 {
        assert!(
            !proxies.iter().any(can_route),
            "{:?}",
            proxies.iter().map(|proxy| pick(proxy, 0.5)).collect::<Vec<_>>()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(servers);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_proxy_stops_routing_and_catches_up_in_one_exchange() {
    let (_running, servers, proxies) = start_fleet(2).await;
    let (paused, others) = proxies.split_first().unwrap();
    let before = paused.endpoints_plan().unwrap();
    paused.set_behaviour(Behaviour { unresponsive: true, ..Behaviour::default() });
    servers.with(|(_, reports)| reports.push(report(7)));
    tokio::time::sleep(Duration::from_secs_f64(BOUND)).await;
    assert!(!can_route(paused), "{:?}", pick(paused, 0.5));
    for other in others {
        wait_until("the other proxies to route", || can_route(other)).await;
        wait_until("the new server to get requests", || ports(other).contains(&4007)).await;
    }
    let seen = paused.received_counts().updates;
    paused.set_behaviour(Behaviour::default());
    wait_until("the paused proxy to route again", || can_route(paused)).await;
    wait_until("the new server to get requests", || ports(paused).contains(&4007)).await;
    assert_ne!(paused.endpoints_plan().unwrap(), before);
    // The pending update and the latest one, not every plan in between.
    assert!(paused.received_counts().updates - seen <= 12, "{}", paused.received_counts().updates - seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_proxies_skip_superseded_plans_and_converge() {
    let (running, servers, proxies) = start_fleet(4).await;
    proxies.iter().for_each(|proxy| {
        proxy.set_behaviour(Behaviour { ack_delay: Duration::from_millis(200), ..Behaviour::default() })
    });
    let started_at = Instant::now();
    let mut flip = 0u32;
    while started_at.elapsed() < Duration::from_secs(3) {
        flip += 1;
        servers.change(|server| {
            server.service_time =
                if (flip + u32::from(server.address.port())).is_multiple_of(2) { 0.01 } else { 0.03 }
        });
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    servers.change(|server| server.service_time = 0.01);
    for proxy in &proxies {
        // Plan numbers never decrease.
        let plans = proxy.recent_plans();
        let numbers: Vec<u64> =
            plans.iter().map(|plan| plan.split_once('.').unwrap().1.parse().unwrap()).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
    let in_sync_proxies =
        || async { running.handle.query(|service, _| service.in_sync_count()).await.unwrap() };
    let deadline = Instant::now() + Duration::from_secs(20);
    while in_sync_proxies().await < 4 {
        assert!(Instant::now() < deadline, "timed out");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let versions: Vec<_> = proxies.iter().map(|proxy| proxy.endpoints_version()).collect();
    assert!(versions.iter().all(|v| v == &versions[0]), "{versions:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn misbehaving_proxies_do_not_affect_others() {
    let (running, servers, proxies) = start_fleet(3).await;
    proxies[0].set_behaviour(Behaviour { reject_updates: true, ..Behaviour::default() });
    proxies[1].set_behaviour(Behaviour { withhold_acks: true, ..Behaviour::default() });
    proxies[2].set_behaviour(Behaviour { forge_nonces: true, ..Behaviour::default() });
    servers.with(|(_, reports)| reports[0].healthy = false);
    wait_until("the correct proxy to follow the plan", || ports(&proxies[3]) == [4001, 4002]).await;
    let (mut rejected, mut unknown) = (0, 0);
    let deadline = Instant::now() + Duration::from_secs(20);
    while rejected == 0 || unknown == 0 {
        assert!(Instant::now() < deadline, "{rejected} rejected, {unknown} unknown");
        let counts = running.handle.query(|service, _| service.stream_counters()).await.unwrap();
        (rejected, unknown) = (counts.rejected, counts.unknown_nonces);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // After the bound no proxy routes by what it held before.
    tokio::time::sleep(Duration::from_secs_f64(BOUND)).await;
    assert!(!ports(&proxies[0]).contains(&4000) && !ports(&proxies[1]).contains(&4000));
    wait_until("the correct proxy to route", || can_route(&proxies[3])).await;
    proxies[0].set_behaviour(Behaviour::default());
    servers.with(|(_, reports)| reports[0].healthy = true);
    wait_until("the proxy to route to the recovered server", || ports(&proxies[0]).contains(&4000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_service_sends_neither_empty_nor_older_plan() {
    let folder = std::env::temp_dir().join(format!("puffinladder-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("snapshot.json");
    let first = start_service(Some(file.clone()), None).await;
    let servers = Servers::start(vec![first.reports], (0..3).map(report).collect());
    let proxy = Proxy::start(first.xds, "p", "a", true);
    wait_until("the proxy to route", || can_route(&proxy)).await;
    let epoch = |plan: &str| plan.split_once('.').unwrap().0.parse::<u64>().unwrap();
    let before = epoch(&proxy.endpoints_plan().unwrap());
    first.stop().await;
    assert!(file.exists());
    let second = start_service(Some(file.clone()), None).await;
    // Before any report, proxies get the stored plan within its bound, or nothing.
    let early_proxy = Proxy::start(second.xds, "early", "a", false);
    servers.with(|(services, _)| *services = vec![second.reports]);
    wait_until("the plan of the second service", || {
        can_route(&early_proxy) && ports(&early_proxy).len() == 3
    })
    .await;
    assert!(epoch(&early_proxy.endpoints_plan().unwrap()) > before);
    second.stop().await;
    // An unreadable snapshot is ignored.
    std::fs::write(&file, b"{ half a").unwrap();
    let third = start_service(Some(file), None).await;
    servers.with(|(services, _)| *services = vec![third.reports]);
    let late_proxy = Proxy::start(third.xds, "late", "a", false);
    wait_until("a plan without a snapshot", || can_route(&late_proxy)).await;
    let _ = std::fs::remove_dir_all(folder);
}

#[tokio::test(flavor = "multi_thread")]
async fn survives_malformed_reports_and_serves_debug_pages() {
    let (running, _servers, _proxies) = start_fleet(2).await;
    for bytes in [&b"{\"instance\":5}\n"[..], b"\xff\xfe\n", &[b'x'; 1 << 21], b"{"] {
        let mut stream = TcpStream::connect(running.reports).await.unwrap();
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown().await;
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    let get = |path: &'static str| async move {
        let mut stream = TcpStream::connect(running.debug.unwrap()).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        text
    };
    assert!(get("/health").await.contains("a plan holds"));
    assert!(get("/plan").await.contains("\"instance\":\"n1\""));
    assert!(get("/servers").await.contains("\"belief\":1.0"));
    assert!(get("/proxies").await.contains("\"node\":\"p3\""));
    assert!(get("/metrics").await.contains("puffinladder_control_proxies 4"));
    let value = |text: &str, name: &str| -> f64 {
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or_else(|| panic!("{name}: {text}"))
    };
    let leases_renewed = |text: &str| {
        let metric_name = |resource_type| {
            format!("puffinladder_control_response_bytes_total{{type=\"{resource_type}\",what=\"renewal\"}}")
        };
        ["endpoints", "routes"]
            .into_iter()
            .all(|resource_type| value(text, &metric_name(resource_type)) > 0.0)
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let metrics = loop {
        let page = get("/metrics").await;
        if leases_renewed(&page) {
            break page;
        }
        assert!(Instant::now() < deadline, "no lease was renewed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let metric = |name: &str| value(&metrics, &format!("puffinladder_control_{name}"));
    // All servers share one connection; four malformed connections were closed.
    assert_eq!((metric("report_connections"), metric("report_connections_total")), (1.0, 5.0));
    assert!(metric("report_bytes_total") > 100.0 * metric("reports_taken_total"));
    assert_eq!(metric("streams_total"), 4.0);
    assert!((1.0..=4.0).contains(&metric("responses_waiting_most")));
    for resource_type in ["cluster", "endpoints", "listener", "routes"] {
        let bytes = |content: &str| {
            metric(&format!("response_bytes_total{{type=\"{resource_type}\",what=\"{content}\"}}"))
        };
        assert!(bytes("content") > 0.0, "{resource_type}");
        assert_eq!(
            bytes("renewal") > 0.0,
            ["endpoints", "routes"].contains(&resource_type),
            "{resource_type}"
        );
    }
    // Malformed lines are dropped before they are validated as reports.
    assert_eq!(metric("reports_refused_by_reason_total{reason=\"impossible\"}"), 0.0);
    let duplicates = format!("{}\n", serde_json::to_string(&report(90)).unwrap()).repeat(3);
    let mut stream = TcpStream::connect(running.reports).await.unwrap();
    stream.write_all(duplicates.as_bytes()).await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    let rejected = "puffinladder_control_reports_refused_by_reason_total{reason=\"doubled\"}";
    while value(&get("/metrics").await, rejected) < 2.0 {
        assert!(Instant::now() < deadline, "timed out");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
