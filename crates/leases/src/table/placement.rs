//! Assignment of vacant parts and moves of parts between instances.

use super::limits::{BALANCE_CHECK_INTERVAL, MAX_EXCLUSIONS};
use super::state::{ActiveLease, Exclusion, InstanceHistory, PartState, Session, TaskState};
use super::{Cause, LeaseTable, Outcome};
use crate::assignment::{self, Assignment, Candidate};
use crate::{HolderId, Task};
use std::collections::{BTreeMap, BTreeSet};

impl LeaseTable {
    /// Revokes stalled parts and balances loads.
    pub(super) fn advance(&mut self, outcome: &mut Outcome) {
        // The exclusion of an instance may have ended.
        let has_vacant =
            |task: &TaskState| !task.paused && task.declared_parts().any(|part| part.lease.is_none());
        self.assignment_due |= self.tasks.values().any(has_vacant);
        self.revoke_stalled(outcome);
        self.rebalance(outcome);
    }

    /// Revokes parts whose holder renews its session and has work, but makes no progress (a grey failure), and excludes
    /// the holder from them for a while.
    fn revoke_stalled(&mut self, outcome: &mut Outcome) {
        let now = self.now;
        let timeout = self.rules.stall_timeout;
        let is_stalled = |lease: &&ActiveLease| {
            !lease.is_revoked() && lease.stalled_since.is_some_and(|since| now - since > timeout)
        };
        let excluded_until = now + self.rules.exclusion_period;
        let mut stalled = Vec::new();
        for (name, task) in &mut self.tasks {
            for (number, part) in task.parts.iter_mut().enumerate() {
                part.exclusions.retain(|exclusion| exclusion.until > now);
                let Some(lease) = part.lease.as_ref().filter(is_stalled) else { continue };
                let instance = lease.holder.instance.clone();
                part.exclusions.truncate(MAX_EXCLUSIONS - 1);
                part.exclusions.push(Exclusion { instance, until: excluded_until });
                stalled.push(Task::new(name, number as u32));
            }
        }
        for task in stalled {
            self.revoke_now(&task, Cause::Stalled, outcome);
        }
    }

    /// Returns whether more instances lost their session recently than have one, as when the lease store was
    /// unreachable.
    fn most_instances_lost(&self) -> bool {
        let connected: BTreeSet<&str> = self.sessions.keys().map(|holder| holder.instance.as_str()).collect();
        let expired_recently = |history: &InstanceHistory| {
            history.session_expired_at.is_some_and(|at| self.now - at < self.rules.panic_window)
        };
        let without_session = self.instances.iter().filter(|(name, _)| !connected.contains(name.as_str()));
        without_session.filter(|(_, history)| expired_recently(history)).count() > connected.len()
    }

    /// Returns the instances that may be assigned parts of a task, with their loads. Of each instance only the latest
    /// incarnation is a candidate.
    pub(super) fn candidates(&self, name: &str) -> Vec<Candidate> {
        let eligible = |holder: &HolderId, session: &Session| {
            let history = self.instances.get(&holder.instance);
            !session.draining
                && session.tasks.contains(name)
                && history.is_some_and(|history| {
                    history.incarnation == holder.incarnation && history.excluded_until <= self.now
                })
        };
        let candidate = |(holder, session): (&HolderId, &Session)| Candidate {
            instance: holder.instance.clone(),
            zone: session.zone.clone(),
            task_parts: session.leases.iter().filter(|task| task.name == name).count(),
            total_parts: session.leases.len(),
        };
        self.sessions.iter().filter(|(holder, session)| eligible(holder, session)).map(candidate).collect()
    }

    fn task_names(&self) -> Vec<String> {
        self.tasks.keys().cloned().collect()
    }

    /// Assigns vacant parts.
    pub(super) fn assign_vacant_parts(&mut self, outcome: &mut Outcome) {
        if self.most_instances_lost() {
            // The next entry tries again, until the panic window has passed.
            return;
        }
        self.assignment_due = false;
        for name in self.task_names() {
            for assignment in self.plan_assignments(&name) {
                let incarnation = self.instances[&assignment.instance].incarnation;
                let holder = HolderId { instance: assignment.instance, incarnation };
                self.grant(Task::new(&name, assignment.part), holder, outcome);
            }
        }
    }

