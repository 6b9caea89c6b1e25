//! What one owner at a time costs: time without an owner on the proving ground, and load of keepers and instances by their number.

use crate::say::{bar, Done, Wrong};
use crate::serve;
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

/// The term that figures are given for, s.
const TERM: f64 = 2.0;

pub fn bench(setup: &ClusterConfig, rounds: u64, instances: &[usize], parts: usize, span: f64) -> Done {
    let runtime = serve::runtime()?;
    runtime.block_on(owners(setup, rounds))?;
    println!();
    println!("Keepers and instances, {parts} parts, term {TERM} s; a keeper is the one that leads, CPU in ms a second:");
    println!("instances  owned after  CPU keeper  of an instance  bytes/s to peers  lines/s  RSS keeper (MB)  most and least parts");
    for &count in instances {
        println!("{}", runtime.block_on(cost(setup, count, parts, span))?);
    }
    Ok(())
}

/// Three stewards are hit one after the other in each run.
fn three(what: FaultKind, with: Option<FaultKind>, seed: u64) -> Schedule {
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
        lease_term: TERM,
        faults,
        ..Schedule::default()
    }
}

async fn owners(setup: &ClusterConfig, rounds: u64) -> Done {
    println!("From what was done to an owner to its successor's first accepted effect, term {TERM} s, {rounds} runs of three each, s:");
    println!("{:<34} {:>6} {:>8} {:>8} {:>8} {:>8}", "", "parts", "least", "median", "p99", "most");
    let kinds = [
        ("killed", FaultKind::Kill, None),
        ("told to leave (SIGTERM)", FaultKind::Terminate, None),
        ("killed, with the keeper that leads", FaultKind::Kill, Some(FaultKind::KillLeader)),
        ("stopped (SIGSTOP)", FaultKind::Pause, None),
    ];
    let shown = bar("runs");
    shown.set_length(rounds * kinds.len() as u64);
    for (name, what, with) in kinds {
        let (mut all, mut open, mut late) = (Vec::new(), 0, 0.0f64);
        for seed in 1..=rounds {
            let schedule = three(what, with, seed);
            let run = run_schedule(&schedule, setup).await.map_err(Wrong::Failed)?;
            super::tell(&run, seed)?;
            if !run.failures.is_empty() {
                return Err(Wrong::Failed("a run failed: its figures would mean nothing".into()));
            }
            let (closed, left) = ownership_gaps(&run.history, what.keyword());
            all.extend(closed);
            (open, late) = (open + left, late.max(run.scheduling_delay));
            shown.inc(1);
        }
        all.sort_by(f64::total_cmp);
        let at = |share| quantile(&all, share);
        let (least, most) = (at(0.0), at(1.0));
        println!(
            "{name:<34} {:>6} {least:>8.3} {:>8.3} {:>8.3} {most:>8.3}   ground late {late:.3}{}",
            all.len(),
            at(0.5),
            at(0.99),
            if open > 0 { format!(", {open} without any") } else { String::new() }
        );
    }
    shown.finish_and_clear();
    Ok(())
}

