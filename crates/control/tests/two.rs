//! Two services at once that know nothing of each other: each keeps the bound, and a proxy that loses one takes the other.

mod common;

use common::{report, routes, service, until, Servers};
use puffinladder_proxy::{Behaviour, Proxy};
use std::time::{Duration, Instant};

#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_that_loses_one_service_takes_the_other_and_routes_by_nothing_too_old_between() {
    let (one, two) = (service(None, None).await, service(None, None).await);
    let _servers = Servers::start(vec![one.reports, two.reports], vec![report(1)]);
    let proxy = Proxy::start_with_services(vec![one.xds, two.xds], "p1", "a", true);
    until("the first service", || routes(&proxy)).await;
    assert_eq!(one.handle.query(|core, _| core.proxy_count()).await, Some(1));
    one.kill();
    let died = Instant::now();
    // Nothing that the first decided lasts past the bound: what it routes by then is the second's.
    tokio::time::sleep_until((died + Duration::from_secs(1)).into()).await;
    until("the second service", || routes(&proxy)).await;
    assert_eq!(two.handle.query(|core, _| core.proxy_count()).await, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn where_reports_reach_one_service_only_the_other_suspects_them_and_its_proxies_go_on() {
    let (one, two) = (service(None, None).await, service(None, None).await);
    let servers = Servers::start(vec![one.reports, two.reports], vec![report(1)]);
    let (heard, cut) = (Proxy::start(one.xds, "p1", "a", false), Proxy::start(two.xds, "p2", "a", false));
    until("both", || routes(&heard) && routes(&cut)).await;
    servers.with(|(services, _)| services.truncate(1));
    // The reports are suspected first: it stays as it was, decided anew each time, and no longer than that may last.
    tokio::time::sleep(Duration::from_secs(2)).await;
    until("both to go on", || routes(&heard) && routes(&cut)).await;
    assert_eq!(two.handle.query(|core, _| core.plan().map(|plan| plan.panic)).await, Some(Some(true)));
    assert_eq!(one.handle.query(|core, _| core.plan().map(|plan| plan.panic)).await, Some(Some(false)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_that_was_off_comes_back_with_its_old_version_and_is_told_what_differs() {
    let one = service(None, None).await;
    let _servers = Servers::start(vec![one.reports], vec![report(1)]);
    let proxy = Proxy::start(one.xds, "p1", "a", true);
    until("it to route", || routes(&proxy)).await;
    let (bodies, version) = (proxy.received_counts().updates, proxy.endpoints_version());
    proxy.set_behaviour(Behaviour { disconnected: true, ..Behaviour::default() });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert!(!routes(&proxy));
    proxy.set_behaviour(Behaviour::default());
    until("it to route again", || routes(&proxy)).await;
    // Same content: leases were renewed, nothing was sent again.
    assert_eq!((proxy.received_counts().updates, proxy.endpoints_version()), (bodies, version));
}
