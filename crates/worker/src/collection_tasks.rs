//! The held parts of the trace-collection task. Their steps run concurrently with the worker's main task.

use crate::config::CollectionConfig;
use crate::transfer::{StepOutcome, Transfer};
use puffinladder_leases::holder::{LeaseHolder, StepPermit};
use puffinladder_leases::{Epoch, Task};
use puffinladder_transport::Clock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Fraction of the remaining lease term that a step may take, so that its last effect arrives within the term.
const STEP_SHARE: f64 = 0.8;

/// The outcome of a finished step, with the state to continue from.
pub(crate) struct FinishedStep {
    pub task: Task,
    pub epoch: Epoch,
    pub outcome: StepOutcome,
    transfer: Transfer,
}

/// State of one held part.
struct CollectionTask {
    epoch: Epoch,
    /// `None` while a step runs.
    transfer: Option<Transfer>,
    /// Set to make the running step end early, because the part is to be released.
    stop_early: Arc<AtomicBool>,
    /// Earliest time of the next step.
    due: f64,
}

pub(crate) struct CollectionTasks {
    tasks: BTreeMap<Task, CollectionTask>,
    clock: Clock,
    finished_steps: mpsc::Sender<FinishedStep>,
}

impl CollectionTasks {
    /// Creates an empty set. Steps are sent to `finished_steps`; the caller passes them to
    /// [`CollectionTasks::on_step_finished`].
    pub fn new(clock: Clock, finished_steps: mpsc::Sender<FinishedStep>) -> CollectionTasks {
        CollectionTasks { tasks: BTreeMap::new(), clock, finished_steps }
    }

    /// Adds a part that the worker holds under this epoch.
    pub fn insert(&mut self, config: CollectionConfig, task: Task, epoch: Epoch, now: f64) {
        let transfer = Some(Transfer::new(config, task.clone(), epoch));
        let stop_early = Arc::default();
        self.tasks.insert(task, CollectionTask { epoch, transfer, stop_early, due: now });
    }

    /// Removes a part unless it is held under another epoch. The result of a running step is discarded.
    pub fn remove(&mut self, task: &Task, epoch: Epoch) {
        if self.tasks.get(task).is_some_and(|held| held.epoch == epoch) {
            self.tasks.remove(task);
        }
    }

    /// Ends the running step of a part after its current block. Returns whether no step runs.
    pub fn stop_early(&mut self, task: &Task) -> bool {
        let Some(held) = self.tasks.get(task) else { return true };
        held.stop_early.store(true, Ordering::Relaxed);
        held.transfer.is_some()
    }

    /// Returns whether no step runs.
    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(|held| held.transfer.is_some())
    }

    /// Returns the time of the next step, if any.
    pub fn next_due(&self) -> Option<f64> {
        let idle = self.tasks.values().filter(|held| held.transfer.is_some());
        idle.map(|held| held.due).reduce(f64::min)
    }

    /// Starts due steps of parts whose lease permits one.
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

    /// Restores the state of a finished step. A step without progress or remaining work delays the next one by the scan interval.
    pub fn on_step_finished(&mut self, now: f64, step: FinishedStep) {
        let FinishedStep { task, epoch, outcome, transfer } = step;
        let Some(held) = self.tasks.get_mut(&task).filter(|held| held.epoch == epoch) else { return };
        let continues = outcome.has_more && outcome.progress;
        held.due = if continues { now } else { now + transfer.idle_interval() };
        held.transfer = Some(transfer);
    }
}
