//! Simulated fleet: servers, distributors, lease holders and lease-store replicas, and the main loop of the simulation.

use crate::counts::Counts;
use crate::network::{InTransit, Proposer};
use puffinladder_config_rollout::distributor::{Distributor, DistributorSettings};
use puffinladder_config_rollout::follower::{Follower, VersionedContent};
use puffinladder_config_rollout::history::{History, LogEntry, RetentionLimits};
use puffinladder_config_rollout::rollout::RolloutController;
use puffinladder_config_rollout::{Content, Digest, Digester, Key, ValidationError, VersionId};
use puffinladder_leases::{Epoch, HolderId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time step of the simulation, s.
pub const STEP: f64 = 0.04;
/// Time of the last possible fault or change, s.
const FAULTS_END: f64 = 26.0;
/// Time after the last fault within which all servers must have the latest version, s.
const CONVERGENCE_LIMIT: f64 = 6.0;
/// Quota of tenant `poison` that every server rejects.
pub const REJECTED_QUOTA: f64 = 666.0;
/// Quota of tenant `deadly` with which every server crashes.
pub const CRASHING_QUOTA: f64 = 13.0;

/// The description of a violated invariant, if any.
pub type InvariantResult = Result<(), String>;

/// A planted bug that the schedules must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bug {
    None,
    /// A server applies changes without verifying the digest.
    Unchecked,
    /// A server activates an older version when a target message names it.
    Downgrade,
    /// A server acknowledges the staged version as active.
    EarlyAck,
    /// A server activates a change partially, over two rounds.
    HalfChange,
    /// The lease store accepts commands with a stale epoch.
    StaleEpoch,
    /// A distributor enforces no byte budget.
    NoByteBudget,
    /// A version is released without observing the canaries.
    NoCanary,
    /// A leader answers before a majority has stored the entry.
    EarlyAnswer,
    /// A partitioned distributor reports age 0.
    NoAge,
}

/// A server with its host process, follower and disk.
pub struct SimulatedServer {
    pub name: String,
    pub zone: String,
    pub region: usize,
    pub incarnation: u64,
    pub follower: Follower,
    /// The content that the host uses.
    pub active: VersionedContent,
    /// Earlier active contents, for [`Bug::Downgrade`].
    pub previous: Vec<VersionedContent>,
    /// The highest version that was ever active.
    pub highest: u64,
    pub disk: Option<Vec<u8>>,
    /// The number of the version on disk.
    pub stored: u64,
    pub disk_full_until: f64,
    pub down_until: f64,
    pub paused_until: f64,
    /// Time until which messages from the server are lost.
    pub outbound_lost_until: f64,
    /// Time until which messages to the server are lost.
    pub inbound_lost_until: f64,
    /// Index of the distributor.
    pub connected_to: Option<usize>,
    pub last_heard: f64,
    /// Time at which the active version crashes the server.
    pub crashes_at: Option<f64>,
    /// Lines sent to the server within the last second.
    pub sent_lines: VecDeque<SentLine>,
    /// The content to activate in the next round, for [`Bug::HalfChange`].
    pub second_half: Option<VersionedContent>,
}

/// A line sent to a server.
pub struct SentLine {
    pub at: f64,
    pub bytes: f64,
}

pub struct SimulatedDistributor {
    pub region: usize,
    pub distributor: Distributor,
    pub replica: History,
    /// Time at which a majority was last reached.
    pub fresh_at: f64,
    pub down_until: f64,
    /// Time of the next update from the lease store.
    pub next_update: f64,
}

pub struct SimulatedHolder {
    pub region: usize,
    pub controller: RolloutController,
    pub replica: History,
    /// Time until which a replaced holder continues to work; `f64::MAX` for the current holder.
    pub active_until: f64,
}

/// An entry that the leader has received but not committed.
pub struct PendingEntry {
    pub due: f64,
    pub entry: LogEntry,
    pub proposer: Proposer,
}

