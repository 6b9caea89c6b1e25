//! Many in one process, round a real control service. Alone in its program, as it counts the process's descriptors.

mod common;

use common::{service, some_callers, some_servers, until};
use puffinladder_emulator::callers::EmulatedCallers;
use puffinladder_emulator::names::{server, zone};
use puffinladder_emulator::process_usage;
use puffinladder_emulator::servers::EmulatedServers;
use std::collections::BTreeSet;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_hundred_of_each_in_one_process_are_all_known_all_hold_the_plan_and_leave_nothing_behind() {
    let before = process_usage::open_descriptors();
    let running = service().await;
    let servers = EmulatedServers::start(&some_servers(200, &[running.reports]));
    let callers = [false, true].map(|mode| EmulatedCallers::start(&some_callers(100, &[running.xds], mode)));
    let known = async || {
        let found = running.handle.query(|core, now| {
            core.fleet()
                .servers(now)
                .iter()
                .map(|b| (b.report.instance.clone(), b.report.zone.clone()))
                .collect::<BTreeSet<_>>()
        });
        found.await.unwrap_or_default()
    };
    let wanted: BTreeSet<(String, String)> = (40..240).map(|at| (server(at).0, zone(at, 3))).collect();
    until("every server to be known", async || known().await == wanted).await;
    until("every caller to have acked all of it", async || {
        let peers = running.handle.query(|core, _| core.proxy_count()).await.unwrap_or_default();
        peers == 200 && callers.iter().all(|c| c.counts().acknowledged == 100 && c.counts().holding == 100)
    })
    .await;
    assert_eq!((servers.stats.connected.get(), servers.stats.links.get()), (200, 200));
    for callers in &callers {
        assert_eq!((callers.stats.connected.get(), callers.stats.reconnects.get()), (100, 0));
        let (said, heard) = (callers.stats.messages_sent.get(), callers.stats.messages_received.get());
        // Four subscriptions each, and an answer to each response but those under way.
        assert!(said >= 400 && heard >= 400 && said - 400 <= heard, "{said} {heard}");
        assert!(callers.latencies().highest().is_some());
    }
    let refused = running
        .handle
        .query(|core, _| (core.fleet().rejected, core.stream_counters().rejected))
        .await
        .unwrap();
    assert_eq!(refused, (0, 0), "reports, responses");
    // Both ends stand in this process: two descriptors a connection, and a few of the process.
    let open = process_usage::open_descriptors() - before;
    assert!((800..=840).contains(&open), "{open}");
    // They go: nothing of them stays, neither here nor with the service.
    let counts = [&callers[0].stats, &callers[1].stats, &servers.stats].map(Clone::clone);
    servers.shut_down().await;
    drop(callers);
    until("the service to have forgotten them", async || {
        let found = running.handle.query(|core, _| (core.proxy_count(), core.fleet().len())).await;
        found == Some((0, 0)) && process_usage::open_descriptors() <= before + 40
    })
    .await;
    for counts in counts {
        assert_eq!((counts.connected.get(), counts.links.get()), (0, 0));
    }
    running.stop().await;
}
