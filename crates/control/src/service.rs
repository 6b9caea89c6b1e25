//! The service's state machine: handles reports and proxy requests, and returns updates. Performs no I/O and reads no
//! clock; the host connects it to sockets, tests to simulated schedules.

use crate::fleet::{FleetConfig, FleetView, ReportOutcome};
use crate::plan::{Plan, Planner};
use crate::report::LoadReport;
use crate::resources::{resource_snapshot, ProxyProfile, SubsetConfig};
use crate::stream::{
    LeaseConfig, PlanVersion, ProxyRequest, ProxyStream, RejectedUpdate, ResourceSnapshot, StreamCounters,
    StreamError, Update,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Configuration of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Timeouts of server reports.
    pub fleet: FleetConfig,
    /// Leases of the resources sent to proxies.
    pub lease: LeaseConfig,
    /// Subsets of servers that proxies connect to.
    pub subsets: SubsetConfig,
    /// Schedule of plans.
    pub schedule: PlanSchedule,
}

/// Schedule of plans, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSchedule {
    /// Time between plans.
    pub interval: f64,
    /// Time from the first report after a start to the first plan.
    pub min_settle_time: f64,
    /// The same while fewer servers report than the stored snapshot lists.
    pub max_settle_time: f64,
    /// Time for which plans are still made while a mass outage is suspected.
    pub max_panic_time: f64,
}

impl Default for PlanSchedule {
    fn default() -> PlanSchedule {
        PlanSchedule { interval: 0.25, min_settle_time: 1.0, max_settle_time: 5.0, max_panic_time: 30.0 }
    }
}

/// Fraction of a stored snapshot's servers that must report before the first plan; some may have been removed.
const READY_SERVER_FRACTION: f64 = 0.8;

/// State that outlives the process, stored as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Epoch of the process that wrote it.
    pub epoch: u64,
    /// Number of the plan within the epoch.
    pub number: u64,
    /// When the plan was computed, seconds of the Unix clock.
    #[serde(rename = "made_unix")]
    pub decided_at_unix: f64,
    /// The plan.
    pub plan: Plan,
}

/// A stored snapshot read at startup.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredSnapshot {
    /// The stored snapshot.
    pub snapshot: StoredSnapshot,
    /// Age of its plan, seconds.
    pub age: f64,
}

/// A proxy's stream and the proxy's identity.
#[derive(Debug)]
struct ConnectedProxy {
    node: String,
    profile: ProxyProfile,
    stream: ProxyStream,
    opened_at: f64,
}

/// Identifier of an open stream.
pub type StreamId = u64;

/// An update to send on a stream, or the error that closes it.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEvent {
    /// The stream.
    pub stream: StreamId,
    /// Update to send, or the error that closes the stream.
    pub result: Result<Update, StreamError>,
}

/// State of a proxy, for the debug pages.
#[derive(Clone, Debug, Serialize)]
pub struct ProxyStatus {
    /// Id of the proxy's node.
    pub node: String,
    /// Zone of the proxy.
    pub zone: String,
    /// Epoch and number of the oldest plan acknowledged among the subscribed resource types.
    pub acked: Option<(u64, u64)>,
    /// Whether the proxy holds the current version of all subscribed resources.
    #[serde(rename = "settled")]
    pub in_sync: bool,
    /// Seconds since the stream was opened.
    pub open_for: f64,
    /// Updates with content sent to the proxy.
    #[serde(rename = "sent")]
    pub content_updates: u64,
    /// Updates that only renewed leases.
    pub heartbeats: u64,
    /// Updates that the proxy rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Type and reason of the last rejected update.
    #[serde(rename = "complaint")]
    pub last_rejection: Option<String>,
}

/// Counters since the service started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Computed plans.
    pub plans: u64,
    /// Plans that changed the resources of any proxy.
    pub plans_changed: u64,
    /// Times that no plan could be computed.
    pub plans_missing: u64,
    /// Streams closed because of an error.
    pub streams_aborted: u64,
    /// Streams opened by proxies.
    pub streams_opened: u64,
    /// Maximum number of updates queued for one stream's socket.
    pub max_queued_updates: usize,
    /// Counters of closed streams.
    pub ended_streams: StreamCounters,
}

/// State of the service: the fleet, the current plan, and the streams of all proxies.
#[derive(Debug)]
pub struct ControlService {
    config: ServiceConfig,
    fleet: FleetView,
    planner: Planner,
    plan: Option<Arc<Plan>>,
    version: PlanVersion,
    snapshots: HashMap<ProxyProfile, Arc<ResourceSnapshot>>,
    proxies: BTreeMap<StreamId, ConnectedProxy>,
    last_planned_at: f64,
    first_report_at: Option<f64>,
    /// Number of servers with load in the stored snapshot.
    expected_servers: usize,
    panic_since: Option<f64>,
    /// Counters since the service started.
    pub counters: ServiceCounters,
}

