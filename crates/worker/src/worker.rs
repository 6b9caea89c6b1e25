//! The main task of a worker. It owns the lease holder, and checks lease terms before each step and after each event. Steps of
//! trace collection run in tasks of their own.

use crate::collection;
use crate::collection_tasks::{CollectionTasks, FinishedStep};
use crate::config::WorkerConfig;
use crate::connection::NumberedEvent;
use crate::lease_store_client::LeaseStoreClient;
use crate::report_planner::{ReceivedReport, ReportPlanner};
use puffinladder_leases::holder::{EndReason, HolderAction, LeaseHolder, LeaseStage, StepPermit};
use puffinladder_leases::protocol::Event;
use puffinladder_leases::table::{LeaseResponse, Rejection};
use puffinladder_leases::{Epoch, HolderId, Task};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Lease term in seconds, until the lease store's first response.
const ASSUMED_TERM: f64 = 2.0;
/// Longest wait between checks of the clock, in seconds.
const MAX_WAIT: f64 = 0.25;
/// Shortest wait, in seconds, so that overdue work does not starve other events.
const MIN_WAIT: f64 = 0.001;
/// Seconds that a draining worker waits for its leases to be released.
const DRAIN_TIMEOUT: f64 = 5.0;
/// Capacity of the queues of connection events and finished steps.
const MAX_WAITING_EVENTS: usize = 256;

/// Queues of connection events and finished steps.
struct EventReceivers {
    connection_events: mpsc::Receiver<NumberedEvent>,
    finished_steps: mpsc::Receiver<FinishedStep>,
}

/// The state of the main task.
pub(crate) struct Worker {
    config: WorkerConfig,
    holder: LeaseHolder,
    lease_store: LeaseStoreClient,
    collection_tasks: CollectionTasks,
    report_planner: Option<ReportPlanner>,
    /// Time at which a draining worker ends even if it still holds leases.
    drain_deadline: Option<f64>,
}

impl Worker {
    fn new(config: WorkerConfig) -> (Worker, EventReceivers) {
        let holder_id = HolderId::new(&config.name, config.incarnation);
        let mut wanted = config.idle_tasks.clone();
        wanted.extend(config.collection.iter().map(|_| collection::TASK_NAME.to_string()));
        let reporting = config.reporting.iter();
        wanted.extend(reporting.flat_map(ReportPlanner::wanted_tasks).map(String::from));
        let (event_sender, connection_events) = mpsc::channel(MAX_WAITING_EVENTS);
        let (step_sender, finished_steps) = mpsc::channel(MAX_WAITING_EVENTS);
        let worker = Worker {
            holder: LeaseHolder::new(holder_id.clone(), &config.zone, wanted, ASSUMED_TERM),
            lease_store: LeaseStoreClient::new(holder_id, config.replicas.clone(), event_sender),
            collection_tasks: CollectionTasks::new(config.clock.clone(), step_sender),
            report_planner: config.reporting.as_ref().map(ReportPlanner::new),
            drain_deadline: None,
            config,
        };
        (worker, EventReceivers { connection_events, finished_steps })
    }

    /// Runs until the worker is stopped and has released its tasks, or is superseded by a later incarnation.
    pub async fn run(
        config: WorkerConfig,
        mut reports: mpsc::Receiver<ReceivedReport>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let clock = config.clock.clone();
        let (mut worker, mut events) = Worker::new(config);
        loop {
            let wait = worker.time_until_due(clock.now());
            tokio::select! {
                Some(event) = events.connection_events.recv() => {
                    worker.on_connection_event(clock.now(), event);
                }
                Some(step) = events.finished_steps.recv() => worker.on_step_finished(clock.now(), step),
                Some(report) = reports.recv() => worker.on_report(clock.now(), report),
                _ = stopped.changed(), if worker.drain_deadline.is_none() => worker.drain(clock.now()),
                _ = tokio::time::sleep(wait) => {}
            }
            let now = clock.now();
            let expired = worker.holder.expire(now);
            worker.apply_actions(now, expired);
            worker.lease_store.send_request(now, &mut worker.holder);
            worker.collection_tasks.start_steps(now, &mut worker.holder);
            worker.send_report_replies(now);
            if worker.drain_deadline.is_some_and(|deadline| now >= deadline) || worker.is_finished() {
                return;
            }
        }
    }

    /// Starts to release all leases.
    fn drain(&mut self, now: f64) {
        tracing::info!("{}: draining, releases its leases", self.holder.id());
        self.drain_deadline = Some(now + DRAIN_TIMEOUT);
        self.holder.start_draining();
        let held = self.holder.leases();
        let actions = held.map(|(task, epoch)| HolderAction::Release(task.clone(), epoch)).collect();
        self.apply_actions(now, actions);
    }

    /// Returns whether the worker is drained and the lease store knows it, or this incarnation is superseded.
    fn is_finished(&self) -> bool {
        if self.holder.rejection() == Some(Rejection::Superseded) {
            return true;
        }
        let holds_nothing = self.holder.leases().next().is_none();
        let is_idle = self.collection_tasks.is_idle();
        self.drain_deadline.is_some() && holds_nothing && is_idle && !self.holder.has_pending_releases()
    }

