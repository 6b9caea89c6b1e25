//! Task that owns the service's state: handles messages, runs periodic work and saves snapshots.

use super::handle::Message;
use super::{snapshot_file, unix_now};
use crate::fleet::{OutageState, ReportOutcome};
use crate::report::LoadReport;
use crate::service::{ControlService, StreamId};
use crate::stream::{ProxyRequest, Update};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, MissedTickBehavior};

/// Interval of the service's periodic work; shorter than the interval of plans.
const TICK: Duration = Duration::from_millis(50);
/// Minimum time between snapshot writes.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of messages handled between ticks, so that ticks are not delayed.
const MESSAGE_BATCH: usize = 256;

pub(super) struct EventLoop {
    service: ControlService,
    messages: mpsc::Receiver<Message>,
    /// Update queues of the stream tasks.
    streams: HashMap<StreamId, mpsc::Sender<Update>>,
    started_at: Instant,
    snapshots: Option<SnapshotWriter>,
    /// Outage state that was logged last.
    logged_outage: OutageState,
}

impl EventLoop {
    pub(super) fn new(
        service: ControlService,
        messages: mpsc::Receiver<Message>,
        snapshot: Option<PathBuf>,
    ) -> EventLoop {
        EventLoop {
            service,
            messages,
            streams: HashMap::new(),
            started_at: Instant::now(),
            snapshots: snapshot.map(SnapshotWriter::new),
            logged_outage: OutageState::Normal,
        }
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Runs until the service is stopped or all handles are dropped.
    pub(super) async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        // Reset here, since the task may start later than it was created.
        self.started_at = Instant::now();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MESSAGE_BATCH);
        loop {
            tokio::select! {
                count = self.messages.recv_many(&mut batch, MESSAGE_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for message in batch.drain(..) {
                        self.handle(message);
                    }
                }
                _ = tick.tick() => self.tick(),
                _ = stopped.changed() => {
                    self.shut_down().await;
                    return;
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for event in self.service.tick(now) {
            match event.result {
                Ok(update) => self.send_update(event.stream, update),
                Err(_) => self.end_stream(event.stream),
            }
        }
        self.log_outage_change(now);
        if let Some(snapshots) = &mut self.snapshots {
            snapshots.save_if_due(&self.service, now);
        }
    }

    /// Logs when a mass outage is suspected, confirmed or over.
    fn log_outage_change(&mut self, now: f64) {
        let fleet = self.service.fleet();
        let outage = fleet.assessed_outage();
        if outage.is_same_state(self.logged_outage) {
            return;
        }
        let (fresh, known) = (fleet.fresh_count(now), fleet.len());
        match outage {
            OutageState::Normal => tracing::info!("mass outage is over: {fresh} of {known} servers have a fresh report"),
            OutageState::Suspected { .. } => {
                tracing::warn!("mass outage suspected: {fresh} of {known} servers have a fresh report; shares stay unchanged");
            }
            OutageState::Confirmed { .. } => tracing::warn!(
                "mass outage confirmed: {fresh} of {known} servers have a fresh report; unreachable servers lose their shares"
            ),
        }
        self.logged_outage = outage;
    }

    async fn shut_down(self) {
        let now = self.now();
        if let Some(snapshots) = self.snapshots {
            snapshots.save_last(&self.service, now).await;
        }
        let version = self.service.plan_version();
        tracing::info!("stopped; last plan {}.{}", version.epoch, version.number);
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Report { report, memory: _memory } => self.handle_report(now, report),
            Message::OpenStream { id, node, zone, incremental, updates } => {
                self.streams.insert(id, updates);
                self.service.open_stream(now, id, &node, &zone, incremental);
            }
            Message::Request { id, request, memory: _memory } => self.handle_request(now, id, &request),
            Message::CloseStream { id } => self.end_stream(id),
            Message::Query(query) => query(&self.service, now),
        }
    }

    fn handle_report(&mut self, now: f64, report: LoadReport) {
        let instance = report.instance.clone();
        if let ReportOutcome::Invalid(invalid) = self.service.handle_report(now, report) {
            tracing::warn!("load report of {instance:.64} rejected: {invalid}");
        }
    }

    fn handle_request(&mut self, now: f64, id: StreamId, request: &ProxyRequest) {
        if let Some(error) = &request.error {
            tracing::warn!("stream {id}: proxy rejected {:?} update: {error:.200}", request.resource_type);
        }
        match self.service.handle_request(now, id, request) {
            Ok(updates) => updates.into_iter().for_each(|update| self.send_update(id, update)),
            Err(error) => {
                tracing::warn!("stream {id} aborted: {error}");
                self.streams.remove(&id);
            }
        }
    }

    /// Queues an update for its stream's task. A stream whose queue is full is closed: its proxy reads too slowly.
    fn send_update(&mut self, id: StreamId, update: Update) {
        let sent = match self.streams.get(&id) {
            Some(updates) => {
                let sent = updates.try_send(update).is_ok();
                let queued = updates.max_capacity() - updates.capacity();
                let counters = &mut self.service.counters;
                counters.max_queued_updates = counters.max_queued_updates.max(queued);
                sent
            }
            None => false,
        };
        if !sent {
            self.end_stream(id);
        }
    }

    fn end_stream(&mut self, id: StreamId) {
        self.service.close_stream(id);
        // Closing the queue makes the stream's task end the stream.
        self.streams.remove(&id);
    }
}

/// Writes snapshots on a blocking thread, so that a slow disk does not delay proxies.
struct SnapshotWriter {
    path: PathBuf,
    write: Option<JoinHandle<()>>,
    last_saved_at: Instant,
}

impl SnapshotWriter {
    fn new(path: PathBuf) -> SnapshotWriter {
        SnapshotWriter { path, write: None, last_saved_at: Instant::now() }
    }

    /// Starts a write unless one is in progress or the last one was too recent.
    fn save_if_due(&mut self, service: &ControlService, now: f64) {
        let idle = self.write.as_ref().is_none_or(JoinHandle::is_finished);
        if !idle || self.last_saved_at.elapsed() < SAVE_INTERVAL {
            return;
        }
        let Some(snapshot) = service.stored_snapshot(now, unix_now()) else { return };
        self.last_saved_at = Instant::now();
        let path = self.path.clone();
        self.write = Some(tokio::task::spawn_blocking(move || snapshot_file::save(&path, &snapshot)));
    }

    async fn save_last(self, service: &ControlService, now: f64) {
        if let Some(write) = self.write {
            let _ = write.await;
        }
        if let Some(snapshot) = service.stored_snapshot(now, unix_now()) {
            snapshot_file::save(&self.path, &snapshot);
        }
    }
}
