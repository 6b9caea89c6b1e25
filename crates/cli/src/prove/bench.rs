//! `prove bench`: time without a lease holder after faults, and the load of keepers by the number of instances.

use crate::serve;
use crate::terminal::{progress_bar, CommandError, CommandResult};
use puffinladder_leases::protocol::{Event, EventSink, ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_proving::cluster::{request, request_leader, run_schedule, ClusterConfig};
use puffinladder_proving::measure::{ownership_gaps, quantile};
use puffinladder_proving::process::{Process, ProcessOutput};
use puffinladder_proving::schedule::{Fault, FaultKind, ProcessId, Schedule};
use puffinladder_transport::Clock;
use puffinladder_worker::config::WorkerConfig;
use puffinladder_worker::service::{self, RunningWorker};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Lease duration in all measurements, s.
const LEASE_DURATION: f64 = 2.0;

/// Runs both measurements and prints their tables.
pub fn bench(
    setup: &ClusterConfig,
    rounds: u64,
    instances: &[usize],
    parts: usize,
    span: f64,
) -> CommandResult {
    let runtime = serve::runtime()?;
    runtime.block_on(bench_handover(setup, rounds))?;
    println!();
    println!("Keepers and instances, {parts} parts, lease of {LEASE_DURATION} s; figures of the leading keeper, CPU in ms a second:");
    println!("instances  owned after  CPU keeper  of an instance  bytes/s to peers  lines/s  RSS keeper (MB)  most and least parts");
    for &count in instances {
        println!("{}", runtime.block_on(bench_load(setup, count, parts, span))?);
    }
    Ok(())
}

/// Returns a schedule that injects the fault into three workers, one after the other.
fn three_faults(what: FaultKind, with: Option<FaultKind>, seed: u64) -> Schedule {
    let mut faults = Vec::new();
    for steward in 1..=3 {
        let at = 3.0 + 7.0 * (steward - 1) as f64 + 0.1 * (seed % 10) as f64;
        faults.extend(with.map(|with| Fault::new(at, with, ProcessId::Replica(1), 2.0)));
        faults.push(Fault::new(at, what, ProcessId::Worker(steward), 3.0));
    }
    Schedule {
        seed,
        workers: 4,
        servers: 24,
        parts: 12,
        backlog_files: 8,
        file_interval: 0.004,
        duration: 24.0,
        lease_term: LEASE_DURATION,
        faults,
        ..Schedule::default()
    }
}

async fn bench_handover(setup: &ClusterConfig, rounds: u64) -> CommandResult {
    println!("Time from a holder's fault to its successor's first accepted effect, lease of {LEASE_DURATION} s, {rounds} runs of three each, s:");
    println!("{:<34} {:>6} {:>8} {:>8} {:>8} {:>8}", "", "parts", "least", "median", "p99", "most");
    let kinds = [
        ("killed", FaultKind::Kill, None),
        ("stopped by SIGTERM", FaultKind::Terminate, None),
        ("killed, with the leading keeper", FaultKind::Kill, Some(FaultKind::KillLeader)),
        ("suspended by SIGSTOP", FaultKind::Pause, None),
    ];
    let bar = progress_bar("runs");
    bar.set_length(rounds * kinds.len() as u64);
    for (name, what, with) in kinds {
        let (mut times, mut open, mut late) = (Vec::new(), 0, 0.0f64);
        for seed in 1..=rounds {
            let schedule = three_faults(what, with, seed);
            let run = run_schedule(&schedule, setup).await.map_err(CommandError::Failed)?;
            super::report_failures(&run, seed)?;
            if !run.failures.is_empty() {
                return Err(CommandError::Failed("a run failed, so that its figures are invalid".into()));
            }
            let (closed, left) = ownership_gaps(&run.history, what.keyword());
            times.extend(closed);
            (open, late) = (open + left, late.max(run.scheduling_delay));
            bar.inc(1);
        }
        times.sort_by(f64::total_cmp);
        let at = |share| quantile(&times, share);
        let (min, max) = (at(0.0), at(1.0));
        println!(
            "{name:<34} {:>6} {min:>8.3} {:>8.3} {:>8.3} {max:>8.3}   faults late {late:.3}{}",
            times.len(),
            at(0.5),
            at(0.99),
            if open > 0 { format!(", {open} without a successor") } else { String::new() }
        );
    }
    bar.finish_and_clear();
    Ok(())
}

/// Returns the CPU time of a process, s, and its resident memory, MB, from `/proc`.
fn process_usage(pid: &str) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let words: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?;
    let memory = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages = memory.split_whitespace().nth(1)?.parse::<f64>().ok()?;
    Some((ticks / 100.0, pages * 4096.0 / 1e6))
}

async fn status(at: SocketAddr) -> Option<ReplicaStatus> {
    match request(at, &ReplicaRequest::Status).await? {
        ReplicaReply::Status(status) => Some(*status),
        _ => None,
    }
}

