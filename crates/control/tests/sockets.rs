//! Stories of the service on sockets, with servers' reports and stand-in proxies on loopback.

mod common;

use common::{pick, report, routes, service, until, Servers, BOUND};
use puffinladder_control::report::ClassLoad;
use puffinladder_control::serve::RunningService;
use puffinladder_proxy::{Behaviour, Pick, Proxy};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Ports of the servers that it routes to.
fn ports(proxy: &Proxy) -> Vec<u16> {
    let mut all: Vec<u16> = (0..200)
        .filter_map(|at| match pick(proxy, f64::from(at) / 200.0) {
            Pick::RouteTo { server, .. } => Some(server.port()),
            _ => None,
        })
        .collect();
    all.dedup();
    all
}

async fn world(servers: u16) -> (RunningService, Servers, Vec<Proxy>) {
    let running = service(None, None).await;
    let servers = Servers::start(vec![running.reports], (0..servers).map(report).collect());
    let proxies: Vec<Proxy> =
        (0..4).map(|at| Proxy::start(running.xds, &format!("p{at}"), "a", at % 2 == 0)).collect();
    until("all proxies to route", || proxies.iter().all(routes)).await;
    (running, servers, proxies)
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_of_both_protocols_follow_the_servers_and_a_drained_one_gets_nothing() {
    let (_running, servers, proxies) = world(3).await;
    for proxy in &proxies {
        until("all three", || ports(proxy) == [4000, 4001, 4002]).await;
    }
    servers.with(|(_, all)| all[1].terminates_in = Some(2.0));
    for proxy in &proxies {
        until("the drain", || ports(proxy) == [4000, 4002]).await;
    }
    let class = |product: &str| ClassLoad {
        product: product.into(),
        customer: "k".into(),
        priority_weight: 1.0,
        offered: 100.0,
        rejected: if product == "p" { 60.0 } else { 0.0 },
    };
    // As if proxies dropped nothing yet: the share rises while servers decline so much.
    servers.change(|server| server.classes = vec![class("p")]);
    for proxy in &proxies {
        until("a drop", || matches!(pick(proxy, 0.0), Pick::Dropped { .. })).await;
        assert!(matches!(proxy.pick("other", "k", [0.0; 3]), Pick::RouteTo { .. }));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn after_the_service_dies_nobody_routes_past_the_bound() {
    let (running, servers, proxies) = world(2).await;
    running.kill();
    let died = Instant::now();
    // Nothing decided later than now: each may route until the bound, and none after.
    while died.elapsed().as_secs_f64() < BOUND {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..20 {
        assert!(
            !proxies.iter().any(routes),
            "{:?}",
            proxies.iter().map(|p| pick(p, 0.5)).collect::<Vec<_>>()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(servers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_that_was_dark_routes_nothing_by_its_old_version_and_catches_up_in_one_exchange() {
    let (_running, servers, proxies) = world(2).await;
    let (dark, others) = proxies.split_first().unwrap();
    let before = dark.endpoints_plan().unwrap();
    dark.set_behaviour(Behaviour { unresponsive: true, ..Behaviour::default() });
    servers.with(|(_, all)| all.push(report(7)));
    tokio::time::sleep(Duration::from_secs_f64(BOUND)).await;
    assert!(!routes(dark), "{:?}", pick(dark, 0.5));
    for other in others {
        until("the others to go on", || routes(other)).await;
        until("the new server", || ports(other).contains(&4007)).await;
    }
    let seen = dark.received_counts().updates;
    dark.set_behaviour(Behaviour::default());
    until("the dark one to route again", || routes(dark)).await;
    until("the new server", || ports(dark).contains(&4007)).await;
    assert_ne!(dark.endpoints_plan().unwrap(), before);
    // What was under way, and then the latest: not every plan that it missed.
    assert!(dark.received_counts().updates - seen <= 12, "{}", dark.received_counts().updates - seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn decisions_that_flip_faster_than_proxies_answer_coalesce_and_each_holds_the_latest() {
    let (running, servers, proxies) = world(4).await;
    proxies.iter().for_each(|p| {
        p.set_behaviour(Behaviour { ack_delay: Duration::from_millis(200), ..Behaviour::default() })
    });
    let begun = Instant::now();
    let mut flip = 0u32;
    while begun.elapsed() < Duration::from_secs(3) {
        flip += 1;
        servers.change(|server| {
            server.service_time =
                if (flip + u32::from(server.address.port())).is_multiple_of(2) { 0.01 } else { 0.03 }
        });
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    servers.change(|server| server.service_time = 0.01);
    for proxy in &proxies {
        // No older plan after a newer one.
        let plans = proxy.recent_plans();
        let numbers: Vec<u64> = plans.iter().map(|p| p.split_once('.').unwrap().1.parse().unwrap()).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
    let settled = || async { running.handle.query(|core, _| core.in_sync_count()).await.unwrap() };
    let end = Instant::now() + Duration::from_secs(20);
    while settled().await < 4 {
        assert!(Instant::now() < end);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let versions: Vec<_> = proxies.iter().map(|p| p.endpoints_version()).collect();
    assert!(versions.iter().all(|v| v == &versions[0]), "{versions:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn proxies_that_refuse_never_answer_or_lie_disturb_no_other() {
    let (running, servers, proxies) = world(3).await;
    proxies[0].set_behaviour(Behaviour { reject_updates: true, ..Behaviour::default() });
    proxies[1].set_behaviour(Behaviour { withhold_acks: true, ..Behaviour::default() });
    proxies[2].set_behaviour(Behaviour { forge_nonces: true, ..Behaviour::default() });
    servers.with(|(_, all)| all[0].healthy = false);
    until("the well one", || ports(&proxies[3]) == [4001, 4002]).await;
    let (mut refused, mut unknown) = (0, 0);
    let end = Instant::now() + Duration::from_secs(20);
    while refused == 0 || unknown == 0 {
        assert!(Instant::now() < end, "{refused} refused, {unknown} unknown");
        let counts = running.handle.query(|core, _| core.stream_counters()).await.unwrap();
        (refused, unknown) = (counts.rejected, counts.unknown_nonces);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // By the bound none of them routes by what it held before.
    tokio::time::sleep(Duration::from_secs_f64(BOUND)).await;
    assert!(!ports(&proxies[0]).contains(&4000) && !ports(&proxies[1]).contains(&4000));
    until("the well one to go on", || routes(&proxies[3])).await;
    proxies[0].set_behaviour(Behaviour::default());
    servers.with(|(_, all)| all[0].healthy = true);
    until("it to come back", || ports(&proxies[0]).contains(&4000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_comes_back_sends_neither_an_empty_world_nor_an_older_plan() {
    let folder = std::env::temp_dir().join(format!("puffinladder-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("snapshot.json");
    let first = service(Some(file.clone()), None).await;
    let servers = Servers::start(vec![first.reports], (0..3).map(report).collect());
    let proxy = Proxy::start(first.xds, "p", "a", true);
    until("it to route", || routes(&proxy)).await;
    let epoch = |plan: &str| plan.split_once('.').unwrap().0.parse::<u64>().unwrap();
    let before = epoch(&proxy.endpoints_plan().unwrap());
    first.stop().await;
    assert!(file.exists());
    let second = service(Some(file.clone()), None).await;
    // Before any report: its proxies get the last plan inside its bound, or nothing.
    let early = Proxy::start(second.xds, "early", "a", false);
    servers.with(|(at, _)| *at = vec![second.reports]);
    until("the new plan", || routes(&early) && ports(&early).len() == 3).await;
    assert!(epoch(&early.endpoints_plan().unwrap()) > before);
    second.stop().await;
    // A snapshot that can't be read is none.
    std::fs::write(&file, b"{ half a").unwrap();
    let third = service(Some(file), None).await;
    servers.with(|(at, _)| *at = vec![third.reports]);
    let late = Proxy::start(third.xds, "late", "a", false);
    until("a plan without a snapshot", || routes(&late)).await;
    let _ = std::fs::remove_dir_all(folder);
}

#[tokio::test(flavor = "multi_thread")]
async fn strangers_cost_little_and_the_debug_view_tells() {
    let (running, _servers, _proxies) = world(2).await;
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
    let renewed = |text: &str| {
        let of =
            |kind| format!("puffinladder_control_response_bytes_total{{type=\"{kind}\",what=\"renewal\"}}");
        ["endpoints", "routes"].into_iter().all(|kind| value(text, &of(kind)) > 0.0)
    };
    let end = Instant::now() + Duration::from_secs(20);
    let told = loop {
        let told = get("/metrics").await;
        if renewed(&told) {
            break told;
        }
        assert!(Instant::now() < end, "no lease was renewed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let told = |name: &str| value(&told, &format!("puffinladder_control_{name}"));
    // All servers report over one connection; the strangers' four are over.
    assert_eq!((told("report_connections"), told("report_connections_total")), (1.0, 5.0));
    assert!(told("report_bytes_total") > 100.0 * told("reports_taken_total"));
    assert_eq!(told("streams_total"), 4.0);
    assert!((1.0..=4.0).contains(&told("responses_waiting_most")));
    for kind in ["cluster", "endpoints", "listener", "routes"] {
        let bytes = |what: &str| told(&format!("response_bytes_total{{type=\"{kind}\",what=\"{what}\"}}"));
        assert!(bytes("content") > 0.0, "{kind}");
        assert_eq!(bytes("renewal") > 0.0, ["endpoints", "routes"].contains(&kind), "{kind}");
    }
    // A line that is no report never gets as far as being judged.
    assert_eq!(told("reports_refused_by_reason_total{reason=\"impossible\"}"), 0.0);
    let doubled = format!("{}\n", serde_json::to_string(&report(90)).unwrap()).repeat(3);
    let mut stream = TcpStream::connect(running.reports).await.unwrap();
    stream.write_all(doubled.as_bytes()).await.unwrap();
    let end = Instant::now() + Duration::from_secs(20);
    let refused = "puffinladder_control_reports_refused_by_reason_total{reason=\"doubled\"}";
    while value(&get("/metrics").await, refused) < 2.0 {
        assert!(Instant::now() < end);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
