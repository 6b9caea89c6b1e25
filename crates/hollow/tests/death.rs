//! A control service dies. Alone in its program, as it counts the process's descriptors.

mod common;

use common::{service, some_callers, some_servers, until};
use puffinladder_control::serve::RunningService;
use puffinladder_hollow::callers::Callers;
use puffinladder_hollow::figures;
use puffinladder_hollow::servers::Servers;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn when_a_service_dies_its_callers_take_another_and_what_was_held_for_it_is_given_back() {
    let (one, two) = (service().await, service().await);
    let servers = Servers::start(&some_servers(20, &[one.reports, two.reports]));
    let callers = Callers::start(&some_callers(40, &[one.xds, two.xds], true));
    let peers =
        async |of: &RunningService| of.handle.query(|core, _| core.proxy_count()).await.unwrap_or_default();
    until("callers at both", async || {
        let (here, there) = (peers(&one).await, peers(&two).await);
        here > 0 && there > 0 && here + there == 40
    })
    .await;
    until("all to hold", async || callers.standing().holding == 40).await;
    assert_eq!((servers.counts.links.get(), callers.counts.links.get()), (40, 40));
    let (before, reconnects) = (figures::descriptors(), callers.counts.reconnects.get());
    let moves = peers(&one).await as u64;
    one.stop().await;
    until("all at the other", async || peers(&two).await == 40 && callers.standing().acked == 40).await;
    // A server finds out with a line that can't leave.
    until("the dead one's connections to be given back", async || {
        servers.counts.links.get() == 20 && callers.counts.links.get() == 40
    })
    .await;
    assert_eq!(servers.counts.connected.get(), 20);
    assert_eq!(callers.counts.reconnects.get(), reconnects + moves, "only those that were there");
    // Both ends of 20 reports' and 20 callers' connections are gone, and 20 callers' have come anew.
    until("its descriptors", async || figures::descriptors() <= before - 40).await;
    two.stop().await;
}
