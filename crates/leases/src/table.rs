//! The table of grants that the keepers replicate. Every keeper applies the same entries in the same order and comes to the same table;
//! times are the table's own (see [`crate::pace`]), so that nothing here depends on whose clock it is.
//!
//! An instance keeps one session, whatever it owns: one line renews all its grants, and the cost follows instances. A grant is given up by
//! its owner, or runs out with the session, or is *taken back*: then it stays until its owner has handed it over or can no longer
//! believe in it, which is when the session would have run out that was in force at that moment.

use crate::assign::{self, Candidate};
use crate::{Duty, Epoch, Owner};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// What the grants are given by. Times in s; the keepers agree on these as on the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// How long a grant holds, by its owner's clock from when it sent the request.
    pub term: f64,
    /// Share by which the clocks of an owner and of a keeper may run apart; keepers count that much longer.
    pub drift: f64,
    /// A duty with work whose progress mark stands still for so long is taken away, and kept from that owner for `barred`.
    pub stall: f64,
    pub barred: f64,
    /// An instance whose sessions ran out `flaps` times within `flap_span` gets nothing for `flap_rest`.
    pub flaps: usize,
    pub flap_span: f64,
    pub flap_rest: f64,
    /// While more instances fell silent within the last `panic` than are heard, nothing is given.
    pub panic: f64,
    /// No part is moved for the sake of even loads until nobody has come or gone for so long.
    pub calm: f64,
    /// Parts on the move at once, over all duties.
    pub moves: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            term: 2.0,
            drift: 0.02,
            stall: 10.0,
            barred: 60.0,
            flaps: 3,
            flap_span: 60.0,
            flap_rest: 30.0,
            panic: 5.0,
            calm: 2.0,
            moves: 64,
        }
    }
}

impl Rules {
    /// Says what can't be kept to, if anything.
    pub fn check(&self) -> Result<(), String> {
        let times = [
            ("term", self.term),
            ("stall", self.stall),
            ("barred", self.barred),
            ("flap-span", self.flap_span),
            ("flap-rest", self.flap_rest),
            ("panic", self.panic),
            ("calm", self.calm),
        ];
        for (name, value) in times {
            if !(0.0..=86_400.0).contains(&value) {
                return Err(format!("{name}: {value} s is out of range, 0 to a day is meant"));
            }
        }
        if self.term < 0.2 {
            return Err(format!("term: {} s is too short, 0.2 s at the least", self.term));
        }
        if !(0.0..=0.5).contains(&self.drift) {
            return Err(format!("drift: {} is out of range, 0 to 0.5 is meant", self.drift));
        }
        if self.stall < 2.0 * self.term {
            return Err(format!("stall: {} s, must be two terms at the least", self.stall));
        }
        if self.flaps == 0 || self.moves == 0 {
            return Err("flaps, moves: 1 at the least".into());
        }
        Ok(())
    }
}

/// A duty as the keepers' settings declare it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declared {
    pub name: String,
    pub parts: u32,
    /// Instances of this zone come first.
    pub zone: Option<String>,
}

/// Most parts over all duties, instances, and duties that one line may name: whatever grows is bounded.
pub const PARTS: usize = 100_000;
pub const INSTANCES: usize = 10_000;
pub const NAMES: usize = 256;
/// Longest name of an instance, a zone or a duty, in bytes.
pub const NAME: usize = 128;
/// s for which loads that were found even are not looked at again, unless somebody came or went.
const EVEN: f64 = 1.0;
/// Of one part: owners that stalled on it and are kept off.
const BARRED: usize = 8;
/// Incarnations of one instance that may be heard of within a term.
const LIVES: usize = 4;

/// What an instance says, all in one line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Said {
    pub owner: Owner,
    #[serde(default)]
    pub zone: String,
    /// Rises with every line of this incarnation, whichever keeper it goes to.
    pub serial: u64,
    /// The duties that it can do.
    #[serde(default)]
    pub wants: BTreeSet<String>,
    /// It drains: it hands everything over and takes nothing.
    #[serde(default)]
    pub leaving: bool,
    /// Marks of progress that changed, and of parts that have work again or no more.
    #[serde(default)]
    pub marks: Vec<Mark>,
    /// Grants that it has ended: no effect of them is on its way from here.
    #[serde(default)]
    pub given: Vec<(Duty, Epoch)>,
    /// The list of grants it knows, see [`Told::version`].
    #[serde(default)]
    pub knows: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    pub duty: Duty,
    pub epoch: Epoch,
    /// Rises whenever something was done.
    pub done: u64,
    /// Whether there is something to do.
    pub work: bool,
}

/// What an instance is told, as an answer and whenever its grants change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub owner: Owner,
    /// The last of its lines that was heard: the term counts from when that one was sent.
    pub serial: u64,
    pub term: f64,
    /// Rises with every change of its grants; the list stands here if the instance does not know it.
    pub version: u64,
    #[serde(default)]
    pub grants: Option<Vec<Granted>>,
    /// Why it has no session, if it has none.
    #[serde(default)]
    pub refused: Option<Refused>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    pub duty: Duty,
    pub epoch: Epoch,
    /// Taken back: no new step, and handed over when the one under way has ended.
    pub back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// A later incarnation of it has spoken.
    Superseded,
    /// The table has no room for one more.
    Full,
    /// A name is too long, or a line names too many duties.
    Unfit,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The table's time, s.
    pub at: f64,
    pub command: Command,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Time alone: what has run out is given anew, and loads are levelled.
    Time,
    Declare {
        rules: Rules,
        duties: Vec<Declared>,
    },
    Say(Vec<Said>),
    /// An operator's: nobody has the duty until it is resumed.
    Pause {
        duty: String,
        paused: bool,
    },
    /// An operator's: the part goes to this instance as soon as it can.
    Move {
        duty: Duty,
        to: String,
    },
}

