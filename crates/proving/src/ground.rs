//! Plays a schedule on real processes: settings, links and traces are made in a folder, processes started, faults begun and ended by the clock of the
//! ground; then all is healed, and what should hold is waited for, each within a bound. Only conditions are waited for.

use crate::check::{check, Counts};
use crate::history::{Happened, History};
use crate::linear::{one_table, Step, UNKNOWN};
use crate::pipe::Trouble;
use crate::process::{News, Process, Program};
use crate::relay::Relay;
use crate::rows::{write, Rows};
use crate::schedule::{Fault, Schedule, Way, What, Who};
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
pub struct Setup {
    pub program: Program,
    /// Where the run's folder is made; it is kept where the run failed, or always.
    pub folder: PathBuf,
    pub keep: bool,
    /// A bug planted in the archive, which the checkers must find.
    pub planted: Option<InjectedBug>,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Run {
    pub counts: Counts,
    pub rows: usize,
    /// s from the last fault's end until every duty was owned, and until all was gathered.
    pub owned: f64,
    pub gathered: f64,
    /// s by which the ground itself was late at the most: past a tenth of the term the machine is what was measured.
    pub late: f64,
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
    from: Who,
    to: Who,
    relay: Relay,
}

struct Ground<'a> {
    setup: &'a Setup,
    schedule: &'a Schedule,
    folder: PathBuf,
    begun: Instant,
    parts: BTreeMap<Who, Part>,
    links: Vec<Link>,
    news: mpsc::UnboundedReceiver<News>,
    tell: mpsc::UnboundedSender<News>,
    history: History,
    all: Rows,
    files: u64,
    filed: f64,
    /// Faults that have begun, and ends that are due.
    ends: Vec<(f64, usize)>,
    /// A keeper that takes a lost one's place, and which.
    heirs: Vec<(u64, u64)>,
    hit: BTreeMap<usize, Who>,
    block: u32,
}

