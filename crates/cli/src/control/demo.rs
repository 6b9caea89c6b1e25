//! `control town`: a control service on loopback with minimal servers and proxies around it.

use crate::terminal::CommandResult;
use puffinladder_control::report::LoadReport;
use puffinladder_control::serve::{start, ServeConfig};
use puffinladder_control::service::ServiceConfig;
use puffinladder_proxy::{Pick, Proxy};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Returns the report of a healthy server with this number.
pub fn sample_report(at: usize, address: SocketAddr) -> LoadReport {
    LoadReport::healthy_server(&format!("n{at:05}"), address)
}

/// Returns a configuration that listens on free loopback ports.
pub fn loopback_config() -> ServeConfig {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ServeConfig {
        service: ServiceConfig::default(),
        xds: any,
        reports: any,
        debug: Some(any),
        snapshot: None,
        max_proxies: 100_000,
        tls: None,
    }
}

/// Runs the service for so many seconds: one server slows down at 30 % of the time, the other drains from 65 % on.
pub async fn run_demo(seconds: u32) -> CommandResult {
    let running = start(loopback_config()).await.map_err(std::io::Error::from)?;
    println!("control service: xds {}, reports {}", running.xds, running.reports);
    if let Some(debug) = running.debug {
        println!("debug view: http://{debug}/plan, /servers, /proxies, /metrics");
    }
    let mut servers = Vec::new();
    for at in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        servers.push(sample_report(at, listener.local_addr()?));
        // Each server answers a connection with its name.
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.write_all(format!("n{at:05}\n").as_bytes()).await;
            }
        });
    }
    let proxies: Vec<Proxy> =
        (0..2).map(|at| Proxy::start(running.xds, &format!("p{at}"), "a", at == 1)).collect();
    let mut stream = TcpStream::connect(running.reports).await?;
    let started = Instant::now();
    let mut sent: BTreeMap<(usize, String), u32> = BTreeMap::new();
    let mut last_printed = 0;
    while started.elapsed() < Duration::from_secs(seconds.into()) {
        let now = started.elapsed().as_secs_f64();
        let (slow, draining) = (f64::from(seconds) * 0.3, f64::from(seconds) * 0.65);
        servers[1].service_time = if now > slow { 0.04 } else { 0.01 };
        servers[0].terminates_in = (now > draining).then_some(3.0);
        for server in &mut servers {
            (server.sequence, server.created_at) = (server.sequence + 1, now);
            let line = format!("{}\n", serde_json::to_string(server).map_err(std::io::Error::from)?);
            stream.write_all(line.as_bytes()).await?;
        }
        // Opens a connection to the server that the proxy picks.
        for (at, proxy) in proxies.iter().enumerate() {
            for n in 0..50u32 {
                let draw = (f64::from(n) + 0.5) / 50.0;
                let name = match proxy.pick("p", "k", [draw, 0.5, draw]) {
                    Pick::RouteTo { server, .. } => match TcpStream::connect(server).await {
                        Ok(_) => servers
                            .iter()
                            .find(|s| s.address == server)
                            .map_or("?", |s| &s.instance)
                            .to_owned(),
                        Err(_) => "unreachable".into(),
                    },
                    Pick::Dropped { .. } => "dropped".into(),
                    Pick::Unroutable => "unroutable".into(),
                };
                *sent.entry((at, name)).or_insert(0) += 1;
            }
        }
        if started.elapsed().as_secs() > last_printed {
            last_printed = started.elapsed().as_secs();
            let phase = if now > draining {
                "n00000 drains"
            } else if now > slow {
                "n00001 is four times slower"
            } else {
                "both servers are healthy"
            };
            let counts: Vec<String> =
                sent.iter().map(|((at, name), count)| format!("p{at} to {name} {count}")).collect();
            println!("{last_printed:>3} s  {phase:<28} {}", counts.join(", "));
            sent.clear();
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    running.stop().await;
    Ok(())
}
