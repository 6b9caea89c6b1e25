//! Invariants of a history. The checkers use reported events only.

use crate::history::History;
use puffinladder_leases::fence::Verdict;
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::{Change, ChangeKind};
use puffinladder_leases::{Epoch, HolderId, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// An epoch was granted twice, or the epochs of a task did not increase.
    EpochReused {
        epoch: Epoch,
        first: String,
        second: String,
    },
    EpochDecreased {
        task: Task,
        from: Epoch,
        to: Epoch,
    },
    /// Replicas reported different changes for one epoch.
    ReplicasDisagree {
        replica: String,
        epoch: Epoch,
    },
    /// Two replicas were leaders in one term.
    TwoLeaders {
        term: u64,
        first: String,
        second: String,
    },
    /// An effect was accepted after the fence had seen a later epoch.
    StaleEffectAccepted {
        task: Task,
        epoch: Epoch,
        latest: Epoch,
        block: String,
    },
    /// An effect was accepted under an epoch that was not granted for its task.
    UngrantedEpoch {
        task: Task,
        epoch: Epoch,
    },
    /// Effects of one epoch were accepted out of order.
    EffectOutOfOrder {
        task: Task,
        epoch: Epoch,
        number: u64,
    },
    BlockAcceptedTwice {
        block: String,
    },
    /// Rates of the servers summed to more than the quota.
    QuotaExceeded {
        at: f64,
        sum: f64,
        quota: f64,
    },
    /// More servers drained at once than allowed, in the fleet or in a zone.
    TooManyDraining {
        at: f64,
        zone: Option<String>,
        draining: usize,
        limit: usize,
    },
    /// An instance started under a lease that was granted to another one.
    LeaseNotGranted {
        holder: HolderId,
        task: Task,
        epoch: Epoch,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::EpochReused { epoch, first, second } => {
                write!(out, "epoch {epoch} was granted twice: {first}, then {second}")
            }
            Violation::EpochDecreased { task, from, to } => {
                write!(out, "{task}: epoch decreased from {from} to {to}")
            }
            Violation::ReplicasDisagree { replica, epoch } => {
                write!(out, "{replica} reported another change for epoch {epoch} than another replica")
            }
            Violation::TwoLeaders { term, first, second } => {
                write!(out, "{first} and {second} were leaders in term {term}")
            }
            Violation::StaleEffectAccepted { task, epoch, latest, block } => {
                write!(
                    out,
                    "{task}: {block} was accepted under epoch {epoch} though epoch {latest} had been seen"
                )
            }
            Violation::UngrantedEpoch { task, epoch } => {
                write!(
                    out,
                    "{task}: an effect was accepted under epoch {epoch}, which was not granted for it"
                )
            }
            Violation::EffectOutOfOrder { task, epoch, number } => {
                write!(out, "{task}: effect {number} of epoch {epoch} was accepted out of order")
            }
            Violation::BlockAcceptedTwice { block } => write!(out, "{block} was accepted twice"),
            Violation::QuotaExceeded { at, sum, quota } => {
                write!(out, "at {at:.3} s rates of servers summed to {sum:.3}, above the quota of {quota}")
            }
            Violation::TooManyDraining { at, zone, draining, limit } => {
                let zone = zone.as_deref().unwrap_or("the fleet");
                write!(out, "at {at:.3} s {draining} servers of {zone} were draining, the limit is {limit}")
            }
            Violation::LeaseNotGranted { holder, task, epoch } => {
                write!(out, "{holder} started {task} under epoch {epoch}, which was not granted to it")
            }
        }
    }
}

/// Effects that a trace store may have written but not reported when it was killed; a holder sends them one at a time.
const MAX_UNREPORTED_EFFECTS: u64 = 1;

/// Number of observed events; shows that a run exercised what it checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub grants: u64,
    pub effects: u64,
    /// Effects refused because of a stale epoch.
    pub stale_effects: u64,
    pub duplicate_effects: u64,
    pub leaders: u64,
    /// Quota shares that servers applied, and drain slots that they used.
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

