//! A worker's main task. It owns the lease holder; steps run beside it and come back with what they got done. The clock is looked at before every step and
//! whenever anything happens.

use crate::collection;
use crate::config::{CollectionConfig, WorkerConfig};
use crate::connection::{ConnectionEvent, NumberedEvent, ReplicaConnection};
use crate::report_planner::{ReceivedReport, ReportPlanner};
use crate::transfer::{StepOutcome, Transfer};
use puffinladder_leases::holder::{EndReason, HolderAction, LeaseHolder, LeaseStage, StepPermit};
use puffinladder_leases::protocol::{Event, ReplicaReply, ReplicaRequest};
use puffinladder_leases::replica_selector::{NextStep, ReplicaSelector};
use puffinladder_leases::table::{LeaseResponse, Rejection};
use puffinladder_leases::{Epoch, HolderId, Task};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The term of a lease until the lease store tells it, in seconds.
const ASSUMED_TERM: f64 = 2.0;
/// Seconds without a response to any request after which another replica is tried.
const RESPONSE_TIMEOUT: f64 = 0.5;
/// Share of what is left of a term that a step may take: its last effect has to arrive too.
const STEP_SHARE: f64 = 0.8;
/// Longest time between two looks at the clock, in seconds.
const MAX_WAIT: f64 = 0.25;
/// Shortest sleep, in seconds, so that what is overdue does not keep the main task from its other events.
const MIN_WAIT: f64 = 0.001;
/// Seconds that a draining worker waits until all is handed over.
const DRAIN_TIMEOUT: f64 = 5.0;
/// Events of connections, and ended steps, that wait for the main task.
const MAX_WAITING_EVENTS: usize = 256;

/// A step that has ended.
struct EndedStep {
    task: Task,
    epoch: Epoch,
    transfer: Transfer,
    outcome: StepOutcome,
}

/// The work on one part of the task that collects traces.
struct CollectionTask {
    epoch: Epoch,
    /// Away while a step runs.
    transfer: Option<Transfer>,
    /// Set when the running step is to end early: the task is to be handed over.
    stop_early: Arc<AtomicBool>,
    /// No step begins before then, since there was nothing to do.
    due: f64,
}

impl CollectionTask {
    fn new(config: CollectionConfig, task: &Task, epoch: Epoch, now: f64) -> CollectionTask {
        let transfer = Some(Transfer::new(config, task.clone(), epoch));
        CollectionTask { epoch, transfer, stop_early: Arc::default(), due: now }
    }

    fn is_idle(&self) -> bool {
        self.transfer.is_some()
    }
}

/// What the main task waits for, beside reports and the order to stop.
struct Events {
    connection_events: mpsc::Receiver<NumberedEvent>,
    ended_steps: mpsc::Receiver<EndedStep>,
}

/// The state of the main task.
pub(crate) struct Worker {
    config: WorkerConfig,
    holder: LeaseHolder,
    route: ReplicaSelector<SocketAddr>,
    connection: Option<ReplicaConnection>,
    connections_opened: u64,
    /// When the first request was sent that has no response yet.
    unanswered_since: Option<f64>,
    collection_tasks: BTreeMap<Task, CollectionTask>,
    report_planner: Option<ReportPlanner>,
    connection_events: mpsc::Sender<NumberedEvent>,
    ended_steps: mpsc::Sender<EndedStep>,
    /// The lease store responds: logged when it changes.
    reachable: bool,
    /// When a draining worker ends though not all is handed over.
    drain_deadline: Option<f64>,
}

