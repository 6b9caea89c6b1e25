//! A control service and what is played round it, as the stories need them.
#![allow(dead_code)]

use puffinladder_control::serve::{start, RunningService, ServeConfig};
use puffinladder_control::service::ServiceConfig;
use puffinladder_control::stream::LeaseConfig;
use puffinladder_emulator::callers::CallersConfig;
use puffinladder_emulator::servers::ServersConfig;
use puffinladder_emulator::traffic::Load;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub async fn service() -> RunningService {
    let lease = LeaseConfig { heartbeat_interval: 0.2, ..LeaseConfig::default() };
    let mut config = ServiceConfig { lease, ..ServiceConfig::default() };
    (config.schedule.interval, config.schedule.min_settle_time) = (0.1, 0.2);
    // So that the memory of those that fell silent is seen to be given back.
    config.fleet.evict_after = 3.0;
    let setup = ServeConfig {
        service: config,
        xds: any(),
        reports: any(),
        debug: None,
        snapshot: None,
        max_proxies: 1000,
        tls: None,
    };
    start(setup).await.unwrap()
}

pub fn some_servers(count: usize, control: &[SocketAddr]) -> ServersConfig {
    ServersConfig {
        count,
        first: 40,
        control: control.to_vec(),
        workers: Vec::new(),
        load: Load { products: 3, customers: 20, rate: 50.0, calm: false },
        report_interval: Duration::from_millis(100),
        zones: 3,
        seed: 7,
        start_within: Duration::from_millis(200),
        fleet_size: count,
        quota: 100.0,
        drain_patience: Duration::ZERO,
    }
}

pub fn some_callers(count: usize, control: &[SocketAddr], incremental: bool) -> CallersConfig {
    CallersConfig {
        count,
        first: 0,
        control: control.to_vec(),
        services: 5,
        zones: 3,
        incremental,
        seed: 7,
        start_within: Duration::from_millis(200),
        lease: Duration::from_secs(2),
    }
}

/// Waits until it holds; a minute is the machine's, not the story's.
pub async fn until(what: &str, mut wanted: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !wanted().await {
        assert!(Instant::now() < end, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