    /// Returns the duration until the next action is due.
    fn time_until_due(&self, now: f64) -> Duration {
        let mut due = (now + MAX_WAIT).min(self.lease_store.due(now, &self.holder));
        if let Some(planner) = &self.report_planner {
            due = due.min(planner.next_round());
        }
        if let Some(step) = self.collection_tasks.next_due() {
            due = due.min(step);
        }
        self.config.clock.sleep_duration(due.max(now + MIN_WAIT) - now)
    }

    fn on_connection_event(&mut self, now: f64, event: NumberedEvent) {
        if let Some(response) = self.lease_store.on_event(now, event, &mut self.holder) {
            self.on_lease_response(now, &response);
        }
    }

    fn on_lease_response(&mut self, now: f64, response: &LeaseResponse) {
        let actions = self.holder.handle_response(now, response);
        if let Some(rejection) = response.rejection {
            tracing::warn!("{}: rejected by the lease store: {rejection:?}", self.holder.id());
        }
        self.apply_actions(now, actions);
    }

    /// Performs the actions that the lease holder requests.
    fn apply_actions(&mut self, now: f64, actions: Vec<HolderAction>) {
        for action in actions {
            match action {
                HolderAction::Start(task, epoch) => self.start_task(now, task, epoch),
                HolderAction::Release(task, epoch) => self.release_task(now, &task, epoch),
                HolderAction::Stop(task, epoch, reason) => self.stop_task(task, epoch, reason),
            }
        }
    }

    fn start_task(&mut self, now: f64, task: Task, epoch: Epoch) {
        let holder = self.holder.id().clone();
        tracing::info!("{holder}: started {task}, epoch {epoch}");
        self.config.events.emit(&Event::LeaseStarted { holder, task: task.clone(), epoch });
        if let Some(planner) = &mut self.report_planner {
            planner.start_lease(now, &task, epoch);
        }
        let collection = self.config.collection.clone().filter(|_| task.name == collection::TASK_NAME);
        if let Some(config) = collection {
            self.collection_tasks.insert(config, task, epoch, now);
        }
    }

    /// Releases a task if none of its steps is running; otherwise makes the running step end early.
    fn release_task(&mut self, now: f64, task: &Task, epoch: Epoch) {
        if self.collection_tasks.stop_early(task) {
            let action = self.holder.release(task, epoch);
            self.apply_actions(now, action.into_iter().collect());
        }
    }

    fn stop_task(&mut self, task: Task, epoch: Epoch, reason: EndReason) {
        let holder = self.holder.id().clone();
        let reason = reason_text(reason);
        tracing::info!("{holder}: stopped {task}, epoch {epoch}: {reason}");
        self.config.events.emit(&Event::LeaseEnded {
            holder,
            task: task.clone(),
            epoch,
            reason: reason.into(),
        });
        if let Some(planner) = &mut self.report_planner {
            planner.end_lease(&task, epoch);
        }
        self.collection_tasks.remove(&task, epoch);
    }

    fn on_report(&mut self, now: f64, received: ReceivedReport) {
        let Some(planner) = &mut self.report_planner else { return };
        if let Err(rejected) = planner.receive(now, received) {
            tracing::debug!("{}: {rejected}", self.holder.id());
        }
    }

    /// Replies to servers' reports, with one step for each held part. The clock is read again before each step, since no reply
    /// may be sent after the lease term.
    fn send_report_replies(&mut self, now: f64) {
        let Some(planner) = self.report_planner.as_mut().filter(|planner| now >= planner.next_round()) else {
            return;
        };
        planner.schedule_round_after(now);
        let held = self.holder.leases().filter(|(task, _)| ReportPlanner::handles(task));
        let held: Vec<Task> = held.map(|(task, _)| task.clone()).collect();
        let mut actions = Vec::new();
        for task in held {
            let now = self.config.clock.now();
            let Some(StepPermit { epoch, .. }) = self.holder.begin_step(now, &task) else { continue };
            let progress = planner.send_replies(now, &task);
            actions.extend(self.holder.finish_step(now, &task, epoch, progress, false));
        }
        self.apply_actions(now, actions);
    }

    fn on_step_finished(&mut self, now: f64, step: FinishedStep) {
        let (task, epoch, outcome) = (step.task.clone(), step.epoch, step.outcome);
        let mut actions = self.holder.finish_step(now, &task, epoch, outcome.progress, outcome.has_more);
        if outcome.fenced {
            actions.extend(self.holder.handle_fenced(&task, epoch));
        }
        self.collection_tasks.on_step_finished(now, step);
        self.apply_actions(now, actions);
        let is_held = self.holder.leases().any(|(held, held_epoch)| *held == task && held_epoch == epoch);
        if is_held && self.holder.stage(now, &task) == LeaseStage::Releasing {
            self.release_task(now, &task, epoch);
        }
    }
}

/// Returns the text of a reason in [`Event::LeaseEnded`]; tools that read events match it.
fn reason_text(reason: EndReason) -> &'static str {
    match reason {
        EndReason::TermExpired => "its term is over",
        EndReason::Released => "handed over",
        EndReason::NotListed => "the keepers no longer list it",
        EndReason::Superseded => "a later life of this instance has spoken",
        EndReason::Fenced => "a fence has seen a later epoch",
    }
}
