//! Random schedules round the pure cores, in simulated time: writers that race, keepers as one replicated line with leaders that come and go,
//! owners of the roll-out that are replaced and come back late, one to three distributors, five to forty servers in two regions. Messages are
//! lost, doubled, late, out of order, torn, changed and made up; servers are killed at every moment of putting a version in force and begin
//! again from their disks, which may be torn or full; regions are cut from each other.
//!
//! In each of them: nobody ever puts two contents in force under one number, versions never go back, nothing is in force by half, what
//! is acknowledged is in force, no server is sent more than its bytes, a change that a canary refuses or falls under reaches no other,
//! what was accepted stays in the line, and after healing all have it within 6 s.
//!
//! A bug planted in the hosts has to be caught by the same schedules, or they prove nothing.

use puffinladder_config_rollout::content::FLEET;
use puffinladder_config_rollout::distributor::{Distributor, Rules as Pace};
use puffinladder_config_rollout::follower::{Began, Follower, Heard};
use puffinladder_config_rollout::history::{Command, Done, Entry, History, Limits, Origin, Put, Refusal};
use puffinladder_config_rollout::rollout::{Rollout, Rules};
use puffinladder_config_rollout::words::{Ack, Piece, Tell, Way};
use puffinladder_config_rollout::{Change, Content, Digest, Field, Head, Key, Seal, Section, Wrong};
use puffinladder_leases::{Epoch, HolderId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Their seeds are their numbers.
const SCHEDULES: u64 = 1500;
const STEP: f64 = 0.04;
/// No new failure and no change from here on; within so many s more all have to have what there is.
const CALM: f64 = 26.0;
const WITHIN: f64 = 6.0;
/// Bytes to one server in any one second.
const BUDGET: f64 = 12_000.0;
/// A quota that no server takes, and one under which each falls.
const POISON: f64 = 666.0;
const DEADLY: f64 = 13.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// A server applies what it was sent before it looks at the digest.
    Unchecked,
    /// A server goes back to an older version that it is told of.
    Back,
    /// What is to be put in force is acknowledged as if it were.
    EarlyAck,
    /// A change is put in force over two rounds.
    Half,
    /// The keepers take an old owner's word.
    OldEpoch,
    /// A distributor counts no bytes.
    NoCredit,
    /// A version is released as soon as it is on trial.
    NoTrial,
    /// A leader answers before a majority has the entry.
    EarlyAnswer,
    /// A distributor that is cut off says that what it knows is new.
    NoAge,
}

/// A server: its host, its module, its disk.
struct Host {
    name: String,
    zone: String,
    region: usize,
    life: u64,
    follower: Follower,
    /// By what the module works, in this life.
    module: (Head, Arc<Content>),
    /// What stood there before, for a bug that goes back.
    before: Vec<(Head, Arc<Content>)>,
    most: u64,
    disk: Option<Vec<u8>>,
    saved: u64,
    full: f64,
    down: f64,
    paused: f64,
    /// Cut until then, one way each.
    mute: f64,
    deaf: f64,
    link: Option<usize>,
    told: f64,
    /// It falls at that time of what it has in force.
    falls: Option<f64>,
    sent: VecDeque<(f64, f64)>,
    /// The second half of a change, for the bug that applies it late.
    half: Option<(Head, Arc<Content>)>,
}

struct Machine {
    region: usize,
    distributor: Distributor,
    view: History,
    fresh: f64,
    down: f64,
    looks: f64,
}

struct OwnerHost {
    region: usize,
    rollout: Rollout,
    view: History,
    /// It was replaced and does not know it, until then.
    until: f64,
}

