//! Service, reporting servers and proxies on loopback, shared by the tests.
#![allow(dead_code)]

use puffinladder_control::report::LoadReport;
use puffinladder_control::serve::{start, RunningService, ServeConfig, TlsConfig};
use puffinladder_control::service::ServiceConfig;
use puffinladder_control::stream::LeaseConfig;
use puffinladder_proxy::{Pick, Proxy};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Maximum age of a decision, seconds; shorter than the default, to shorten the tests.
pub const BOUND: f64 = 1.0;

pub async fn start_service(snapshot: Option<PathBuf>, tls: Option<TlsConfig>) -> RunningService {
    let loopback: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let lease = LeaseConfig { max_decision_age: BOUND, heartbeat_interval: 0.2, ..LeaseConfig::default() };
    let mut config = ServiceConfig { lease, ..ServiceConfig::default() };
    (config.schedule.interval, config.schedule.min_settle_time) = (0.1, 0.2);
    let config = ServeConfig {
        service: config,
        xds: loopback,
        reports: loopback,
        debug: Some(loopback),
        snapshot,
        max_proxies: 100,
        tls,
    };
    start(config).await.unwrap()
}

pub fn report(index: u16) -> LoadReport {
    LoadReport::healthy_server(&format!("n{index}"), SocketAddr::from(([127, 0, 0, 1], 4000 + index)))
}

/// Servers that report to the listed services ten times per second.
#[derive(Clone)]
pub struct Servers(Arc<Mutex<(Vec<SocketAddr>, Vec<LoadReport>)>>);

impl Servers {
    pub fn start(services: Vec<SocketAddr>, reports: Vec<LoadReport>) -> Servers {
        let servers = Servers(Arc::new(Mutex::new((services, reports))));
        let reporter = servers.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let mut streams: Vec<(SocketAddr, TcpStream)> = Vec::new();
            loop {
                let (services, lines) = reporter.with(|(services, reports)| {
                    let mut lines = String::new();
                    for report in reports {
                        (report.sequence, report.created_at) =
                            (report.sequence + 1, started_at.elapsed().as_secs_f64());
                        lines += &serde_json::to_string(report).unwrap();
                        lines.push('\n');
                    }
                    (services.clone(), lines)
                });
                streams.retain(|(address, _)| services.contains(address));
                for address in services {
                    if !streams.iter().any(|(open, _)| *open == address) {
                        streams
                            .extend(TcpStream::connect(address).await.ok().map(|stream| (address, stream)));
                    }
                }
                let mut open = Vec::new();
                for (address, mut stream) in streams {
                    if stream.write_all(lines.as_bytes()).await.is_ok() {
                        open.push((address, stream));
                    }
                }
                streams = open;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        servers
    }
    pub fn with<T>(&self, change: impl FnOnce(&mut (Vec<SocketAddr>, Vec<LoadReport>)) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }
    pub fn change(&self, change: impl Fn(&mut LoadReport)) {
        self.with(|(_, reports)| reports.iter_mut().for_each(change));
    }
}

pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn pick(proxy: &Proxy, draw: f64) -> Pick {
    proxy.pick("p", "k", [draw, 0.5, draw])
}

pub fn can_route(proxy: &Proxy) -> bool {
    matches!(pick(proxy, 0.5), Pick::RouteTo { .. })
}
