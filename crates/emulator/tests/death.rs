//! A control service dies. Alone in its program, as it counts the process's descriptors.

mod common;

use common::{service, some_callers, some_servers, until};
use puffinladder_control::serve::RunningService;
use puffinladder_emulator::callers::EmulatedCallers;
use puffinladder_emulator::process_usage;
use puffinladder_emulator::servers::EmulatedServers;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn when_a_service_dies_its_callers_take_another_and_what_was_held_for_it_is_given_back() {
    let (one, two) = (service().await, service().await);
    let servers = EmulatedServers::start(&some_servers(20, &[one.reports, two.reports]));
    let callers = EmulatedCallers::start(&some_callers(40, &[one.xds, two.xds], true));
    let peers =
        async |of: &RunningService| of.handle.query(|core, _| core.proxy_count()).await.unwrap_or_default();
    until("callers at both", async || {
        let (here, there) = (peers(&one).await, peers(&two).await);
        here > 0 && there > 0 && here + there == 40
    })
    .await;
    until("all to hold", async || callers.counts().holding == 40).await;
    assert_eq!((servers.stats.links.get(), callers.stats.links.get()), (40, 40));
    let (before, reconnects) = (process_usage::open_descriptors(), callers.stats.reconnects.get());
    let moves = peers(&one).await as u64;
    one.stop().await;
    until("all at the other", async || peers(&two).await == 40 && callers.counts().acknowledged == 40).await;
    // A server finds out with a line that can't leave.
    until("the dead one's connections to be given back", async || {
        servers.stats.links.get() == 20 && callers.stats.links.get() == 40
    })
    .await;
    assert_eq!(servers.stats.connected.get(), 20);
    assert_eq!(callers.stats.reconnects.get(), reconnects + moves, "only those that were there");
    // Both ends of 20 reports' and 20 callers' connections are gone, and 20 callers' have come anew.
    until("its descriptors", async || process_usage::open_descriptors() <= before - 40).await;
    two.stop().await;
}