impl ControlService {
    /// Creates a service that starts at `now`. `epoch` must exceed that of every earlier process. The plan of a
    /// restored snapshot is used if it is younger than the maximum decision age.
    pub fn new(
        now: f64,
        config: ServiceConfig,
        epoch: u64,
        restored: Option<RestoredSnapshot>,
    ) -> ControlService {
        let mut service = ControlService {
            fleet: FleetView::new(config.fleet.clone()),
            planner: Planner::default(),
            plan: None,
            version: PlanVersion { epoch, number: 0 },
            snapshots: HashMap::new(),
            proxies: BTreeMap::new(),
            last_planned_at: f64::MIN,
            first_report_at: None,
            expected_servers: 0,
            panic_since: None,
            counters: ServiceCounters::default(),
            config,
        };
        if let Some(restored) = restored {
            service.restore(now, restored);
        }
        service
    }

    fn restore(&mut self, now: f64, RestoredSnapshot { snapshot, age }: RestoredSnapshot) {
        self.expected_servers = snapshot.plan.shares.iter().filter(|share| share.weight > 0.0).count();
        if (0.0..self.config.lease.max_decision_age).contains(&age) {
            self.version.number = 1;
            self.plan = Some(Arc::new(Plan { decided_at: now - age, ..snapshot.plan }));
        }
    }

    /// Handles a server's report.
    pub fn handle_report(&mut self, now: f64, report: LoadReport) -> ReportOutcome {
        let outcome = self.fleet.record(now, report);
        if outcome == ReportOutcome::Accepted {
            self.first_report_at.get_or_insert(now);
        }
        outcome
    }

    /// Registers a stream opened by a proxy.
    pub fn open_stream(&mut self, now: f64, id: StreamId, node: &str, zone: &str, incremental: bool) {
        let profile = self.profile(zone, node);
        let stream = ProxyStream::new(incremental);
        let proxy = ConnectedProxy { node: node.into(), profile, stream, opened_at: now };
        self.counters.streams_opened += 1;
        self.proxies.insert(id, proxy);
    }

    fn profile(&self, zone: &str, node: &str) -> ProxyProfile {
        ProxyProfile { zone: zone.into(), subset: self.config.subsets.subset_of(node) }
    }

    /// Handles a proxy's request and returns the updates to send. Closes the stream on an error.
    pub fn handle_request(
        &mut self,
        now: f64,
        id: StreamId,
        request: &ProxyRequest,
    ) -> Result<Vec<Update>, StreamError> {
        let Some(proxy) = self.proxies.get_mut(&id) else { return Ok(Vec::new()) };
        match proxy.stream.handle_request(request) {
            Ok(()) => self.pending_updates(now, id),
            Err(error) => {
                self.abort_stream(id);
                Err(error)
            }
        }
    }

    /// Removes a closed stream and keeps its counters.
    pub fn close_stream(&mut self, id: StreamId) {
        if let Some(proxy) = self.proxies.remove(&id) {
            self.counters.ended_streams += proxy.stream.counters;
        }
    }

    fn abort_stream(&mut self, id: StreamId) {
        self.close_stream(id);
        self.counters.streams_aborted += 1;
    }

    /// Computes a plan if one is due, and returns the updates to send and the streams to close.
    pub fn tick(&mut self, now: f64) -> Vec<StreamEvent> {
        if now - self.last_planned_at >= self.config.schedule.interval {
            self.replan(now);
        }
        let ids: Vec<StreamId> = self.proxies.keys().copied().collect();
        let mut events = Vec::new();
        for stream in ids {
            match self.pending_updates(now, stream) {
                Ok(updates) => {
                    events
                        .extend(updates.into_iter().map(|update| StreamEvent { stream, result: Ok(update) }));
                }
                Err(error) => {
                    self.abort_stream(stream);
                    events.push(StreamEvent { stream, result: Err(error) });
                }
            }
        }
        events
    }

    /// Returns the updates that are due on a stream.
    fn pending_updates(&mut self, now: f64, id: StreamId) -> Result<Vec<Update>, StreamError> {
        let ControlService { plan, snapshots, proxies, config, version, .. } = self;
        let (Some(plan), Some(proxy)) = (plan.as_ref(), proxies.get_mut(&id)) else { return Ok(Vec::new()) };
        if !snapshots.contains_key(&proxy.profile) {
            let snapshot = resource_snapshot(plan, *version, &proxy.profile, &config.subsets);
            snapshots.insert(proxy.profile.clone(), Arc::new(snapshot));
        }
        let snapshot = &snapshots[&proxy.profile];
        let mut updates = Vec::new();
        while let Some(update) = proxy.stream.next_update(now, snapshot, &config.lease)? {
            updates.push(update);
        }
        Ok(updates)
    }

    /// Returns whether enough servers have reported for a first plan.
    fn is_ready(&self, now: f64) -> bool {
        let Some(first_report_at) = self.first_report_at else { return false };
        let elapsed = now - first_report_at;
        let schedule = &self.config.schedule;
        let enough =
            self.fleet.fresh_count(now) as f64 >= READY_SERVER_FRACTION * self.expected_servers as f64;
        elapsed >= schedule.min_settle_time && (enough || elapsed >= schedule.max_settle_time)
    }