/// Checks a complete history.
pub fn check(history: &History) -> (Counts, Vec<Violation>) {
    let mut counts = Counts::default();
    let mut violations = Vec::new();
    let granted = collect_grants(history, &mut counts, &mut violations);
    check_leaders(history, &mut counts, &mut violations);
    check_effects(history, &granted, &mut counts, &mut violations);
    for (_, event) in history.events() {
        if let Event::LeaseStarted { holder, task, epoch } = event {
            if granted.get(epoch) != Some(&(task.clone(), holder.clone())) {
                let (holder, task, epoch) = (holder.clone(), task.clone(), *epoch);
                violations.push(Violation::LeaseNotGranted { holder, task, epoch });
            }
        }
    }
    (counts, violations)
}

/// Checks that the rates applied by the servers never sum to more than `quota`, requests/s, by the machine's clock. A restarted server begins with
/// the equal share; that is allowed on top until its former share has expired and the worker knows of the restart, 3 * `span` s.
pub fn check_quota(history: &History, quota: f64, span: f64, counts: &mut Counts) -> Option<Violation> {
    /// Rate of a server until a moment, and the rate after it.
    #[derive(Clone, Copy)]
    struct AppliedRate {
        rate: f64,
        until: f64,
        rate_after: f64,
        restart_until: f64,
    }
    struct QuotaEvent<'a> {
        at: f64,
        process: &'a str,
        incarnation: u32,
        rate: f64,
        equal_share: f64,
        until: Option<f64>,
    }
    let mut events: Vec<QuotaEvent> = Vec::new();
    for (entry, event) in history.events() {
        if let Event::QuotaApplied { rate, equal_share, at, valid_until: until, .. } = event {
            counts.quota_parts += u64::from(until.is_some());
            let (at, rate, equal_share, until) = (*at, *rate, *equal_share, *until);
            events.push(QuotaEvent {
                at,
                process: &entry.process,
                incarnation: entry.incarnation,
                rate,
                equal_share,
                until,
            });
        }
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    let first_at = events.first().map_or(0.0, |first| first.at);
    let mut applied_rates: BTreeMap<&str, AppliedRate> = BTreeMap::new();
    let mut incarnations: BTreeMap<&str, u32> = BTreeMap::new();
    for QuotaEvent { at, process, incarnation, rate, equal_share, until } in events {
        let restarted = incarnations.insert(process, incarnation).is_some_and(|before| before < incarnation);
        let until = until.unwrap_or(f64::MAX);
        let before = applied_rates.get(process).map_or(f64::MIN, |applied| applied.restart_until);
        let restart_until = if restarted { at + 3.0 * span } else { before };
        applied_rates
            .insert(process, AppliedRate { rate, until, rate_after: rate.min(equal_share), restart_until });
        let rate_at =
            |applied: &AppliedRate| if at < applied.until { applied.rate } else { applied.rate_after };
        let sum: f64 = applied_rates.values().map(rate_at).sum();
        let restarting = applied_rates.values().filter(|applied| at < applied.restart_until).count() as f64;
        let bound = quota * 1.0001 + restarting * equal_share;
        if sum > bound {
            return Some(Violation::QuotaExceeded { at: at - first_at, sum, quota });
        }
    }
    None
}

/// Checks the number of servers that drain at once, from the drain to the next start, in the fleet and by zone.
pub fn check_drain_slots(
    history: &History,
    limit: usize,
    zone_limits: &BTreeMap<String, usize>,
    counts: &mut Counts,
) -> Option<Violation> {
    let mut draining: BTreeMap<&str, &str> = BTreeMap::new();
    for (entry, event) in history.events() {
        match event {
            Event::Ready { .. } => drop(draining.remove(entry.process.as_str())),
            Event::ServerDraining { zone, slot_epoch: Some(_) } => {
                counts.drain_slots += 1;
                draining.insert(&entry.process, zone);
                let in_zone = draining.values().filter(|other| **other == zone).count();
                let zone_limit = zone_limits.get(zone).copied().unwrap_or(usize::MAX);
                if draining.len() > limit || in_zone > zone_limit {
                    let (zone, draining, limit) = if in_zone > zone_limit {
                        (Some(zone.clone()), in_zone, zone_limit)
                    } else {
                        (None, draining.len(), limit)
                    };
                    return Some(Violation::TooManyDraining { at: entry.at, zone, draining, limit });
                }
            }
            _ => {}
        }
    }
    None
}