/// The committed digest and content of a version.
pub struct KnownVersion {
    pub digest: Digest,
    pub content: Content,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub bug: Bug,
    /// Time since the start, s.
    pub now: f64,
    pub faults_end: f64,
    /// Maximum duration of a partition, s.
    pub max_partition_time: f64,
    pub digester: Digester,
    pub limits: RetentionLimits,
    pub servers: Vec<SimulatedServer>,
    pub distributors: Vec<SimulatedDistributor>,
    pub holders: Vec<SimulatedHolder>,
    /// The committed entries.
    pub log: Vec<LogEntry>,
    /// The history of the committed entries.
    pub committed: History,
    /// The lease-store replicas, each with the entries applied so far.
    pub replicas: Vec<History>,
    pub pending: Vec<PendingEntry>,
    pub leaderless_until: f64,
    /// End of the partition between the two regions. The majority is in region 0.
    pub partitioned_until: f64,
    pub partitioned_since: f64,
    pub last_epoch: Epoch,
    pub next_lease_at: Option<f64>,
    pub in_transit: Vec<InTransit>,
    pub posted: u64,
    /// All committed versions.
    pub versions: BTreeMap<u64, KnownVersion>,
    /// Canaries by version number.
    pub canaries: BTreeMap<u64, BTreeSet<String>>,
    /// The highest epoch of an accepted entry.
    pub highest_epoch: Epoch,
    pub accepted: Vec<VersionId>,
    pub next_put: f64,
    pub put_interval: f64,
    /// Maximum number of keys in one change.
    pub max_keys: usize,
    pub counts: Counts,
    converged_after: f64,
}

/// The local validation of a server.
pub fn local_check(content: &Content) -> Result<(), ValidationError> {
    let key = Key::tenant("poison");
    match content.get(&key) {
        Some(REJECTED_QUOTA) => Err(ValidationError::at(&key, "poison")),
        _ => Ok(()),
    }
}

