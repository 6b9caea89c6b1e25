//! Plays a schedule on real processes: settings, links and traces are made in a folder, processes started, faults begun and ended by the clock of the
//! ground; then all is healed, and what should hold is waited for, each within a bound. Only conditions are waited for.

use crate::check::{check, Counts};
use crate::history::{History, HistoryEvent};
use crate::linearizability::{check_linearizable, Step, UNKNOWN};
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

/// Bounds on waits, s: until all processes stand, until a healed ground is well again beside the terms that takes, until processes have left.
const STAND: f64 = 30.0;
const HEAL: f64 = 20.0;
const LEAVE: f64 = 10.0;
/// Terms after the last fault within which every duty has an owner again: sessions run out, a new leader is elected, silence counts.
const OWNED: f64 = 12.0;
/// s on top of it for a machine that has more to do.
const SLACK: f64 = 5.0;
/// s between the ground's looks.
const LOOK: f64 = 0.01;
/// Blocks of a server's file.
const BLOCKS: usize = 3;
/// Operators that pause, resume and look, and what they may ask in all.
const OPERATORS: u64 = 3;
const ASKED: usize = 60;
/// What the stand-in servers share: one customer's quota, most of it asked of the first server; its parts' span in s.
const QUOTA: f64 = 100.0;
const SPAN: f64 = 0.8;
/// Servers that may be away by a turn at once, of each of two zones; how long a turn lasts, and a drain, s.
const AWAY: usize = 2;
const ZONE_SHARE: f64 = 0.34;
const TURN: f64 = 4.0;
const DRAIN: f64 = 0.3;
/// The duty that operators pause: nobody wants it.
const SPARE: &str = "spare";

/// Grounds of one process get addresses of their own.
static GROUNDS: AtomicU32 = AtomicU32::new(0);

/// How grounds are made.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    pub program: Program,
    /// Where the run's folder is made; it is kept where the run failed, or always.
    pub folder: PathBuf,
    pub keep: bool,
    /// A bug injected_bug in the archive, which the checkers must find.
    pub injected_bug: Option<InjectedBug>,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct RunReport {
    pub counts: Counts,
    pub rows: usize,
    /// s from the last fault's end until every duty was owned, and until all was gathered.
    pub reassignment_time: f64,
    pub collection_time: f64,
    /// s by which the ground itself was late at the most: past a tenth of the term the machine is what was measured.
    pub scheduling_delay: f64,
    pub failures: Vec<String>,
    pub history: History,
    pub folder: Option<PathBuf>,
}

struct Part {
    process: Option<Process>,
    life: u32,
    listen: SocketAddr,
    ready: bool,
    /// Told to leave: that it ends is no failure.
    leaves: bool,
    settings: PathBuf,
    /// A keeper whose first start founds or joins.
    first: Option<&'static str>,
    rate: f64,
    wall: f64,
}

struct Link {
    from: ProcessId,
    to: ProcessId,
    relay: Relay,
}

struct Ground<'a> {
    setup: &'a ClusterConfig,
    schedule: &'a Schedule,
    folder: PathBuf,
    begun: Instant,
    parts: BTreeMap<ProcessId, Part>,
    links: Vec<Link>,
    news: mpsc::UnboundedReceiver<ProcessOutput>,
    tell: mpsc::UnboundedSender<ProcessOutput>,
    history: History,
    all: RowCounts,
    files: u64,
    filed: f64,
    /// Faults that have begun, and ends that are due.
    ends: Vec<(f64, usize)>,
    /// A keeper that takes a lost one's place, and which.
    heirs: Vec<(u64, u64)>,
    hit: BTreeMap<usize, ProcessId>,
    block: u32,
}