impl Worker {
    fn new(config: WorkerConfig) -> (Worker, Events) {
        let holder_id = HolderId::new(&config.name, config.incarnation);
        let mut wanted = config.held_tasks.clone();
        wanted.extend(config.collection.iter().map(|_| collection::TASK.to_string()));
        let reporting = config.reporting.iter();
        wanted.extend(reporting.flat_map(ReportPlanner::wanted_tasks).map(String::from));
        let seed = puffinladder_leases::assignment::rank("route", config.incarnation as u32, &config.name);
        let (connection_events, received_events) = mpsc::channel(MAX_WAITING_EVENTS);
        let (ended_steps, received_steps) = mpsc::channel(MAX_WAITING_EVENTS);
        let worker = Worker {
            holder: LeaseHolder::new(holder_id, &config.zone, wanted, ASSUMED_TERM),
            route: ReplicaSelector::new(config.replicas.clone(), seed),
            connection: None,
            connections_opened: 0,
            unanswered_since: None,
            collection_tasks: BTreeMap::new(),
            report_planner: config.reporting.as_ref().map(ReportPlanner::new),
            connection_events,
            ended_steps,
            reachable: true,
            drain_deadline: None,
            config,
        };
        (worker, Events { connection_events: received_events, ended_steps: received_steps })
    }

