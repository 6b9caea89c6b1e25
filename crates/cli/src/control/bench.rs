//! `control bench`: how long planning takes, and how long a change takes from a server's report to all proxies, with
//! stand-in proxies that decode what they get. Medians of one run; everything on this machine.

use super::town::{report, setup};
use crate::measure::{memory, percentile};
use crate::say::Done;
use puffinladder_control::fleet::{FleetConfig, FleetView};
use puffinladder_control::plan::Planner;
use puffinladder_control::report::LoadReport;
use puffinladder_control::serve::start;
use puffinladder_proxy::{Pick, Proxy};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn planning() {
    for count in [100, 1000, 10_000] {
        let mut views = FleetView::new(FleetConfig::default());
        let mut planner = Planner::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 4100));
        let mut times = Vec::new();
        for step in 0..30u64 {
            let now = step as f64 * 0.25;
            for at in 0..count {
                let takes = 0.01 * (1.0 + ((at as u64 * 7 + step) % 10) as f64 * 0.02);
                let zone = ["a", "b", "c"][at % 3].into();
                views.record(
                    now,
                    LoadReport {
                        sequence: step + 1,
                        created_at: now,
                        service_time: takes,
                        zone,
                        ..report(at, address)
                    },
                );
            }
            let begun = Instant::now();
            let plan = planner.plan(now, &views);
            times.push(begun.elapsed().as_secs_f64() * 1e3);
            drop(plan);
        }
        let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
        println!("plan of {count:>6} servers: {p50:>7.2} ms, p99 {p99:.2} ms");
    }
}

pub async fn bench(proxies: &[usize], servers: usize, changes: usize) -> Done {
    planning();
    super::fleet::compare(100);
    for count in proxies {
        for incremental in [false, true] {
            push(*count, servers, changes, incremental).await?;
        }
    }
    Ok(())
}

/// For three seconds, while reports go on: the oldest decision that any of the proxies could have routed by, and how often one
/// could not route at all. A decision's age is at the most the bound less what is left of its lease.
async fn staleness(
    fleet: &[Proxy],
    all: &mut [LoadReport],
    stream: &mut TcpStream,
    begun: Instant,
) -> Done<String> {
    let bound = setup().service.lease.max_decision_age;
    let (mut oldest, mut looks, mut nothing) = (0.0f64, 0u64, 0u64);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let mut lines = Vec::new();
        for report in all.iter_mut() {
            (report.sequence, report.created_at) = (report.sequence + 1, begun.elapsed().as_secs_f64());
            serde_json::to_writer(&mut lines, report).map_err(std::io::Error::from)?;
            lines.push(b'\n');
        }
        stream.write_all(&lines).await?;
        // A few at a time: each look decodes all that the proxy holds.
        for proxy in fleet.iter().skip(looks as usize % 7).step_by(fleet.len().div_ceil(50)) {
            looks += 1;
            match proxy.pick("p", "k", [0.5; 3]) {
                Pick::RouteTo { remaining_lease, .. } => {
                    oldest = oldest.max(bound - remaining_lease.as_secs_f64())
                }
                _ => nothing += 1,
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(format!("{oldest:.2} of {bound} s, {nothing} of {looks} looks found none"))
}

/// Changes one server's health back and forth, and waits until every proxy has said that it holds the new plan.
async fn push(count: usize, servers: usize, changes: usize, incremental: bool) -> Done {
    let mut told = setup();
    told.service.subsets.size = servers;
    let running = start(told).await.map_err(std::io::Error::from)?;
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let mut all: Vec<LoadReport> = (0..servers).map(|at| report(at, address)).collect();
    let mut stream = TcpStream::connect(running.reports).await?;
    let begun = Instant::now();
    let send = |all: &mut Vec<LoadReport>| -> Result<Vec<u8>, std::io::Error> {
        let mut lines = Vec::new();
        for report in all {
            (report.sequence, report.created_at) = (report.sequence + 1, begun.elapsed().as_secs_f64());
            serde_json::to_writer(&mut lines, report)?;
            lines.push(b'\n');
        }
        Ok(lines)
    };
    let before = memory("VmRSS:");
    let fleet: Vec<Proxy> =
        (0..count).map(|at| Proxy::start(running.xds, &format!("p{at}"), "a", incremental)).collect();
    let settled = || async {
        let found = running.handle.query(|core, _| {
            (
                core.in_sync_count(),
                core.proxy_count(),
                core.plan_version(),
                core.plan().map(|p| p.shares.len()),
            )
        });
        found.await.unwrap_or_default()
    };
    let end = Instant::now() + Duration::from_secs(120);
    loop {
        let lines = send(&mut all)?;
        stream.write_all(&lines).await?;
        let (held, open, _, shares) = settled().await;
        if held == count && open == count && shares == Some(servers) {
            break;
        }
        if Instant::now() > end {
            println!("{count} proxies: only {held} hold the plan after two minutes");
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let each = (memory("VmRSS:") - before) * 1024.0 / count as f64;
    let bytes = || {
        fleet.iter().map(|p| p.received_counts()).fold((0, 0), |sum, c| (sum.0 + c.updates, sum.1 + c.bytes))
    };
    let (mut first, mut last) = (Vec::new(), Vec::new());
    let start_bytes = bytes();
    let mut sent_at = Instant::now();
    for change in 0..changes {
        let old = running.handle.query(|core, _| core.plan_version()).await.unwrap_or_default();
        all[0].healthy = change % 2 == 1;
        let lines = send(&mut all)?;
        let begun = Instant::now();
        stream.write_all(&lines).await?;
        let mut planned = None;
        while begun.elapsed() < Duration::from_secs(10) {
            let (held, _, serial, _) = settled().await;
            if serial > old && planned.is_none() {
                planned = Some(begun.elapsed());
            }
            if planned.is_some() && held == count {
                break;
            }
            if sent_at.elapsed() > Duration::from_millis(250) {
                sent_at = Instant::now();
                let lines = send(&mut all)?;
                stream.write_all(&lines).await?;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        first.extend(planned.map(|at| at.as_secs_f64() * 1e3));
        last.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    let now = bytes();
    let oldest = staleness(&fleet, &mut all, &mut stream, begun).await?;
    let size = (now.1 - start_bytes.1) as f64 / (now.0 - start_bytes.0).max(1) as f64;
    println!(
        "{count:>5} proxies, {servers} servers, {}: a change to all acked p50 {:.0} ms p99 {:.0} ms (planned after {:.0} ms); \
         {size:.0} bytes a response, {each:.0} KB a proxy with its stand-in; oldest decision used {oldest}",
        if incremental { "incremental   " } else { "whole state   " },
        percentile(&mut last, 0.5),
        percentile(&mut last, 0.99),
        percentile(&mut first, 0.5),
    );
    running.stop().await;
    Ok(())
}
