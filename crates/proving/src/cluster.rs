//! Runs a schedule on a cluster of real processes: writes settings and traces into a folder, starts processes behind relays, injects the faults,
//! ends them all, and waits for recovery within time limits.

use crate::check::{check, Counts};
use crate::history::{History, HistoryEvent};
use crate::linearizability::{check_linearizable, OperationStep, MAX_UNKNOWN_OUTCOMES};
use crate::process::{Process, ProcessOutput, Program};
use crate::relay::Relay;
use crate::schedule::{Direction, Fault, FaultKind, ProcessId, Schedule};
use crate::trace_rows::{write_trace_file, RowCounts};
use crate::traffic_shaper::Impairment;
use puffinladder_leases::protocol::{Event, ReplicaReply, ReplicaRequest};
use puffinladder_leases::table::{Command, LeaseRow};
use puffinladder_trace_store::injected_bug::InjectedBug;
use puffinladder_trace_store::protocol as trace_store;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

const READY_TIMEOUT_S: f64 = 30.0;
const RECOVERY_TIMEOUT_S: f64 = 20.0;
const SHUTDOWN_TIMEOUT_S: f64 = 10.0;
/// Lease terms within which every task is leased again after the last fault.
const REASSIGNMENT_TERMS: f64 = 12.0;
/// Allowance on top of it for a busy machine.
const REASSIGNMENT_SLACK_S: f64 = 5.0;
const POLL_INTERVAL_S: f64 = 0.01;
const BLOCKS_PER_FILE: usize = 3;
const OPERATOR_COUNT: u64 = 3;
const MAX_OPERATIONS: usize = 60;
const QUOTA_RPS: f64 = 100.0;
const QUOTA_SPAN_S: f64 = 0.8;
const MAX_DRAINING: usize = 2;
const MAX_DRAINING_ZONE_SHARE: f64 = 0.34;
const DRAIN_SLOT_SPAN_S: f64 = 4.0;
const DRAIN_TIME_S: f64 = 0.3;
/// Task that operators pause; no worker requests it.
const PAUSED_TASK: &str = "spare";

/// Number of clusters of this process so far; gives each cluster addresses of its own.
static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    pub program: Program,
    /// Folder in which the run's folder is created; that is kept if the run failed or `keep` is set.
    pub folder: PathBuf,
    pub keep: bool,
    /// Bug injected into the trace store, which the checkers must find.
    pub injected_bug: Option<InjectedBug>,
    /// Whether the schedule begins once every task is leased and every worker holds a lease, not as soon as all processes are
    /// ready.
    pub starts_leased: bool,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    pub counts: Counts,
    pub rows: usize,
    /// Time from the last fault's end until every task was leased, s, and from then until all traces were collected, s.
    pub reassignment_time: f64,
    pub collection_time: f64,
    /// Longest delay of the cluster's own loop, s. Above a tenth of the lease term the machine was overloaded.
    pub scheduling_delay: f64,
    pub failures: Vec<String>,
    pub history: History,
    pub folder: Option<PathBuf>,
}

struct ManagedProcess {
    process: Option<Process>,
    incarnation: u32,
    listen: SocketAddr,
    ready: bool,
    /// SIGTERM was sent: the exit is no failure.
    exit_expected: bool,
    settings: PathBuf,
    /// Argument of a replica's first start: `--found` or `--join`.
    first_start_arg: Option<&'static str>,
    clock_rate: f64,
    wall_clock_offset: f64,
}

struct Link {
    from: ProcessId,
    to: ProcessId,
    relay: Relay,
}

struct Cluster<'a> {
    config: &'a ClusterConfig,
    schedule: &'a Schedule,
    folder: PathBuf,
    started_at: Instant,
    processes: BTreeMap<ProcessId, ManagedProcess>,
    links: Vec<Link>,
    output: mpsc::UnboundedReceiver<ProcessOutput>,
    output_sender: mpsc::UnboundedSender<ProcessOutput>,
    history: History,
    expected_rows: RowCounts,
    file_count: u64,
    last_file_at: f64,
    /// End time, s, and index of each active fault.
    active_faults: Vec<(f64, usize)>,
    /// Numbers of a new replica and of the lost replica that it replaces.
    replacements: Vec<(u64, u64)>,
    fault_targets: BTreeMap<usize, ProcessId>,
    address_block: u32,
}