/// Plays a schedule. An error is the ground's own: a run that could not be made.
pub async fn run_schedule(schedule: &Schedule, setup: &ClusterConfig) -> Result<RunReport, String> {
    let number = GROUNDS.fetch_add(1, Ordering::Relaxed);
    let folder = setup.folder.join(format!("run-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let (tell, news) = mpsc::unbounded_channel();
    let mut ground = Ground {
        setup,
        schedule,
        folder: folder.clone(),
        begun: Instant::now(),
        parts: BTreeMap::new(),
        links: Vec::new(),
        news,
        tell,
        history: History::default(),
        all: RowCounts::default(),
        files: 0,
        filed: 0.0,
        ends: Vec::new(),
        heirs: Vec::new(),
        hit: BTreeMap::new(),
        block: (std::process::id() % 29) * 256 + number % 256,
    };
    let mut run = RunReport::default();
    let played = ground.execute(&mut run).await;
    for part in ground.parts.values_mut() {
        part.process = None; // killed, if it still runs
    }
    ground.listen();
    run.history = std::mem::take(&mut ground.history);
    played?;
    let (mut counts, mut broken) = check(&run.history);
    if schedule.quota_servers > 0 {
        let zone = |at: usize| {
            ((1..=schedule.quota_servers).filter(|seat| seat % 2 == at).count() as f64 * ZONE_SHARE) as usize
        };
        let zones = [0, 1].map(|at| (format!("z{at}"), zone(at).max(1))).into();
        broken.extend(crate::check::check_quota(&run.history, QUOTA, SPAN, &mut counts));
        broken.extend(crate::check::check_drain_slots(&run.history, AWAY, &zones, &mut counts));
    }
    run.counts = counts;
    run.failures.extend(broken.iter().map(ToString::to_string));
    if run.failures.is_empty() && !setup.keep {
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

impl Ground<'_> {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// An address of its own for each process of each ground.
    fn address(&self, who: ProcessId) -> SocketAddr {
        let place = match who {
            ProcessId::Replica(number) => number as u32,
            ProcessId::TraceStore => 100,
            ProcessId::Worker(number) => 1000 + number as u32,
            ProcessId::QuotaServer(number) => 1400 + number as u32,
        };
        let host = self.block * 2048 + place;
        let [_, a, b, c] = (host + (16 << 16)).to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c)), 0)
    }

    fn relay(&self, from: ProcessId, to: ProcessId) -> Option<SocketAddr> {
        self.links.iter().find(|link| (link.from, link.to) == (from, to)).map(|link| link.relay.address)
    }

    async fn link(&mut self, from: ProcessId, to: ProcessId) -> Result<(), String> {
        let seed = self.schedule.seed ^ (self.links.len() as u64) << 8;
        let relay = Relay::open(seed).await.map_err(|e| format!("a link: {e}"))?;
        if let Some(part) = self.parts.get(&to).filter(|part| part.ready) {
            relay.set_target(Some(part.listen));
        }
        self.links.push(Link { from, to, relay });
        Ok(())
    }

    async fn make(&mut self) -> Result<(), String> {
        let keepers: Vec<ProcessId> = (1..=self.schedule.replicas).map(ProcessId::Replica).collect();
        let stewards: Vec<ProcessId> = (1..=self.schedule.workers).map(ProcessId::Worker).collect();
        for &from in &keepers {
            for &to in &keepers {
                if from != to {
                    self.link(from, to).await?;
                }
            }
        }
        for &from in &stewards {
            for &to in keepers.iter().chain([&ProcessId::TraceStore]) {
                self.link(from, to).await?;
            }
        }
        for seat in (1..=self.schedule.quota_servers).map(ProcessId::QuotaServer) {
            for &to in &stewards {
                self.link(seat, to).await?;
            }
        }
        for who in self.schedule.processes() {
            let text = match who {
                // Told by its arguments.
                ProcessId::QuotaServer(_) => String::new(),
                ProcessId::Replica(number) => self.keeper(number),
                ProcessId::Worker(number) => self.steward(number),
                ProcessId::TraceStore => format!(
                    "(archive (listen \"{}\") (folder \"{}\"))\n",
                    self.address(who),
                    self.folder.join("archive").display()
                ),
            };
            self.part(who, &text, matches!(who, ProcessId::Replica(_)).then_some("--found"))?;
        }
        for _ in 0..self.schedule.backlog_files {
            for server in 0..self.schedule.servers {
                self.file(server)?;
            }
        }
        Ok(())
    }

    fn part(&mut self, who: ProcessId, text: &str, first: Option<&'static str>) -> Result<(), String> {
        let settings = self.folder.join(format!("{who}.scm"));
        std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
        let listen = self.address(who);
        let part = Part {
            process: None,
            life: 0,
            listen,
            ready: false,
            leaves: false,
            settings,
            first,
            rate: 1.0,
            wall: 0.0,
        };
        self.parts.insert(who, part);
        Ok(())
    }

    fn keeper(&self, number: u64) -> String {
        let me = ProcessId::Replica(number);
        let mut peers = format!("\"{number}={}\"", self.own(me));
        for to in (1..=self.schedule.replicas).filter(|to| *to != number) {
            if let Some(at) = self.relay(me, ProcessId::Replica(to)) {
                let _ = write!(peers, " \"{to}={at}\"");
            }
        }
        let (term, parts) = (self.schedule.lease_term, self.schedule.parts);
        let reported = match self.schedule.quota_servers {
            0 => "",
            _ => "(duty (name \"quota\")) (duty (name \"turns\"))",
        };
        // All times in terms, but for the tick: an election has to fit into a term.
        format!(
            "(keeper (number {number}) (listen \"{}\") (folder \"{}\") (peers {peers})\n  \
             (duty (name \"gather\") (parts {parts})) (duty (name \"{SPARE}\")) {reported}\n  \
             (term {term}s) (drift 0.03) (stall {}s) (barred {}s) (flaps 1000) (panic {}s) (calm {term}s) (tick {}s))\n",
            self.address(me),
            self.folder.join(me.to_string()).display(),
            10.0 * term,
            5.0 * term,
            2.5 * term,
            (term / 60.0).clamp(0.008, 0.03),
        )
    }

    /// Where a keeper says that it is itself; nobody dials it there.
    fn own(&self, who: ProcessId) -> SocketAddr {
        SocketAddr::new(self.address(who).ip(), 1)
    }

    fn steward(&self, number: usize) -> String {
        let me = ProcessId::Worker(number);
        let mut keepers = String::new();
        for to in 1..=self.schedule.replicas {
            if let Some(at) = self.relay(me, ProcessId::Replica(to)) {
                let _ = write!(keepers, " \"{to}={at}\"");
            }
        }
        let archive = self.relay(me, ProcessId::TraceStore).map_or(String::new(), |at| at.to_string());
        let (parts, step) = (self.schedule.parts, (self.schedule.lease_term / 2.0).clamp(0.02, 1.0));
        let reported = match self.schedule.quota_servers {
            0 => String::new(),
            seats => format!(
                "\n  (listen \"{}\") (quota (servers {seats}) (span {SPAN}s) (customer (name \"a\") (rate {QUOTA})))\n  \
                 (turns (most {AWAY}) (zone-share {ZONE_SHARE}) (span {TURN}s) (silent 1s))",
                self.address(me),
            ),
        };
        format!(
            "(steward (name \"{me}\") (folder \"{}\") (keepers{keepers})\n  \
             (gather (traces \"{}\") (archive \"{archive}\") (parts {parts}) (every 100ms) (step {step}s)){reported})\n",
            self.folder.join(me.to_string()).display(),
            self.folder.join("traces").display(),
        )
    }

    fn file(&mut self, server: usize) -> Result<(), String> {
        self.files += 1;
        let name = format!("n{server}");
        let folder = self.folder.join("traces").join(&name);
        write_trace_file(&folder, &name, self.files, BLOCKS, &mut self.all)
            .map_err(|e| format!("{}: {e}", folder.display()))
    }

    fn start(&mut self, who: ProcessId) -> Result<(), String> {
        let program = self.setup.program.clone();
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        part.life += 1;
        (part.ready, part.leaves) = (false, false);
        let kind = match who {
            ProcessId::Replica(_) => "keeper",
            ProcessId::Worker(_) => "steward",
            ProcessId::TraceStore => "archive",
            ProcessId::QuotaServer(_) => "seat",
        };
        let mut args = vec![kind.to_string(), "--settings".into(), part.settings.display().to_string()];
        args.extend([format!("--rate={}", part.rate), format!("--wall={}", part.wall)]);
        args.extend(part.first.take().map(String::from));
        if who == ProcessId::TraceStore {
            args.extend(self.setup.injected_bug.map(|bug| format!("--plant={bug}")));
        }
        if let ProcessId::QuotaServer(number) = who {
            let seats = self.schedule.quota_servers;
            let stewards =
                self.links.iter().filter(|link| link.from == who).map(|link| link.relay.address.to_string());
            let demand = if number == 1 { 0.7 * QUOTA } else { 0.2 * QUOTA / seats as f64 };
            args = vec![kind.into(), format!("--settings={}", part.settings.display())];
            args.extend([
                format!("--rate={}", part.rate),
                format!("--seats={seats}"),
                format!("--quota={QUOTA}"),
            ]);
            args.extend([
                format!("--demand={demand}"),
                format!("--zone=z{}", number % 2),
                format!("--name={who}"),
            ]);
            args.extend([format!("--life={}", part.life), format!("--drain={DRAIN}")]);
            args.push(format!("--stewards={}", stewards.collect::<Vec<_>>().join(",")));
        }
        let (name, life) = (who.to_string(), part.life);
        let log = self.folder.join(format!("{name}.log"));
        let started = Process::start(&program, &args, &name, life, &log, self.tell.clone());
        part.process = Some(started.map_err(|e| format!("{}: {e}", program.path.display()))?);
        let now = self.now();
        self.history.record(now, who, life, HistoryEvent::Started);
        Ok(())
    }

    /// Takes in what processes told. A port that the system gave at the first start stays that process's own.
    fn listen(&mut self) {
        while let Ok(ProcessOutput { process: who, incarnation: life, event }) = self.news.try_recv() {
            let now = self.now();
            let Some(event) = event else { continue };
            if let (Event::Ready { listen }, Some(of)) = (&event, ProcessId::read(&who)) {
                let at = listen.parse().ok();
                if let Some(part) = self.parts.get_mut(&of).filter(|part| part.life == life) {
                    part.ready = true;
                    if let Some(at) = at {
                        if part.listen != at {
                            part.listen = at;
                            let from = format!("(listen \"{}:0\")", at.ip());
                            let text = std::fs::read_to_string(&part.settings).unwrap_or_default();
                            let _ = std::fs::write(
                                &part.settings,
                                text.replace(&from, &format!("(listen \"{at}\")")),
                            );
                        }
                        for link in self.links.iter().filter(|link| link.to == of) {
                            link.relay.set_target(Some(at));
                        }
                    }
                }
            }
            self.history.record(now, who, life, HistoryEvent::Reported(event));
        }
    }

    /// Waits until something holds, looking again and again; nothing if it does not within the bound.
    async fn until(&mut self, bound: f64, mut holds: impl FnMut(&mut Self) -> bool) -> Option<f64> {
        let from = self.now();
        loop {
            self.listen();
            if holds(self) {
                return Some(self.now() - from);
            }
            if self.now() - from > bound {
                return None;
            }
            tokio::time::sleep(Duration::from_secs_f64(LOOK)).await;
        }
    }

    fn log_of(&self, who: ProcessId) -> String {
        let text = std::fs::read_to_string(self.folder.join(format!("{who}.log"))).unwrap_or_default();
        text.lines().last().unwrap_or("").to_string()
    }

    async fn execute(&mut self, run: &mut RunReport) -> Result<(), String> {
        self.make().await?;
        for who in self.schedule.processes() {
            self.start(who)?;
        }
        let stood = self.until(STAND, |ground| ground.parts.values().all(|part| part.ready)).await;
        if stood.is_none() {
            let silent = self.parts.iter().filter(|(_, part)| !part.ready);
            let silent: Vec<String> =
                silent.map(|(who, _)| format!("{who}: {}", self.log_of(*who))).collect();
            return Err(format!("not ready after {STAND} s: {}", silent.join("; ")));
        }
        self.begun = Instant::now();
        let (steps, done) = (mpsc::unbounded_channel(), tokio::sync::watch::channel(false));
        let mut operators = Vec::new();
        for who in 1..=OPERATORS {
            let keepers: Vec<SocketAddr> = (1..=self.schedule.replicas)
                .filter_map(|number| self.parts.get(&ProcessId::Replica(number)))
                .map(|part| part.listen)
                .collect();
            operators.push(tokio::spawn(operate(
                who,
                self.schedule.seed,
                keepers,
                steps.0.clone(),
                done.1.clone(),
            )));
        }
        drop(steps.0);
        let mut steps = steps.1;
        let mut said = Vec::new();
        self.faults(run).await?;
        let _ = done.0.send(true);
        for operator in operators {
            let _ = operator.await;
        }
        while let Ok(step) = steps.try_recv() {
            said.push(step);
        }
        self.heal(run).await?;
        if let Err(what) = check_linearizable(&said) {
            run.failures.push(format!("keepers' answers: {what}"));
        }
        self.end(run).await
    }

    /// Begins and ends faults as they come due, and lets servers write traces meanwhile.
    async fn faults(&mut self, run: &mut RunReport) -> Result<(), String> {
        let mut next = 0;
        let mut looked = self.now();
        loop {
            self.listen();
            let now = self.now();
            run.scheduling_delay = run.scheduling_delay.max(now - looked - LOOK);
            looked = now;
            while let Some(fault) = self.schedule.faults.get(next).filter(|fault| fault.start <= now) {
                self.begin(next, fault.clone())?;
                next += 1;
            }
            let due: Vec<(f64, usize)> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, at) in due {
                self.finish(at).await?;
            }
            while self.filed + self.schedule.file_interval <= now && self.filed < self.schedule.duration {
                self.filed += self.schedule.file_interval;
                self.file((self.files % self.schedule.servers as u64) as usize)?;
            }
            // Those that last for ever are over with the traffic.
            let lasting = self.ends.iter().filter(|(at, _)| *at < self.schedule.duration + 30.0).count();
            if now >= self.schedule.duration && next >= self.schedule.faults.len() && lasting == 0 {
                return Ok(());
            }
            self.ended(run);
            tokio::time::sleep(Duration::from_secs_f64(LOOK)).await;
        }
    }

    /// A process that ended though nothing was done to it is a failure, and is started again.
    fn ended(&mut self, run: &mut RunReport) {
        let ended: Vec<(ProcessId, String)> = self
            .parts
            .iter_mut()
            .filter_map(|(who, part)| Some((*who, part.process.as_mut()?.exit_status()?)))
            .collect();
        for (who, how) in ended {
            let now = self.now();
            let part = self.parts.get_mut(&who).filter(|part| part.leaves);
            if let Some(part) = part {
                let life = part.life;
                if matches!(who, ProcessId::QuotaServer(_)) {
                    part.process = None;
                    self.history.record(now, who, life, HistoryEvent::Exited { status: how });
                    if let Err(what) = self.start(who) {
                        run.failures.push(what);
                    }
                }
                continue;
            }
            run.failures.push(format!("{who} ended by itself after {now:.2} s, {how}: {}", self.log_of(who)));
            if let Some(part) = self.parts.get_mut(&who) {
                part.process = None;
                let life = part.life;
                self.history.record(now, who, life, HistoryEvent::Exited { status: how });
            }
        }
    }

    fn leader(&self) -> Option<ProcessId> {
        let led = self.history.events().filter_map(|(_, event)| match event {
            Event::BecameLeader { replica: keeper, term } => Some((*term, *keeper)),
            _ => None,
        });
        led.max().map(|(_, keeper)| ProcessId::Replica(keeper))
    }

    fn begin(&mut self, at: usize, fault: Fault) -> Result<(), String> {
        let now = self.now();
        let who = match fault.kind {
            FaultKind::KillLeader | FaultKind::PauseLeader => {
                self.leader().filter(|who| self.parts.contains_key(who)).unwrap_or(fault.process)
            }
            _ => fault.process,
        };
        self.hit.insert(at, who);
        let text = format!("{} {who}", fault.kind.keyword());
        self.history.record(now, who, 0, HistoryEvent::FaultStarted { fault: text });
        self.ends.push((fault.start + fault.duration, at));
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        let value = fault.value;
        match fault.kind {
            FaultKind::Pause | FaultKind::PauseLeader => part.process.iter_mut().for_each(Process::pause),
            FaultKind::Kill | FaultKind::KillLeader | FaultKind::LoseDisk => part.process = None,
            FaultKind::Terminate | FaultKind::DrainAndRestart => {
                part.leaves = true;
                part.process.iter().for_each(Process::terminate);
            }
            FaultKind::ClockRate => {
                part.rate = value;
                part.process.iter_mut().for_each(|process| process.send_command("rate", value));
            }
            FaultKind::WallClockOffset => {
                part.wall = value;
                part.process.iter_mut().for_each(|process| process.send_command("wall", value));
            }
            FaultKind::SlowSync => {
                part.process.iter_mut().for_each(|process| process.send_command("sync", 1e3 * value))
            }
            FaultKind::Partition | FaultKind::HoldTraffic => {
                self.trouble(&fault, |trouble| trouble.blocked = true)
            }
            FaultKind::Delay => self.trouble(&fault, |trouble| trouble.max_delay = value),
            FaultKind::Throttle => self.trouble(&fault, |trouble| trouble.bytes_per_second = value),
            FaultKind::ResetConnections => self.reset(&fault),
        }
        Ok(())
    }

    fn hit_by(&self, fault: &Fault) -> impl Iterator<Item = (&Link, Direction)> {
        let fault = fault.clone();
        self.links.iter().filter_map(move |link| Some((link, fault.direction_on_link(link.from, link.to)?)))
    }

    fn trouble(&self, fault: &Fault, change: impl Fn(&mut Impairment)) {
        self.hit_by(fault).for_each(|(link, way)| link.relay.impair(way, &change));
    }

    fn reset(&self, fault: &Fault) {
        self.hit_by(fault).for_each(|(link, _)| link.relay.reset());
    }

    async fn finish(&mut self, at: usize) -> Result<(), String> {
        let Some(fault) = self.schedule.faults.get(at).cloned() else { return Ok(()) };
        let who = self.hit.remove(&at).unwrap_or(fault.process);
        let (now, text) = (self.now(), format!("{} {who}", fault.kind.keyword()));
        self.history.record(now, who, 0, HistoryEvent::FaultEnded { fault: text });
        match fault.kind {
            FaultKind::Pause | FaultKind::PauseLeader => self
                .parts
                .get_mut(&who)
                .and_then(|part| part.process.as_mut())
                .into_iter()
                .for_each(Process::resume),
            FaultKind::Kill | FaultKind::KillLeader | FaultKind::Terminate => self.again(who)?,
            FaultKind::LoseDisk => self.replace(who).await?,
            FaultKind::Partition => {
                self.trouble(&fault, |trouble| trouble.blocked = false);
                self.reset(&fault);
            }
            FaultKind::HoldTraffic => self.trouble(&fault, |trouble| trouble.blocked = false),
            FaultKind::Delay => self.trouble(&fault, |trouble| trouble.max_delay = 0.0),
            FaultKind::Throttle => self.trouble(&fault, |trouble| trouble.bytes_per_second = 0.0),
            FaultKind::SlowSync => {
                let process = self.parts.get_mut(&who).and_then(|part| part.process.as_mut());
                process.into_iter().for_each(|process| process.send_command("sync", 0.0));
            }
            FaultKind::ResetConnections
            | FaultKind::ClockRate
            | FaultKind::WallClockOffset
            | FaultKind::DrainAndRestart => {}
        }
        Ok(())
    }

    /// Starts a process that was ended by a fault, unless another fault's end has done so already.
    fn again(&mut self, who: ProcessId) -> Result<(), String> {
        let lost = self.heirs.iter().any(|(_, of)| ProcessId::Replica(*of) == who);
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        // One that was told to leave has had its span to do so.
        if let Some(process) = &mut part.process {
            if process.exit_status().is_none() {
                process.kill();
            }
        }
        part.process = None;
        if lost {
            return Ok(());
        }
        self.start(who)
    }

    /// A keeper whose disk is lost never comes back; another joins under a new number, and the lost one is taken out.
    async fn replace(&mut self, who: ProcessId) -> Result<(), String> {
        let ProcessId::Replica(lost) = who else { return Ok(()) };
        let number = self.schedule.replicas + 1 + self.heirs.len() as u64;
        let heir = ProcessId::Replica(number);
        for to in (1..=self.schedule.replicas).filter(|to| *to != lost) {
            self.link(heir, ProcessId::Replica(to)).await?;
        }
        self.heirs.push((number, lost));
        let text = self.keeper(number);
        self.part(heir, &text, Some("--join"))?;
        self.start(heir)
    }

    /// All keepers that have not lost their disk.
    fn keepers(&self) -> Vec<SocketAddr> {
        let lost = |number: &u64| self.heirs.iter().any(|(_, of)| of == number);
        let all = self.parts.iter().filter_map(|(who, part)| match who {
            ProcessId::Replica(number) if !lost(number) => Some(part.listen),
            _ => None,
        });
        all.collect()
    }

    /// Heals all that is left, then waits for what has to come.
    async fn heal(&mut self, run: &mut RunReport) -> Result<(), String> {
        for link in &self.links {
            link.relay.impair(Direction::Both, |trouble| *trouble = Impairment::default());
        }
        let lost: Vec<ProcessId> = self.heirs.iter().map(|(_, of)| ProcessId::Replica(*of)).collect();
        let all: Vec<ProcessId> = self.parts.keys().copied().filter(|who| !lost.contains(who)).collect();
        for who in all {
            let Some(part) = self.parts.get_mut(&who) else { continue };
            part.process.iter_mut().for_each(Process::resume);
            let gone = part.process.as_mut().is_none_or(|process| process.exit_status().is_some());
            if gone {
                self.start(who)?;
            }
        }
        let from = self.now();
        for (number, lost) in self.heirs.clone() {
            self.take_in(number, lost).await?;
        }
        let bound = OWNED * self.schedule.lease_term + SLACK + if self.heirs.is_empty() { 0.0 } else { HEAL };
        let owned = self.owned(from + bound).await;
        match owned {
            Ok(()) => run.reassignment_time = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after the last fault {what}", self.now() - from)),
        }
        let from = self.now();
        match self.gathered().await {
            Ok(()) => run.collection_time = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after that {what}", self.now() - from)),
        }
        self.listen();
        self.ended(run);
        Ok(())
    }

    /// As an operator does it: add the new one, wait until it votes, remove the lost one.
    async fn take_in(&mut self, number: u64, lost: u64) -> Result<(), String> {
        let who = ProcessId::Replica(number);
        if self.until(STAND, |ground| ground.parts.get(&who).is_some_and(|part| part.ready)).await.is_none() {
            return Err(format!("{who} is not ready: {}", self.log_of(who)));
        }
        let address = self.parts[&who].listen.to_string();
        let until = self.now() + HEAL;
        let mut asks = vec![
            ReplicaRequest::RemoveReplica { number: lost },
            ReplicaRequest::AddReplica { number, address },
        ];
        let mut said = String::new();
        while let Some(next) = asks.last() {
            if self.now() > until {
                return Err(format!("{who} can't take the place of k{lost}: {said}"));
            }
            let keepers = self.keepers();
            match request_leader(&keepers, next).await {
                Some(ReplicaReply::CommandApplied) => drop(asks.pop()),
                // A command whose answer was lost may have been carried out.
                Some(ReplicaReply::CommandFailed(what))
                    if what.contains("is already a member") || what.contains("is not a member") =>
                {
                    asks.pop();
                }
                Some(other) => said = format!("{other:?}"),
                None => said = "no keeper answers".into(),
            }
            self.listen();
            tokio::time::sleep(Duration::from_secs_f64(LOOK)).await;
        }
        Ok(())
    }

    async fn owned(&mut self, until: f64) -> Result<(), String> {
        loop {
            let keepers = self.keepers();
            let vacant = match request_leader(&keepers, &ReplicaRequest::Tasks).await {
                Some(ReplicaReply::Tasks { leases: rows, .. }) => {
                    let vacant = |row: &&LeaseRow| row.task.name != SPARE && row.holder.is_none();
                    rows.iter().filter(vacant).map(|row| row.task.to_string()).collect::<Vec<_>>()
                }
                _ => vec!["no keeper leads, so that not even who owns what is known".into()],
            };
            self.listen();
            if vacant.is_empty() {
                return Ok(());
            }
            if self.now() > until {
                return Err(format!("nobody owns {}", vacant.join(", ")));
            }
            tokio::time::sleep(Duration::from_secs_f64(LOOK)).await;
        }
    }

    /// Until all files are gathered: it may take long where there are many, but not stand still.
    async fn gathered(&mut self) -> Result<(), String> {
        let at = self.parts[&ProcessId::TraceStore].listen;
        let (mut last, mut moved) = (0, self.now());
        loop {
            let status: Option<trace_store::Response> = request(at, &trace_store::Request::Status).await;
            if let Some(trace_store::Response::Status { complete_files, blocks, .. }) = status {
                if blocks != last {
                    (last, moved) = (blocks, self.now());
                }
                if complete_files as u64 == self.files {
                    return Ok(());
                }
            }
            self.listen();
            if self.now() > moved + HEAL {
                return Err(format!(
                    "{last} blocks are gathered, not all of {} files, and none more for {HEAL} s",
                    self.files
                ));
            }
            tokio::time::sleep(Duration::from_secs_f64(2.0 * LOOK)).await;
        }
    }

    /// All are told to leave; then what the archive holds is compared with what the servers wrote.
    async fn end(&mut self, run: &mut RunReport) -> Result<(), String> {
        for (who, part) in &mut self.parts {
            match who {
                // They would wait for their turns, and whoever gives those leaves too.
                ProcessId::QuotaServer(_) => part.process = None,
                _ => part.process.iter().for_each(Process::terminate),
            }
        }
        let gone = |ground: &mut Ground| {
            ground
                .parts
                .values_mut()
                .all(|part| part.process.as_mut().is_none_or(|one| one.exit_status().is_some()))
        };
        if self.until(LEAVE, gone).await.is_none() {
            let left = self.parts.iter_mut().filter_map(|(who, part)| {
                let still = part.process.as_mut().is_some_and(|one| one.exit_status().is_none());
                still.then(|| who.to_string())
            });
            let left: Vec<String> = left.collect();
            run.failures.push(format!("{LEAVE} s after SIGTERM there are still {}", left.join(", ")));
        }
        for part in self.parts.values_mut() {
            part.process = None;
        }
        self.listen();
        let folder = self.folder.clone();
        let exported =
            tokio::task::spawn_blocking(move || export(&folder)).await.map_err(|e| e.to_string())?;
        match exported {
            Ok((rows, doubled)) => {
                run.rows = rows.len();
                let (missing, extra) = self.all.missing_and_extra(&rows);
                if missing + extra + doubled as usize > 0 {
                    let all = self.all.len();
                    run.failures.push(format!("of {all} rows {missing} are missing, {extra} stand twice or never were, {doubled} were doubled"));
                }
            }
            Err(what) => run.failures.push(format!("the archive can't be exported: {what}")),
        }
        Ok(())
    }
}