/// Starts keepers as processes and instances as tasks of this process, and returns the table row of their load.
async fn bench_load(setup: &ClusterConfig, count: usize, parts: usize, span: f64) -> CommandResult<String> {
    let folder = tempfile::tempdir()?;
    let (events_in, mut events) = tokio::sync::mpsc::unbounded_channel();
    // A loopback range that the processes of tests do not use.
    let at =
        |number: u64| SocketAddr::from(([127, 254, (std::process::id() % 200) as u8, number as u8], 18201));
    let peers: Vec<String> = (1..=3).map(|number| format!("\"{number}={}\"", at(number))).collect();
    let mut keepers = Vec::new();
    for number in 1..=3u64 {
        let path = folder.path().join(format!("k{number}.scm"));
        let text = format!(
            "(log (filter \"warn\")) (keeper (number {number}) (listen \"{}\") (folder \"{}\") (peers {}) (duty (name \"load\") (parts {parts})) (term {LEASE_DURATION}s))",
            at(number),
            folder.path().join(format!("k{number}")).display(),
            peers.join(" "),
        );
        std::fs::write(&path, text)?;
        let args = ["keeper".into(), "--settings".into(), path.display().to_string(), "--found".into()];
        let (name, log) = (format!("k{number}"), folder.path().join("log"));
        keepers.push(Process::start(&setup.program, &args, &name, 1, &log, events_in.clone())?);
    }
    let mut ready = 0;
    while ready < 3 {
        match tokio::time::timeout(Duration::from_secs(20), events.recv()).await {
            Ok(Some(ProcessOutput { event: Some(Event::Ready { .. }), .. })) => ready += 1,
            Ok(Some(_)) => {}
            _ => return Err(CommandError::Failed("keepers did not become ready within 20 s".into())),
        }
    }
    // Later events are read and dropped.
    let drain = tokio::spawn(async move { while events.recv().await.is_some() {} });
    let replicas: BTreeMap<u64, SocketAddr> = (1..=3).map(|number| (number, at(number))).collect();
    let started = Instant::now();
    let mut workers = Vec::new();
    for number in 0..count {
        let config = WorkerConfig {
            name: format!("n{number}"),
            zone: format!("z{}", number % 3),
            incarnation: 1,
            replicas: replicas.clone(),
            collection: None,
            reporting: None,
            idle_tasks: vec!["load".into()],
            clock: Clock::system(),
            events: EventSink { enabled: false },
        };
        workers.push(service::start(config).await.map_err(|e| CommandError::Failed(e.to_string()))?);
    }
    let keepers_at: Vec<SocketAddr> = replicas.values().copied().collect();
    let (most, least) = loop {
        if started.elapsed() > Duration::from_secs(120) {
            return Err(CommandError::Failed(format!(
                "{count} instances: not all parts have holders after two minutes"
            )));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let Some(ReplicaReply::Tasks { leases: rows, instances, .. }) =
            request_leader(&keepers_at, &ReplicaRequest::Tasks).await
        else {
            continue;
        };
        let held = rows.iter().filter(|row| row.holder.is_some()).count();
        let (most, least) = (
            instances.iter().map(|instance| instance.parts).max(),
            instances.iter().map(|instance| instance.parts).min(),
        );
        let bound = (1.25 * parts as f64 / count as f64).ceil() as usize;
        if held == parts
            && instances.len() == count
            && most <= Some(bound)
            && least > Some(0)
            && !rows.iter().any(|row| row.revoked)
        {
            break (most.unwrap_or(0), least.unwrap_or(0));
        }
    };
    let settled_after = started.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut leader = None;
    for (place, &at) in keepers_at.iter().enumerate() {
        if status(at).await.is_some_and(|status| status.is_leader) {
            leader = Some((place, at));
        }
    }
    let (place, at) = leader.ok_or_else(|| CommandError::Failed("no keeper is the leader".into()))?;
    let pid = keepers[place].id().to_string();
    let sample = || Some((process_usage(&pid)?, process_usage("self")?));
    let missing = || CommandError::Failed("/proc has no usage of a keeper or of this process".into());
    let before = (sample().ok_or_else(missing)?, status(at).await);
    tokio::time::sleep(Duration::from_secs_f64(span)).await;
    let after = (sample().ok_or_else(missing)?, status(at).await);
    let rate = |counter: &str| {
        let of = |status: &Option<ReplicaStatus>| {
            status.as_ref().and_then(|s| s.counts.get(counter).copied()).unwrap_or(0)
        };
        of(&after.1).saturating_sub(of(&before.1)) as f64 / span
    };
    let ((keeper_cpu, memory), own_cpu) = (after.0 .0, after.0 .1 .0 - before.0 .1 .0);
    let row = format!(
        "{count:>9}  {settled_after:>10.1}s  {:>10.1}  {:>14.2}  {:>16.0}  {:>7.0}  {memory:>15.1}  {} and {}",
        (keeper_cpu - before.0 .0 .0) * 1e3 / span,
        own_cpu * 1e3 / span / count as f64,
        rate("bytes-to-peers"),
        rate("lines"),
        most,
        least,
    );
    workers.into_iter().for_each(RunningWorker::kill);
    drop(keepers);
    drain.abort();
    Ok(row)
}
