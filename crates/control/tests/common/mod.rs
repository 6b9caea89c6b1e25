//! A service, servers that report to it and proxies on loopback, as the stories need them.
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

/// s: shorter than usual, so that stories are.
pub const BOUND: f64 = 1.0;

pub async fn service(snapshot: Option<PathBuf>, tls: Option<TlsConfig>) -> RunningService {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let lease = LeaseConfig { max_decision_age: BOUND, heartbeat_interval: 0.2, ..LeaseConfig::default() };
    let mut config = ServiceConfig { lease, ..ServiceConfig::default() };
    (config.schedule.interval, config.schedule.min_settle_time) = (0.1, 0.2);
    let config = ServeConfig {
        service: config,
        xds: any,
        reports: any,
        debug: Some(any),
        snapshot,
        max_proxies: 100,
        tls,
    };
    start(config).await.unwrap()
}

pub fn report(at: u16) -> LoadReport {
    LoadReport::healthy_server(&format!("n{at}"), SocketAddr::from(([127, 0, 0, 1], 4000 + at)))
}

/// Servers that report ten times a second to the services that are listed, as tests change both.
#[derive(Clone)]
pub struct Servers(Arc<Mutex<(Vec<SocketAddr>, Vec<LoadReport>)>>);

impl Servers {
    pub fn start(services: Vec<SocketAddr>, all: Vec<LoadReport>) -> Servers {
        let servers = Servers(Arc::new(Mutex::new((services, all))));
        let told = servers.clone();
        tokio::spawn(async move {
            let begun = Instant::now();
            let mut streams: Vec<(SocketAddr, TcpStream)> = Vec::new();
            loop {
                let (services, lines) = told.with(|(services, all)| {
                    let mut lines = String::new();
                    for report in all {
                        (report.sequence, report.created_at) =
                            (report.sequence + 1, begun.elapsed().as_secs_f64());
                        lines += &serde_json::to_string(report).unwrap();
                        lines.push('\n');
                    }
                    (services.clone(), lines)
                });
                streams.retain(|(at, _)| services.contains(at));
                for at in services {
                    if !streams.iter().any(|(open, _)| *open == at) {
                        streams.extend(TcpStream::connect(at).await.ok().map(|stream| (at, stream)));
                    }
                }
                let mut open = Vec::new();
                for (at, mut stream) in streams {
                    if stream.write_all(lines.as_bytes()).await.is_ok() {
                        open.push((at, stream));
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
        self.with(|(_, all)| all.iter_mut().for_each(change));
    }
}

pub async fn until(what: &str, mut wanted: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !wanted() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn pick(proxy: &Proxy, draw: f64) -> Pick {
    proxy.pick("p", "k", [draw, 0.5, draw])
}

pub fn routes(proxy: &Proxy) -> bool {
    matches!(pick(proxy, 0.5), Pick::RouteTo { .. })
}