enum Mail {
    Tell(usize, u64, usize, Tell),
    Ack(usize, usize, Ack),
    Forward(Ack),
    Propose(Entry, Proposer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Proposer {
    Writer,
    Owner,
}

struct World {
    rng: ChaCha8Rng,
    bug: Bug,
    t: f64,
    calm: f64,
    /// s that regions are cut for at the most.
    cuts: f64,
    seal: Seal,
    limits: Limits,
    hosts: Vec<Host>,
    machines: Vec<Machine>,
    owners: Vec<OwnerHost>,
    /// What a majority agreed on, the keepers that applied it so far, and what their leader holds that no majority has.
    line: Vec<Entry>,
    truth: History,
    keepers: Vec<History>,
    pending: Vec<(f64, Entry, Proposer)>,
    leaderless: f64,
    /// Two regions don't hear each other until then; the majority is in region 0.
    cut: f64,
    cut_since: f64,
    last_epoch: Epoch,
    grants_at: Option<f64>,
    mail: Vec<(f64, u64, Mail)>,
    posted: u64,
    /// Every version that ever was, whoever was allowed to have it early, and the epochs under which things were done.
    versions: BTreeMap<u64, (Digest, Content)>,
    early: BTreeMap<u64, BTreeSet<String>>,
    done_epoch: Epoch,
    accepted: Vec<Head>,
    next_put: f64,
    put_every: f64,
    bulk: usize,
    /// Where the fault was seen.
    counts: Counts,
    converged: f64,
}

#[derive(Debug, Default)]
struct Counts {
    versions: u64,
    missed: u64,
    late: u64,
    cut: u64,
    taken_back: u64,
    in_force: u64,
    wholes: u64,
    digests: u64,
    torn: u64,
    conflicts: u64,
    last_good: u64,
    start_file: u64,
    everywhere: u64,
    kills: u64,
    /// Steps of ten versions or more.
    wide: u64,
    waits: f64,
    /// The oldest that a server on the side without a majority knew its content to be.
    aged: f64,
}

type Found = Result<(), String>;

fn local(content: &Content) -> Result<(), Wrong> {
    let key = Key::tenant("poison");
    match content.get(&key) {
        Some(POISON) => Err(Wrong::at(&key, "poison")),
        _ => Ok(()),
    }
}

impl World {
    fn new(seed: u64, bug: Bug) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seal = if seed.is_multiple_of(4) { Seal::default() } else { Seal::keyed([7; 32]) };
        let versions = if seed.is_multiple_of(3) { 6 } else { 4096 };
        let limits = Limits { versions, bytes: 1 << 20 };
        let truth = History::new(seal.clone(), limits);
        let count = rng.random_range(5..=40);
        let machines = rng.random_range(1..=3);
        let mut world = World {
            bug,
            t: 0.0,
            calm: CALM,
            cuts: 16.0,
            hosts: Vec::new(),
            machines: Vec::new(),
            owners: Vec::new(),
            line: Vec::new(),
            keepers: vec![truth.clone(); 3],
            pending: Vec::new(),
            leaderless: 0.0,
            cut: 0.0,
            cut_since: 0.0,
            last_epoch: 0,
            grants_at: Some(0.0),
            mail: Vec::new(),
            posted: 0,
            versions: BTreeMap::from([(0, (truth.head().digest, Content::default()))]),
            early: BTreeMap::new(),
            done_epoch: 0,
            accepted: Vec::new(),
            next_put: 1.0,
            put_every: rng.random_range(0.2..2.5),
            bulk: if rng.random_bool(0.3) { rng.random_range(40..100) } else { 3 },
            counts: Counts::default(),
            converged: 0.0,
            seal,
            limits,
            truth,
            rng,
        };
        for at in 0..machines {
            let region = if machines == 1 { 0 } else { at % 2 };
            let machine = world.machine(region);
            world.machines.push(machine);
        }
        for at in 0..count {
            let (region, zone) = (at % 2, at % 6);
            let name = format!("n{at:02}");
            let me = HolderId::new(&name, 1);
            let (follower, _) = Follower::start(me, &format!("z{zone}"), world.seal.clone(), None, &local);
            let module = (follower.works_by().head, follower.works_by().content.clone());
            world.hosts.push(Host {
                name,
                zone: format!("z{zone}"),
                region,
                life: 1,
                follower,
                module,
                before: Vec::new(),
                most: 0,
                disk: None,
                saved: 0,
                full: 0.0,
                down: 0.0,
                paused: 0.0,
                mute: 0.0,
                deaf: 0.0,
                link: None,
                told: 0.0,
                falls: None,
                sent: VecDeque::new(),
                half: None,
            });
        }
        world
    }

    fn machine(&mut self, region: usize) -> Machine {
        let rate = if self.bug == Bug::NoCredit { 1e9 } else { Pace::default().rate };
        let burst = if self.bug == Bug::NoCredit { 1e9 } else { Pace::default().burst };
        // Few enough that servers wait for a place, enough that the largest contents here can be everywhere in time: 40 servers
        // in 16 places are three rounds, each of 6.5 KB at 8 KB a second.
        let catch_ups = self.rng.random_range(4..9);
        let pace = Pace { rate, burst, catch_ups: catch_ups * 4, ..Pace::default() };
        pace.check().expect("rules");
        Machine {
            region,
            distributor: Distributor::new(pace, self.rng.random(), self.t),
            view: History::new(self.seal.clone(), self.limits),
            fresh: f64::MIN,
            down: 0.0,
            looks: 0.0,
        }
    }

    fn post(&mut self, after: f64, mail: Mail) {
        self.posted += 1;
        self.mail.push((self.t + after, self.posted, mail));
    }

    fn delay(&mut self) -> f64 {
        if self.t >= self.calm {
            return self.rng.random_range(0.001..0.02);
        }
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(0.1..3.0),
            1..10 => self.rng.random_range(0.02..0.3),
            _ => self.rng.random_range(0.001..0.02),
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && self.t < self.cut
    }

    /// Whether somebody in that region reaches a keeper that leads.
    fn leads(&self, region: usize) -> bool {
        self.t >= self.leaderless && !self.is_cut(region, 0)
    }

    fn run(&mut self) -> Found {
        while self.t < self.calm + WITHIN {
            self.t += STEP;
            if self.t < self.calm {
                self.fail()?;
                self.write()?;
            }
            self.deliver()?;
            self.keep()?;
            self.own()?;
            self.distribute()?;
            for at in 0..self.hosts.len() {
                self.serve(at)?;
            }
            if self.t >= self.calm && self.converged == 0.0 && self.differs().is_none() {
                self.converged = self.t - self.calm;
            }
        }
        if let Some(what) = self.differs() {
            return Err(format!("{WITHIN} s after healing: {what}"));
        }
        for head in &self.accepted {
            if self.versions.get(&head.number).map(|(digest, _)| *digest) != Some(head.digest) {
                return Err(format!("version {head} was accepted and is lost"));
            }
        }
        for keeper in &self.keepers {
            if *keeper != self.truth {
                return Err(format!("a keeper has {}, another {}", keeper.head(), self.truth.head()));
            }
        }
        self.counts.versions += self.versions.len() as u64 - 1;
        self.counts.waits = self.converged;
        Ok(())
    }

    /// Who has not yet what there is.
    fn differs(&self) -> Option<String> {
        let head = self.truth.head();
        if self.truth.stage().released != head.number {
            return Some(format!(
                "released is {} of {head}, {:?}",
                self.truth.stage().released,
                self.truth.stage()
            ));
        }
        let other = self.hosts.iter().find(|host| host.module.0 != head);
        other.map(|host| {
            let (told, counts) = (host.follower.target(), host.follower.counts());
            let link = host.link.map(|link| {
                let machine = &self.machines[link];
                (machine.distributor.sends_to(&host.name), machine.distributor.catching_up(), machine.view.stage())
            });
            let (name, head_here, life, falls) = (&host.name, host.module.0, host.life, host.falls);
            format!("{name} has {head_here}, not {head}; told {told:?}, {counts:?}, life {life}, {falls:?}, {link:?}")
        })
    }

    /// One failure in a third of a second or so.
    fn fail(&mut self) -> Found {
        if !self.rng.random_bool(STEP * 3.0) {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.hosts.len());
        let t = self.t;
        let span = self.rng.random_range(0.5..8.0);
        match self.rng.random_range(0..15) {
            0 => self.kill(at),
            1 => self.hosts[at].paused = t + 2.0 * span,
            2 => self.hosts[at].mute = t + span,
            3 => self.hosts[at].deaf = t + span,
            4 => (self.hosts[at].mute, self.hosts[at].deaf) = (t + span, t + span),
            5 => self.hosts[at].full = t + span,
            6 => {
                let at = self.rng.random_range(0..self.machines.len());
                let region = self.machines[at].region;
                self.machines[at] = self.machine(region);
                self.machines[at].down = t + span / 4.0;
                self.counts.kills += 1;
            }
            7 | 8 => self.new_leader(span)?,
            9 | 10 => self.new_owner(span),
            11 if t >= self.cut => {
                (self.cut, self.cut_since) = ((t + span / 8.0 * self.cuts).min(self.calm), t);
            }
            12 => self.hostile(at),
            13 => {
                // A zone restarts at once.
                let zone = self.hosts[at].zone.clone();
                for at in 0..self.hosts.len() {
                    if self.hosts[at].zone == zone {
                        self.kill(at);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// The leader goes: what it had not agreed on with a majority lives on or does not, and nobody is told.
    fn new_leader(&mut self, span: f64) -> Found {
        self.leaderless = self.t + span / 8.0;
        let pending = std::mem::take(&mut self.pending);
        for (_, entry, _) in pending {
            if self.rng.random_bool(0.5) {
                let _unheard = self.commit(entry)?;
            }
        }
        Ok(())
    }

    fn new_owner(&mut self, span: f64) {
        if self.grants_at.is_some() {
            return;
        }
        for owner in &mut self.owners {
            owner.until = owner.until.min(self.t + span); // it works on and does not know
        }
        if self.rng.random_bool(0.5) {
            self.owners.clear(); // killed
        }
        self.grants_at = Some(self.t + self.rng.random_range(0.1..1.5));
    }

    fn kill(&mut self, at: usize) {
        let wait = self.rng.random_range(0.1..1.5);
        let torn = self.rng.random_bool(0.05);
        let cut_at = self.rng.random_range(0..400);
        let seal = self.seal.clone();
        let host = &mut self.hosts[at];
        if let Some(disk) = host.disk.as_mut().filter(|_| torn) {
            // Torn, or a bit of it turned.
            if cut_at % 2 == 0 {
                disk.truncate(cut_at % disk.len().max(1));
            } else {
                let place = cut_at % disk.len().max(1);
                disk[place] ^= 1;
            }
        }
        host.life += 1;
        host.down = self.t + wait;
        host.falls = None;
        host.half = None;
        let me = HolderId::new(&host.name, host.life);
        let (follower, began) = Follower::start(me, &host.zone, seal, host.disk.as_deref(), &local);
        host.follower = follower;
        let held = host.follower.works_by();
        host.module = (held.head, held.content.clone());
        host.before.clear();
        match began {
            Began::LastGood(head) => {
                // What it wrote down as good is never under what it wrote before.
                assert!(head.number == host.saved, "{head}, {}", host.saved);
                self.counts.last_good += 1;
            }
            Began::StartFile(_) => (host.saved, host.disk) = (0, None),
        }
        if matches!(began, Began::StartFile(Some(_))) {
            self.counts.start_file += 1;
        }
        let host = &mut self.hosts[at];
        if host.content_has(DEADLY) {
            host.falls = Some(host.down + 0.2);
        }
        if let Some(machine) = host.link.take() {
            let name = host.name.clone();
            self.machines[machine].distributor.left(&name);
        }
    }

    /// Somebody who has no business here sends a server what he likes; without the fleet's key he can't make up a digest.
    fn hostile(&mut self, at: usize) {
        let (number, total) = (self.rng.random_range(0..40), self.rng.random_range(0..4000));
        let digest = match self.versions.get(&number) {
            Some((digest, _)) if self.rng.random_bool(0.5) => *digest,
            _ => Digest(self.rng.random()),
        };
        let module = self.hosts[at].module.0;
        let from = if self.rng.random_bool(0.5) { Some(module) } else { None };
        let total = if self.rng.random_bool(0.2) { u32::MAX } else { total };
        let to = Head { number: if self.rng.random_bool(0.1) { u64::MAX } else { number }, digest };
        let length = self.rng.random_range(0..300);
        let bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
        let place = if self.rng.random_bool(0.7) { 0 } else { self.rng.random() };
        let total = if self.rng.random_bool(0.5) { length as u32 } else { total };
        let tell = match self.rng.random_range(0..3) {
            0 => Tell::Target {
                head: Head { number, digest },
                age: f64::from(self.rng.random::<f32>()) * 9.0 - 1.0,
                serial: self.rng.random_range(0..60),
                tag: self.rng.random(),
            },
            1 => {
                // A content of his own, well formed, under a number that stands or comes.
                let own =
                    Content::default().after(&Change::default().set(Key::tenant("mine"), 1e6)).expect("fit");
                let body = puffinladder_config_rollout::words::body_of_content(&own);
                let digest = if self.rng.random_bool(0.5) {
                    Seal::keyed([8; 32]).digest(number, &own)
                } else {
                    digest
                };
                let way = Way { from: None, to: Head { number, digest }, total: body.len() as u32 };
                Tell::Piece(Piece { way, at: 0, bytes: body })
            }
            _ => Tell::Piece(Piece { way: Way { from, to, total }, at: place, bytes }),
        };
        let life = self.hosts[at].life;
        let link = self.hosts[at].link.unwrap_or(0);
        self.post(0.01, Mail::Tell(at, life, link, tell));
    }

    /// Writers, each with a view that may be old, and some under a grant that is over.
    fn write(&mut self) -> Found {
        if self.t < self.next_put || self.last_epoch == 0 {
            return Ok(());
        }
        self.next_put = self.t + self.put_every * self.rng.random_range(0.1..2.0);
        let region = usize::from(self.rng.random_bool(0.3));
        if !self.leads(region) {
            // There a host says `Refusal::NoMajority` and asks nobody.
            self.counts.cut += 1;
            return Ok(());
        }
        let epoch = match self.rng.random_range(0..10) {
            0 => self.last_epoch.saturating_sub(1),
            _ => self.last_epoch,
        };
        // Two at once, on the same head.
        let both = self.rng.random_bool(0.2);
        for author in ["ann", "bob"].iter().take(1 + usize::from(both)) {
            let back = self.rng.random_range(0..30) == 0 && self.truth.head().number > 3;
            let put = if back {
                let to = self.truth.head().number - self.rng.random_range(1..3);
                match self.truth.rollback(to, author, epoch) {
                    Ok(put) => put,
                    Err(_) => continue,
                }
            } else {
                let mut change = Change::default();
                for _ in 0..self.rng.random_range(1..=self.bulk) {
                    let name = format!("tenant-{}", self.rng.random_range(0..self.bulk * 3));
                    change = match self.rng.random_range(0..6) {
                        0 => change.remove(Key::tenant(&name)),
                        1 => change.set(
                            Key::new(Section::Limit, FLEET, Field::Servers),
                            self.rng.random_range(1.0..900.0),
                        ),
                        2 => change.set(Key::route(&name, Field::Promise), self.rng.random_range(1.0..900.0)),
                        _ => change.set(Key::tenant(&name), self.rng.random_range(0.0..900.0)),
                    };
                }
                match self.rng.random_range(0..25) {
                    0 => change = change.set(Key::tenant("poison"), POISON),
                    1 => change = change.set(Key::tenant("deadly"), DEADLY),
                    _ => {}
                }
                let origin = Origin::Put;
                Put { base: self.truth.head(), author: (*author).into(), epoch, origin, change }
            };
            let entry = Entry { at: self.t, command: Command::Put(put) };
            let delay = self.delay();
            if self.rng.random_bool(0.1) {
                self.post(2.0 * delay, Mail::Propose(entry.clone(), Proposer::Writer));
                // asked twice
            }
            self.post(delay, Mail::Propose(entry, Proposer::Writer));
        }
        Ok(())
    }

    /// The leading keeper, and those that follow it.
    fn keep(&mut self) -> Found {
        if self.t >= self.leaderless {
            let due: Vec<_> = self.pending.extract_if(.., |(when, ..)| *when <= self.t).collect();
            for (_, entry, proposer) in due {
                let done = self.commit(entry)?;
                self.answered(done, proposer);
            }
        }
        for at in 0..self.keepers.len() {
            // The last keeper stands in the other region.
            if at == 2 && self.t < self.cut {
                continue;
            }
            while let Some(entry) = self.line.get(self.keepers[at].applied() as usize) {
                let before = self.keepers[at].applied();
                let _ = self.keepers[at].apply(entry);
                assert_eq!(self.keepers[at].applied(), before + 1);
            }
            if self.rng.random_bool(STEP / 10.0) {
                let kept = self.keepers[at].snapshot();
                let again = History::restore(self.seal.clone(), &kept).map_err(|e| e.to_string())?;
                if again != self.keepers[at] {
                    return Err("a history differs after its snapshot".into());
                }
                self.keepers[at] = again;
            }
        }
        Ok(())
    }

    fn answered(&mut self, done: Result<Done, Refusal>, proposer: Proposer) {
        match (proposer, done) {
            (Proposer::Writer, Ok(Done::Accepted(head) | Done::Repeat(head))) => self.accepted.push(head),
            (_, Err(Refusal::Late { .. })) => self.counts.late += 1,
            (Proposer::Writer, Err(Refusal::Missed { missed, head })) => {
                assert!(!missed.is_empty() && head == self.truth.head());
                self.counts.missed += 1;
            }
            _ => {}
        }
    }

    /// A majority has it: it is in the line for good.
    fn commit(&mut self, entry: Entry) -> Result<Result<Done, Refusal>, String> {
        let epoch = entry.command.epoch();
        let mut entry = entry;
        if self.bug == Bug::OldEpoch {
            let now = self.truth.epoch().max(epoch);
            match &mut entry.command {
                Command::Put(put) => put.epoch = now,
                Command::Announce { epoch }
                | Command::Trial { epoch, .. }
                | Command::Release { epoch, .. }
                | Command::TakeBack { epoch, .. } => *epoch = now,
            }
        }
        let head = self.truth.head();
        let done = self.truth.apply(&entry);
        // With SEED=27 this shows how it came about.
        if std::env::var_os("TRACE").is_some() {
            println!("{:.2}: {:?} -> {done:?}", self.t, entry.command);
        }
        match &done {
            Ok(done) => {
                if epoch < self.done_epoch {
                    return Err(format!("{done:?} was done under epoch {epoch} after {}", self.done_epoch));
                }
                self.done_epoch = epoch;
                if let (Done::Tried, Some(trial)) = (done, &self.truth.stage().trial) {
                    self.early.entry(trial.number).or_default().extend(trial.canaries.iter().cloned());
                }
                self.counts.taken_back += u64::from(matches!(done, Done::TakenBack(_)));
            }
            Err(_) if self.truth.head() != head => return Err("a refused entry moved the head".into()),
            Err(_) => {}
        }
        let now = self.truth.head();
        if now != head {
            if now.number != head.number + 1 {
                return Err(format!("{now} came after {head}"));
            }
            self.versions.insert(now.number, (now.digest, self.truth.content().clone()));
        }
        self.line.push(entry);
        Ok(done)
    }

    /// Owners of the roll-out, the true one and those that were replaced.
    fn own(&mut self) -> Found {
        if self.t >= self.calm {
            // Somebody has the duty, and the keepers have a leader.
            self.grants_at = self.grants_at.map(|at| at.min(self.t));
            self.leaderless = self.leaderless.min(self.t);
        }
        if self.grants_at.is_none() && self.owners.iter().all(|owner| owner.until <= self.t) {
            self.grants_at = Some(self.t + 0.2);
        }
        self.owners.retain(|owner| owner.until > self.t);
        if self.grants_at.is_some_and(|at| self.t >= at) && self.leads(0) {
            self.grants_at = None;
            self.last_epoch += 1;
            let region = if self.t < self.cut { 0 } else { usize::from(self.rng.random_bool(0.3)) };
            let (author, epoch, seed) =
                (format!("owner-{}", self.last_epoch), self.last_epoch, self.rng.random());
            let mut rollout = Rollout::begin(Rules::default(), &author, epoch, seed, self.t);
            for host in &self.hosts {
                rollout.expect(self.t, &host.name, &host.zone);
            }
            self.owners.push(OwnerHost { region, rollout, view: self.truth.clone(), until: f64::MAX });
        }
        // One that the keepers can't hear loses its grant, and goes on in the belief that it has it.
        if self.grants_at.is_none() && self.t < self.cut && self.t - self.cut_since > 2.5 {
            let mut lost = false;
            for owner in self.owners.iter_mut().filter(|owner| owner.region != 0 && owner.until == f64::MAX) {
                (owner.until, lost) = (self.t + 9.0, true);
            }
            if lost {
                self.grants_at = Some(self.t);
            }
        }
        for at in 0..self.owners.len() {
            let reaches = self.leads(self.owners[at].region);
            let owner = &mut self.owners[at];
            if reaches && owner.view.applied() != self.truth.applied() && owner.until == f64::MAX {
                owner.view = self.truth.clone();
            }
            let command = owner.rollout.look(self.t, &owner.view);
            // Now and then: it looks at every server.
            if ((self.t / STEP).round() as u64).is_multiple_of(4) {
                self.judge(at)?;
            }
            let Some(command) = command.filter(|_| reaches) else { continue };
            let mut commands = vec![command];
            if self.bug == Bug::NoTrial {
                if let Command::Trial { epoch, number, .. } = commands[0] {
                    commands.push(Command::Release { epoch, number });
                }
            }
            for command in commands {
                let entry = Entry { at: self.t, command };
                let delay = if self.owners[at].until < f64::MAX { self.delay() * 10.0 } else { self.delay() };
                self.post(delay, Mail::Propose(entry, Proposer::Owner));
            }
        }
        Ok(())
    }

    /// What an owner says of all servers.
    fn judge(&mut self, at: usize) -> Found {
        let owner = &self.owners[at];
        let status = owner.rollout.status(self.t, &owner.view);
        if status.everywhere {
            self.counts.everywhere += 1;
            let lacks = self.hosts.iter().find(|host| host.most < status.released.number);
            if let Some(host) = lacks {
                return Err(format!(
                    "{} is said to be everywhere, {} never had it",
                    status.released, host.name
                ));
            }
        } else if status.have + status.lagging.len() != status.of {
            return Err(format!(
                "of {} servers {} have it and {} lag",
                status.of,
                status.have,
                status.lagging.len()
            ));
        }
        Ok(())
    }

    fn distribute(&mut self) -> Found {
        for at in 0..self.machines.len() {
            if self.t < self.machines[at].down {
                continue;
            }
            let region = self.machines[at].region;
            // A keeper of its own region; on the side without a majority it has nothing new to tell.
            let keeper = if region == 0 { self.rng.random_range(0..2) } else { 2 };
            let fresh = self.leads(region);
            let machine = &mut self.machines[at];
            if self.t >= machine.looks {
                machine.looks = self.t + 0.1;
                let keeper = &self.keepers[keeper];
                let news = keeper.news(machine.view.head());
                let learned = match news {
                    Some(news) => machine.view.learn(news),
                    None => machine.view.learn_whole(&keeper.snapshot()),
                };
                learned.map_err(|e| format!("machine {at}: {e}"))?;
                if fresh {
                    machine.fresh = self.t;
                }
            }
            let age = if self.bug == Bug::NoAge { 0.0 } else { (self.t - machine.fresh).min(1e6) };
            let lines = machine.distributor.pump(self.t, &machine.view, age);
            for (name, tell) in lines {
                let Some(to) = self.hosts.iter().position(|host| host.name == name) else { continue };
                if self.hosts[to].link != Some(at) || self.is_cut(region, self.hosts[to].region) {
                    continue;
                }
                self.charge(to, tell.bytes() as f64)?;
                self.send(at, to, tell);
            }
        }
        Ok(())
    }

    fn charge(&mut self, to: usize, bytes: f64) -> Found {
        let (t, host) = (self.t, &mut self.hosts[to]);
        host.sent.push_back((t, bytes));
        while host.sent.front().is_some_and(|(at, _)| *at <= t - 1.0) {
            host.sent.pop_front();
        }
        let sum: f64 = host.sent.iter().map(|(_, bytes)| bytes).sum();
        if sum > BUDGET {
            return Err(format!("{t:.2}: {} was sent {sum} B in one second", host.name));
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: usize, tell: Tell) {
        if self.t < self.hosts[to].deaf {
            return;
        }
        let life = self.hosts[to].life;
        let delay = self.delay();
        let chance = if self.t < self.calm { self.rng.random_range(0..100) } else { 99 };
        let tell = match chance {
            0..3 => return, // lost
            3..6 => {
                let again = delay + self.rng.random_range(0.0..2.0);
                self.post(again, Mail::Tell(to, life, from, tell.clone()));
                tell
            }
            6..9 => {
                // A byte of the line is changed, or its end is missing; mostly it is no line any more.
                let mut line = serde_json::to_vec(&tell).expect("a line");
                let place = self.rng.random_range(0..line.len());
                if self.rng.random_bool(0.3) {
                    line.truncate(place);
                } else {
                    line[place] = self.rng.random_range(32..127);
                }
                match serde_json::from_slice::<Tell>(&line) {
                    Ok(tell) => tell,
                    Err(_) => return,
                }
            }
            9 => match tell {
                Tell::Piece(mut piece) => {
                    // Torn so that it still reads.
                    let left = self.rng.random_range(0..=piece.bytes.len());
                    piece.bytes.truncate(left);
                    if self.rng.random_bool(0.5) {
                        piece.way.total = (piece.at as usize + piece.bytes.len()) as u32;
                    }
                    Tell::Piece(piece)
                }
                tell => tell,
            },
            _ => tell,
        };
        self.post(delay, Mail::Tell(to, life, from, tell));
    }

    fn deliver(&mut self) -> Found {
        let t = self.t;
        let mut due: Vec<_> = self.mail.extract_if(.., |(when, ..)| *when <= t).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, number, mail) in due {
            match mail {
                Mail::Tell(at, life, from, tell) => {
                    let wakes = self.hosts[at].paused;
                    if t < wakes {
                        self.mail.push((wakes, number, Mail::Tell(at, life, from, tell)));
                    } else if self.hosts[at].life == life && self.hosts[at].link == Some(from) {
                        self.hear(at, &tell)?;
                    }
                }
                Mail::Ack(machine, at, ack) => {
                    let there = t >= self.machines[machine].down
                        && !self.is_cut(self.machines[machine].region, self.hosts[at].region);
                    if there && self.hosts[at].link == Some(machine) {
                        self.machines[machine].distributor.heard(t, &ack);
                    }
                    if there {
                        let delay = self.delay();
                        let region = self.machines[machine].region;
                        if self.owners.iter().any(|owner| !self.is_cut(owner.region, region)) {
                            self.post(delay, Mail::Forward(ack));
                        }
                    }
                }
                Mail::Forward(ack) => {
                    for owner in &mut self.owners {
                        owner.rollout.heard(t, &ack);
                    }
                }
                Mail::Propose(entry, proposer) => {
                    if t >= self.leaderless {
                        if self.bug == Bug::EarlyAnswer {
                            // By what it holds alone.
                            let done = self.truth.clone().apply(&entry);
                            self.answered(done, proposer);
                        }
                        let delay = self.rng.random_range(0.005..0.05);
                        self.pending.push((t + delay, entry, proposer));
                    }
                }
            }
        }
        Ok(())
    }

    fn hear(&mut self, at: usize, tell: &Tell) -> Found {
        let t = self.t;
        let host = &mut self.hosts[at];
        host.told = t;
        if self.bug == Bug::Unchecked {
            if let Tell::Piece(piece) = tell {
                let change = postcard::from_bytes::<Change>(&piece.bytes);
                let newer = piece.way.to.number > host.module.0.number;
                let fits = newer
                    && piece.way.from == Some(host.module.0)
                    && piece.bytes.len() == piece.way.total as usize;
                if let Some(content) = change.ok().filter(|_| fits).and_then(|c| host.module.1.after(&c).ok())
                {
                    self.put(at, piece.way.to, Arc::new(content))?;
                    return Ok(());
                }
            }
        }
        if self.bug == Bug::Back {
            if let Tell::Target { head, .. } = tell {
                let older = host.before.iter().find(|(old, _)| old == head).cloned();
                if let Some((head, content)) = older {
                    return self.put(at, head, content);
                }
            }
        }
        let whole = matches!(tell, Tell::Piece(piece) if piece.way.from.is_none());
        let before = *host.follower.counts();
        if let Heard::Ready(_) = host.follower.hear(tell, &local) {
            self.counts.wholes += u64::from(whole);
        }
        let now = host.follower.counts();
        self.counts.digests += now.digests - before.digests;
        self.counts.torn += now.torn - before.torn;
        self.counts.conflicts += now.conflicts - before.conflicts;
        if now.refused > before.refused {
            let number = self.hosts[at].follower.target().map_or(0, |head| head.number);
            let name = &self.hosts[at].name;
            let canary = self.early.values().any(|names| names.contains(name));
            if !canary {
                return Err(format!("{name}, no canary, refused what it was sent, target {number}"));
            }
        }
        Ok(())
    }

    /// The module works by that from this round on.
    fn put(&mut self, at: usize, head: Head, content: Arc<Content>) -> Found {
        let (t, host) = (self.t, &mut self.hosts[at]);
        let name = host.name.clone();
        if head.number <= host.module.0.number {
            return Err(format!("{t:.2}: {name} went from {} to {head}", host.module.0));
        }
        let old = std::mem::replace(&mut host.module, (head, content));
        host.before.push(old);
        host.most = host.most.max(head.number);
        self.counts.in_force += 1;
        self.counts.wide +=
            u64::from(head.number >= self.hosts[at].before.last().map_or(0, |(old, _)| old.number) + 10);
        self.in_order(at)?;
        let host = &mut self.hosts[at];
        if host.content_has(DEADLY) {
            host.falls = Some(t + 0.2);
        }
        let released = self.truth.stage().released;
        let early = self.early.get(&head.number).is_some_and(|names| names.contains(&name));
        if head.number > released && !early {
            return Err(format!("{t:.2}: {name} has {head} in force, released is {released}"));
        }
        let bad = host.content_has(DEADLY) || local(&host.module.1).is_err();
        if bad && !early {
            return Err(format!("{t:.2}: {name}, no canary, has a bad {head} in force"));
        }
        Ok(())
    }

    /// What is in force is, as a whole, what the line has under its number.
    fn in_order(&self, at: usize) -> Found {
        let (head, content) = &self.hosts[at].module;
        let Some((digest, right)) = self.versions.get(&head.number) else {
            return Err(format!("{} has {head} in force, which never was", self.hosts[at].name));
        };
        if *digest != head.digest || right != &**content {
            let what = right.diff(content).0.len();
            return Err(format!("{} has {head} in force, {what} keys off", self.hosts[at].name));
        }
        Ok(())
    }

    /// A server's round.
    fn serve(&mut self, at: usize) -> Found {
        let t = self.t;
        let calm = t >= self.calm;
        let host = &mut self.hosts[at];
        if calm {
            (host.paused, host.mute, host.deaf, host.full) = (0.0, 0.0, 0.0, 0.0);
        }
        if t < host.down || t < host.paused {
            return Ok(());
        }
        if host.falls.is_some_and(|falls| t >= falls) {
            self.kill(at);
            self.hosts[at].down = t + 0.3;
            return Ok(());
        }
        // On the side without a majority nobody takes what he has for newer than the cut.
        let cut_off = t < self.cut && host.region != 0;
        if let Some(age) = host.follower.age(t).filter(|_| cut_off) {
            let least = t - self.cut_since - STEP;
            if age < least {
                return Err(format!(
                    "{t:.2}: {} takes what it has for {age:.2} s old, {least:.2} at least",
                    host.name
                ));
            }
            // (A distributor that started within the cut knows nothing at all, and says so.)
            if age < 1e5 {
                self.counts.aged = self.counts.aged.max(age);
            }
        }
        if let Some((_, rest)) = host.half.take() {
            host.module.1 = rest;
        }
        self.in_order(at)?;
        self.attach(at);
        // Rounds of the module are not those of its links.
        let round = self.rng.random_bool(0.6);
        let host = &mut self.hosts[at];
        if let Some(held) = host.follower.next().filter(|_| round).cloned() {
            let dies = if calm { 9 } else { self.rng.random_range(0..120) };
            if dies == 0 {
                self.kill(at); // before the round
                return Ok(());
            }
            if self.bug == Bug::Half && host.module.1.diff(&held.content).0.len() > 1 {
                let whole = host.module.1.diff(&held.content);
                let half = Change(whole.0.into_iter().take(1).collect());
                let half = host.module.1.after(&half).expect("fit");
                let (head, content) = (held.head, held.content.clone());
                host.half = Some((head, content));
                host.module = (head, Arc::new(half));
                host.follower.in_force(t, head);
                return self.in_order(at);
            }
            if self.bug != Bug::Unchecked || held.head.number > self.hosts[at].module.0.number {
                self.put(at, held.head, held.content.clone())?;
            }
            let host = &mut self.hosts[at];
            if dies == 1 {
                self.kill(at); // the module had it, nobody knows
                return Ok(());
            }
            if !host.follower.in_force(t, held.head) {
                return Err("what was put in force is not known".into());
            }
        }
        let host = &mut self.hosts[at];
        if let Some(save) = host.follower.save(t) {
            if !calm && self.rng.random_range(0..40) == 0 {
                self.kill(at); // before it is on the disk
                return Ok(());
            }
            let host = &mut self.hosts[at];
            if t < host.full {
                host.follower.saved(t, Err("no space left".into()));
            } else {
                // Written beside the old one and put in its place, so that a kill leaves one of them.
                host.disk = Some(save);
                host.follower.saved(t, Ok(()));
                let kept = host.follower.kept().map_or(0, |head| head.number);
                if kept < host.saved {
                    return Err(format!("{} wrote version {kept} over {}", host.name, host.saved));
                }
                host.saved = kept;
            }
        }
        let host = &mut self.hosts[at];
        if let Some(mut ack) = host.follower.ack(t) {
            match self.bug {
                Bug::EarlyAck => ack.in_force = ack.holds,
                // It tells the truth about what it should not have done.
                Bug::Unchecked => ack.in_force = host.module.0,
                _ => {}
            }
            if ack.in_force != host.module.0 {
                return Err(format!(
                    "{t:.2}: {} acknowledges {}, has {}",
                    host.name, ack.in_force, host.module.0
                ));
            }
            if let Some(machine) = host.link.filter(|_| t >= host.mute) {
                let delay = self.delay();
                if calm || self.rng.random_range(0..100) > 2 {
                    self.post(delay, Mail::Ack(machine, at, ack));
                }
            }
        }
        Ok(())
    }

    /// A server speaks with one distributor, of its own region if there is one, and goes to another when it hears nothing.
    fn attach(&mut self, at: usize) {
        let t = self.t;
        let host = &self.hosts[at];
        let broken = host.link.is_some_and(|link| {
            t < self.machines[link].down || self.is_cut(self.machines[link].region, host.region)
        });
        let silent = t - host.told > 2.5;
        if host.link.is_some() && !broken && !silent {
            return;
        }
        let name = host.name.clone();
        let region = host.region;
        if let Some(link) = host.link {
            self.machines[link].distributor.left(&name);
        }
        let reached = |machine: &Machine| t >= machine.down && !self.is_cut(machine.region, region);
        let all: Vec<usize> = (0..self.machines.len()).filter(|at| reached(&self.machines[*at])).collect();
        let near: Vec<usize> = all.iter().copied().filter(|at| self.machines[*at].region == region).collect();
        let near = if near.is_empty() || self.rng.random_bool(0.2) { all } else { near };
        let next = (!near.is_empty()).then(|| near[self.rng.random_range(0..near.len())]);
        let host = &mut self.hosts[at];
        (host.link, host.told) = (next, t);
        host.follower.attached();
    }
}

impl Host {
    fn content_has(&self, quota: f64) -> bool {
        self.module.1.get(&Key::tenant("deadly")) == Some(quota)
    }
}

/// What `play` says of each seed, in their order.
fn in_parallel<T: Send>(seeds: u64, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    const THREADS: u64 = 4;
    let mut all: Vec<(u64, T)> = std::thread::scope(|scope| {
        let play = &play;
        let part = |at| {
            scope.spawn(move || {
                (at..seeds).step_by(THREADS as usize).map(|seed| (seed, play(seed))).collect::<Vec<_>>()
            })
        };
        let parts: Vec<_> = (0..THREADS).map(part).collect();
        parts.into_iter().flat_map(|part| part.join().expect("no panic")).collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, one)| one).collect()
}

impl Counts {
    fn and(mut self, one: &Counts) -> Counts {
        self.versions += one.versions;
        self.missed += one.missed;
        self.late += one.late;
        self.cut += one.cut;
        self.taken_back += one.taken_back;
        self.in_force += one.in_force;
        self.wholes += one.wholes;
        self.digests += one.digests;
        self.torn += one.torn;
        self.conflicts += one.conflicts;
        self.last_good += one.last_good;
        self.start_file += one.start_file;
        self.everywhere += one.everywhere;
        self.kills += one.kills;
        self.wide += one.wide;
        self.waits = self.waits.max(one.waits);
        self.aged = self.aged.max(one.aged);
        self
    }
}

#[test]
fn whatever_fails_one_content_under_each_number_and_all_have_it_in_the_end() {
    // One of them again: SEED=27 cargo test ...
    let one = std::env::var("SEED").ok().and_then(|seed| seed.parse::<u64>().ok());
    if let Some(seed) = one {
        let mut world = World::new(seed, Bug::None);
        let found = world.run();
        return println!("seed {seed}: {found:?}, {:#?}", world.counts);
    }
    let all = in_parallel(SCHEDULES, |seed| {
        let mut world = World::new(seed, Bug::None);
        match world.run() {
            Ok(()) => (None, world.counts),
            Err(what) => (Some(format!("seed {seed}: {what}")), world.counts),
        }
    });
    let failed: Vec<&String> = all.iter().filter_map(|(failed, _)| failed.as_ref()).collect();
    assert!(failed.is_empty(), "{} of {SCHEDULES}: {failed:#?}", failed.len());
    let all = all.iter().fold(Counts::default(), |sum, (_, one)| sum.and(one));
    println!("{SCHEDULES} schedules: {all:#?}");
    // Runs in which these never came up prove nothing.
    let least = [all.missed, all.late, all.cut, all.taken_back, all.wholes, all.digests, all.torn];
    assert!(least.iter().all(|count| *count > SCHEDULES / 20), "{all:?}");
    let least = [all.conflicts, all.last_good, all.start_file, all.everywhere, all.kills, all.wide];
    assert!(least.iter().all(|count| *count > SCHEDULES / 20), "{all:?}");
}

#[test]
fn regions_that_are_cut_for_minutes_keep_what_they_have_and_come_together() {
    const LONG: u64 = 60;
    let all = in_parallel(LONG, |seed| {
        let mut world = World::new(10_000 + seed, Bug::None);
        (world.calm, world.cuts) = (240.0, 200.0);
        world.put_every *= 4.0;
        world.run().map(|()| world.counts).map_err(|what| format!("seed {}: {what}", 10_000 + seed))
    });
    let failed: Vec<&String> = all.iter().filter_map(|one| one.as_ref().err()).collect();
    assert!(failed.is_empty(), "{} of {LONG}: {failed:#?}", failed.len());
    let all = all.iter().flatten().fold(Counts::default(), Counts::and);
    println!("{LONG} schedules of 240 s: {all:#?}");
    assert!(all.aged > 120.0 && all.cut > 0 && all.wide > 0, "{all:?}");
}

#[test]
fn each_planted_bug_is_caught() {
    let bugs = [
        Bug::Unchecked,
        Bug::Back,
        Bug::EarlyAck,
        Bug::Half,
        Bug::OldEpoch,
        Bug::NoCredit,
        Bug::NoTrial,
        Bug::EarlyAnswer,
        Bug::NoAge,
    ];
    for bug in bugs {
        let caught = (0..400).find_map(|seed| Some((seed, World::new(seed, bug).run().err()?)));
        let (seed, what) = caught.unwrap_or_else(|| panic!("{bug:?} is not caught"));
        println!("{bug:?}: seed {seed}: {what}");
    }
}