    fn replan(&mut self, now: f64) {
        self.last_planned_at = now;
        self.fleet.evict_silent(now);
        self.fleet.assess_outage(now);
        if !self.is_ready(now) {
            return;
        }
        let Some(plan) = self.planner.plan(now, &self.fleet) else {
            self.counters.plans_missing += 1;
            return;
        };
        if self.panic_timed_out(now, plan.panic) {
            self.counters.plans_missing += 1;
            return;
        }
        self.counters.plans += 1;
        self.apply_plan(plan);
    }

    /// Tracks panic mode and returns whether it has lasted too long: no plan is made then, and the leases of proxies
    /// expire. If some server reports steadily, the outage is confirmed before that.
    fn panic_timed_out(&mut self, now: f64, panic: bool) -> bool {
        self.panic_since = panic.then(|| self.panic_since.unwrap_or(now));
        self.panic_since.is_some_and(|since| now - since > self.config.schedule.max_panic_time)
    }

    /// Rebuilds the resources of all profiles. Snapshots whose content does not change keep their version.
    fn apply_plan(&mut self, plan: Plan) {
        let next = PlanVersion { number: self.version.number + 1, ..self.version };
        let mut changed = self.plan.is_none();
        let mut snapshots = HashMap::with_capacity(self.snapshots.len());
        for proxy in self.proxies.values() {
            if snapshots.contains_key(&proxy.profile) {
                continue;
            }
            let mut snapshot = resource_snapshot(&plan, next, &proxy.profile, &self.config.subsets);
            match self.snapshots.get(&proxy.profile) {
                Some(last) if last.sets == snapshot.sets => snapshot.version = last.version,
                _ => changed = true,
            }
            snapshots.insert(proxy.profile.clone(), Arc::new(snapshot));
        }
        if changed {
            self.version = next;
            self.counters.plans_changed += 1;
        }
        self.snapshots = snapshots;
        self.plan = Some(Arc::new(plan));
    }

    /// Returns whether the current plan is within the maximum decision age.
    pub fn has_valid_plan(&self, now: f64) -> bool {
        let max_age = self.config.lease.max_decision_age;
        self.plan.as_ref().is_some_and(|plan| now - plan.decided_at < max_age)
    }

    /// Returns the current plan, if there is one.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Returns the fleet's view, from which plans are computed.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Returns the version of the last plan that changed the resources of any proxy.
    pub fn plan_version(&self) -> PlanVersion {
        self.version
    }

    /// Returns the number of open streams.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Returns the number of proxies that hold the current version of all subscribed resources.
    pub fn in_sync_count(&self) -> usize {
        self.proxies.values().filter(|proxy| self.is_in_sync(proxy)).count()
    }

    fn is_in_sync(&self, proxy: &ConnectedProxy) -> bool {
        self.snapshots.get(&proxy.profile).is_some_and(|snapshot| proxy.stream.in_sync(snapshot))
    }

    /// Returns the snapshot to store for the next process; `unix_now` is the current time by the Unix clock, seconds.
    pub fn stored_snapshot(&self, now: f64, unix_now: f64) -> Option<StoredSnapshot> {
        let plan = self.plan.as_ref()?;
        let decided_at_unix = unix_now - (now - plan.decided_at);
        let PlanVersion { epoch, number } = self.version;
        Some(StoredSnapshot { epoch, number, decided_at_unix, plan: (**plan).clone() })
    }

    /// Returns the state of each proxy.
    pub fn proxy_statuses(&self, now: f64) -> Vec<ProxyStatus> {
        self.proxies.values().map(|proxy| self.proxy_status(now, proxy)).collect()
    }

    fn proxy_status(&self, now: f64, proxy: &ConnectedProxy) -> ProxyStatus {
        let stream = &proxy.stream;
        let describe =
            |rejected: &RejectedUpdate| format!("{:?}: {}", rejected.resource_type, rejected.reason);
        ProxyStatus {
            node: proxy.node.clone(),
            zone: proxy.profile.zone.clone(),
            acked: stream.acked().map(|version| (version.epoch, version.number)),
            in_sync: self.is_in_sync(proxy),
            open_for: now - proxy.opened_at,
            content_updates: stream.counters.content_updates,
            heartbeats: stream.counters.heartbeats,
            rejected: stream.counters.rejected,
            last_rejection: stream.last_rejection.as_ref().map(describe),
        }
    }

    /// Returns the summed counters of all streams, open and closed.
    pub fn stream_counters(&self) -> StreamCounters {
        let mut total = self.counters.ended_streams;
        self.proxies.values().for_each(|proxy| total += proxy.stream.counters);
        total
    }

    /// Returns the resources for a proxy by the current plan, for tools.
    pub fn resources_for(&self, zone: &str, node: &str) -> Option<ResourceSnapshot> {
        let profile = self.profile(zone, node);
        let plan = self.plan.as_ref()?;
        Some(resource_snapshot(plan, self.version, &profile, &self.config.subsets))
    }
}
