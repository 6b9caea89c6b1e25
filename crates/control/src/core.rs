//! The whole service without I/O and without a clock: reports and requests go in, responses come out. What hosts it turns
//! sockets into these calls; tests host it in schedules of every kind.

use crate::plan::{Plan, Planner};
use crate::resources::{world, Profile, Subsets};
use crate::stream::{Counts, Cut, Lease, Push, Request, Serial, Stream, World};
use crate::view::{Bounds, Report, Verdict, Views};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What the service keeps to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub bounds: Bounds,
    pub lease: Lease,
    pub subsets: Subsets,
    pub times: Times,
}

/// s
#[derive(Clone, Debug, PartialEq)]
pub struct Times {
    /// From one plan to the next.
    pub plan: f64,
    /// After a start: from the first report until a plan is made of what came; longer, up to `wait`, while fewer
    /// servers are heard of than a snapshot knew.
    pub settle: f64,
    pub wait: f64,
    /// For how long plans are made while most reports are missing.
    pub panic: f64,
}

impl Default for Times {
    fn default() -> Times {
        Times { plan: 0.25, settle: 1.0, wait: 5.0, panic: 30.0 }
    }
}

/// Share of a snapshot's servers that is enough to begin with.
const ENOUGH: f64 = 0.8;

/// What outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub epoch: u64,
    pub number: u64,
    /// When the plan was made, s of the Unix clock.
    pub made_unix: f64,
    pub plan: Plan,
}

/// One proxy's stream.
#[derive(Debug)]
struct Peer {
    node: String,
    profile: Profile,
    stream: Stream,
    opened: f64,
}

/// Identifies a stream for as long as it lives.
pub type Id = u64;

/// What one proxy holds, for the debug view.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    pub node: String,
    pub zone: String,
    pub acked: Option<(u64, u64)>,
    pub settled: bool,
    pub open_for: f64,
    pub sent: u64,
    pub heartbeats: u64,
    pub refused: u64,
    pub complaint: Option<String>,
}

/// Counters over all streams, those that ended included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub plans: u64,
    pub changed: u64,
    /// Times that no plan could be made.
    pub none: u64,
    pub cut: u64,
    /// Streams that proxies opened.
    pub opened: u64,
    /// Responses that waited for one stream's socket at once, the most so far.
    pub waiting_most: usize,
    pub ended: Counts,
}

#[derive(Debug)]
pub struct Core {
    told: Told,
    views: Views,
    planner: Planner,
    plan: Option<Arc<Plan>>,
    serial: Serial,
    worlds: HashMap<Profile, Arc<World>>,
    peers: BTreeMap<Id, Peer>,
    planned: f64,
    first_report: Option<f64>,
    /// Servers of the snapshot.
    expected: usize,
    panic_since: Option<f64>,
    pub totals: Totals,
}

impl Core {
    /// A service that starts now. `epoch` is higher than that of any earlier one; of a snapshot, with how long ago its plan was
    /// made, the plan holds while it is within the bound.
    pub fn new(now: f64, told: Told, epoch: u64, snapshot: Option<(Snapshot, f64)>) -> Core {
        let views = Views::new(told.bounds.clone());
        let mut core = Core {
            views,
            planner: Planner::default(),
            plan: None,
            serial: Serial { epoch, number: 0 },
            worlds: HashMap::new(),
            peers: BTreeMap::new(),
            planned: f64::MIN,
            first_report: None,
            expected: 0,
            panic_since: None,
            totals: Totals::default(),
            told,
        };
        if let Some((snapshot, age)) = snapshot {
            core.expected = snapshot.plan.shares.iter().filter(|share| share.weight > 0.0).count();
            if (0.0..core.told.lease.bound).contains(&age) {
                core.serial.number = 1;
                core.plan = Some(Arc::new(Plan { made: now - age, ..snapshot.plan }));
            }
        }
        core
    }

    pub fn report(&mut self, now: f64, report: Report) -> Verdict {
        let verdict = self.views.take(now, report);
        if verdict == Verdict::Taken {
            self.first_report.get_or_insert(now);
        }
        verdict
    }

    /// A proxy opened a stream.
    pub fn open(&mut self, now: f64, id: Id, node: &str, zone: &str, incremental: bool) {
        let profile = Profile { zone: zone.into(), slot: self.told.subsets.slot(node) };
        let peer = Peer { node: node.into(), profile, stream: Stream::new(incremental), opened: now };
        self.totals.opened += 1;
        self.peers.insert(id, peer);
    }

    /// A proxy said something; what is to be sent to it comes back.
    pub fn request(&mut self, now: f64, id: Id, request: &Request) -> Result<Vec<Push>, Cut> {
        let Some(peer) = self.peers.get_mut(&id) else { return Ok(Vec::new()) };
        match peer.stream.request(request) {
            Ok(()) => self.pushes(now, id),
            Err(cut) => {
                self.close(id);
                self.totals.cut += 1;
                Err(cut)
            }
        }
    }

    pub fn close(&mut self, id: Id) {
        if let Some(peer) = self.peers.remove(&id) {
            self.totals.ended += peer.stream.counts;
        }
    }

