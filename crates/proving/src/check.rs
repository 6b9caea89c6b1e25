//! What has to hold of every history. A checker reads what processes told, and nothing of how they came to it.

use crate::history::History;
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::{Change, ChangeKind};
use puffinladder_leases::{Epoch, HolderId, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is wrong in a history.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// An epoch was given to two, or a duty's epochs did not rise.
    EpochTwice {
        epoch: Epoch,
        first: String,
        then: String,
    },
    EpochFell {
        duty: Task,
        from: Epoch,
        to: Epoch,
    },
    /// Keepers saw different things under one epoch.
    KeepersDiffer {
        keeper: String,
        epoch: Epoch,
    },
    /// Two keepers led in one term.
    TwoLead {
        term: u64,
        one: String,
        other: String,
    },
    /// An effect stood though its fence had seen a later epoch.
    LateLanded {
        duty: Task,
        epoch: Epoch,
        seen: Epoch,
        piece: String,
    },
    /// An effect stood under an epoch that nobody was given, or that another part was.
    NobodysEpoch {
        duty: Task,
        epoch: Epoch,
    },
    /// Effects of one epoch did not stand in their order.
    OutOfOrder {
        duty: Task,
        epoch: Epoch,
        number: u64,
    },
    PieceTwice {
        piece: String,
    },
    /// What servers went by summed to more than the quota.
    OverQuota {
        at: f64,
        sum: f64,
        quota: f64,
    },
    /// More servers were away by a turn than may.
    TooManyAway {
        at: f64,
        zone: Option<String>,
        away: usize,
        most: usize,
    },
    /// An instance said that it began with a grant that another was given.
    NotGiven {
        owner: HolderId,
        duty: Task,
        epoch: Epoch,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::EpochTwice { epoch, first, then } => {
                write!(out, "epoch {epoch} was given twice: {first}, then {then}")
            }
            Violation::EpochFell { duty, from, to } => write!(out, "{duty}: epochs fell from {from} to {to}"),
            Violation::KeepersDiffer { keeper, epoch } => {
                write!(out, "{keeper} saw something else under epoch {epoch} than another keeper")
            }
            Violation::TwoLead { term, one, other } => write!(out, "{one} and {other} led in term {term}"),
            Violation::LateLanded { duty, epoch, seen, piece } => {
                write!(out, "{duty}: {piece} landed under epoch {epoch} though {seen} had been seen")
            }
            Violation::NobodysEpoch { duty, epoch } => {
                write!(out, "{duty}: an effect landed under epoch {epoch}, which nobody was given for it")
            }
            Violation::OutOfOrder { duty, epoch, number } => {
                write!(out, "{duty}: effect {number} of epoch {epoch} landed out of its order")
            }
            Violation::PieceTwice { piece } => write!(out, "{piece} was taken twice"),
            Violation::OverQuota { at, sum, quota } => {
                write!(out, "at {at:.3} s servers went by {sum:.3} of a quota of {quota}")
            }
            Violation::TooManyAway { at, zone, away, most } => {
                let zone = zone.as_deref().unwrap_or("the fleet");
                write!(out, "at {at:.3} s {away} servers of {zone} were away by a turn, {most} may be")
            }
            Violation::NotGiven { owner, duty, epoch } => {
                write!(out, "{owner} began with {duty} under epoch {epoch}, which it was not given")
            }
        }
    }
}

/// Effects of one owner that a fence may have written and not told when it was killed: an owner brings one after the other.
const UNTOLD: u64 = 1;

/// What a history held, so that a run in which nothing was tried is told from one in which nothing went wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub grants: u64,
    pub effects: u64,
    /// Effects that came late and were refused.
    pub stale_effects: u64,
    pub duplicate_effects: u64,
    pub leaders: u64,
    /// Parts of quotas that servers went by, and turns by which they left.
    pub quota_parts: u64,
    pub drain_slots: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.grants += other.grants;
        self.effects += other.effects;
        self.stale_effects += other.stale_effects;
        self.duplicate_effects += other.duplicate_effects;
        self.leaders += other.leaders;
        self.quota_parts += other.quota_parts;
        self.drain_slots += other.drain_slots;
    }
}