/// CPU that a process has used so far, s, and its resident memory, MB, as the kernel tells.
fn used(pid: &str) -> Option<(f64, f64)> {
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

/// Keepers are processes; the instances are tasks of this one, each with its own holder and connection.
async fn cost(setup: &ClusterConfig, count: usize, parts: usize, span: f64) -> Done<String> {
    let folder = tempfile::tempdir()?;
    let (tell, mut news) = tokio::sync::mpsc::unbounded_channel();
    // Places that no other process listens at: the ground's processes have addresses of their own.
    let at =
        |number: u64| SocketAddr::from(([127, 254, (std::process::id() % 200) as u8, number as u8], 18201));
    let peers: Vec<String> = (1..=3).map(|number| format!("\"{number}={}\"", at(number))).collect();
    let mut keepers = Vec::new();
    for number in 1..=3u64 {
        let path = folder.path().join(format!("k{number}.scm"));
        let text = format!(
            "(log (filter \"warn\")) (keeper (number {number}) (listen \"{}\") (folder \"{}\") (peers {}) (duty (name \"load\") (parts {parts})) (term {TERM}s))",
            at(number),
            folder.path().join(format!("k{number}")).display(),
            peers.join(" "),
        );
        std::fs::write(&path, text)?;
        let args = ["keeper".into(), "--settings".into(), path.display().to_string(), "--found".into()];
        let (name, log) = (format!("k{number}"), folder.path().join("log"));
        keepers.push(Process::start(&setup.program, &args, &name, 1, &log, tell.clone())?);
    }
    let mut ready = 0;
    while ready < 3 {
        match tokio::time::timeout(Duration::from_secs(20), news.recv()).await {
            Ok(Some(ProcessOutput { event: Some(Event::Ready { .. }), .. })) => ready += 1,
            Ok(Some(_)) => {}
            _ => return Err(Wrong::Failed("keepers are not ready".into())),
        }
    }
    // What keepers tell from here on is read and dropped.
    let drain = tokio::spawn(async move { while news.recv().await.is_some() {} });
    let all: BTreeMap<u64, SocketAddr> = (1..=3).map(|number| (number, at(number))).collect();
    let begun = Instant::now();
    let mut stewards = Vec::new();
    for one in 0..count {
        let setup = WorkerConfig {
            name: format!("n{one}"),
            zone: format!("z{}", one % 3),
            incarnation: 1,
            replicas: all.clone(),
            collection: None,
            reporting: None,
            idle_tasks: vec!["load".into()],
            clock: Clock::system(),
            events: EventSink { enabled: false },
        };
        stewards.push(service::start(setup).await.map_err(|e| Wrong::Failed(e.to_string()))?);
    }
    let keepers_at: Vec<SocketAddr> = all.values().copied().collect();
    let even = loop {
        if begun.elapsed() > Duration::from_secs(120) {
            return Err(Wrong::Failed(format!(
                "{count} instances: not all parts are owned after two minutes"
            )));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let Some(ReplicaReply::Tasks { leases: rows, instances: seats, .. }) =
            request_leader(&keepers_at, &ReplicaRequest::Tasks).await
        else {
            continue;
        };
        let owned = rows.iter().filter(|row| row.holder.is_some()).count();
        let (most, least) =
            (seats.iter().map(|seat| seat.parts).max(), seats.iter().map(|seat| seat.parts).min());
        let bound = (1.25 * parts as f64 / count as f64).ceil() as usize;
        if owned == parts
            && seats.len() == count
            && most <= Some(bound)
            && least > Some(0)
            && !rows.iter().any(|row| row.revoked)
        {
            break (most.unwrap_or(0), least.unwrap_or(0));
        }
    };
    let after = begun.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut lead = None;
    for (place, &at) in keepers_at.iter().enumerate() {
        if status(at).await.is_some_and(|status| status.is_leader) {
            lead = Some((place, at));
        }
    }
    let (place, at) = lead.ok_or_else(|| Wrong::Failed("no keeper leads".into()))?;
    let pid = keepers[place].id().to_string();
    let look = || Some((used(&pid)?, used("self")?));
    let missing = || Wrong::Failed("the kernel does not tell what a process used".into());
    let before = (look().ok_or_else(missing)?, status(at).await);
    tokio::time::sleep(Duration::from_secs_f64(span)).await;
    let then = (look().ok_or_else(missing)?, status(at).await);
    let counted = |what: &str| {
        let of = |status: &Option<ReplicaStatus>| {
            status.as_ref().and_then(|s| s.counts.get(what).copied()).unwrap_or(0)
        };
        of(&then.1).saturating_sub(of(&before.1)) as f64 / span
    };
    let ((keeper, memory), own) = (then.0 .0, then.0 .1 .0 - before.0 .1 .0);
    let row = format!(
        "{count:>9}  {after:>10.1}s  {:>10.1}  {:>14.2}  {:>16.0}  {:>7.0}  {memory:>15.1}  {} and {}",
        (keeper - before.0 .0 .0) * 1e3 / span,
        own * 1e3 / span / count as f64,
        counted("bytes-to-peers"),
        counted("lines"),
        even.0,
        even.1,
    );
    stewards.into_iter().for_each(RunningWorker::kill);
    drop(keepers);
    drain.abort();
    Ok(row)
}