    /// Plans if it is time, and says what is to be sent to whom, and who is cut.
    pub fn tick(&mut self, now: f64) -> Vec<(Id, Result<Push, Cut>)> {
        if now - self.planned >= self.told.times.plan {
            self.replan(now);
        }
        let ids: Vec<Id> = self.peers.keys().copied().collect();
        let mut all = Vec::new();
        for id in ids {
            match self.pushes(now, id) {
                Ok(pushes) => all.extend(pushes.into_iter().map(|push| (id, Ok(push)))),
                Err(cut) => {
                    self.close(id);
                    self.totals.cut += 1;
                    all.push((id, Err(cut)));
                }
            }
        }
        all
    }

    fn pushes(&mut self, now: f64, id: Id) -> Result<Vec<Push>, Cut> {
        let Core { plan, worlds, peers, told, serial, .. } = self;
        let (Some(plan), Some(peer)) = (plan.as_ref(), peers.get_mut(&id)) else { return Ok(Vec::new()) };
        if !worlds.contains_key(&peer.profile) {
            let made = Arc::new(world(plan, *serial, &peer.profile, &told.subsets));
            worlds.insert(peer.profile.clone(), made);
        }
        let world = &worlds[&peer.profile];
        let mut all = Vec::new();
        while let Some(push) = peer.stream.next(now, world, &told.lease)? {
            all.push(push);
        }
        Ok(all)
    }

    /// Whether enough is known to plan by.
    fn ready(&self, now: f64) -> bool {
        let Some(first) = self.first_report else { return false };
        let since = now - first;
        let enough = self.views.fresh(now) as f64 >= ENOUGH * self.expected as f64;
        since >= self.told.times.settle && (enough || since >= self.told.times.wait)
    }

    fn replan(&mut self, now: f64) {
        self.planned = now;
        self.views.tidy(now);
        if !self.ready(now) {
            return;
        }
        let Some(plan) = self.planner.plan(now, &self.views) else {
            self.totals.none += 1;
            return;
        };
        // Reports that stay away for long are no slip any more: nothing is decided on them, and leases end.
        let since = match plan.panic {
            true => Some(self.panic_since.unwrap_or(now)),
            false => None,
        };
        self.panic_since = since;
        if since.is_some_and(|since| now - since > self.told.times.panic) {
            self.totals.none += 1;
            return;
        }
        self.totals.plans += 1;
        // Renewed where it says the same: the content keeps its number.
        let mut changed = self.plan.is_none();
        let mut worlds = HashMap::with_capacity(self.worlds.len());
        let next = Serial { number: self.serial.number + 1, ..self.serial };
        for peer in self.peers.values() {
            if worlds.contains_key(&peer.profile) {
                continue;
            }
            let mut new = world(&plan, next, &peer.profile, &self.told.subsets);
            match self.worlds.get(&peer.profile) {
                Some(old) if old.sets == new.sets => new.serial = old.serial,
                _ => changed = true,
            }
            worlds.insert(peer.profile.clone(), Arc::new(new));
        }
        if changed {
            self.serial = next;
            self.totals.changed += 1;
        }
        (self.worlds, self.plan) = (worlds, Some(Arc::new(plan)));
    }

    /// Whether there is a plan that proxies may still use.
    pub fn holds(&self, now: f64) -> bool {
        self.plan.as_ref().is_some_and(|plan| now - plan.made < self.told.lease.bound)
    }
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }
    pub fn views(&self) -> &Views {
        &self.views
    }
    pub fn serial(&self) -> Serial {
        self.serial
    }
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
    /// Proxies that hold all that they asked for as it is now.
    pub fn settled(&self) -> usize {
        let settled =
            |peer: &&Peer| self.worlds.get(&peer.profile).is_some_and(|world| peer.stream.settled(world));
        self.peers.values().filter(settled).count()
    }
    /// What is to be kept for the next life; `unix` is now by the Unix clock.
    pub fn snapshot(&self, now: f64, unix: f64) -> Option<Snapshot> {
        let plan = self.plan.as_ref()?;
        let made_unix = unix - (now - plan.made);
        let Serial { epoch, number } = self.serial;
        Some(Snapshot { epoch, number, made_unix, plan: (**plan).clone() })
    }
    /// Of all proxies, what they hold.
    pub fn seen(&self, now: f64) -> Vec<Seen> {
        let one = |peer: &Peer| Seen {
            node: peer.node.clone(),
            zone: peer.profile.zone.clone(),
            acked: peer.stream.acked().map(|serial| (serial.epoch, serial.number)),
            settled: self.worlds.get(&peer.profile).is_some_and(|world| peer.stream.settled(world)),
            open_for: now - peer.opened,
            sent: peer.stream.counts.sent,
            heartbeats: peer.stream.counts.heartbeats,
            refused: peer.stream.counts.refused,
            complaint: peer.stream.complaint.as_ref().map(|(kind, _, text)| format!("{kind:?}: {text}")),
        };
        self.peers.values().map(one).collect()
    }
    /// Counts of all streams, open and ended.
    pub fn counts(&self) -> Counts {
        let mut all = self.totals.ended;
        self.peers.values().for_each(|peer| all += peer.stream.counts);
        all
    }
    /// What proxies of a zone are to hold now, for tools.
    pub fn world(&self, zone: &str, node: &str) -> Option<World> {
        let profile = Profile { zone: zone.into(), slot: self.told.subsets.slot(node) };
        Some(world(self.plan.as_ref()?, self.serial, &profile, &self.told.subsets))
    }
}