/// Reads a whole history.
pub fn check(history: &History) -> (Counts, Vec<Violation>) {
    let mut counts = Counts::default();
    let mut broken = Vec::new();
    let given = grants(history, &mut counts, &mut broken);
    leaders(history, &mut counts, &mut broken);
    fence(history, &given, &mut counts, &mut broken);
    for (_, event) in history.events() {
        if let Event::LeaseStarted { holder: owner, task: duty, epoch } = event {
            if given.get(epoch) != Some(&(duty.clone(), owner.clone())) {
                let (owner, duty, epoch) = (owner.clone(), duty.clone(), *epoch);
                broken.push(Violation::NotGiven { owner, duty, epoch });
            }
        }
    }
    (counts, broken)
}

/// What servers went by at each moment, by the machine's own clock: it never sums to more than the quota. A server that starts anew knows of no part and
/// begins with the equal share; it is granted that on top until its part before has run out and the owner has heard, `span` s.
pub fn check_quota(history: &History, quota: f64, span: f64, counts: &mut Counts) -> Option<Violation> {
    /// A server's rate from a moment on: until when, and what then.
    #[derive(Clone, Copy)]
    struct Goes {
        rate: f64,
        until: f64,
        then: f64,
        anew: f64,
    }
    /// One event: when, whose, in which life.
    struct Told<'a> {
        at: f64,
        who: &'a str,
        life: u32,
        rate: f64,
        equal: f64,
        until: Option<f64>,
    }
    let mut all: Vec<Told> = Vec::new();
    for (entry, event) in history.events() {
        if let Event::QuotaApplied { rate, equal_share: equal, at, valid_until: until, .. } = event {
            counts.quota_parts += u64::from(until.is_some());
            let (at, rate, equal, until) = (*at, *rate, *equal, *until);
            all.push(Told { at, who: &entry.process, life: entry.incarnation, rate, equal, until });
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    let begun = all.first().map_or(0.0, |first| first.at);
    let mut now: BTreeMap<&str, Goes> = BTreeMap::new();
    let mut lives: BTreeMap<&str, u32> = BTreeMap::new();
    for Told { at, who, life, rate, equal, until } in all {
        let restarted = lives.insert(who, life).is_some_and(|before| before < life);
        let until = until.unwrap_or(f64::MAX);
        let before = now.get(who).map_or(f64::MIN, |goes| goes.anew);
        let anew = if restarted { at + 3.0 * span } else { before };
        now.insert(who, Goes { rate, until, then: rate.min(equal), anew });
        let goes = |goes: &Goes| if at < goes.until { goes.rate } else { goes.then };
        let sum: f64 = now.values().map(goes).sum();
        let anew = now.values().filter(|goes| at < goes.anew).count() as f64;
        let bound = quota * 1.0001 + anew * equal;
        if sum > bound {
            return Some(Violation::OverQuota { at: at - begun, sum, quota });
        }
    }
    None
}

/// Servers away by a turn, from their leave to the next life's beginning, in all and by zone.
pub fn check_drain_slots(
    history: &History,
    most: usize,
    of_zone: &BTreeMap<String, usize>,
    counts: &mut Counts,
) -> Option<Violation> {
    let mut away: BTreeMap<&str, &str> = BTreeMap::new();
    for (entry, event) in history.events() {
        match event {
            Event::Ready { .. } => drop(away.remove(entry.process.as_str())),
            Event::ServerDraining { zone, slot_epoch: Some(_) } => {
                counts.drain_slots += 1;
                away.insert(&entry.process, zone);
                let here = away.values().filter(|of| **of == zone).count();
                let may = of_zone.get(zone).copied().unwrap_or(usize::MAX);
                if away.len() > most || here > may {
                    let (zone, away, most) =
                        if here > may { (Some(zone.clone()), here, may) } else { (None, away.len(), most) };
                    return Some(Violation::TooManyAway { at: entry.at, zone, away, most });
                }
            }
            _ => {}
        }
    }
    None
}

/// Every grant as some keeper saw it. A keeper that starts anew tells again what it reads off its disk: that must be the same.
fn grants(
    history: &History,
    counts: &mut Counts,
    broken: &mut Vec<Violation>,
) -> BTreeMap<Epoch, (Task, HolderId)> {
    let mut seen: BTreeMap<(Epoch, u8), &Change> = BTreeMap::new();
    let mut given = BTreeMap::new();
    let mut highest: BTreeMap<(&str, u32, &Task), Epoch> = BTreeMap::new();
    for (entry, event) in history.events() {
        let Event::Change(change) = event else { continue };
        match seen.get(&(change.epoch, change.kind as u8)) {
            None => drop(seen.insert((change.epoch, change.kind as u8), change)),
            Some(first) if *first == change => {}
            Some(first) if change.kind == ChangeKind::Granted => {
                let text = |change: &Change| format!("{} to {}", change.task, change.holder);
                let (first, then) = (text(first), text(change));
                broken.push(Violation::EpochTwice { epoch: change.epoch, first, then });
            }
            Some(_) => {
                let (keeper, epoch) = (entry.process.clone(), change.epoch);
                broken.push(Violation::KeepersDiffer { keeper, epoch });
            }
        }
        if change.kind == ChangeKind::Granted {
            if given.insert(change.epoch, (change.task.clone(), change.holder.clone())).is_none() {
                counts.grants += 1;
            }
            let last = highest.entry((&entry.process, entry.incarnation, &change.task)).or_default();
            if change.epoch <= *last {
                let (duty, from, to) = (change.task.clone(), *last, change.epoch);
                broken.push(Violation::EpochFell { duty, from, to });
            }
            *last = change.epoch;
        }
    }
    given
}

fn leaders(history: &History, counts: &mut Counts, broken: &mut Vec<Violation>) {
    let mut of: BTreeMap<u64, &str> = BTreeMap::new();
    for (entry, event) in history.events() {
        let Event::BecameLeader { term, .. } = event else { continue };
        match of.insert(*term, &entry.process) {
            Some(one) if one != entry.process => {
                let (one, other) = (one.to_string(), entry.process.clone());
                broken.push(Violation::TwoLead { term: *term, one, other });
            }
            Some(_) => {}
            None => counts.leaders += 1,
        }
    }
}

/// What the fence let stand, in the order in which it did.
fn fence(
    history: &History,
    given: &BTreeMap<Epoch, (Task, HolderId)>,
    counts: &mut Counts,
    broken: &mut Vec<Violation>,
) {
    let mut seen: BTreeMap<&Task, (Epoch, u64)> = BTreeMap::new();
    let mut lives: BTreeMap<&Task, u32> = BTreeMap::new();
    let mut pieces: BTreeSet<&str> = BTreeSet::new();
    for (entry, event) in history.events() {
        let Event::EffectChecked { task: duty, epoch, number, block: piece, verdict } = event else {
            continue;
        };
        match verdict {
            Verdict::Stale { .. } => counts.stale_effects += u64::from(piece.is_some()),
            Verdict::Duplicate if piece.is_some() => counts.duplicate_effects += 1,
            _ => {}
        }
        let last = seen.entry(duty).or_default();
        let life = lives.insert(duty, entry.incarnation).unwrap_or(entry.incarnation);
        if *verdict == Verdict::Duplicate && piece.is_none() && entry.incarnation > life {
            // Killed between disk and answer: what it wrote last it never told, and says now that it stands.
            let told = (*epoch, *number);
            if told >= *last && (epoch > &last.0 || number - last.1 <= UNTOLD) {
                *last = told;
            }
        }
        if *verdict != Verdict::New {
            continue;
        }
        if *epoch < last.0 {
            let piece = piece.clone().unwrap_or_else(|| "an announcement".into());
            broken.push(Violation::LateLanded { duty: duty.clone(), epoch: *epoch, seen: last.0, piece });
            continue;
        }
        if given.get(epoch).is_none_or(|(of, _)| of != duty) {
            broken.push(Violation::NobodysEpoch { duty: duty.clone(), epoch: *epoch });
        }
        let Some(piece) = piece else {
            *last = (*epoch, 0);
            continue;
        };
        counts.effects += 1;
        if (*epoch, *number) != (last.0, last.1 + 1) {
            broken.push(Violation::OutOfOrder { duty: duty.clone(), epoch: *epoch, number: *number });
        }
        *last = (*epoch, *number);
        if !pieces.insert(piece) {
            broken.push(Violation::PieceTwice { piece: piece.clone() });
        }
    }
}

#[cfg(test)]
mod tests;