/// Runs a schedule.
///
/// # Errors
///
/// The cluster could not be set up, started or repaired. Violations are listed in the report instead.
pub async fn run_schedule(schedule: &Schedule, config: &ClusterConfig) -> Result<RunReport, String> {
    let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
    let folder = config.folder.join(format!("run-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (output_sender, output) = mpsc::unbounded_channel();
    let mut cluster = Cluster {
        config,
        schedule,
        folder: folder.clone(),
        started_at: Instant::now(),
        processes: BTreeMap::new(),
        links: Vec::new(),
        output,
        output_sender,
        history: History::default(),
        expected_rows: RowCounts::default(),
        file_count: 0,
        last_file_at: 0.0,
        active_faults: Vec::new(),
        replacements: Vec::new(),
        fault_targets: BTreeMap::new(),
        address_block: (std::process::id() % 29) * 256 + number % 256,
    };
    let mut run = RunReport::default();
    let outcome = cluster.execute(&mut run).await;
    for managed in cluster.processes.values_mut() {
        managed.process = None; // killed, if it still runs
    }
    cluster.collect_events();
    run.history = std::mem::take(&mut cluster.history);
    outcome?;
    let (mut counts, mut violations) = check(&run.history);
    if schedule.quota_servers > 0 {
        let zone = |at: usize| {
            ((1..=schedule.quota_servers).filter(|server| server % 2 == at).count() as f64
                * MAX_DRAINING_ZONE_SHARE) as usize
        };
        let zones = [0, 1].map(|at| (format!("z{at}"), zone(at).max(1))).into();
        violations.extend(crate::check::check_quota(&run.history, QUOTA_RPS, QUOTA_SPAN_S, &mut counts));
        violations.extend(crate::check::check_drain_slots(&run.history, MAX_DRAINING, &zones, &mut counts));
    }
    run.counts = counts;
    run.failures.extend(violations.iter().map(ToString::to_string));
    if run.failures.is_empty() && !config.keep {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let write = || -> std::io::Result<()> {
            std::fs::write(folder.join("schedule.scm"), schedule.to_string())?;
            std::fs::write(folder.join("failures.txt"), run.failures.join("\n"))?;
            run.history.write(std::io::BufWriter::new(std::fs::File::create(folder.join("history.jsonl"))?))
        };
        write().map_err(|e| format!("{}: {e}", folder.display()))?;
        run.folder = Some(folder);
    }
    Ok(run)
}

impl Cluster<'_> {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Returns a loopback address that no other process of any cluster uses.
    fn address(&self, id: ProcessId) -> SocketAddr {
        let place = match id {
            ProcessId::Replica(number) => number as u32,
            ProcessId::TraceStore => 100,
            ProcessId::Worker(number) => 1000 + number as u32,
            ProcessId::QuotaServer(number) => 1400 + number as u32,
        };
        let host = self.address_block * 2048 + place;
        let [_, a, b, c] = (host + (16 << 16)).to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c)), 0)
    }

    fn link_address(&self, from: ProcessId, to: ProcessId) -> Option<SocketAddr> {
        self.links.iter().find(|link| (link.from, link.to) == (from, to)).map(|link| link.relay.address)
    }

    async fn add_link(&mut self, from: ProcessId, to: ProcessId) -> Result<(), String> {
        let seed = self.schedule.seed ^ (self.links.len() as u64) << 8;
        let relay =
            Relay::open(seed).await.map_err(|e| format!("cannot open a relay from {from} to {to}: {e}"))?;
        if let Some(managed) = self.processes.get(&to).filter(|managed| managed.ready) {
            relay.set_target(Some(managed.listen));
        }
        self.links.push(Link { from, to, relay });
        Ok(())
    }

    async fn set_up(&mut self) -> Result<(), String> {
        let replicas: Vec<ProcessId> = (1..=self.schedule.replicas).map(ProcessId::Replica).collect();
        let workers: Vec<ProcessId> = (1..=self.schedule.workers).map(ProcessId::Worker).collect();
        for &from in &replicas {
            for &to in &replicas {
                if from != to {
                    self.add_link(from, to).await?;
                }
            }
        }
        for &from in &workers {
            for &to in replicas.iter().chain([&ProcessId::TraceStore]) {
                self.add_link(from, to).await?;
            }
        }
        for server in (1..=self.schedule.quota_servers).map(ProcessId::QuotaServer) {
            for &to in &workers {
                self.add_link(server, to).await?;
            }
        }
        for id in self.schedule.processes() {
            let text = match id {
                // Configured by arguments only.
                ProcessId::QuotaServer(_) => String::new(),
                ProcessId::Replica(number) => self.replica_settings(number),
                ProcessId::Worker(number) => self.worker_settings(number),
                ProcessId::TraceStore => format!(
                    "(archive (listen \"{}\") (folder \"{}\"))\n",
                    self.address(id),
                    self.folder.join("archive").display()
                ),
            };
            self.add_process(id, &text, matches!(id, ProcessId::Replica(_)).then_some("--found"))?;
        }
        for _ in 0..self.schedule.backlog_files {
            for server in 0..self.schedule.servers {
                self.write_trace(server)?;
            }
        }
        Ok(())
    }

    fn add_process(
        &mut self,
        id: ProcessId,
        text: &str,
        first_start_arg: Option<&'static str>,
    ) -> Result<(), String> {
        let settings = self.folder.join(format!("{id}.scm"));
        std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
        let listen = self.address(id);
        let managed = ManagedProcess {
            process: None,
            incarnation: 0,
            listen,
            ready: false,
            exit_expected: false,
            settings,
            first_start_arg,
            clock_rate: 1.0,
            wall_clock_offset: 0.0,
        };
        self.processes.insert(id, managed);
        Ok(())
    }

    fn replica_settings(&self, number: u64) -> String {
        let me = ProcessId::Replica(number);
        let mut peers = format!("\"{number}={}\"", self.self_address(me));
        for to in (1..=self.schedule.replicas).filter(|to| *to != number) {
            if let Some(at) = self.link_address(me, ProcessId::Replica(to)) {
                let _ = write!(peers, " \"{to}={at}\"");
            }
        }
        let (term, parts) = (self.schedule.lease_term, self.schedule.parts);
        let reported = match self.schedule.quota_servers {
            0 => "",
            _ => "(duty (name \"quota\")) (duty (name \"turns\"))",
        };
        // All times are multiples of the term except the tick: an election must fit into a term.
        format!(
            "(keeper (number {number}) (listen \"{}\") (folder \"{}\") (peers {peers})\n  \
             (duty (name \"gather\") (parts {parts})) (duty (name \"{PAUSED_TASK}\")) {reported}\n  \
             (term {term}s) (drift 0.03) (stall {}s) (barred {}s) (flaps 1000) (panic {}s) (calm {term}s) (tick {}s))\n",
            self.address(me),
            self.folder.join(me.to_string()).display(),
            10.0 * term,
            5.0 * term,
            2.5 * term,
            (term / 60.0).clamp(0.008, 0.03),
        )
    }

    /// Returns the address that a replica lists for itself; no one connects to it.
    fn self_address(&self, id: ProcessId) -> SocketAddr {
        SocketAddr::new(self.address(id).ip(), 1)
    }

    fn worker_settings(&self, number: usize) -> String {
        let me = ProcessId::Worker(number);
        let mut replicas = String::new();
        for to in 1..=self.schedule.replicas {
            if let Some(at) = self.link_address(me, ProcessId::Replica(to)) {
                let _ = write!(replicas, " \"{to}={at}\"");
            }
        }
        let archive = self.link_address(me, ProcessId::TraceStore).map_or(String::new(), |at| at.to_string());
        let (parts, step) = (self.schedule.parts, (self.schedule.lease_term / 2.0).clamp(0.02, 1.0));
        let reported = match self.schedule.quota_servers {
            0 => String::new(),
            quota_servers => format!(
                "\n  (listen \"{}\") (quota (servers {quota_servers}) (span {QUOTA_SPAN_S}s) (customer (name \"a\") (rate {QUOTA_RPS})))\n  \
                 (turns (most {MAX_DRAINING}) (zone-share {MAX_DRAINING_ZONE_SHARE}) (span {DRAIN_SLOT_SPAN_S}s) (silent 1s))",
                self.address(me),
            ),
        };
        format!(
            "(steward (name \"{me}\") (folder \"{}\") (keepers{replicas})\n  \
             (gather (traces \"{}\") (archive \"{archive}\") (parts {parts}) (every 100ms) (step {step}s)){reported})\n",
            self.folder.join(me.to_string()).display(),
            self.folder.join("traces").display(),
        )
    }

    fn write_trace(&mut self, server: usize) -> Result<(), String> {
        self.file_count += 1;
        let name = format!("n{server}");
        let folder = self.folder.join("traces").join(&name);
        write_trace_file(&folder, &name, self.file_count, BLOCKS_PER_FILE, &mut self.expected_rows)
            .map_err(|e| format!("{}: {e}", folder.display()))
    }

    fn start_process(&mut self, id: ProcessId) -> Result<(), String> {
        let program = self.config.program.clone();
        let Some(managed) = self.processes.get_mut(&id) else { return Ok(()) };
        managed.incarnation += 1;
        (managed.ready, managed.exit_expected) = (false, false);
        let kind = match id {
            ProcessId::Replica(_) => "keeper",
            ProcessId::Worker(_) => "steward",
            ProcessId::TraceStore => "archive",
            ProcessId::QuotaServer(_) => "seat",
        };
        let mut args = vec![kind.to_string(), "--settings".into(), managed.settings.display().to_string()];
        args.extend([
            format!("--rate={}", managed.clock_rate),
            format!("--wall={}", managed.wall_clock_offset),
        ]);
        args.extend(managed.first_start_arg.take().map(String::from));
        if id == ProcessId::TraceStore {
            args.extend(self.config.injected_bug.map(|bug| format!("--plant={bug}")));
        }
        if let ProcessId::QuotaServer(number) = id {
            let quota_servers = self.schedule.quota_servers;
            let workers =
                self.links.iter().filter(|link| link.from == id).map(|link| link.relay.address.to_string());
            let demand = if number == 1 { 0.7 * QUOTA_RPS } else { 0.2 * QUOTA_RPS / quota_servers as f64 };
            args = vec![kind.into(), format!("--settings={}", managed.settings.display())];
            args.extend([
                format!("--rate={}", managed.clock_rate),
                format!("--seats={quota_servers}"),
                format!("--quota={QUOTA_RPS}"),
            ]);
            args.extend([
                format!("--demand={demand}"),
                format!("--zone=z{}", number % 2),
                format!("--name={id}"),
            ]);
            args.extend([format!("--life={}", managed.incarnation), format!("--drain={DRAIN_TIME_S}")]);
            args.push(format!("--stewards={}", workers.collect::<Vec<_>>().join(",")));
        }
        let (name, incarnation) = (id.to_string(), managed.incarnation);
        let log = self.folder.join(format!("{name}.log"));
        let started = Process::start(&program, &args, &name, incarnation, &log, self.output_sender.clone());
        managed.process = Some(started.map_err(|e| format!("{}: {e}", program.path.display()))?);
        let now = self.now();
        self.history.record(now, id, incarnation, HistoryEvent::Started);
        Ok(())
    }

    /// Records the events that processes have reported. A port assigned at the first start is kept for later starts.
    fn collect_events(&mut self) {
        while let Ok(ProcessOutput { process: name, incarnation, event }) = self.output.try_recv() {
            let now = self.now();
            let Some(event) = event else { continue };
            if let (Event::Ready { listen }, Some(of)) = (&event, ProcessId::read(&name)) {
                let at = listen.parse().ok();
                if let Some(managed) =
                    self.processes.get_mut(&of).filter(|managed| managed.incarnation == incarnation)
                {
                    managed.ready = true;
                    if let Some(at) = at {
                        if managed.listen != at {
                            managed.listen = at;
                            let from = format!("(listen \"{}:0\")", at.ip());
                            let text = std::fs::read_to_string(&managed.settings).unwrap_or_default();
                            let _ = std::fs::write(
                                &managed.settings,
                                text.replace(&from, &format!("(listen \"{at}\")")),
                            );
                        }
                        for link in self.links.iter().filter(|link| link.to == of) {
                            link.relay.set_target(Some(at));
                        }
                    }
                }
            }
            self.history.record(now, name, incarnation, HistoryEvent::Reported(event));
        }
    }

    /// Waits until the condition is true and returns the time that took, s, or `None` after `bound` s.
    async fn wait_until(&mut self, bound: f64, mut holds: impl FnMut(&mut Self) -> bool) -> Option<f64> {
        let from = self.now();
        loop {
            self.collect_events();
            if holds(self) {
                return Some(self.now() - from);
            }
            if self.now() - from > bound {
                return None;
            }
            tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL_S)).await;
        }
    }

    fn last_log_line(&self, id: ProcessId) -> String {
        let text = std::fs::read_to_string(self.folder.join(format!("{id}.log"))).unwrap_or_default();
        text.lines().last().unwrap_or("").to_string()
    }

    async fn execute(&mut self, run: &mut RunReport) -> Result<(), String> {
        self.set_up().await?;
        for id in self.schedule.processes() {
            self.start_process(id)?;
        }
        let ready = self
            .wait_until(READY_TIMEOUT_S, |cluster| cluster.processes.values().all(|managed| managed.ready))
            .await;
        if ready.is_none() {
            let silent = self.processes.iter().filter(|(_, managed)| !managed.ready);
            let silent: Vec<String> =
                silent.map(|(id, _)| format!("{id}: {}", self.last_log_line(*id))).collect();
            return Err(format!("not ready after {READY_TIMEOUT_S} s: {}", silent.join("; ")));
        }
        if self.config.starts_leased {
            let workers = self.schedule.workers;
            let missing = |rows: &[LeaseRow]| [vacant_tasks(rows), idle_workers(rows, workers)].concat();
            self.wait_for_leases(self.now() + READY_TIMEOUT_S, missing).await?;
        }
        self.started_at = Instant::now();
        let (steps, done) = (mpsc::unbounded_channel(), tokio::sync::watch::channel(false));
        let mut operators = Vec::new();
        for id in 1..=OPERATOR_COUNT {
            let replicas: Vec<SocketAddr> = (1..=self.schedule.replicas)
                .filter_map(|number| self.processes.get(&ProcessId::Replica(number)))
                .map(|managed| managed.listen)
                .collect();
            operators.push(tokio::spawn(run_operator(
                id,
                self.schedule.seed,
                replicas,
                steps.0.clone(),
                done.1.clone(),
            )));
        }
        drop(steps.0);
        let mut steps = steps.1;
        let mut operations = Vec::new();
        self.run_faults(run).await?;
        let _ = done.0.send(true);
        for operator in operators {
            let _ = operator.await;
        }
        while let Ok(step) = steps.try_recv() {
            operations.push(step);
        }
        self.recover(run).await?;
        if let Err(what) = check_linearizable(&operations) {
            run.failures.push(format!("replies to operators: {what}"));
        }
        self.shut_down(run).await
    }

    /// Starts and ends faults as they come due, and writes trace files meanwhile.
    async fn run_faults(&mut self, run: &mut RunReport) -> Result<(), String> {
        let mut next = 0;
        let mut last_poll = self.now();
        loop {
            self.collect_events();
            let now = self.now();
            run.scheduling_delay = run.scheduling_delay.max(now - last_poll - POLL_INTERVAL_S);
            last_poll = now;
            while let Some(fault) = self.schedule.faults.get(next).filter(|fault| fault.start <= now) {
                self.start_fault(next, fault.clone())?;
                next += 1;
            }
            let due: Vec<(f64, usize)> = self.active_faults.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, at) in due {
                self.end_fault(at).await?;
            }
            while self.last_file_at + self.schedule.file_interval <= now
                && self.last_file_at < self.schedule.duration
            {
                self.last_file_at += self.schedule.file_interval;
                self.write_trace((self.file_count % self.schedule.servers as u64) as usize)?;
            }
            // Faults that outlast the traffic by far are not waited for.
            let lasting =
                self.active_faults.iter().filter(|(at, _)| *at < self.schedule.duration + 30.0).count();
            if now >= self.schedule.duration && next >= self.schedule.faults.len() && lasting == 0 {
                return Ok(());
            }
            self.handle_exits(run);
            tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL_S)).await;
        }
    }

    /// Records processes that have exited: an unexpected exit is a failure, a drained server is restarted.
    fn handle_exits(&mut self, run: &mut RunReport) {
        let ended: Vec<(ProcessId, String)> = self
            .processes
            .iter_mut()
            .filter_map(|(id, managed)| Some((*id, managed.process.as_mut()?.exit_status()?)))
            .collect();
        for (id, status) in ended {
            let now = self.now();
            let managed = self.processes.get_mut(&id).filter(|managed| managed.exit_expected);
            if let Some(managed) = managed {
                let incarnation = managed.incarnation;
                if matches!(id, ProcessId::QuotaServer(_)) {
                    managed.process = None;
                    self.history.record(now, id, incarnation, HistoryEvent::Exited { status });
                    if let Err(what) = self.start_process(id) {
                        run.failures.push(what);
                    }
                }
                continue;
            }
            run.failures.push(format!(
                "{id} exited unexpectedly after {now:.2} s, {status}: {}",
                self.last_log_line(id)
            ));
            if let Some(managed) = self.processes.get_mut(&id) {
                managed.process = None;
                let incarnation = managed.incarnation;
                self.history.record(now, id, incarnation, HistoryEvent::Exited { status });
            }
        }
    }

    fn leader(&self) -> Option<ProcessId> {
        let leaders = self.history.events().filter_map(|(_, event)| match event {
            Event::BecameLeader { replica, term } => Some((*term, *replica)),
            _ => None,
        });
        leaders.max().map(|(_, replica)| ProcessId::Replica(replica))
    }

    fn start_fault(&mut self, index: usize, fault: Fault) -> Result<(), String> {
        let now = self.now();
        let id = match fault.kind {
            FaultKind::KillLeader | FaultKind::PauseLeader => {
                self.leader().filter(|id| self.processes.contains_key(id)).unwrap_or(fault.process)
            }
            _ => fault.process,
        };
        self.fault_targets.insert(index, id);
        let text = format!("{} {id}", fault.kind.keyword());
        self.history.record(now, id, 0, HistoryEvent::FaultStarted { fault: text });
        self.active_faults.push((fault.start + fault.duration, index));
        let Some(managed) = self.processes.get_mut(&id) else { return Ok(()) };
        let value = fault.value;
        match fault.kind {
            FaultKind::Pause | FaultKind::PauseLeader => managed.process.iter_mut().for_each(Process::pause),
            FaultKind::Kill | FaultKind::KillLeader | FaultKind::LoseDisk => managed.process = None,
            FaultKind::Terminate | FaultKind::DrainAndRestart => {
                managed.exit_expected = true;
                managed.process.iter().for_each(Process::terminate);
            }
            FaultKind::ClockRate => {
                managed.clock_rate = value;
                managed.process.iter_mut().for_each(|process| process.send_command("rate", value));
            }
            FaultKind::WallClockOffset => {
                managed.wall_clock_offset = value;
                managed.process.iter_mut().for_each(|process| process.send_command("wall", value));
            }
            FaultKind::SlowSync => {
                managed.process.iter_mut().for_each(|process| process.send_command("sync", 1e3 * value))
            }
            FaultKind::Partition | FaultKind::HoldTraffic => {
                self.impair_links(&fault, |impairment| impairment.blocked = true)
            }
            FaultKind::Delay => self.impair_links(&fault, |impairment| impairment.max_delay = value),
            FaultKind::Throttle => {
                self.impair_links(&fault, |impairment| impairment.bytes_per_second = value)
            }
            FaultKind::ResetConnections => self.reset_links(&fault),
        }
        Ok(())
    }

    fn affected_links(&self, fault: &Fault) -> impl Iterator<Item = (&Link, Direction)> {
        let fault = fault.clone();
        self.links.iter().filter_map(move |link| Some((link, fault.direction_on_link(link.from, link.to)?)))
    }

    fn impair_links(&self, fault: &Fault, change: impl Fn(&mut Impairment)) {
        self.affected_links(fault).for_each(|(link, direction)| link.relay.impair(direction, &change));
    }

    fn reset_links(&self, fault: &Fault) {
        self.affected_links(fault).for_each(|(link, _)| link.relay.reset());
    }

    async fn end_fault(&mut self, index: usize) -> Result<(), String> {
        let Some(fault) = self.schedule.faults.get(index).cloned() else { return Ok(()) };
        let id = self.fault_targets.remove(&index).unwrap_or(fault.process);
        let (now, text) = (self.now(), format!("{} {id}", fault.kind.keyword()));
        self.history.record(now, id, 0, HistoryEvent::FaultEnded { fault: text });
        match fault.kind {
            FaultKind::Pause | FaultKind::PauseLeader => self
                .processes
                .get_mut(&id)
                .and_then(|managed| managed.process.as_mut())
                .into_iter()
                .for_each(Process::resume),
            FaultKind::Kill | FaultKind::KillLeader | FaultKind::Terminate => self.restart(id)?,
            FaultKind::LoseDisk => self.replace_replica(id).await?,
            FaultKind::Partition => {
                self.impair_links(&fault, |impairment| impairment.blocked = false);
                self.reset_links(&fault);
            }
            FaultKind::HoldTraffic => self.impair_links(&fault, |impairment| impairment.blocked = false),
            FaultKind::Delay => self.impair_links(&fault, |impairment| impairment.max_delay = 0.0),
            FaultKind::Throttle => self.impair_links(&fault, |impairment| impairment.bytes_per_second = 0.0),
            FaultKind::SlowSync => {
                let process = self.processes.get_mut(&id).and_then(|managed| managed.process.as_mut());
                process.into_iter().for_each(|process| process.send_command("sync", 0.0));
            }
            FaultKind::ResetConnections
            | FaultKind::ClockRate
            | FaultKind::WallClockOffset
            | FaultKind::DrainAndRestart => {}
        }
        Ok(())
    }

    /// Restarts a process after a fault, unless its replica has been replaced.
    fn restart(&mut self, id: ProcessId) -> Result<(), String> {
        let lost = self.replacements.iter().any(|(_, of)| ProcessId::Replica(*of) == id);
        let Some(managed) = self.processes.get_mut(&id) else { return Ok(()) };
        // A terminated process has had the fault's duration to exit.
        if let Some(process) = &mut managed.process {
            if process.exit_status().is_none() {
                process.kill();
            }
        }
        managed.process = None;
        if lost {
            return Ok(());
        }
        self.start_process(id)
    }

    /// Starts a new replica, under a new number, in place of one whose disk is lost.
    async fn replace_replica(&mut self, id: ProcessId) -> Result<(), String> {
        let ProcessId::Replica(lost) = id else { return Ok(()) };
        let number = self.schedule.replicas + 1 + self.replacements.len() as u64;
        let replacement = ProcessId::Replica(number);
        for to in (1..=self.schedule.replicas).filter(|to| *to != lost) {
            self.add_link(replacement, ProcessId::Replica(to)).await?;
        }
        self.replacements.push((number, lost));
        let text = self.replica_settings(number);
        self.add_process(replacement, &text, Some("--join"))?;
        self.start_process(replacement)
    }

    /// Returns the addresses of all replicas that have not lost their disk.
    fn replica_addresses(&self) -> Vec<SocketAddr> {
        let lost = |number: &u64| self.replacements.iter().any(|(_, of)| of == number);
        let all = self.processes.iter().filter_map(|(id, managed)| match id {
            ProcessId::Replica(number) if !lost(number) => Some(managed.listen),
            _ => None,
        });
        all.collect()
    }

    /// Ends all faults, then waits until all tasks are leased and all traces are collected.
    async fn recover(&mut self, run: &mut RunReport) -> Result<(), String> {
        for link in &self.links {
            link.relay.impair(Direction::Both, |impairment| *impairment = Impairment::default());
        }
        let lost: Vec<ProcessId> = self.replacements.iter().map(|(_, of)| ProcessId::Replica(*of)).collect();
        let all: Vec<ProcessId> = self.processes.keys().copied().filter(|id| !lost.contains(id)).collect();
        for id in all {
            let Some(managed) = self.processes.get_mut(&id) else { continue };
            managed.process.iter_mut().for_each(Process::resume);
            let gone = managed.process.as_mut().is_none_or(|process| process.exit_status().is_some());
            if gone {
                self.start_process(id)?;
            }
        }
        let from = self.now();
        for (number, lost) in self.replacements.clone() {
            self.join_replacement(number, lost).await?;
        }
        let bound = REASSIGNMENT_TERMS * self.schedule.lease_term
            + REASSIGNMENT_SLACK_S
            + if self.replacements.is_empty() { 0.0 } else { RECOVERY_TIMEOUT_S };
        let owned = self.wait_for_leases(from + bound, vacant_tasks).await;
        match owned {
            Ok(()) => run.reassignment_time = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after the last fault {what}", self.now() - from)),
        }
        let from = self.now();
        match self.wait_until_collected().await {
            Ok(()) => run.collection_time = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after that {what}", self.now() - from)),
        }
        self.collect_events();
        self.handle_exits(run);
        Ok(())
    }

    /// Changes the membership as an operator does: adds the new replica, then removes the lost one.
    async fn join_replacement(&mut self, number: u64, lost: u64) -> Result<(), String> {
        let id = ProcessId::Replica(number);
        if self
            .wait_until(READY_TIMEOUT_S, |cluster| {
                cluster.processes.get(&id).is_some_and(|managed| managed.ready)
            })
            .await
            .is_none()
        {
            return Err(format!("{id} is not ready: {}", self.last_log_line(id)));
        }
        let address = self.processes[&id].listen.to_string();
        let until = self.now() + RECOVERY_TIMEOUT_S;
        let mut requests = vec![
            ReplicaRequest::RemoveReplica { number: lost },
            ReplicaRequest::AddReplica { number, address },
        ];
        let mut last_answer = String::new();
        while let Some(next) = requests.last() {
            if self.now() > until {
                return Err(format!(
                    "{id} could not replace k{lost} within {RECOVERY_TIMEOUT_S} s, last answer: {last_answer}"
                ));
            }
            let replicas = self.replica_addresses();
            match request_leader(&replicas, next).await {
                Some(ReplicaReply::CommandApplied) => drop(requests.pop()),
                // A command whose answer was lost may have been applied.
                Some(ReplicaReply::CommandFailed(what))
                    if what.contains("is already a member") || what.contains("is not a member") =>
                {
                    requests.pop();
                }
                Some(other) => last_answer = format!("{other:?}"),
                None => last_answer = "no replica answered".into(),
            }
            self.collect_events();
            tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL_S)).await;
        }
        Ok(())
    }

    /// Waits until nothing is `missing` from the leases. Fails at time `until`, with what is missing then.
    async fn wait_for_leases(
        &mut self,
        until: f64,
        missing: impl Fn(&[LeaseRow]) -> Vec<String>,
    ) -> Result<(), String> {
        loop {
            let replicas = self.replica_addresses();
            let missing = match request_leader(&replicas, &ReplicaRequest::Tasks).await {
                Some(ReplicaReply::Tasks { leases: rows, .. }) => missing(&rows),
                _ => vec!["no replica answered as leader: holders are unknown".into()],
            };
            self.collect_events();
            if missing.is_empty() {
                return Ok(());
            }
            if self.now() > until {
                return Err(format!("leases are missing: {}", missing.join(", ")));
            }
            tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL_S)).await;
        }
    }

    /// Waits until all files are collected; fails once the number of blocks stops growing.
    async fn wait_until_collected(&mut self) -> Result<(), String> {
        let at = self.processes[&ProcessId::TraceStore].listen;
        let (mut last, mut moved) = (0, self.now());
        loop {
            let status: Option<trace_store::Response> = request(at, &trace_store::Request::Status).await;
            if let Some(trace_store::Response::Status { complete_files, blocks, .. }) = status {
                if blocks != last {
                    (last, moved) = (blocks, self.now());
                }
                if complete_files as u64 == self.file_count {
                    return Ok(());
                }
            }
            self.collect_events();
            if self.now() > moved + RECOVERY_TIMEOUT_S {
                return Err(format!(
                    "{last} blocks collected, not all of {} files, and no more for {RECOVERY_TIMEOUT_S} s",
                    self.file_count
                ));
            }
            tokio::time::sleep(Duration::from_secs_f64(2.0 * POLL_INTERVAL_S)).await;
        }
    }

    /// Terminates all processes, then compares an export of the trace store with the rows written.
    async fn shut_down(&mut self, run: &mut RunReport) -> Result<(), String> {
        for (id, managed) in &mut self.processes {
            match id {
                // Servers would wait for drain slots from workers that terminate too.
                ProcessId::QuotaServer(_) => managed.process = None,
                _ => managed.process.iter().for_each(Process::terminate),
            }
        }
        let gone = |cluster: &mut Cluster| {
            cluster
                .processes
                .values_mut()
                .all(|managed| managed.process.as_mut().is_none_or(|one| one.exit_status().is_some()))
        };
        if self.wait_until(SHUTDOWN_TIMEOUT_S, gone).await.is_none() {
            let left = self.processes.iter_mut().filter_map(|(id, managed)| {
                let still = managed.process.as_mut().is_some_and(|one| one.exit_status().is_none());
                still.then(|| id.to_string())
            });
            let left: Vec<String> = left.collect();
            run.failures
                .push(format!("{SHUTDOWN_TIMEOUT_S} s after SIGTERM still running: {}", left.join(", ")));
        }
        for managed in self.processes.values_mut() {
            managed.process = None;
        }
        self.collect_events();
        let folder = self.folder.clone();
        let exported =
            tokio::task::spawn_blocking(move || export_rows(&folder)).await.map_err(|e| e.to_string())?;
        match exported {
            Ok((rows, doubled)) => {
                run.rows = rows.len();
                let (missing, extra) = self.expected_rows.missing_and_extra(&rows);
                if missing + extra + doubled as usize > 0 {
                    let all = self.expected_rows.len();
                    run.failures.push(format!("of {all} rows {missing} are missing, {extra} are duplicated or unknown, {doubled} duplicates were found by the export"));
                }
            }
            Err(what) => run.failures.push(format!("cannot export the trace store: {what}")),
        }
        Ok(())
    }
}

