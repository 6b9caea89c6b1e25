//! `control bench`: the time of planning, and the time of a change from a server's report to its acknowledgement by all
//! proxies, all in one process on loopback.

use super::demo::{loopback_config, sample_report};
use crate::measure::{memory, percentile};
use crate::terminal::CommandResult;
use puffinladder_control::fleet::{FleetConfig, FleetView};
use puffinladder_control::plan::Planner;
use puffinladder_control::report::LoadReport;
use puffinladder_control::serve::start;
use puffinladder_proxy::{Pick, Proxy};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn bench_planning() {
    for count in [100, 1000, 10_000] {
        let mut view = FleetView::new(FleetConfig::default());
        let mut planner = Planner::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 4100));
        let mut times = Vec::new();
        for step in 0..30u64 {
            let now = step as f64 * 0.25;
            for at in 0..count {
                let service_time = 0.01 * (1.0 + ((at as u64 * 7 + step) % 10) as f64 * 0.02);
                let zone = ["a", "b", "c"][at % 3].into();
                view.record(
                    now,
                    LoadReport {
                        sequence: step + 1,
                        created_at: now,
                        service_time,
                        zone,
                        ..sample_report(at, address)
                    },
                );
            }
            let started = Instant::now();
            let plan = planner.plan(now, &view);
            times.push(started.elapsed().as_secs_f64() * 1e3);
            drop(plan);
        }
        let (p50, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
        println!("plan of {count:>6} servers: {p50:>7.2} ms, p99 {p99:.2} ms");
    }
}

/// Runs all measurements and prints their results.
pub async fn bench(proxies: &[usize], servers: usize, changes: usize) -> CommandResult {
    bench_planning();
    super::simulation::compare_plans(100);
    for count in proxies {
        for incremental in [false, true] {
            bench_push(*count, servers, changes, incremental).await?;
        }
    }
    Ok(())
}

/// Reports for three seconds and returns the oldest decision that a sampled proxy routed by, and how often one had no route. A
/// decision's age is at most the bound less the remaining lease.
async fn measure_staleness(
    fleet: &[Proxy],
    reports: &mut [LoadReport],
    stream: &mut TcpStream,
    started: Instant,
) -> CommandResult<String> {
    let bound = loopback_config().service.lease.max_decision_age;
    let (mut oldest, mut samples, mut unroutable) = (0.0f64, 0u64, 0u64);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let mut lines = Vec::new();
        for report in reports.iter_mut() {
            (report.sequence, report.created_at) = (report.sequence + 1, started.elapsed().as_secs_f64());
            serde_json::to_writer(&mut lines, report).map_err(std::io::Error::from)?;
            lines.push(b'\n');
        }
        stream.write_all(&lines).await?;
        // A sample of the proxies: each pick decodes the proxy's whole state.
        for proxy in fleet.iter().skip(samples as usize % 7).step_by(fleet.len().div_ceil(50)) {
            samples += 1;
            match proxy.pick("p", "k", [0.5; 3]) {
                Pick::RouteTo { remaining_lease, .. } => {
                    oldest = oldest.max(bound - remaining_lease.as_secs_f64())
                }
                _ => unroutable += 1,
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(format!("{oldest:.2} of {bound} s, {unroutable} of {samples} picks had no route"))
}

/// Toggles one server's health `changes` times, and waits each time until every proxy has acknowledged the new plan.
async fn bench_push(count: usize, servers: usize, changes: usize, incremental: bool) -> CommandResult {
    let mut config = loopback_config();
    config.service.subsets.size = servers;
    let running = start(config).await.map_err(std::io::Error::from)?;
    let address = SocketAddr::from(([127, 0, 0, 1], 4100));
    let mut reports: Vec<LoadReport> = (0..servers).map(|at| sample_report(at, address)).collect();
    let mut stream = TcpStream::connect(running.reports).await?;
    let started = Instant::now();
    let encode = |reports: &mut Vec<LoadReport>| -> Result<Vec<u8>, std::io::Error> {
        let mut lines = Vec::new();
        for report in reports {
            (report.sequence, report.created_at) = (report.sequence + 1, started.elapsed().as_secs_f64());
            serde_json::to_writer(&mut lines, report)?;
            lines.push(b'\n');
        }
        Ok(lines)
    };
    let before = memory("VmRSS:");
    let fleet: Vec<Proxy> =
        (0..count).map(|at| Proxy::start(running.xds, &format!("p{at}"), "a", incremental)).collect();
    let sync_state = || async {
        let state = running.handle.query(|core, _| {
            (
                core.in_sync_count(),
                core.proxy_count(),
                core.plan_version(),
                core.plan().map(|p| p.shares.len()),
            )
        });
        state.await.unwrap_or_default()
    };
    let end = Instant::now() + Duration::from_secs(120);
    loop {
        let lines = encode(&mut reports)?;
        stream.write_all(&lines).await?;
        let (in_sync, open, _, shares) = sync_state().await;
        if in_sync == count && open == count && shares == Some(servers) {
            break;
        }
        if Instant::now() > end {
            println!("{count} proxies: only {in_sync} have the plan after two minutes");
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let memory_each = (memory("VmRSS:") - before) * 1024.0 / count as f64;
    let received = || {
        fleet.iter().map(|p| p.received_counts()).fold((0, 0), |sum, c| (sum.0 + c.updates, sum.1 + c.bytes))
    };
    let (mut planned_times, mut acked_times) = (Vec::new(), Vec::new());
    let start_bytes = received();
    let mut sent_at = Instant::now();
    for change in 0..changes {
        let old = running.handle.query(|core, _| core.plan_version()).await.unwrap_or_default();
        reports[0].healthy = change % 2 == 1;
        let lines = encode(&mut reports)?;
        let started = Instant::now();
        stream.write_all(&lines).await?;
        let mut planned = None;
        while started.elapsed() < Duration::from_secs(10) {
            let (in_sync, _, version, _) = sync_state().await;
            if version > old && planned.is_none() {
                planned = Some(started.elapsed());
            }
            if planned.is_some() && in_sync == count {
                break;
            }
            if sent_at.elapsed() > Duration::from_millis(250) {
                sent_at = Instant::now();
                let lines = encode(&mut reports)?;
                stream.write_all(&lines).await?;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        planned_times.extend(planned.map(|at| at.as_secs_f64() * 1e3));
        acked_times.push(started.elapsed().as_secs_f64() * 1e3);
    }
    let end_bytes = received();
    let oldest = measure_staleness(&fleet, &mut reports, &mut stream, started).await?;
    let size = (end_bytes.1 - start_bytes.1) as f64 / (end_bytes.0 - start_bytes.0).max(1) as f64;
    println!(
        "{count:>5} proxies, {servers} servers, {}: a change to all acked p50 {:.0} ms p99 {:.0} ms (planned after {:.0} ms); \
         {size:.0} bytes a response, {memory_each:.0} KB a proxy, both ends; oldest decision used {oldest}",
        if incremental { "incremental   " } else { "whole state   " },
        percentile(&mut acked_times, 0.5),
        percentile(&mut acked_times, 0.99),
        percentile(&mut planned_times, 0.5),
    );
    running.stop().await;
    Ok(())
}