impl World {
    pub fn new(seed: u64, bug: Bug) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let digester = if seed.is_multiple_of(4) { Digester::default() } else { Digester::keyed([7; 32]) };
        let versions = if seed.is_multiple_of(3) { 6 } else { 4096 };
        let limits = RetentionLimits { versions, bytes: 1 << 20 };
        let committed = History::new(digester.clone(), limits);
        let server_count = rng.random_range(5..=40);
        let distributor_count = rng.random_range(1..=3);
        let initial = KnownVersion { digest: committed.head().digest, content: Content::default() };
        let mut world = World {
            bug,
            now: 0.0,
            faults_end: FAULTS_END,
            max_partition_time: 16.0,
            servers: Vec::new(),
            distributors: Vec::new(),
            holders: Vec::new(),
            log: Vec::new(),
            replicas: vec![committed.clone(); 3],
            pending: Vec::new(),
            leaderless_until: 0.0,
            partitioned_until: 0.0,
            partitioned_since: 0.0,
            last_epoch: 0,
            next_lease_at: Some(0.0),
            in_transit: Vec::new(),
            posted: 0,
            versions: BTreeMap::from([(0, initial)]),
            canaries: BTreeMap::new(),
            highest_epoch: 0,
            accepted: Vec::new(),
            next_put: 1.0,
            put_interval: rng.random_range(0.2..2.5),
            max_keys: if rng.random_bool(0.3) { rng.random_range(40..100) } else { 3 },
            counts: Counts::default(),
            converged_after: 0.0,
            digester,
            limits,
            committed,
            rng,
        };
        for index in 0..distributor_count {
            let region = if distributor_count == 1 { 0 } else { index % 2 };
            let distributor = world.new_distributor(region);
            world.distributors.push(distributor);
        }
        for index in 0..server_count {
            let server = world.new_server(index);
            world.servers.push(server);
        }
        world
    }

    fn new_server(&self, index: usize) -> SimulatedServer {
        let (region, zone) = (index % 2, format!("z{}", index % 6));
        let name = format!("n{index:02}");
        let (follower, _) =
            Follower::start(HolderId::new(&name, 1), &zone, self.digester.clone(), None, &local_check);
        SimulatedServer {
            name,
            zone,
            region,
            incarnation: 1,
            active: follower.active().clone(),
            follower,
            previous: Vec::new(),
            highest: 0,
            disk: None,
            stored: 0,
            disk_full_until: 0.0,
            down_until: 0.0,
            paused_until: 0.0,
            outbound_lost_until: 0.0,
            inbound_lost_until: 0.0,
            connected_to: None,
            last_heard: 0.0,
            crashes_at: None,
            sent_lines: VecDeque::new(),
            second_half: None,
        }
    }

    pub fn new_distributor(&mut self, region: usize) -> SimulatedDistributor {
        let rate = if self.bug == Bug::NoByteBudget { 1e9 } else { DistributorSettings::default().rate };
        let burst = if self.bug == Bug::NoByteBudget { 1e9 } else { DistributorSettings::default().burst };
        // Few enough that servers wait for a slot, but enough to converge within the limit.
        let catch_up_slots = self.rng.random_range(4..9) * 4;
        let settings = DistributorSettings { rate, burst, catch_up_slots, ..DistributorSettings::default() };
        settings.check().expect("valid settings");
        SimulatedDistributor {
            region,
            distributor: Distributor::new(settings, self.rng.random(), self.now),
            replica: History::new(self.digester.clone(), self.limits),
            fresh_at: f64::MIN,
            down_until: 0.0,
            next_update: 0.0,
        }
    }

    /// Runs the schedule to its end or to the first violated invariant.
    pub fn run(&mut self) -> InvariantResult {
        while self.now < self.faults_end + CONVERGENCE_LIMIT {
            self.now += STEP;
            if self.now < self.faults_end {
                self.inject_random_fault()?;
                self.put_changes()?;
            }
            self.deliver()?;
            self.run_lease_store()?;
            self.run_lease_holders()?;
            self.run_distributors()?;
            for index in 0..self.servers.len() {
                self.run_server(index)?;
            }
            if self.now >= self.faults_end
                && self.converged_after == 0.0
                && self.convergence_error().is_none()
            {
                self.converged_after = self.now - self.faults_end;
            }
        }
        self.check_end()?;
        self.counts.versions += self.versions.len() as u64 - 1;
        self.counts.convergence = self.converged_after;
        Ok(())
    }

    fn check_end(&self) -> InvariantResult {
        if let Some(error) = self.convergence_error() {
            return Err(format!("no convergence {CONVERGENCE_LIMIT} s after the last fault: {error}"));
        }
        for version in &self.accepted {
            if self.versions.get(&version.number).map(|known| known.digest) != Some(version.digest) {
                return Err(format!("accepted version {version} was lost"));
            }
        }
        for replica in &self.replicas {
            if *replica != self.committed {
                return Err(format!(
                    "a replica has head {}, expected {} of the committed history",
                    replica.head(),
                    self.committed.head()
                ));
            }
        }
        Ok(())
    }

    /// Describes the first reason for which the fleet has not converged.
    fn convergence_error(&self) -> Option<String> {
        let head = self.committed.head();
        let state = self.committed.state();
        if state.released != head.number {
            return Some(format!("released version is {}, expected {head}; {state:?}", state.released));
        }
        let server = self.servers.iter().find(|server| server.active.version != head)?;
        let connection = server.connected_to.map(|index| {
            let SimulatedDistributor { distributor, replica, .. } = &self.distributors[index];
            (distributor.is_sending_to(&server.name), distributor.catching_up(), replica.state())
        });
        Some(format!(
            "{} has {} active, expected {head}; target {:?}, {:?}, incarnation {}, crashes at {:?}, {connection:?}",
            server.name,
            server.active.version,
            server.follower.target(),
            server.follower.counters(),
            server.incarnation,
            server.crashes_at,
        ))
    }
}