/// Returns the tasks without a holder, but the one that is paused from the start.
fn vacant_tasks(rows: &[LeaseRow]) -> Vec<String> {
    let vacant = rows.iter().filter(|row| row.task.name != PAUSED_TASK && row.holder.is_none());
    vacant.map(|row| format!("{} has no holder", row.task)).collect()
}

/// Returns the workers, numbered from 1, that hold no lease.
fn idle_workers(rows: &[LeaseRow], workers: usize) -> Vec<String> {
    let names = (1..=workers).map(|number| ProcessId::Worker(number).to_string());
    let is_idle = |name: &String| {
        !rows.iter().any(|row| row.holder.as_ref().is_some_and(|holder| holder.instance == *name))
    };
    names.filter(is_idle).map(|name| format!("{name} holds no lease")).collect()
}

fn export_rows(folder: &Path) -> Result<(RowCounts, u64), String> {
    let (store, _) = puffinladder_trace_store::store::Store::open(&folder.join("archive"), u64::MAX)
        .map_err(|e| e.to_string())?;
    let into = folder.join("export.trace");
    let summary = puffinladder_trace_store::export::export(&store, &into, 0, &mut |_, _| {})
        .map_err(|e| e.to_string())?;
    let rows = RowCounts::read(&into)?;
    let _ = std::fs::remove_file(into);
    Ok((rows, summary.duplicates))
}