    /// Runs until it is stopped and has handed its tasks over, or a later incarnation of it has spoken.
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
                Some((number, event)) = events.connection_events.recv() => {
                    worker.on_connection_event(clock.now(), number, event);
                }
                Some(step) = events.ended_steps.recv() => worker.on_step_ended(clock.now(), step),
                Some(report) = reports.recv() => worker.on_report(clock.now(), report),
                _ = stopped.changed(), if worker.drain_deadline.is_none() => worker.drain(clock.now()),
                _ = tokio::time::sleep(wait) => {}
            }
            let now = clock.now();
            let expired = worker.holder.expire(now);
            worker.carry_out(now, expired);
            worker.send_request(now);
            worker.begin_steps(now);
            worker.answer_reports(now);
            if worker.drain_deadline.is_some_and(|deadline| now >= deadline) || worker.is_done() {
                return;
            }
        }
    }

    /// Begins to hand everything over.
    fn drain(&mut self, now: f64) {
        tracing::info!("{}: draining, hands over", self.holder.id());
        self.drain_deadline = Some(now + DRAIN_TIMEOUT);
        self.holder.start_draining();
        let held = self.holder.leases();
        let actions = held.map(|(task, epoch)| HolderAction::Release(task.clone(), epoch)).collect();
        self.carry_out(now, actions);
    }

    /// Whether nothing is held any more and the lease store knows, or this incarnation is over.
    fn is_done(&self) -> bool {
        if self.holder.rejection() == Some(Rejection::Superseded) {
            return true;
        }
        let holds_nothing = self.holder.leases().next().is_none();
        let is_idle = self.collection_tasks.values().all(CollectionTask::is_idle);
        self.drain_deadline.is_some() && holds_nothing && is_idle && !self.holder.has_pending_releases()
    }

    /// How long nothing is due.
    fn time_until_due(&self, now: f64) -> Duration {
        let mut due = (now + MAX_WAIT).min(self.lease_store_due(now));
        if let Some(planner) = &self.report_planner {
            due = due.min(planner.next_round());
        }
        let idle = self.collection_tasks.values().filter(|task| task.is_idle());
        due = idle.map(|task| task.due).fold(due, f64::min);
        self.config.clock.sleep_duration(due.max(now + MIN_WAIT) - now)
    }

    /// When there is something to be done about the connection to the lease store.
    fn lease_store_due(&self, now: f64) -> f64 {
        if self.connection.is_some() {
            let timeout = self.unanswered_since.map_or(f64::MAX, |since| since + RESPONSE_TIMEOUT);
            return self.holder.next_renewal().min(timeout);
        }
        match self.route.next_step(now) {
            NextStep::WaitUntil(until) => until,
            NextStep::Connect(_) => now,
        }
    }

    /// Sends the request that is due, and turns to another replica where this one is silent.
    fn send_request(&mut self, now: f64) {
        if self.unanswered_since.is_some_and(|since| now - since >= RESPONSE_TIMEOUT) {
            self.give_up_connection(now, "does not respond");
        }
        let Some(connection) = &self.connection else {
            self.open_connection(now);
            return;
        };
        if self.route.connected().is_none() {
            return;
        }
        let Some(request) = self.holder.next_request(now) else { return };
        if connection.send(ReplicaRequest::Renew(request)) {
            self.unanswered_since.get_or_insert(now);
        } else {
            self.give_up_connection(now, "does not read");
        }
    }

    fn open_connection(&mut self, now: f64) {
        let NextStep::Connect(replica) = self.route.next_step(now) else { return };
        let Some(address) = self.route.address(replica).copied() else { return };
        self.connections_opened += 1;
        let events = self.connection_events.clone();
        self.connection = Some(ReplicaConnection::open(self.connections_opened, address, events));
        // Connecting has a bound of its own.
        self.unanswered_since = None;
    }

    fn close_connection(&mut self) {
        self.connection = None;
        self.unanswered_since = None;
    }

    fn give_up_connection(&mut self, now: f64, reason: &str) {
        tracing::debug!("{}: the lease-store replica {reason}", self.holder.id());
        self.close_connection();
        self.route.mark_failed(now);
        self.set_reachable(false);
    }

    /// Logs a change once, not with every attempt.
    fn set_reachable(&mut self, reachable: bool) {
        if reachable == self.reachable {
            return;
        }
        self.reachable = reachable;
        let change = match reachable {
            true => "the lease store responds again",
            false => "no lease-store replica responds, goes on while its term lasts",
        };
        tracing::info!("{}: {change}", self.holder.id());
    }

    fn on_connection_event(&mut self, now: f64, number: u64, event: ConnectionEvent) {
        if self.connection.as_ref().is_none_or(|connection| connection.number != number) {
            return; // of a connection that was given up
        }
        match event {
            ConnectionEvent::Connected => {
                self.route.mark_connected();
                // A replica that is new to it has heard nothing yet: the next request is due at once.
                self.holder.renew_now();
            }
            ConnectionEvent::Response(ReplicaReply::Lease(response)) => self.on_leases(now, &response),
            ConnectionEvent::Response(ReplicaReply::NotLeader { leader, address }) => {
                self.close_connection();
                let address = address.and_then(|text| text.parse().ok());
                self.route.follow_redirect(now, leader.map(|number| (number, address)));
            }
            ConnectionEvent::Response(other) => {
                self.give_up_connection(now, &format!("responds {other:?}"));
            }
            ConnectionEvent::Closed(error) => self.give_up_connection(now, &error.to_string()),
        }
    }

    fn on_leases(&mut self, now: f64, response: &LeaseResponse) {
        self.unanswered_since = None;
        self.route.mark_healthy();
        self.set_reachable(true);
        let actions = self.holder.handle_response(now, response);
        if let Some(rejection) = response.rejection {
            tracing::warn!("{}: the lease store rejects it: {rejection:?}", self.holder.id());
        }
        self.carry_out(now, actions);
    }

    /// Does what the lease holder asks for.
    fn carry_out(&mut self, now: f64, actions: Vec<HolderAction>) {
        for action in actions {
            match action {
                HolderAction::Start(task, epoch) => self.begin(now, task, epoch),
                HolderAction::Release(task, epoch) => self.hand_over(now, &task, epoch),
                HolderAction::Stop(task, epoch, reason) => self.stand_down(task, epoch, reason),
            }
        }
    }

    fn begin(&mut self, now: f64, task: Task, epoch: Epoch) {
        let owner = self.holder.id().clone();
        tracing::info!("{owner}: begins with {task}, epoch {epoch}");
        self.config.events.emit(&Event::LeaseStarted { holder: owner, task: task.clone(), epoch });
        if let Some(planner) = &mut self.report_planner {
            planner.begin(now, &task, epoch);
        }
        let collection = self.config.collection.clone().filter(|_| task.name == collection::TASK);
        if let Some(config) = collection {
            let collection_task = CollectionTask::new(config, &task, epoch, now);
            self.collection_tasks.insert(task, collection_task);
        }
    }

    /// Hands a task over once no step of it runs.
    fn hand_over(&mut self, now: f64, task: &Task, epoch: Epoch) {
        let collection_task = self.collection_tasks.get(task);
        if let Some(collection_task) = collection_task {
            collection_task.stop_early.store(true, Ordering::Relaxed);
        }
        if collection_task.is_none_or(CollectionTask::is_idle) {
            let action = self.holder.release(task, epoch);
            self.carry_out(now, action.into_iter().collect());
        }
    }

    fn stand_down(&mut self, task: Task, epoch: Epoch, reason: EndReason) {
        let owner = self.holder.id().clone();
        let why = reason_text(reason);
        tracing::info!("{owner}: stands down from {task}, epoch {epoch}: {why}");
        self.config.events.emit(&Event::LeaseEnded {
            holder: owner,
            task: task.clone(),
            epoch,
            reason: why.into(),
        });
        if let Some(planner) = &mut self.report_planner {
            planner.end(&task, epoch);
        }
        if self.collection_tasks.get(&task).is_some_and(|held| held.epoch == epoch) {
            // A step that runs is reported to the lease holder alone when it ends.
            self.collection_tasks.remove(&task);
        }
    }

    fn on_report(&mut self, now: f64, received: ReceivedReport) {
        let Some(planner) = &mut self.report_planner else { return };
        if let Err(rejected) = planner.receive(now, received) {
            tracing::debug!("{}: {rejected}", self.holder.id());
        }
    }

    /// Answers servers' reports: a step for each part of those tasks that is held. The clock is looked at before each, since an answer after the term would
    /// be too much.
    fn answer_reports(&mut self, now: f64) {
        let Some(planner) = self.report_planner.as_mut().filter(|planner| now >= planner.next_round()) else {
            return;
        };
        planner.schedule_round_after(now);
        let held = self.holder.leases().filter(|(task, _)| ReportPlanner::plans(task));
        let held: Vec<Task> = held.map(|(task, _)| task.clone()).collect();
        let mut actions = Vec::new();
        for task in held {
            let now = self.config.clock.now();
            let Some(StepPermit { epoch, .. }) = self.holder.begin_step(now, &task) else { continue };
            let progress = planner.answer(now, &task);
            actions.extend(self.holder.finish_step(now, &task, epoch, progress, false));
        }
        self.carry_out(now, actions);
    }

    /// Begins steps of collecting where one is due and the term allows it.
    fn begin_steps(&mut self, now: f64) {
        for (task, collection_task) in &mut self.collection_tasks {
            if now < collection_task.due || !collection_task.is_idle() {
                continue;
            }
            let Some(StepPermit { epoch, valid_until }) = self.holder.begin_step(now, task) else { continue };
            let Some(mut transfer) = collection_task.transfer.take() else { continue };
            let until = now + STEP_SHARE * (valid_until - now);
            let stop_early = collection_task.stop_early.clone();
            let (clock, ended_steps, task) =
                (self.config.clock.clone(), self.ended_steps.clone(), task.clone());
            tokio::spawn(async move {
                let outcome = transfer.step(&clock, until, &stop_early).await;
                let _ = ended_steps.send(EndedStep { task, epoch, transfer, outcome }).await;
            });
        }
    }

    fn on_step_ended(&mut self, now: f64, step: EndedStep) {
        let EndedStep { task, epoch, transfer, outcome } = step;
        let mut actions = self.holder.finish_step(now, &task, epoch, outcome.progress, outcome.has_more);
        if outcome.fenced {
            actions.extend(self.holder.handle_fenced(&task, epoch));
        }
        if let Some(held) = self.collection_tasks.get_mut(&task).filter(|held| held.epoch == epoch) {
            // With nothing to do, or nothing done, it rests until the folders are listed again.
            let goes_on = outcome.has_more && outcome.progress;
            held.due = if goes_on { now } else { now + transfer.idle_interval() };
            held.transfer = Some(transfer);
        }
        self.carry_out(now, actions);
        let is_held = self.holder.leases().any(|(held, held_epoch)| *held == task && held_epoch == epoch);
        if is_held && self.holder.stage(now, &task) == LeaseStage::Releasing {
            self.hand_over(now, &task, epoch);
        }
    }
}

/// As events give it to whoever reads them.
fn reason_text(reason: EndReason) -> &'static str {
    match reason {
        EndReason::TermExpired => "its term is over",
        EndReason::Released => "handed over",
        EndReason::NotListed => "the keepers no longer list it",
        EndReason::Superseded => "a later life of this instance has spoken",
        EndReason::Fenced => "a fence has seen a later epoch",
    }
}