/// Why a grant began or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// Nobody had it.
    Vacant,
    /// Its owner was not heard for the term.
    Expired,
    /// Its owner handed it over.
    HandedOver,
    /// Its owner did not hand it over in time.
    NotHandedOver,
    /// Taken back since its owner drains, had work and did nothing, has more than others, or an operator said so.
    Draining,
    Stalled,
    Levelled,
    Moved,
    Paused,
    /// The duty, or this part of it, is no longer declared.
    Dropped,
}

impl Cause {
    pub fn text(self) -> &'static str {
        match self {
            Cause::Vacant => "it was vacant",
            Cause::Expired => "its owner was not heard for a term",
            Cause::HandedOver => "handed over",
            Cause::NotHandedOver => "not handed over in time",
            Cause::Draining => "its owner drains",
            Cause::Stalled => "its owner got nothing done",
            Cause::Levelled => "its owner has more than others",
            Cause::Moved => "an operator moved it",
            Cause::Paused => "an operator paused it",
            Cause::Dropped => "no longer declared",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.text())
    }
}

/// What an entry changed, for the log, the metrics and the checkers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub at: f64,
    pub duty: Duty,
    pub owner: Owner,
    pub epoch: Epoch,
    pub what: What,
    pub cause: Cause,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Given,
    TakenBack,
    Ended,
}

/// What came of an entry: changes, and whom to tell what.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub changes: Vec<Change>,
    pub told: Vec<Told>,
    /// What an operator's command could not do.
    pub fault: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Grant {
    owner: Owner,
    epoch: Epoch,
    since: f64,
    done: u64,
    /// Since when there has been work and no progress.
    still: Option<f64>,
    /// Taken back, and free at that time at the latest.
    back: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Part {
    grant: Option<Grant>,
    barred: Vec<(String, f64)>,
    /// Where it is to go next, if that can be.
    next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Work {
    declared: Declared,
    paused: bool,
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Session {
    zone: String,
    serial: u64,
    /// The term that the last line was granted, whatever the rules say by now.
    term: f64,
    until: f64,
    wants: BTreeSet<String>,
    leaving: bool,
    version: u64,
    has: BTreeSet<Duty>,
}

/// What stays known of an instance between its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Known {
    incarnation: u64,
    /// When its last session ran out; when those ran out that count as coming and going.
    silent: Option<f64>,
    lost: VecDeque<f64>,
    rests: f64,
    heard: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    rules: Rules,
    now: f64,
    last_epoch: Epoch,
    versions: u64,
    works: BTreeMap<String, Work>,
    sessions: BTreeMap<Owner, Session>,
    known: BTreeMap<String, Known>,
    /// Grants that were taken back and not yet ended.
    backs: BTreeSet<Duty>,
    /// When an instance last came or went; whether anything may have to be given.
    stirred: f64,
    dirty: bool,
    /// When loads were last found even: with ten thousand parts that is not looked at with every entry.
    even: f64,
}

/// A grant as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub duty: Duty,
    pub owner: Option<Owner>,
    pub epoch: Epoch,
    pub since: f64,
    pub back: bool,
    pub paused: bool,
}

/// An instance as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seat {
    pub owner: Owner,
    pub zone: String,
    pub has: usize,
    pub leaving: bool,
    /// s until its session runs out.
    pub left: f64,
    /// s for which it gets nothing since it came and went.
    pub rests: f64,
}

impl Part {
    fn bars(&self, who: &str, now: f64) -> bool {
        self.barred.iter().any(|(name, until)| name == who && *until > now)
    }
}

impl Work {
    /// Parts that are still declared.
    fn open(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().take(self.declared.parts as usize)
    }
}

impl Table {
    pub fn now(&self) -> f64 {
        self.now
    }
    pub fn rules(&self) -> &Rules {
        &self.rules
    }
    pub fn last_epoch(&self) -> Epoch {
        self.last_epoch
    }
    pub fn declared(&self) -> Vec<Declared> {
        self.works.values().map(|work| work.declared.clone()).collect()
    }
    pub fn instances(&self) -> usize {
        self.sessions.len()
    }

    /// Who owns a part now, by the table: its owner may know better that it no longer does.
    pub fn owner(&self, duty: &Duty) -> Option<(&Owner, Epoch)> {
        self.grant(duty).map(|grant| (&grant.owner, grant.epoch))
    }

    fn grant(&self, duty: &Duty) -> Option<&Grant> {
        self.works.get(&duty.name)?.parts.get(duty.part as usize)?.grant.as_ref()
    }

    fn part_mut(&mut self, duty: &Duty) -> Option<&mut Part> {
        self.works.get_mut(&duty.name)?.parts.get_mut(duty.part as usize)
    }