/// Sends a request to a process; `None` without an answer within 1 s.
pub async fn request<A: Serialize, B: DeserializeOwned>(at: SocketAddr, what: &A) -> Option<B> {
    let wait = Duration::from_secs(1);
    let reply = puffinladder_transport::request(at, what, wait, 64 << 20);
    tokio::time::timeout(wait, reply).await.ok()?.ok().flatten()
}

/// Sends a request to each replica until the leader answers.
pub async fn request_leader(replicas: &[SocketAddr], what: &ReplicaRequest) -> Option<ReplicaReply> {
    for &at in replicas {
        match request(at, what).await {
            None | Some(ReplicaReply::NotLeader { .. }) => {}
            answer => return answer,
        }
    }
    None
}

/// Runs an operator that pauses, resumes and reads a task at random replicas; its operations go to the linearizability check. After a command without
/// an answer, which may have been applied, it continues under a new number.
async fn run_operator(
    number: u64,
    seed: u64,
    replicas: Vec<SocketAddr>,
    steps: mpsc::UnboundedSender<OperationStep>,
    done: tokio::sync::watch::Receiver<bool>,
) {
    let mut random = puffinladder_leases::SeededRandom::new(seed ^ (number << 40));
    let mut id = number;
    let mut unknown = 0;
    for _ in 0..MAX_OPERATIONS / OPERATOR_COUNT as usize {
        if *done.borrow() || replicas.is_empty() || unknown * OPERATOR_COUNT as usize >= MAX_UNKNOWN_OUTCOMES
        {
            return;
        }
        let pause = [Some(true), Some(false), None, None][random.next_index(4)];
        let what = match pause {
            Some(paused) => ReplicaRequest::Command(Command::Pause { task: PAUSED_TASK.into(), paused }),
            None => ReplicaRequest::Tasks,
        };
        let at = replicas[random.next_index(replicas.len())];
        let _ = steps.send(OperationStep::Invoked { operator: id, pause });
        let answer: Option<ReplicaReply> = request(at, &what).await;
        match answer {
            Some(ReplicaReply::CommandApplied) if pause.is_some() => {
                let _ = steps.send(OperationStep::Returned { operator: id, paused: None });
            }
            Some(ReplicaReply::Tasks { leases: rows, .. }) if pause.is_none() => {
                let paused = rows.iter().any(|row| row.task.name == PAUSED_TASK && row.paused);
                let _ = steps.send(OperationStep::Returned { operator: id, paused: Some(paused) });
            }
            // Not applied; reads without an answer are discarded too.
            Some(ReplicaReply::NotLeader { .. }) => {
                let _ = steps.send(OperationStep::Discarded { operator: id });
            }
            _ if pause.is_none() => {
                let _ = steps.send(OperationStep::Discarded { operator: id });
            }
            _ => {
                unknown += 1;
                id += OPERATOR_COUNT;
            }
        }
        tokio::time::sleep(Duration::from_millis(random.next_index(150) as u64)).await;
    }
}
