//! Commands of the settings and of operators: declarations, pauses and moves.

use super::state::{PartState, TaskState};
use super::{
    Cause, CommandError, LeaseRules, LeaseTable, Outcome, TaskDeclaration, MAX_NAMES, MAX_NAME_BYTES,
    MAX_PARTS,
};
use crate::Task;
use std::collections::BTreeMap;

impl LeaseTable {
    /// Replaces the rules and the declared tasks.
    pub(super) fn declare(
        &mut self,
        rules: &LeaseRules,
        tasks: &[TaskDeclaration],
        outcome: &mut Outcome,
    ) -> Result<(), CommandError> {
        rules.check()?;
        check_declarations(tasks)?;
        // Sessions keep their expiry: under a shorter term, their holders may still rely on them.
        self.rules = rules.clone();
        self.revoke_undeclared(tasks, outcome);
        for declaration in tasks {
            let task = self
                .tasks
                .entry(declaration.name.clone())
                .or_insert_with(|| TaskState::new(declaration.clone()));
            task.declaration = declaration.clone();
            let part_count = task.parts.len().max(declaration.parts as usize);
            task.parts.resize(part_count, PartState::default());
        }
        self.assignment_due = true;
        self.remove_undeclared_parts();
        Ok(())
    }

    /// Revokes the leases of parts that are no longer declared.
    fn revoke_undeclared(&mut self, tasks: &[TaskDeclaration], outcome: &mut Outcome) {
        let declared: BTreeMap<&str, u32> =
            tasks.iter().map(|task| (task.name.as_str(), task.parts)).collect();
        let mut undeclared = Vec::new();
        for (name, task) in &mut self.tasks {
            let part_count = declared.get(name.as_str()).copied().unwrap_or(0);
            undeclared.extend((part_count..task.parts.len() as u32).map(|part| Task::new(name, part)));
            task.declaration.parts = part_count;
        }
        for task in &undeclared {
            self.revoke_now(task, Cause::Undeclared, outcome);
        }
    }

    /// Removes parts that are no longer declared and have no lease. Their numbers are the highest, so that no other
    /// part is renumbered.
    pub(super) fn remove_undeclared_parts(&mut self) {
        for task in self.tasks.values_mut() {
            while task.parts.len() > task.declaration.parts as usize
                && task.parts.last().is_some_and(|part| part.lease.is_none())
            {
                task.parts.pop();
            }
        }
        self.tasks.retain(|_, task| !task.parts.is_empty());
    }

    /// Pauses or resumes a task.
    pub(super) fn pause(
        &mut self,
        name: &str,
        paused: bool,
        outcome: &mut Outcome,
    ) -> Result<(), CommandError> {
        let task = self.tasks.get_mut(name).ok_or_else(|| CommandError::UnknownTask(name.into()))?;
        task.paused = paused;
        let part_count = task.parts.len() as u32;
        self.assignment_due = true;
        if paused {
            for part in 0..part_count {
                self.revoke_now(&Task::new(name, part), Cause::Paused, outcome);
            }
        }
        Ok(())
    }

    /// Moves a part to an instance as soon as its holder releases it.
    pub(super) fn move_part(
        &mut self,
        task: &Task,
        to: &str,
        outcome: &mut Outcome,
    ) -> Result<(), CommandError> {
        if !self.candidates(&task.name).iter().any(|candidate| candidate.instance == to) {
            return Err(CommandError::NotEligible { instance: to.into(), task: task.clone() });
        }
        let part = self.part_mut(task).ok_or_else(|| CommandError::UnknownPart(task.clone()))?;
        let held =
            part.lease.as_ref().is_some_and(|lease| lease.holder.instance == to && !lease.is_revoked());
        if held {
            return Ok(());
        }
        part.next_holder = Some(to.to_string());
        part.exclusions.retain(|exclusion| exclusion.instance != to);
        self.assignment_due = true;
        self.revoke_now(task, Cause::Moved, outcome);
        Ok(())
    }
}

fn check_declarations(tasks: &[TaskDeclaration]) -> Result<(), CommandError> {
    let parts: usize = tasks.iter().map(|task| task.parts as usize).sum();
    if parts > MAX_PARTS || tasks.len() > MAX_NAMES {
        return Err(CommandError::TooManyTasks { tasks: tasks.len(), parts });
    }
    let is_valid =
        |task: &TaskDeclaration| !task.name.is_empty() && task.name.len() <= MAX_NAME_BYTES && task.parts > 0;
    match tasks.iter().find(|task| !is_valid(task)) {
        Some(task) => Err(CommandError::InvalidTask(task.name.clone())),
        None => Ok(()),
    }
}