    /// Returns assignments of a task's vacant parts.
    fn plan_assignments(&self, name: &str) -> Vec<Assignment> {
        let task = &self.tasks[name];
        let mut candidates = self.candidates(name);
        if task.paused || candidates.is_empty() {
            return Vec::new();
        }
        let vacant = task.vacant_parts();
        if vacant.is_empty() {
            return Vec::new();
        }
        let excluded = |part: u32, instance: &str| task.parts[part as usize].excludes(instance, self.now);
        // A part with a chosen next holder goes to it regardless of loads, which the choice took into account.
        let mut assignments = Vec::new();
        let mut rest = Vec::new();
        for part in vacant {
            let next = task.parts[part as usize].next_holder.as_deref();
            let chosen = candidates.iter_mut().find(|candidate| Some(candidate.instance.as_str()) == next);
            match chosen {
                Some(candidate) if !excluded(part, &candidate.instance) => {
                    candidate.task_parts += 1;
                    candidate.total_parts += 1;
                    assignments.push(Assignment { part, instance: candidate.instance.clone() });
                }
                _ => rest.push(part),
            }
        }
        let zone = task.declaration.zone.as_deref();
        let part_count = task.declaration.parts as usize;
        assignments.extend(assignment::assign_vacant(
            name,
            zone,
            &rest,
            part_count,
            &mut candidates,
            excluded,
        ));
        assignments
    }

    /// Moves a limited number of parts to instances with too few, once no instance has joined or left for a while.
    fn rebalance(&mut self, outcome: &mut Outcome) {
        let checked_recently = self.balanced_at > self.membership_changed_at
            && self.now - self.balanced_at < BALANCE_CHECK_INTERVAL;
        let settled = self.now - self.membership_changed_at >= self.rules.settle_time;
        if checked_recently || !settled || self.most_instances_lost() {
            return;
        }
        let mut moved = false;
        let mut allowed = self.rules.max_moves.saturating_sub(self.revoked.len());
        for name in self.task_names() {
            let moves = self.plan_moves(&name, allowed);
            allowed -= moves.len();
            moved |= !moves.is_empty();
            for part_move in moves {
                let task = Task::new(&name, part_move.part);
                if let Some(part) = self.part_mut(&task) {
                    part.next_holder = Some(part_move.to);
                }
                self.revoke_now(&task, Cause::Rebalanced, outcome);
            }
        }
        if !moved && self.revoked.is_empty() {
            self.balanced_at = self.now;
        }
    }

    /// Returns at most `limit` moves that balance a task's loads.
    fn plan_moves(&self, name: &str, limit: usize) -> Vec<assignment::PartMove> {
        let task = &self.tasks[name];
        let mut candidates = self.candidates(name);
        if limit == 0 || task.paused || task.declaration.parts < 2 || candidates.len() < 2 {
            return Vec::new();
        }
        let mut holders = BTreeMap::new();
        for (number, part) in task.parts.iter().enumerate() {
            if let Some(lease) = part.lease.as_ref().filter(|lease| !lease.is_revoked()) {
                holders.insert(number as u32, lease.holder.instance.clone());
            }
        }
        count_loads(&mut candidates, &holders, task.declared_parts());
        let excluded = |part: u32, instance: &str| task.parts[part as usize].excludes(instance, self.now);
        let part_count = task.declaration.parts as usize;
        assignment::rebalance(name, &holders, part_count, &candidates, limit, excluded)
    }
}

/// Counts the parts of each candidate. A part that is moving counts for its next holder.
fn count_loads<'a>(
    candidates: &mut [Candidate],
    holders: &'a BTreeMap<u32, String>,
    parts: impl Iterator<Item = &'a PartState>,
) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let arriving = parts.filter_map(|part| part.next_holder.as_deref());
    for instance in holders.values().map(String::as_str).chain(arriving) {
        *counts.entry(instance).or_default() += 1;
    }
    for candidate in candidates {
        candidate.task_parts = counts.get(candidate.instance.as_str()).copied().unwrap_or(0);
    }
}
