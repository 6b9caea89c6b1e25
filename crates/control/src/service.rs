//! The whole service without I/O and without a clock: reports and requests go in, updates come out. What hosts it turns sockets
//! into these calls; tests host it in schedules of every kind.

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

/// What the service keeps to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// How long servers are trusted.
    pub fleet: FleetConfig,
    /// How long proxies may use a decision.
    pub lease: LeaseConfig,
    /// How a large fleet is cut for proxies.
    pub subsets: SubsetConfig,
    /// When plans are made.
    pub schedule: PlanSchedule,
}

/// When plans are made, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSchedule {
    /// From one plan to the next.
    pub interval: f64,
    /// After a start, from the first report until the first plan is made.
    pub min_settle_time: f64,
    /// The same while fewer servers report than a stored snapshot knew.
    pub max_settle_time: f64,
    /// For how long plans are made while most reports are missing.
    pub max_panic_time: f64,
}

impl Default for PlanSchedule {
    fn default() -> PlanSchedule {
        PlanSchedule { interval: 0.25, min_settle_time: 1.0, max_settle_time: 5.0, max_panic_time: 30.0 }
    }
}

/// Fraction of a stored snapshot's servers that is enough to begin with: some may be gone for good.
const READY_SERVER_FRACTION: f64 = 0.8;

/// What outlives the process, stored as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Epoch of the process that wrote it.
    pub epoch: u64,
    /// Number of the plan in that epoch.
    pub number: u64,
    /// When the plan was decided, seconds of the Unix clock.
    #[serde(rename = "made_unix")]
    pub decided_at_unix: f64,
    /// The plan.
    pub plan: Plan,
}

/// A stored snapshot that was read at a start.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredSnapshot {
    /// What was stored.
    pub snapshot: StoredSnapshot,
    /// Seconds since its plan was decided.
    pub age: f64,
}

/// One proxy's stream, and who is at its other end.
#[derive(Debug)]
struct ConnectedProxy {
    node: String,
    profile: ProxyProfile,
    stream: ProxyStream,
    opened_at: f64,
}

/// Identifies a stream for as long as it lives.
pub type StreamId = u64;

/// An update to send on a stream, or why the stream must end.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamEvent {
    /// The stream.
    pub stream: StreamId,
    /// What to send on it, or why it ends.
    pub result: Result<Update, StreamError>,
}

/// What one proxy holds, for the debug pages.
#[derive(Clone, Debug, Serialize)]
pub struct ProxyStatus {
    /// Id of its node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Epoch and number of the oldest plan among the types that it asked for.
    pub acked: Option<(u64, u64)>,
    /// Whether it holds all that it asked for as it is now.
    #[serde(rename = "settled")]
    pub in_sync: bool,
    /// Seconds since its stream was opened.
    pub open_for: f64,
    /// Updates with content that it was sent.
    #[serde(rename = "sent")]
    pub content_updates: u64,
    /// Updates that only renewed leases.
    pub heartbeats: u64,
    /// Updates that it rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Type and reason of the last one that it rejected.
    #[serde(rename = "complaint")]
    pub last_rejection: Option<String>,
}

/// Counters over the life of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Plans that were made.
    pub plans: u64,
    /// Plans that changed what any proxy holds.
    pub plans_changed: u64,
    /// Times that no plan could be made.
    pub plans_missing: u64,
    /// Streams that were ended because of an error.
    pub streams_aborted: u64,
    /// Streams that proxies opened.
    pub streams_opened: u64,
    /// Most updates that ever waited for one stream's socket at once.
    pub max_queued_updates: usize,
    /// Counters of the streams that have ended.
    pub ended_streams: StreamCounters,
}

/// The state of the service: the fleet, the plan in force, and the streams of all proxies.
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
    /// Servers that got load by the stored snapshot.
    expected_servers: usize,
    panic_since: Option<f64>,
    /// Counters since the service started.
    pub counters: ServiceCounters,
}

impl ControlService {
    /// A service that starts now. `epoch` is higher than that of any earlier one; the plan of a stored snapshot holds while it is
    /// within the bound.
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

    /// Takes in a server's report.
    pub fn handle_report(&mut self, now: f64, report: LoadReport) -> ReportOutcome {
        let outcome = self.fleet.record(now, report);
        if outcome == ReportOutcome::Accepted {
            self.first_report_at.get_or_insert(now);
        }
        outcome
    }

    /// A proxy opened a stream.
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

    /// Takes in a proxy's request, and gives what is to be sent to it. After an error the stream is closed.
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

    /// A stream ended; its counters are kept.
    pub fn close_stream(&mut self, id: StreamId) {
        if let Some(proxy) = self.proxies.remove(&id) {
            self.counters.ended_streams += proxy.stream.counters;
        }
    }

    fn abort_stream(&mut self, id: StreamId) {
        self.close_stream(id);
        self.counters.streams_aborted += 1;
    }

    /// Plans if it is time, and says what is to be sent on which streams, and which are closed.
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

    /// All that is to be sent on a stream now.
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

    /// Whether enough servers have reported to plan by.
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

    /// Reports of most servers that stay away for long while no other is heard steadily are no passing fault: nothing is decided on
    /// them, and leases end. Where others are heard, the silence is confirmed long before, and this never comes to pass.
    fn panic_timed_out(&mut self, now: f64, panic: bool) -> bool {
        self.panic_since = panic.then(|| self.panic_since.unwrap_or(now));
        self.panic_since.is_some_and(|since| now - since > self.config.schedule.max_panic_time)
    }

    /// Makes the resources of all profiles anew. Those that a plan does not change keep their version.
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

    /// Whether there is a plan that proxies may still use.
    pub fn has_valid_plan(&self, now: f64) -> bool {
        let max_age = self.config.lease.max_decision_age;
        self.plan.as_ref().is_some_and(|plan| now - plan.decided_at < max_age)
    }

    /// The plan in force, if any was made.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// The view of the fleet that plans are made from.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Version of the last plan that changed what any proxy holds.
    pub fn plan_version(&self) -> PlanVersion {
        self.version
    }

    /// Number of open streams.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Number of proxies that hold all that they asked for as it is now.
    pub fn in_sync_count(&self) -> usize {
        self.proxies.values().filter(|proxy| self.is_in_sync(proxy)).count()
    }

    fn is_in_sync(&self, proxy: &ConnectedProxy) -> bool {
        self.snapshots.get(&proxy.profile).is_some_and(|snapshot| proxy.stream.in_sync(snapshot))
    }

    /// What is to be stored for the next process; `unix_now` is now by the Unix clock, in seconds.
    pub fn stored_snapshot(&self, now: f64, unix_now: f64) -> Option<StoredSnapshot> {
        let plan = self.plan.as_ref()?;
        let decided_at_unix = unix_now - (now - plan.decided_at);
        let PlanVersion { epoch, number } = self.version;
        Some(StoredSnapshot { epoch, number, decided_at_unix, plan: (**plan).clone() })
    }

    /// What each proxy holds.
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

    /// Counters of all streams together, open and ended.
    pub fn stream_counters(&self) -> StreamCounters {
        let mut total = self.counters.ended_streams;
        self.proxies.values().for_each(|proxy| total += proxy.stream.counters);
        total
    }

    /// What a proxy is to hold now, for tools.
    pub fn resources_for(&self, zone: &str, node: &str) -> Option<ResourceSnapshot> {
        let profile = self.profile(zone, node);
        let plan = self.plan.as_ref()?;
        Some(resource_snapshot(plan, self.version, &profile, &self.config.subsets))
    }
}