/// Collects all grants. A restarted replica reports the grants on its disk again, which must be the same.
fn collect_grants(
    history: &History,
    counts: &mut Counts,
    violations: &mut Vec<Violation>,
) -> BTreeMap<Epoch, (Task, HolderId)> {
    let mut seen: BTreeMap<(Epoch, u8), &Change> = BTreeMap::new();
    let mut granted = BTreeMap::new();
    let mut highest: BTreeMap<(&str, u32, &Task), Epoch> = BTreeMap::new();
    for (entry, event) in history.events() {
        let Event::Change(change) = event else { continue };
        match seen.get(&(change.epoch, change.kind as u8)) {
            None => drop(seen.insert((change.epoch, change.kind as u8), change)),
            Some(first) if *first == change => {}
            Some(first) if change.kind == ChangeKind::Granted => {
                let text = |change: &Change| format!("{} to {}", change.task, change.holder);
                let (first, second) = (text(first), text(change));
                violations.push(Violation::EpochReused { epoch: change.epoch, first, second });
            }
            Some(_) => {
                let (replica, epoch) = (entry.process.clone(), change.epoch);
                violations.push(Violation::ReplicasDisagree { replica, epoch });
            }
        }
        if change.kind == ChangeKind::Granted {
            if granted.insert(change.epoch, (change.task.clone(), change.holder.clone())).is_none() {
                counts.grants += 1;
            }
            let last = highest.entry((&entry.process, entry.incarnation, &change.task)).or_default();
            if change.epoch <= *last {
                let (task, from, to) = (change.task.clone(), *last, change.epoch);
                violations.push(Violation::EpochDecreased { task, from, to });
            }
            *last = change.epoch;
        }
    }
    granted
}

fn check_leaders(history: &History, counts: &mut Counts, violations: &mut Vec<Violation>) {
    let mut leader_by_term: BTreeMap<u64, &str> = BTreeMap::new();
    for (entry, event) in history.events() {
        let Event::BecameLeader { term, .. } = event else { continue };
        match leader_by_term.insert(*term, &entry.process) {
            Some(one) if one != entry.process => {
                let (first, second) = (one.to_string(), entry.process.clone());
                violations.push(Violation::TwoLeaders { term: *term, first, second });
            }
            Some(_) => {}
            None => counts.leaders += 1,
        }
    }
}

/// Checks the effects that the fence accepted, in their order.
fn check_effects(
    history: &History,
    granted: &BTreeMap<Epoch, (Task, HolderId)>,
    counts: &mut Counts,
    violations: &mut Vec<Violation>,
) {
    let mut seen: BTreeMap<&Task, (Epoch, u64)> = BTreeMap::new();
    let mut incarnations: BTreeMap<&Task, u32> = BTreeMap::new();
    let mut blocks: BTreeSet<&str> = BTreeSet::new();
    for (entry, event) in history.events() {
        let Event::EffectChecked { task, epoch, number, block, verdict } = event else {
            continue;
        };
        match verdict {
            Verdict::Stale { .. } => counts.stale_effects += u64::from(block.is_some()),
            Verdict::Duplicate if block.is_some() => counts.duplicate_effects += 1,
            _ => {}
        }
        let last = seen.entry(task).or_default();
        let incarnation = incarnations.insert(task, entry.incarnation).unwrap_or(entry.incarnation);
        if *verdict == Verdict::Duplicate && block.is_none() && entry.incarnation > incarnation {
            // Killed between disk and answer: the last effect was written but not reported until now.
            let reported = (*epoch, *number);
            if reported >= *last && (epoch > &last.0 || number - last.1 <= MAX_UNREPORTED_EFFECTS) {
                *last = reported;
            }
        }
        if *verdict != Verdict::New {
            continue;
        }
        if *epoch < last.0 {
            let block = block.clone().unwrap_or_else(|| "an announcement".into());
            violations.push(Violation::StaleEffectAccepted {
                task: task.clone(),
                epoch: *epoch,
                latest: last.0,
                block,
            });
            continue;
        }
        if granted.get(epoch).is_none_or(|(of, _)| of != task) {
            violations.push(Violation::UngrantedEpoch { task: task.clone(), epoch: *epoch });
        }
        let Some(block) = block else {
            *last = (*epoch, 0);
            continue;
        };
        counts.effects += 1;
        if (*epoch, *number) != (last.0, last.1 + 1) {
            violations.push(Violation::EffectOutOfOrder {
                task: task.clone(),
                epoch: *epoch,
                number: *number,
            });
        }
        *last = (*epoch, *number);
        if !blocks.insert(block) {
            violations.push(Violation::BlockAcceptedTwice { block: block.clone() });
        }
    }
}

#[cfg(test)]
mod tests;
