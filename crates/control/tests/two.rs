//! Two independent services: each keeps the bound, and a proxy that loses one fails over to the other.

mod common;

use common::{can_route, report, start_service, wait_until, Servers};
use puffinladder_proxy::{Behaviour, Proxy};
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread")]
async fn proxy_fails_over_to_the_other_service() {
    let (first, second) = (start_service(None, None).await, start_service(None, None).await);
    let _servers = Servers::start(vec![first.reports, second.reports], vec![report(1)]);
    let proxy = Proxy::start_with_services(vec![first.xds, second.xds], "p1", "a", true);
    wait_until("the proxy to route by the first service", || can_route(&proxy)).await;
    assert_eq!(first.handle.query(|service, _| service.proxy_count()).await, Some(1));
    first.kill();
    let died = Instant::now();
    // Decisions of the first service have expired, so the proxy routes by those of the second.
    tokio::time::sleep_until((died + Duration::from_secs(1)).into()).await;
    wait_until("the proxy to route by the second service", || can_route(&proxy)).await;
    assert_eq!(second.handle.query(|service, _| service.proxy_count()).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn service_without_reports_keeps_its_plan_in_panic_mode() {
    let (first, second) = (start_service(None, None).await, start_service(None, None).await);
    let servers = Servers::start(vec![first.reports, second.reports], vec![report(1)]);
    let (reachable, isolated) =
        (Proxy::start(first.xds, "p1", "a", false), Proxy::start(second.xds, "p2", "a", false));
    wait_until("both proxies to route", || can_route(&reachable) && can_route(&isolated)).await;
    servers.with(|(services, _)| services.truncate(1));
    // The service suspects a mass outage and renews the unchanged plan.
    tokio::time::sleep(Duration::from_secs(2)).await;
    wait_until("both proxies to keep routing", || can_route(&reachable) && can_route(&isolated)).await;
    assert_eq!(
        second.handle.query(|service, _| service.plan().map(|plan| plan.panic)).await,
        Some(Some(true))
    );
    assert_eq!(
        first.handle.query(|service, _| service.plan().map(|plan| plan.panic)).await,
        Some(Some(false))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reconnecting_proxy_gets_only_lease_renewals() {
    let first = start_service(None, None).await;
    let _servers = Servers::start(vec![first.reports], vec![report(1)]);
    let proxy = Proxy::start(first.xds, "p1", "a", true);
    wait_until("the proxy to route", || can_route(&proxy)).await;
    let (bodies, version) = (proxy.received_counts().updates, proxy.endpoints_version());
    proxy.set_behaviour(Behaviour { disconnected: true, ..Behaviour::default() });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert!(!can_route(&proxy));
    proxy.set_behaviour(Behaviour::default());
    wait_until("the proxy to route again", || can_route(&proxy)).await;
    // The content is unchanged: only leases were renewed.
    assert_eq!((proxy.received_counts().updates, proxy.endpoints_version()), (bodies, version));
}