fn export(folder: &Path) -> Result<(RowCounts, u64), String> {
    let (store, _) = puffinladder_trace_store::store::Store::open(&folder.join("archive"), u64::MAX)
        .map_err(|e| e.to_string())?;
    let into = folder.join("export.trace");
    let met = puffinladder_trace_store::export::export(&store, &into, 0, &mut |_, _| {})
        .map_err(|e| e.to_string())?;
    let rows = RowCounts::read(&into)?;
    let _ = std::fs::remove_file(into);
    Ok((rows, met.doubled))
}

/// Asks one process one thing, within a bound.
pub async fn request<A: Serialize, B: DeserializeOwned>(at: SocketAddr, what: &A) -> Option<B> {
    let wait = Duration::from_secs(1);
    let asked = puffinladder_transport::request(at, what, wait, 64 << 20);
    tokio::time::timeout(wait, asked).await.ok()?.ok().flatten()
}

/// Asks the keepers until one that leads answers.
pub async fn request_leader(keepers: &[SocketAddr], what: &ReplicaRequest) -> Option<ReplicaReply> {
    for &at in keepers {
        match request(at, what).await {
            None | Some(ReplicaReply::NotLeader { .. }) => {}
            answer => return answer,
        }
    }
    None
}

/// An operator who pauses, resumes and looks at the spare duty, at whichever keeper; what it asks and hears goes to the checker. A command whose answer does not
/// come may have been carried out: whoever asks next has another name.
async fn operate(
    number: u64,
    seed: u64,
    keepers: Vec<SocketAddr>,
    steps: mpsc::UnboundedSender<Step>,
    done: tokio::sync::watch::Receiver<bool>,
) {
    let mut chance = puffinladder_leases::SeededRandom::new(seed ^ (number << 40));
    let mut who = number;
    let mut unknown = 0;
    for _ in 0..ASKED / OPERATORS as usize {
        if *done.borrow() || keepers.is_empty() || unknown * OPERATORS as usize >= UNKNOWN {
            return;
        }
        let pause = [Some(true), Some(false), None, None][chance.next_index(4)];
        let what = match pause {
            Some(paused) => ReplicaRequest::Command(Command::Pause { task: SPARE.into(), paused }),
            None => ReplicaRequest::Tasks,
        };
        let at = keepers[chance.next_index(keepers.len())];
        let _ = steps.send(Step::Asks { who, pause });
        let answer: Option<ReplicaReply> = request(at, &what).await;
        match answer {
            Some(ReplicaReply::CommandApplied) if pause.is_some() => {
                let _ = steps.send(Step::Answered { who, paused: None });
            }
            Some(ReplicaReply::Tasks { leases: rows, .. }) if pause.is_none() => {
                let paused = rows.iter().any(|row| row.task.name == SPARE && row.paused);
                let _ = steps.send(Step::Answered { who, paused: Some(paused) });
            }
            // It was not carried out: as if it had never been asked. A read that nobody answered binds nobody either.
            Some(ReplicaReply::NotLeader { .. }) => drop(steps.send(Step::Never { who })),
            _ if pause.is_none() => drop(steps.send(Step::Never { who })),
            _ => {
                unknown += 1;
                who += OPERATORS;
            }
        }
        tokio::time::sleep(Duration::from_millis(chance.next_index(150) as u64)).await;
    }
}