    pub fn rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        for (name, work) in &self.works {
            for (at, part) in work.parts.iter().enumerate() {
                let grant = part.grant.as_ref();
                rows.push(Row {
                    duty: Duty::new(name, at as u32),
                    owner: grant.map(|g| g.owner.clone()),
                    epoch: grant.map_or(0, |g| g.epoch),
                    since: grant.map_or(0.0, |g| g.since),
                    back: grant.is_some_and(|g| g.back.is_some()),
                    paused: work.paused,
                });
            }
        }
        rows
    }

    pub fn seats(&self) -> Vec<Seat> {
        let seat = |(owner, session): (&Owner, &Session)| Seat {
            owner: owner.clone(),
            zone: session.zone.clone(),
            has: session.has.len(),
            leaving: session.leaving,
            left: (session.until - self.now).max(0.0),
            rests: self.known.get(&owner.instance).map_or(0.0, |known| (known.rests - self.now).max(0.0)),
        };
        self.sessions.iter().map(seat).collect()
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        let mut out = Outcome::default();
        if entry.at.is_finite() {
            self.now = self.now.max(entry.at);
        }
        let versions = self.versions;
        let mut heard = BTreeMap::new();
        // Lines first: what had not run out when they were read need not run out now. A leader that stood still reads what
        // waited before it moves time.
        if let Command::Say(lines) = &entry.command {
            for said in lines {
                match self.hear(said, &mut out) {
                    Ok(true) => drop(heard.insert(said.owner.clone(), said.knows)),
                    Ok(false) => {}
                    Err(refused) => out.told.push(Told {
                        owner: said.owner.clone(),
                        serial: said.serial,
                        refused: Some(refused),
                        ..Told::default()
                    }),
                }
            }
        }
        self.run_out(&mut out);
        match &entry.command {
            Command::Time => {
                // Whoever was kept off for a while may have a vacant part now.
                let vacant = |work: &Work| !work.paused && work.open().any(|part| part.grant.is_none());
                self.dirty |= self.works.values().any(vacant);
                self.stalls(&mut out);
                self.level(&mut out);
            }
            Command::Declare { rules, duties } => out.fault = self.declare(rules, duties, &mut out).err(),
            Command::Say(_) => {}
            Command::Pause { duty, paused } => out.fault = self.pause(duty, *paused, &mut out).err(),
            Command::Move { duty, to } => out.fault = self.send(duty, to, &mut out).err(),
        }
        if self.dirty {
            self.give(&mut out);
        }
        // Whoever spoke is answered, whoever's grants changed is told: after everything, so that the news is whole.
        for (owner, session) in &self.sessions {
            let asked = heard.contains_key(owner);
            let changed = session.version > versions;
            if asked || changed {
                let known = heard.get(owner) == Some(&session.version);
                let list = (changed || !known).then(|| self.list(session));
                out.told.push(Told {
                    owner: owner.clone(),
                    serial: session.serial,
                    term: session.term,
                    version: session.version,
                    grants: list,
                    refused: None,
                });
            }
        }
        out
    }

    fn list(&self, session: &Session) -> Vec<Granted> {
        let grant = |duty: &Duty| {
            let grant = self.grant(duty)?;
            Some(Granted { duty: duty.clone(), epoch: grant.epoch, back: grant.back.is_some() })
        };
        session.has.iter().filter_map(grant).collect()
    }

    /// How long after a line was heard its owner may still count on it, with all that clocks may differ.
    fn span(&self) -> f64 {
        self.rules.term * (1.0 + self.rules.drift)
    }

    fn touch(&mut self, owner: &Owner) {
        self.versions += 1;
        if let Some(session) = self.sessions.get_mut(owner) {
            session.version = self.versions;
        }
    }

    /// Ends what has run out: sessions with all their grants, and grants that were taken back.
    fn run_out(&mut self, out: &mut Outcome) {
        let now = self.now;
        let over = |session: &Session| session.until <= now;
        let ended: Vec<Owner> =
            self.sessions.iter().filter(|(_, s)| over(s)).map(|(owner, _)| owner.clone()).collect();
        // Where most run out at once it is the keepers that were not to be heard: nobody's coming and going.
        let theirs = 2 * ended.len() > self.sessions.len();
        for owner in ended {
            let Some(session) = self.sessions.remove(&owner) else { continue };
            for duty in &session.has {
                self.end(duty, Cause::Expired, out);
            }
            (self.stirred, self.dirty) = (now, true);
            let rules = &self.rules;
            let known = self.known.get_mut(&owner.instance).filter(|_| !session.leaving);
            if let Some(known) = known {
                known.silent = Some(now);
                if theirs {
                    continue;
                }
                known.lost.push_back(now);
                while known.lost.front().is_some_and(|at| now - at > rules.flap_span)
                    || known.lost.len() > rules.flaps
                {
                    known.lost.pop_front();
                }
                if known.lost.len() >= rules.flaps {
                    known.rests = now + rules.flap_rest;
                }
            }
        }
        let until = |duty: &Duty| self.grant(duty)?.back;
        let late = |duty: &&Duty| until(duty).is_none_or(|until| until <= now);
        let ended: Vec<Duty> = self.backs.iter().filter(late).cloned().collect();
        for duty in ended {
            self.end(&duty, Cause::NotHandedOver, out);
        }
        self.prune();
        // Names that nobody used for long enough to matter to any rule.
        let keep = self.rules.flap_span.max(self.rules.flap_rest).max(600.0);
        let live: BTreeSet<&str> = self.sessions.keys().map(|owner| owner.instance.as_str()).collect();
        self.known.retain(|name, known| now - known.heard <= keep || live.contains(name.as_str()));
    }

    /// Ends a grant: the part is vacant.
    fn end(&mut self, duty: &Duty, cause: Cause, out: &mut Outcome) {
        self.backs.remove(duty);
        let Some(grant) = self.part_mut(duty).and_then(|part| part.grant.take()) else { return };
        self.dirty = true;
        if let Some(session) = self.sessions.get_mut(&grant.owner) {
            session.has.remove(duty);
        }
        self.touch(&grant.owner);
        let Grant { owner, epoch, .. } = grant;
        out.changes.push(Change { at: self.now, duty: duty.clone(), owner, epoch, what: What::Ended, cause });
    }

    /// Takes a grant back: free when handed over, or when the session in force now would have run out.
    fn take_back(&mut self, duty: &Duty, until: f64, cause: Cause, out: &mut Outcome) {
        let grant = self.part_mut(duty).and_then(|part| part.grant.as_mut());
        let Some(grant) = grant.filter(|grant| grant.back.is_none()) else { return };
        grant.back = Some(until);
        let (owner, epoch) = (grant.owner.clone(), grant.epoch);
        self.backs.insert(duty.clone());
        self.touch(&owner);
        out.changes.push(Change {
            at: self.now,
            duty: duty.clone(),
            owner,
            epoch,
            what: What::TakenBack,
            cause,
        });
    }

    /// Takes a line in; whether it is news. What is older than what was heard is passed over.
    fn hear(&mut self, said: &Said, out: &mut Outcome) -> Result<bool, Refused> {
        let names = [&said.owner.instance, &said.zone].into_iter().chain(&said.wants);
        if said.owner.instance.is_empty()
            || names.into_iter().any(|name| name.len() > NAME)
            || said.wants.len() > NAMES
        {
            return Err(Refused::Unfit);
        }
        let name = &said.owner.instance;
        if !self.known.contains_key(name) && self.known.len() >= INSTANCES {
            return Err(Refused::Full);
        }
        let now = self.now;
        let known = self.known.entry(name.clone()).or_default();
        if said.owner.incarnation < known.incarnation {
            return Err(Refused::Superseded);
        }
        known.incarnation = said.owner.incarnation;
        known.heard = now;
        let until = now + self.span();
        let before = match self.sessions.get_mut(&said.owner) {
            Some(session) if said.serial <= session.serial => return Ok(false),
            Some(session) => {
                let before = session.until;
                if session.wants != said.wants || session.leaving != said.leaving {
                    self.dirty = true;
                }
                (session.serial, session.term, session.until) = (said.serial, self.rules.term, until);
                (session.wants, session.leaving) = (said.wants.clone(), said.leaving || session.leaving);
                before
            }
            None => {
                let lives = self.sessions.keys().filter(|owner| owner.instance == *name).count();
                if lives >= LIVES {
                    return Err(Refused::Full);
                }
                self.versions += 1;
                let session = Session {
                    zone: said.zone.clone(),
                    serial: said.serial,
                    term: self.rules.term,
                    until,
                    wants: said.wants.clone(),
                    leaving: said.leaving,
                    version: self.versions,
                    has: BTreeSet::new(),
                };
                self.sessions.insert(said.owner.clone(), session);
                (self.stirred, self.dirty) = (now, true);
                now
            }
        };
        for (duty, epoch) in &said.given {
            if self.owner(duty).is_some_and(|(owner, of)| *owner == said.owner && of == *epoch) {
                self.end(duty, Cause::HandedOver, out);
            }
        }
        for mark in &said.marks {
            let Some(grant) = self.part_mut(&mark.duty).and_then(|part| part.grant.as_mut()) else {
                continue;
            };
            if grant.owner != said.owner || grant.epoch != mark.epoch {
                continue;
            }
            let moved = mark.done > grant.done;
            grant.done = grant.done.max(mark.done);
            grant.still = match grant.still {
                _ if !mark.work => None,
                Some(since) if !moved => Some(since),
                _ => Some(now),
            };
        }
        let session = &self.sessions[&said.owner];
        // A drain takes all of it back; what it no longer wants as well. What it may believe in ends with the session as it
        // was before this line, since the answer to this line tells it.
        let wants = |duty: &Duty| !session.leaving && session.wants.contains(&duty.name);
        let back: Vec<Duty> = session.has.iter().filter(|duty| !wants(duty)).cloned().collect();
        for duty in back {
            self.take_back(&duty, before, Cause::Draining, out);
        }
        Ok(true)
    }

    /// Grey failure: an owner that is heard, has work and gets nothing done loses the part, for a while.
    fn stalls(&mut self, out: &mut Outcome) {
        let (now, stall) = (self.now, self.rules.stall);
        let stalled = |grant: &Grant| grant.back.is_none() && grant.still.is_some_and(|at| now - at > stall);
        let mut found = Vec::new();
        for (name, work) in &mut self.works {
            for (at, part) in work.parts.iter_mut().enumerate() {
                part.barred.retain(|(_, until)| *until > now);
                let Some(grant) = part.grant.as_ref().filter(|grant| stalled(grant)) else { continue };
                part.barred.truncate(BARRED - 1);
                part.barred.push((grant.owner.instance.clone(), now + self.rules.barred));
                found.push(Duty::new(name, at as u32));
            }
        }
        for duty in found {
            self.take_back_now(&duty, Cause::Stalled, out);
        }
    }

    /// Whether so many fell silent of late that it is rather the keepers who can't hear.
    fn panics(&self) -> bool {
        let lost = |known: &&Known| known.silent.is_some_and(|at| self.now - at < self.rules.panic);
        let live: BTreeSet<&str> = self.sessions.keys().map(|owner| owner.instance.as_str()).collect();
        let silent = self.known.iter().filter(|(name, _)| !live.contains(name.as_str()));
        silent.map(|(_, known)| known).filter(lost).count() > live.len()
    }

    /// Those who may have parts of a duty, with what they have. An instance counts once, in its latest incarnation.
    fn candidates(&self, name: &str) -> Vec<Candidate> {
        let fit = |owner: &Owner, session: &Session| {
            let known = self.known.get(&owner.instance);
            !session.leaving
                && session.wants.contains(name)
                && known.is_some_and(|k| k.incarnation == owner.incarnation && k.rests <= self.now)
        };
        let candidate = |(owner, session): (&Owner, &Session)| Candidate {
            instance: owner.instance.clone(),
            zone: session.zone.clone(),
            has: session.has.iter().filter(|duty| duty.name == name).count(),
            has_all: session.has.len(),
        };
        self.sessions.iter().filter(|(owner, session)| fit(owner, session)).map(candidate).collect()
    }

    /// Gives what is vacant.
    fn give(&mut self, out: &mut Outcome) {
        if self.panics() {
            // Looked at again with the next entry: the rule ends with its span, whatever happens.
            return;
        }
        self.dirty = false;
        let names: Vec<String> = self.works.keys().cloned().collect();
        for name in names {
            let mut candidates = self.candidates(&name);
            let work = &self.works[&name];
            if work.paused || candidates.is_empty() {
                continue;
            }
            let open = work.open().zip(0..).filter(|(part, _)| part.grant.is_none());
            let vacant: Vec<u32> = open.map(|(_, at)| at).collect();
            if vacant.is_empty() {
                continue;
            }
            let now = self.now;
            let barred = |part: u32, who: &str| work.parts[part as usize].bars(who, now);
            // What has a next owner goes there, whatever the loads: they were weighed when it was named.
            let mut given: Vec<(u32, String)> = Vec::new();
            let mut rest = Vec::new();
            for part in vacant {
                let next = work.parts[part as usize].next.as_deref();
                match candidates.iter_mut().find(|c| Some(c.instance.as_str()) == next) {
                    Some(candidate) if !barred(part, &candidate.instance) => {
                        (candidate.has, candidate.has_all) = (candidate.has + 1, candidate.has_all + 1);
                        given.push((part, candidate.instance.clone()));
                    }
                    _ => rest.push(part),
                }
            }
            let zone = work.declared.zone.as_deref();
            let all = work.declared.parts as usize;
            let chosen = assign::give(&name, zone, &rest, all, &mut candidates, barred);
            given.extend(chosen.into_iter().map(|(part, who)| (part, who.to_string())));
            for (part, instance) in given {
                let incarnation = self.known[&instance].incarnation;
                let (owner, duty) = (Owner { instance, incarnation }, Duty::new(&name, part));
                self.last_epoch += 1;
                let epoch = self.last_epoch;
                let grant =
                    Grant { owner: owner.clone(), epoch, since: now, done: 0, still: None, back: None };
                let place =
                    &mut self.works.get_mut(&name).expect("a duty just looked at").parts[part as usize];
                (place.grant, place.next) = (Some(grant), None);
                if let Some(session) = self.sessions.get_mut(&owner) {
                    session.has.insert(duty.clone());
                }
                self.touch(&owner);
                let (what, cause) = (What::Given, Cause::Vacant);
                out.changes.push(Change { at: now, duty, owner, epoch, what, cause });
            }
        }
    }

    /// Moves parts to those who have too few, a few at a time and only in calm.
    fn level(&mut self, out: &mut Outcome) {
        let seen = self.even > self.stirred && self.now - self.even < EVEN;
        if seen || self.now - self.stirred < self.rules.calm || self.panics() {
            return;
        }
        let mut moved = false;
        let mut room = self.rules.moves.saturating_sub(self.backs.len());
        let names: Vec<String> = self.works.keys().cloned().collect();
        for name in names {
            let mut candidates = self.candidates(&name);
            let work = &self.works[&name];
            if room == 0 || work.paused || work.declared.parts < 2 || candidates.len() < 2 {
                continue;
            }
            let mut held = BTreeMap::new();
            for (at, part) in work.parts.iter().enumerate() {
                if let Some(grant) = part.grant.as_ref().filter(|grant| grant.back.is_none()) {
                    held.insert(at as u32, grant.owner.instance.clone());
                }
            }
            // Parts on their way already count where they go.
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            let comes = work.open().filter_map(|part| part.next.as_deref());
            for who in held.values().map(String::as_str).chain(comes) {
                *counts.entry(who).or_default() += 1;
            }
            for candidate in &mut candidates {
                candidate.has = counts.get(candidate.instance.as_str()).copied().unwrap_or(0);
            }
            let now = self.now;
            let barred = |part: u32, who: &str| work.parts[part as usize].bars(who, now);
            let moves = assign::level(&name, &held, work.declared.parts as usize, &candidates, room, barred);
            room -= moves.len();
            moved |= !moves.is_empty();
            for (part, _, to) in moves {
                let duty = Duty::new(&name, part);
                self.works.get_mut(&name).expect("a duty just looked at").parts[part as usize].next =
                    Some(to);
                self.take_back_now(&duty, Cause::Levelled, out);
            }
        }
        if !moved && self.backs.is_empty() {
            self.even = self.now;
        }
    }

    /// Takes a grant back at the keepers' own wish: its owner may count on its session as it stands.
    fn take_back_now(&mut self, duty: &Duty, cause: Cause, out: &mut Outcome) {
        let owner = self.owner(duty).map(|(owner, _)| owner.clone());
        let until = owner.and_then(|owner| self.sessions.get(&owner)).map_or(self.now, |s| s.until);
        self.take_back(duty, until, cause, out);
    }

    fn declare(&mut self, rules: &Rules, duties: &[Declared], out: &mut Outcome) -> Result<(), String> {
        rules.check()?;
        let parts: usize = duties.iter().map(|duty| duty.parts as usize).sum();
        if parts > PARTS || duties.len() > NAMES {
            return Err(format!("{} duties with {parts} parts are too many", duties.len()));
        }
        if let Some(duty) = duties.iter().find(|d| d.name.is_empty() || d.name.len() > NAME || d.parts == 0) {
            return Err(format!("duty {:?}: its name or its parts can't be", duty.name));
        }
        // A shorter term must not make sessions run out that their owners still count on: those in force keep their end.
        self.rules = rules.clone();
        let kept: BTreeMap<&str, &Declared> = duties.iter().map(|duty| (duty.name.as_str(), duty)).collect();
        let mut dropped = Vec::new();
        for (name, work) in &self.works {
            let keep = kept.get(name.as_str()).map_or(0, |duty| duty.parts);
            dropped.extend((keep..work.parts.len() as u32).map(|part| Duty::new(name, part)));
        }
        for (name, work) in &mut self.works {
            work.declared.parts = kept.get(name.as_str()).map_or(0, |duty| duty.parts);
        }
        for duty in &dropped {
            self.take_back_now(duty, Cause::Dropped, out);
        }
        for duty in duties {
            let work = self.works.entry(duty.name.clone()).or_insert_with(|| Work {
                declared: duty.clone(),
                paused: false,
                parts: Vec::new(),
            });
            work.declared = duty.clone();
            let parts = work.parts.len().max(duty.parts as usize);
            work.parts.resize(parts, Part::default());
        }
        self.dirty = true;
        self.prune();
        Ok(())
    }

    /// Parts that are no longer declared go once nobody owns them.
    fn prune(&mut self) {
        // (Their numbers end the list, so that the rest keeps its places.)
        for work in self.works.values_mut() {
            while work.parts.len() > work.declared.parts as usize
                && work.parts.last().is_some_and(|part| part.grant.is_none())
            {
                work.parts.pop();
            }
        }
        self.works.retain(|_, work| !work.parts.is_empty());
    }

    fn pause(&mut self, name: &str, paused: bool, out: &mut Outcome) -> Result<(), String> {
        let work = self.works.get_mut(name).ok_or_else(|| format!("no duty {name:?} is declared"))?;
        work.paused = paused;
        let parts = work.parts.len() as u32;
        self.dirty = true;
        for part in (0..parts).filter(|_| paused) {
            self.take_back_now(&Duty::new(name, part), Cause::Paused, out);
        }
        Ok(())
    }

    fn send(&mut self, duty: &Duty, to: &str, out: &mut Outcome) -> Result<(), String> {
        if !self.candidates(&duty.name).iter().any(|candidate| candidate.instance == to) {
            return Err(format!("{to:?} is no instance that may have {duty}"));
        }
        let part = self.part_mut(duty).ok_or_else(|| format!("no duty {duty} is declared"))?;
        if part.grant.as_ref().is_some_and(|grant| grant.owner.instance == to && grant.back.is_none()) {
            return Ok(());
        }
        part.next = Some(to.to_string());
        part.barred.retain(|(name, _)| name != to);
        self.dirty = true;
        self.take_back_now(duty, Cause::Moved, out);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Keepers {
        table: Table,
        serials: BTreeMap<Owner, u64>,
    }

    fn keepers(parts: u32, rules: Rules) -> Keepers {
        let mut keepers = Keepers { table: Table::default(), serials: BTreeMap::new() };
        let duties = vec![Declared { name: "gather".into(), parts, zone: None }];
        let out = keepers.at(0.0, Command::Declare { rules, duties });
        assert_eq!(out.fault, None);
        keepers
    }

    fn duty(part: u32) -> Duty {
        Duty::new("gather", part)
    }

    impl Keepers {
        fn at(&mut self, at: f64, command: Command) -> Outcome {
            self.table.apply(&Entry { at, command })
        }
        fn time(&mut self, at: f64) -> Outcome {
            self.at(at, Command::Time)
        }
        fn line(&mut self, owner: &Owner) -> Said {
            let serial = self.serials.entry(owner.clone()).or_default();
            *serial += 1;
            let wants = ["gather".to_string()].into();
            Said { owner: owner.clone(), serial: *serial, wants, ..Said::default() }
        }
        fn say(&mut self, at: f64, owner: &Owner, change: impl FnOnce(&mut Said)) -> Outcome {
            let mut said = self.line(owner);
            change(&mut said);
            self.at(at, Command::Say(vec![said]))
        }
        fn hear(&mut self, at: f64, owner: &Owner) -> Outcome {
            self.say(at, owner, |_| {})
        }
        fn owner(&self, part: u32) -> Option<(String, Epoch)> {
            self.table.owner(&duty(part)).map(|(owner, epoch)| (owner.to_string(), epoch))
        }
    }

    fn named(name: &str) -> Owner {
        Owner::new(name, 1)
    }

    #[test]
    fn a_silent_owner_keeps_its_duty_for_the_term_and_the_drift_then_another_has_it_under_a_higher_epoch() {
        let mut keepers = keepers(1, Rules::default());
        let out = keepers.hear(1.0, &named("a"));
        assert_eq!(keepers.owner(0), Some(("a#1".into(), 1)));
        assert_eq!((out.told[0].serial, out.told[0].grants.as_ref().unwrap()[0].epoch), (1, 1));
        keepers.hear(2.0, &named("b"));
        keepers.time(3.03);
        assert_eq!(keepers.owner(0).unwrap().1, 1);
        keepers.hear(3.035, &named("b"));
        let out = keepers.time(3.05);
        assert_eq!(keepers.owner(0), Some(("b#1".into(), 2)));
        let causes: Vec<(What, Cause)> =
            out.changes.iter().map(|change| (change.what, change.cause)).collect();
        assert_eq!(causes, [(What::Ended, Cause::Expired), (What::Given, Cause::Vacant)]);
    }

    #[test]
    fn a_line_that_comes_late_or_twice_renews_nothing() {
        let mut keepers = keepers(1, Rules::default());
        let first = keepers.line(&named("a"));
        keepers.hear(1.0, &named("a"));
        assert!(keepers.at(2.9, Command::Say(vec![first.clone(), first])).told.is_empty());
        keepers.time(3.1);
        assert_eq!(keepers.owner(0), None);
    }

    #[test]
    fn a_restart_inherits_nothing_and_the_former_life_is_told_so() {
        let mut keepers = keepers(1, Rules::default());
        keepers.hear(1.0, &named("a"));
        let out = keepers.hear(1.5, &Owner::new("a", 2));
        assert_eq!(out.told[0].grants, Some(vec![]));
        let out = keepers.hear(1.6, &named("a"));
        assert_eq!(out.told[0].refused, Some(Refused::Superseded));
        keepers.hear(3.0, &Owner::new("a", 2));
        assert_eq!(keepers.owner(0), Some(("a#1".into(), 1)), "it may still believe");
        keepers.time(3.1);
        assert_eq!(keepers.owner(0), Some(("a#2".into(), 2)));
    }

    #[test]
    fn a_drain_hands_over_in_two_lines_and_in_no_more_than_the_term() {
        for hands_over in [true, false] {
            let mut keepers = keepers(2, Rules::default());
            keepers.hear(1.0, &named("a"));
            keepers.hear(1.0, &named("b"));
            let out = keepers.say(1.5, &named("a"), |said| said.leaving = true);
            let grants =
                out.told.iter().find(|told| told.owner == named("a")).unwrap().grants.clone().unwrap();
            assert!(grants.len() == 2 && grants.iter().all(|grant| grant.back), "{grants:?}");
            assert_eq!(keepers.owner(0).unwrap().0, "a#1", "it may be in the middle of a step");
            if hands_over {
                let given = vec![(duty(0), 1), (duty(1), 2)];
                let out = keepers.say(1.55, &named("a"), |said| (said.leaving, said.given) = (true, given));
                assert!(out.told.iter().any(|told| told.owner == named("b") && told.grants.is_some()));
            } else {
                // Lines go on, but what was taken back is not renewed by them.
                keepers.say(2.5, &named("a"), |said| said.leaving = true);
                keepers.hear(2.5, &named("b"));
                keepers.time(3.03);
                assert_eq!(keepers.owner(0).unwrap().0, "a#1");
                keepers.time(3.05);
            }
            assert_eq!(
                (keepers.owner(0).unwrap().0, keepers.owner(1).unwrap().0),
                ("b#1".into(), "b#1".into())
            );
        }
    }

    #[test]
    fn an_owner_that_is_heard_and_gets_nothing_done_loses_the_duty_for_a_while() {
        let mut keepers = keepers(1, Rules { stall: 4.0, barred: 10.0, ..Rules::default() });
        let busy = |done| {
            move |said: &mut Said| {
                said.marks = vec![Mark { duty: duty(0), epoch: 1, done, work: true }];
            }
        };
        for at in 1..=9 {
            keepers.say(f64::from(at), &named("a"), busy(u64::from(at.min(5) as u32)));
            keepers.hear(f64::from(at), &named("b"));
            keepers.time(f64::from(at) + 0.1);
        }
        assert_eq!(keepers.owner(0).unwrap().0, "a#1");
        keepers.say(9.2, &named("a"), busy(5));
        keepers.time(9.3);
        keepers.say(10.0, &named("a"), |said| said.given = vec![(duty(0), 1)]);
        assert_eq!(keepers.owner(0).unwrap().0, "b#1", "a is barred");
        for at in 10..19 {
            keepers.hear(f64::from(at) + 0.5, &named("a"));
        }
        assert_eq!(keepers.owner(0), None, "b is gone and a is barred still");
        keepers.hear(19.5, &named("a"));
        keepers.time(19.6);
        assert_eq!(keepers.owner(0).unwrap().0, "a#1");
    }

    #[test]
    fn an_owner_without_work_is_not_stalled() {
        let mut keepers = keepers(1, Rules { stall: 4.0, ..Rules::default() });
        for at in 1..30 {
            let mark = Mark { duty: duty(0), epoch: 1, done: 3, work: false };
            keepers.say(f64::from(at), &named("a"), |said| said.marks = vec![mark]);
            keepers.time(f64::from(at) + 0.1);
        }
        assert_eq!(keepers.owner(0), Some(("a#1".into(), 1)));
    }

    #[test]
    fn an_instance_that_comes_and_goes_rests() {
        let mut keepers = keepers(1, Rules { panic: 0.0, ..Rules::default() });
        // Two others are there all the while, though they want no duty.
        let pass = |keepers: &mut Keepers, from: f64, to: f64, with: bool| {
            for at in 0..((to - from) * 2.0) as u32 {
                let at = from + f64::from(at) / 2.0;
                for name in ["b", "c"] {
                    keepers.say(at, &named(name), |said| said.wants.clear());
                }
                if with {
                    keepers.hear(at, &named("a"));
                }
                keepers.time(at + 0.1);
            }
        };
        for at in [1.0, 4.0, 7.0] {
            pass(&mut keepers, at, at + 0.5, true);
            assert!(keepers.owner(0).is_some());
            pass(&mut keepers, at + 0.5, at + 3.0, false);
            assert!(keepers.owner(0).is_none());
        }
        pass(&mut keepers, 10.0, 39.0, true);
        assert_eq!(keepers.owner(0), None, "three times in a minute");
        pass(&mut keepers, 39.0, 41.0, true);
        assert_eq!(keepers.owner(0).unwrap().0, "a#1");
    }

    #[test]
    fn whoever_was_silent_since_the_keepers_were_does_not_rest() {
        let mut keepers = keepers(3, Rules { panic: 0.0, ..Rules::default() });
        for at in [1.0, 4.0, 7.0, 10.0] {
            let lines: Vec<Said> = ["a", "b", "c"].map(|name| keepers.line(&named(name))).into();
            keepers.at(at, Command::Say(lines));
            assert!(keepers.owner(0).is_some(), "{at}");
            keepers.time(at + 2.5);
        }
    }

    #[test]
    fn while_most_are_silent_nothing_is_given_though_not_for_ever() {
        let mut keepers = keepers(8, Rules::default());
        for at in [1.0, 1.1] {
            let lines: Vec<Said> = ["a", "b", "c", "d"].map(|name| keepers.line(&named(name))).into();
            keepers.at(at, Command::Say(lines));
        }
        let mut at = 2.0;
        while at < 4.0 {
            keepers.hear(at, &named("a"));
            at += 0.5;
        }
        let vacant = |keepers: &Keepers| (0..8).filter(|part| keepers.owner(*part).is_none()).count();
        assert_eq!(vacant(&keepers), 6, "three of four fell silent at once");
        while at < 8.6 {
            keepers.hear(at, &named("a"));
            at += 0.5;
        }
        assert_eq!(vacant(&keepers), 0);
    }

    #[test]
    fn who_comes_late_gets_its_share_from_the_fullest_by_hand_over() {
        let mut keepers = keepers(40, Rules::default());
        keepers.hear(1.0, &named("a"));
        keepers.hear(1.0, &named("b"));
        let mut at = 1.0;
        while at < 8.0 {
            at += 0.5;
            for name in ["a", "b", "c"] {
                let back: Vec<(Duty, Epoch)> = keepers
                    .table
                    .rows()
                    .into_iter()
                    .filter(|row| row.back && row.owner == Some(named(name)))
                    .map(|row| (row.duty, row.epoch))
                    .collect();
                keepers.say(at, &named(name), |said| said.given = back);
            }
            keepers.time(at + 0.1);
        }
        let has =
            |name: &str| keepers.table.rows().iter().filter(|row| row.owner == Some(named(name))).count();
        let loads = ["a", "b", "c"].map(has);
        assert!(loads.iter().sum::<usize>() == 40 && loads.iter().all(|n| (9..=16).contains(n)), "{loads:?}");
        assert!(keepers.table.last_epoch() <= 40 + 30, "few moves: {}", keepers.table.last_epoch());
    }

    #[test]
    fn operators_pause_and_move_and_what_is_no_longer_declared_ends() {
        let mut keepers = keepers(2, Rules::default());
        keepers.hear(1.0, &named("a"));
        keepers.hear(1.0, &named("b"));
        let to = Command::Move { duty: duty(0), to: "b".into() };
        assert_eq!(keepers.at(1.1, to.clone()).fault, None);
        keepers.say(1.2, &named("a"), |said| said.given = vec![(duty(0), 1)]);
        assert_eq!(keepers.owner(0).unwrap().0, "b#1");
        let fault = keepers.at(1.3, Command::Move { duty: duty(0), to: "x".into() }).fault.unwrap();
        assert!(fault.contains("\"x\" is no instance"), "{fault}");
        keepers.at(1.4, Command::Pause { duty: "gather".into(), paused: true });
        keepers.time(9.0);
        keepers.hear(9.1, &named("a"));
        assert_eq!(keepers.owner(0), None);
        keepers.at(9.2, Command::Pause { duty: "gather".into(), paused: false });
        assert!(keepers.owner(0).is_some());
        let declare = Command::Declare { rules: Rules::default(), duties: vec![] };
        keepers.at(9.3, declare);
        keepers.time(20.0);
        assert!(keepers.table.rows().is_empty());
        let never = Command::Pause { duty: "gather".into(), paused: true };
        assert!(keepers.at(20.1, never).fault.is_some());
    }

    #[test]
    fn a_table_written_down_and_read_back_goes_on_alike() {
        let mut first = keepers(5, Rules::default());
        first.hear(1.25, &named("a"));
        first.hear(1.5, &named("b"));
        let bytes = postcard::to_allocvec(&first.table).unwrap();
        let mut second =
            Keepers { table: postcard::from_bytes(&bytes).unwrap(), serials: first.serials.clone() };
        for keepers in [&mut first, &mut second] {
            keepers.hear(2.0, &named("b"));
            keepers.time(4.0);
        }
        assert_eq!(first.table, second.table);
        assert!(first.table.last_epoch() > 5);
        // A file that was cut off or changed is an error, not a panic.
        for cut in 0..bytes.len() {
            let _ = postcard::from_bytes::<Table>(&bytes[..cut]);
        }
    }

    #[test]
    fn what_is_too_long_too_many_or_out_of_range_is_refused() {
        let mut keepers = keepers(1, Rules::default());
        let long = named(&"x".repeat(NAME + 1));
        assert_eq!(keepers.hear(1.0, &long).told[0].refused, Some(Refused::Unfit));
        for life in 1..=LIVES as u64 {
            keepers.hear(1.0, &Owner::new("a", life));
        }
        assert_eq!(keepers.hear(1.0, &Owner::new("a", 99)).told[0].refused, Some(Refused::Full));
        let duties = vec![Declared { name: "huge".into(), parts: u32::MAX, zone: None }];
        let declare = Command::Declare { rules: Rules::default(), duties };
        assert!(keepers.at(1.1, declare).fault.unwrap().contains("too many"));
        for rules in [
            Rules { term: f64::NAN, ..Rules::default() },
            Rules { term: 0.0, ..Rules::default() },
            Rules { stall: 1.0, ..Rules::default() },
            Rules { moves: 0, ..Rules::default() },
        ] {
            assert!(rules.check().is_err(), "{rules:?}");
        }
        keepers.time(f64::NAN);
        keepers.time(f64::INFINITY);
        assert_eq!(keepers.table.now(), 1.1);
    }
}
