//! The parts of the task that collects traces that a worker holds, and their steps, which run beside the main task.

use crate::config::CollectionConfig;
use crate::transfer::{StepOutcome, Transfer};
use puffinladder_leases::holder::{LeaseHolder, StepPermit};
use puffinladder_leases::{Epoch, Task};
use puffinladder_transport::Clock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Share of what is left of a term that a step may take: its last effect has to arrive too.
const STEP_SHARE: f64 = 0.8;

/// A step that has ended.
pub(crate) struct FinishedStep {
    pub task: Task,
    pub epoch: Epoch,
    pub outcome: StepOutcome,
    transfer: Transfer,
}

/// The work on one part of the task.
struct CollectionTask {
    epoch: Epoch,
    /// Away while a step runs.
    transfer: Option<Transfer>,
    /// Set when the running step is to end early: the task is to be handed over.
    stop_early: Arc<AtomicBool>,
    /// No step begins before then, since there was nothing to do.
    due: f64,
}

pub(crate) struct CollectionTasks {
    tasks: BTreeMap<Task, CollectionTask>,
    clock: Clock,
    finished_steps: mpsc::Sender<FinishedStep>,
}

impl CollectionTasks {
    /// Steps that end go to `finished_steps`, to be handed back to [`CollectionTasks::on_step_finished`].
    pub fn new(clock: Clock, finished_steps: mpsc::Sender<FinishedStep>) -> CollectionTasks {
        CollectionTasks { tasks: BTreeMap::new(), clock, finished_steps }
    }

    /// The worker holds a part under this epoch from now on.
    pub fn insert(&mut self, config: CollectionConfig, task: Task, epoch: Epoch, now: f64) {
        let transfer = Some(Transfer::new(config, task.clone(), epoch));
        let stop_early = Arc::default();
        self.tasks.insert(task, CollectionTask { epoch, transfer, stop_early, due: now });
    }

    /// The worker no longer holds a part under this epoch. A step that runs is reported to the lease holder alone when it ends.
    pub fn remove(&mut self, task: &Task, epoch: Epoch) {
        if self.tasks.get(task).is_some_and(|held| held.epoch == epoch) {
            self.tasks.remove(task);
        }
    }

    /// Ends the running step of a part after the block in transfer. Returns whether no step runs.
    pub fn stop_early(&mut self, task: &Task) -> bool {
        let Some(held) = self.tasks.get(task) else { return true };
        held.stop_early.store(true, Ordering::Relaxed);
        held.transfer.is_some()
    }

    /// Whether no step runs.
    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(|held| held.transfer.is_some())
    }

    /// When the next step is due, if any.
    pub fn next_due(&self) -> Option<f64> {
        let idle = self.tasks.values().filter(|held| held.transfer.is_some());
        idle.map(|held| held.due).reduce(f64::min)
    }

    /// Begins steps where one is due and the lease's term allows it.
    pub fn start_steps(&mut self, now: f64, holder: &mut LeaseHolder) {
        for (task, held) in &mut self.tasks {
            if now < held.due || held.transfer.is_none() {
                continue;
            }
            let Some(StepPermit { epoch, valid_until }) = holder.begin_step(now, task) else { continue };
            let Some(mut transfer) = held.transfer.take() else { continue };
            let until = now + STEP_SHARE * (valid_until - now);
            let (task, stop_early) = (task.clone(), held.stop_early.clone());
            let (clock, finished_steps) = (self.clock.clone(), self.finished_steps.clone());
            tokio::spawn(async move {
                let outcome = transfer.step(&clock, until, &stop_early).await;
                let _ = finished_steps.send(FinishedStep { task, epoch, outcome, transfer }).await;
            });
        }
    }

    /// Takes back what a step worked with. With nothing to do, or nothing done, the part rests until the folders are listed again.
    pub fn on_step_finished(&mut self, now: f64, step: FinishedStep) {
        let FinishedStep { task, epoch, outcome, transfer } = step;
        let Some(held) = self.tasks.get_mut(&task).filter(|held| held.epoch == epoch) else { return };
        let goes_on = outcome.has_more && outcome.progress;
        held.due = if goes_on { now } else { now + transfer.idle_interval() };
        held.transfer = Some(transfer);
    }
}