/// Plays a schedule. An error is the ground's own: a run that could not be made.
pub async fn play(schedule: &Schedule, setup: &Setup) -> Result<Run, String> {
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
        all: Rows::default(),
        files: 0,
        filed: 0.0,
        ends: Vec::new(),
        heirs: Vec::new(),
        hit: BTreeMap::new(),
        block: (std::process::id() % 29) * 256 + number % 256,
    };
    let mut run = Run::default();
    let played = ground.play(&mut run).await;
    for part in ground.parts.values_mut() {
        part.process = None; // killed, if it still runs
    }
    ground.listen();
    run.history = std::mem::take(&mut ground.history);
    played?;
    let (mut counts, mut broken) = check(&run.history);
    if schedule.seats > 0 {
        let zone = |at: usize| {
            ((1..=schedule.seats).filter(|seat| seat % 2 == at).count() as f64 * ZONE_SHARE) as usize
        };
        let zones = [0, 1].map(|at| (format!("z{at}"), zone(at).max(1))).into();
        broken.extend(crate::check::quota(&run.history, QUOTA, SPAN, &mut counts));
        broken.extend(crate::check::turns(&run.history, AWAY, &zones, &mut counts));
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
    fn address(&self, who: Who) -> SocketAddr {
        let place = match who {
            Who::Keeper(number) => number as u32,
            Who::Archive => 100,
            Who::Steward(number) => 1000 + number as u32,
            Who::Seat(number) => 1400 + number as u32,
        };
        let host = self.block * 2048 + place;
        let [_, a, b, c] = (host + (16 << 16)).to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c)), 0)
    }

    fn relay(&self, from: Who, to: Who) -> Option<SocketAddr> {
        self.links.iter().find(|link| (link.from, link.to) == (from, to)).map(|link| link.relay.at)
    }

    async fn link(&mut self, from: Who, to: Who) -> Result<(), String> {
        let seed = self.schedule.seed ^ (self.links.len() as u64) << 8;
        let relay = Relay::open(seed).await.map_err(|e| format!("a link: {e}"))?;
        if let Some(part) = self.parts.get(&to).filter(|part| part.ready) {
            relay.lead_to(Some(part.listen));
        }
        self.links.push(Link { from, to, relay });
        Ok(())
    }

    async fn make(&mut self) -> Result<(), String> {
        let keepers: Vec<Who> = (1..=self.schedule.keepers).map(Who::Keeper).collect();
        let stewards: Vec<Who> = (1..=self.schedule.stewards).map(Who::Steward).collect();
        for &from in &keepers {
            for &to in &keepers {
                if from != to {
                    self.link(from, to).await?;
                }
            }
        }
        for &from in &stewards {
            for &to in keepers.iter().chain([&Who::Archive]) {
                self.link(from, to).await?;
            }
        }
        for seat in (1..=self.schedule.seats).map(Who::Seat) {
            for &to in &stewards {
                self.link(seat, to).await?;
            }
        }
        for who in self.schedule.all() {
            let text = match who {
                // Told by its arguments.
                Who::Seat(_) => String::new(),
                Who::Keeper(number) => self.keeper(number),
                Who::Steward(number) => self.steward(number),
                Who::Archive => format!(
                    "(archive (listen \"{}\") (folder \"{}\"))\n",
                    self.address(who),
                    self.folder.join("archive").display()
                ),
            };
            self.part(who, &text, matches!(who, Who::Keeper(_)).then_some("--found"))?;
        }
        for _ in 0..self.schedule.backlog {
            for server in 0..self.schedule.servers {
                self.file(server)?;
            }
        }
        Ok(())
    }

    fn part(&mut self, who: Who, text: &str, first: Option<&'static str>) -> Result<(), String> {
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
        let me = Who::Keeper(number);
        let mut peers = format!("\"{number}={}\"", self.own(me));
        for to in (1..=self.schedule.keepers).filter(|to| *to != number) {
            if let Some(at) = self.relay(me, Who::Keeper(to)) {
                let _ = write!(peers, " \"{to}={at}\"");
            }
        }
        let (term, parts) = (self.schedule.term, self.schedule.parts);
        let reported = match self.schedule.seats {
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
    fn own(&self, who: Who) -> SocketAddr {
        SocketAddr::new(self.address(who).ip(), 1)
    }

    fn steward(&self, number: usize) -> String {
        let me = Who::Steward(number);
        let mut keepers = String::new();
        for to in 1..=self.schedule.keepers {
            if let Some(at) = self.relay(me, Who::Keeper(to)) {
                let _ = write!(keepers, " \"{to}={at}\"");
            }
        }
        let archive = self.relay(me, Who::Archive).map_or(String::new(), |at| at.to_string());
        let (parts, step) = (self.schedule.parts, (self.schedule.term / 2.0).clamp(0.02, 1.0));
        let reported = match self.schedule.seats {
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
        write(&folder, &name, self.files, BLOCKS, &mut self.all)
            .map_err(|e| format!("{}: {e}", folder.display()))
    }

    fn start(&mut self, who: Who) -> Result<(), String> {
        let program = self.setup.program.clone();
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        part.life += 1;
        (part.ready, part.leaves) = (false, false);
        let kind = match who {
            Who::Keeper(_) => "keeper",
            Who::Steward(_) => "steward",
            Who::Archive => "archive",
            Who::Seat(_) => "seat",
        };
        let mut args = vec![kind.to_string(), "--settings".into(), part.settings.display().to_string()];
        args.extend([format!("--rate={}", part.rate), format!("--wall={}", part.wall)]);
        args.extend(part.first.take().map(String::from));
        if who == Who::Archive {
            args.extend(self.setup.planted.map(|bug| format!("--plant={bug}")));
        }
        if let Who::Seat(number) = who {
            let seats = self.schedule.seats;
            let stewards =
                self.links.iter().filter(|link| link.from == who).map(|link| link.relay.at.to_string());
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
        self.history.tell(now, who, life, Happened::Started);
        Ok(())
    }

    /// Takes in what processes told. A port that the system gave at the first start stays that process's own.
    fn listen(&mut self) {
        while let Ok(News { who, life, event }) = self.news.try_recv() {
            let now = self.now();
            let Some(event) = event else { continue };
            if let (Event::Ready { listen }, Some(of)) = (&event, Who::read(&who)) {
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
                            link.relay.lead_to(Some(at));
                        }
                    }
                }
            }
            self.history.tell(now, who, life, Happened::Told(event));
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

    fn log_of(&self, who: Who) -> String {
        let text = std::fs::read_to_string(self.folder.join(format!("{who}.log"))).unwrap_or_default();
        text.lines().last().unwrap_or("").to_string()
    }

    async fn play(&mut self, run: &mut Run) -> Result<(), String> {
        self.make().await?;
        for who in self.schedule.all() {
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
            let keepers: Vec<SocketAddr> = (1..=self.schedule.keepers)
                .filter_map(|number| self.parts.get(&Who::Keeper(number)))
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
        if let Err(what) = one_table(&said) {
            run.failures.push(format!("keepers' answers: {what}"));
        }
        self.end(run).await
    }

    /// Begins and ends faults as they come due, and lets servers write traces meanwhile.
    async fn faults(&mut self, run: &mut Run) -> Result<(), String> {
        let mut next = 0;
        let mut looked = self.now();
        loop {
            self.listen();
            let now = self.now();
            run.late = run.late.max(now - looked - LOOK);
            looked = now;
            while let Some(fault) = self.schedule.faults.get(next).filter(|fault| fault.at <= now) {
                self.begin(next, fault.clone())?;
                next += 1;
            }
            let due: Vec<(f64, usize)> = self.ends.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, at) in due {
                self.finish(at).await?;
            }
            while self.filed + self.schedule.files <= now && self.filed < self.schedule.span {
                self.filed += self.schedule.files;
                self.file((self.files % self.schedule.servers as u64) as usize)?;
            }
            // Those that last for ever are over with the traffic.
            let lasting = self.ends.iter().filter(|(at, _)| *at < self.schedule.span + 30.0).count();
            if now >= self.schedule.span && next >= self.schedule.faults.len() && lasting == 0 {
                return Ok(());
            }
            self.ended(run);
            tokio::time::sleep(Duration::from_secs_f64(LOOK)).await;
        }
    }

    /// A process that ended though nothing was done to it is a failure, and is started again.
    fn ended(&mut self, run: &mut Run) {
        let ended: Vec<(Who, String)> = self
            .parts
            .iter_mut()
            .filter_map(|(who, part)| Some((*who, part.process.as_mut()?.ended()?)))
            .collect();
        for (who, how) in ended {
            let now = self.now();
            let part = self.parts.get_mut(&who).filter(|part| part.leaves);
            if let Some(part) = part {
                let life = part.life;
                if matches!(who, Who::Seat(_)) {
                    part.process = None;
                    self.history.tell(now, who, life, Happened::Ended { how });
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
                self.history.tell(now, who, life, Happened::Ended { how });
            }
        }
    }

    fn leader(&self) -> Option<Who> {
        let led = self.history.told().filter_map(|(_, event)| match event {
            Event::BecameLeader { replica: keeper, term } => Some((*term, *keeper)),
            _ => None,
        });
        led.max().map(|(_, keeper)| Who::Keeper(keeper))
    }

    fn begin(&mut self, at: usize, fault: Fault) -> Result<(), String> {
        let now = self.now();
        let who = match fault.what {
            What::KillLeader | What::PauseLeader => {
                self.leader().filter(|who| self.parts.contains_key(who)).unwrap_or(fault.who)
            }
            _ => fault.who,
        };
        self.hit.insert(at, who);
        let text = format!("{} {who}", fault.what.word());
        self.history.tell(now, who, 0, Happened::Begun { fault: text });
        self.ends.push((fault.at + fault.span, at));
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        let value = fault.value;
        match fault.what {
            What::Pause | What::PauseLeader => part.process.iter_mut().for_each(Process::pause),
            What::Kill | What::KillLeader | What::Lose => part.process = None,
            What::Leave | What::Release => {
                part.leaves = true;
                part.process.iter().for_each(Process::leave);
            }
            What::Rate => {
                part.rate = value;
                part.process.iter_mut().for_each(|process| process.order("rate", value));
            }
            What::Wall => {
                part.wall = value;
                part.process.iter_mut().for_each(|process| process.order("wall", value));
            }
            What::Sync => part.process.iter_mut().for_each(|process| process.order("sync", 1e3 * value)),
            What::Cut | What::Hold => self.trouble(&fault, |trouble| trouble.shut = true),
            What::Slow => self.trouble(&fault, |trouble| trouble.delay = value),
            What::Trickle => self.trouble(&fault, |trouble| trouble.rate = value),
            What::Reset => self.reset(&fault),
        }
        Ok(())
    }

    fn hit_by(&self, fault: &Fault) -> impl Iterator<Item = (&Link, Way)> {
        let fault = fault.clone();
        self.links.iter().filter_map(move |link| Some((link, fault.hits(link.from, link.to)?)))
    }

    fn trouble(&self, fault: &Fault, change: impl Fn(&mut Trouble)) {
        self.hit_by(fault).for_each(|(link, way)| link.relay.trouble(way, &change));
    }

    fn reset(&self, fault: &Fault) {
        self.hit_by(fault).for_each(|(link, _)| link.relay.reset());
    }

    async fn finish(&mut self, at: usize) -> Result<(), String> {
        let Some(fault) = self.schedule.faults.get(at).cloned() else { return Ok(()) };
        let who = self.hit.remove(&at).unwrap_or(fault.who);
        let (now, text) = (self.now(), format!("{} {who}", fault.what.word()));
        self.history.tell(now, who, 0, Happened::Healed { fault: text });
        match fault.what {
            What::Pause | What::PauseLeader => self
                .parts
                .get_mut(&who)
                .and_then(|part| part.process.as_mut())
                .into_iter()
                .for_each(Process::go_on),
            What::Kill | What::KillLeader | What::Leave => self.again(who)?,
            What::Lose => self.replace(who).await?,
            What::Cut => {
                self.trouble(&fault, |trouble| trouble.shut = false);
                self.reset(&fault);
            }
            What::Hold => self.trouble(&fault, |trouble| trouble.shut = false),
            What::Slow => self.trouble(&fault, |trouble| trouble.delay = 0.0),
            What::Trickle => self.trouble(&fault, |trouble| trouble.rate = 0.0),
            What::Sync => {
                let process = self.parts.get_mut(&who).and_then(|part| part.process.as_mut());
                process.into_iter().for_each(|process| process.order("sync", 0.0));
            }
            What::Reset | What::Rate | What::Wall | What::Release => {}
        }
        Ok(())
    }

    /// Starts a process that was ended by a fault, unless another fault's end has done so already.
    fn again(&mut self, who: Who) -> Result<(), String> {
        let lost = self.heirs.iter().any(|(_, of)| Who::Keeper(*of) == who);
        let Some(part) = self.parts.get_mut(&who) else { return Ok(()) };
        // One that was told to leave has had its span to do so.
        if let Some(process) = &mut part.process {
            if process.ended().is_none() {
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
    async fn replace(&mut self, who: Who) -> Result<(), String> {
        let Who::Keeper(lost) = who else { return Ok(()) };
        let number = self.schedule.keepers + 1 + self.heirs.len() as u64;
        let heir = Who::Keeper(number);
        for to in (1..=self.schedule.keepers).filter(|to| *to != lost) {
            self.link(heir, Who::Keeper(to)).await?;
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
            Who::Keeper(number) if !lost(number) => Some(part.listen),
            _ => None,
        });
        all.collect()
    }

    /// Heals all that is left, then waits for what has to come.
    async fn heal(&mut self, run: &mut Run) -> Result<(), String> {
        for link in &self.links {
            link.relay.trouble(Way::Both, |trouble| *trouble = Trouble::default());
        }
        let lost: Vec<Who> = self.heirs.iter().map(|(_, of)| Who::Keeper(*of)).collect();
        let all: Vec<Who> = self.parts.keys().copied().filter(|who| !lost.contains(who)).collect();
        for who in all {
            let Some(part) = self.parts.get_mut(&who) else { continue };
            part.process.iter_mut().for_each(Process::go_on);
            let gone = part.process.as_mut().is_none_or(|process| process.ended().is_some());
            if gone {
                self.start(who)?;
            }
        }
        let from = self.now();
        for (number, lost) in self.heirs.clone() {
            self.take_in(number, lost).await?;
        }
        let bound = OWNED * self.schedule.term + SLACK + if self.heirs.is_empty() { 0.0 } else { HEAL };
        let owned = self.owned(from + bound).await;
        match owned {
            Ok(()) => run.owned = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after the last fault {what}", self.now() - from)),
        }
        let from = self.now();
        match self.gathered().await {
            Ok(()) => run.gathered = self.now() - from,
            Err(what) => run.failures.push(format!("{:.1} s after that {what}", self.now() - from)),
        }
        self.listen();
        self.ended(run);
        Ok(())
    }

    /// As an operator does it: add the new one, wait until it votes, remove the lost one.
    async fn take_in(&mut self, number: u64, lost: u64) -> Result<(), String> {
        let who = Who::Keeper(number);
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
            match ask_leader(&keepers, next).await {
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
            let vacant = match ask_leader(&keepers, &ReplicaRequest::Tasks).await {
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
        let at = self.parts[&Who::Archive].listen;
        let (mut last, mut moved) = (0, self.now());
        loop {
            let status: Option<trace_store::Response> = ask(at, &trace_store::Request::Status).await;
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
    async fn end(&mut self, run: &mut Run) -> Result<(), String> {
        for (who, part) in &mut self.parts {
            match who {
                // They would wait for their turns, and whoever gives those leaves too.
                Who::Seat(_) => part.process = None,
                _ => part.process.iter().for_each(Process::leave),
            }
        }
        let gone = |ground: &mut Ground| {
            ground
                .parts
                .values_mut()
                .all(|part| part.process.as_mut().is_none_or(|one| one.ended().is_some()))
        };
        if self.until(LEAVE, gone).await.is_none() {
            let left = self.parts.iter_mut().filter_map(|(who, part)| {
                let still = part.process.as_mut().is_some_and(|one| one.ended().is_none());
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
                let (missing, extra) = self.all.against(&rows);
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

fn export(folder: &Path) -> Result<(Rows, u64), String> {
    let (store, _) = puffinladder_trace_store::store::Store::open(&folder.join("archive"), u64::MAX)
        .map_err(|e| e.to_string())?;
    let into = folder.join("export.trace");
    let met = puffinladder_trace_store::export::export(&store, &into, 0, &mut |_, _| {})
        .map_err(|e| e.to_string())?;
    let rows = Rows::read(&into)?;
    let _ = std::fs::remove_file(into);
    Ok((rows, met.duplicates))
}

/// Asks one process one thing, within a bound.
pub async fn ask<A: Serialize, B: DeserializeOwned>(at: SocketAddr, what: &A) -> Option<B> {
    let wait = Duration::from_secs(1);
    let asked = puffinladder_transport::request(at, what, wait, 64 << 20);
    tokio::time::timeout(wait, asked).await.ok()?.ok().flatten()
}

/// Asks the keepers until one that leads answers.
pub async fn ask_leader(keepers: &[SocketAddr], what: &ReplicaRequest) -> Option<ReplicaReply> {
    for &at in keepers {
        match ask(at, what).await {
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
        let answer: Option<ReplicaReply> = ask(at, &what).await;
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
