//! Three or five replicas in simulated time, with message loss and reordering, crashes, pauses, partitions
//! and slow disks.
//!
//! All replicas apply the same changes, no epoch is granted twice, no two instances hold the same lease, and every task
//! has a holder once a majority is healthy.

use puffinladder_lease_store::durable::{DurableState, PendingWrite};
use puffinladder_lease_store::replica::{Output, PeerMessage, Replica, ReplicaConfig, RequestError};
use puffinladder_leases::holder::{HolderAction, LeaseHolder, LeaseStage};
use puffinladder_leases::table::{Change, ChangeKind, LeaseRequest, LeaseResponse, TaskDeclaration};
use puffinladder_leases::{Epoch, HolderId, Task};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const SCHEDULES: u64 = 150;
const STEP_SECONDS: f64 = 0.01;
const TICK_SECONDS: f64 = 0.03;
const RUN_SECONDS: f64 = 70.0;
const FAULT_PHASE_SECONDS: f64 = 25.0;

struct SimulatedReplica {
    replica: Option<Replica>,
    durable: DurableState,
    /// Writes not yet being synced.
    queued_writes: Vec<PendingWrite>,
    /// Writes that become durable together at `sync_ends`.
    syncing_writes: Vec<PendingWrite>,
    sync_ends: f64,
    sync_duration: f64,
    restart_at: f64,
    paused_until: f64,
    inbound_cut_until: f64,
    outbound_cut_until: f64,
    clock_offset: f64,
    clock_rate: f64,
    last_tick: f64,
}

struct Instance {
    holder: LeaseHolder,
    name: String,
    incarnation: u64,
    clock_offset: f64,
    clock_rate: f64,
    paused_until: f64,
    /// Index of the replica that it sends requests to.
    target: usize,
    last_response_at: f64,
}

enum InFlightMessage {
    PeerMessage(usize, usize, Vec<u8>),
    Request(usize, usize, LeaseRequest),
    Response(LeaseResponse),
}

struct Simulation {
    rng: ChaCha8Rng,
    config: ReplicaConfig,
    time: f64,
    replicas: Vec<SimulatedReplica>,
    instances: Vec<Instance>,
    in_flight: Vec<(f64, u64, InFlightMessage)>,
    sent_messages: u64,
    /// Each change as applied by the first replica.
    history: Vec<Change>,
    granted: BTreeMap<Epoch, (Task, HolderId)>,
    leaders: BTreeMap<u64, usize>,
    actions: u64,
}

fn config() -> ReplicaConfig {
    let tasks = vec![
        TaskDeclaration { name: "gather".into(), parts: 4, zone: None },
        TaskDeclaration { name: "quota".into(), parts: 1, zone: None },
    ];
    ReplicaConfig { tasks, snapshot_entries: 200, ..ReplicaConfig::default() }
}

fn holder(name: &str, incarnation: u64) -> LeaseHolder {
    LeaseHolder::new(HolderId::new(name, incarnation), "", ["gather", "quota"].map(String::from), 2.0)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replica_count = if rng.random_bool(0.7) { 3 } else { 5 };
        let voters: Vec<u64> = (1..=replica_count).collect();
        let config = config();
        let mut replicas = Vec::new();
        for id in &voters {
            let durable = DurableState::bootstrap(&voters);
            replicas.push(SimulatedReplica {
                replica: Some(Replica::new(*id, config.clone(), &durable).unwrap()),
                durable,
                queued_writes: Vec::new(),
                syncing_writes: Vec::new(),
                sync_ends: 0.0,
                sync_duration: 0.002,
                restart_at: 0.0,
                paused_until: 0.0,
                inbound_cut_until: 0.0,
                outbound_cut_until: 0.0,
                clock_offset: rng.random_range(-1e5..1e5),
                clock_rate: 1.0 + rng.random_range(-0.01..0.01),
                last_tick: 0.0,
            });
        }
        let mut instances = Vec::new();
        for index in 0..rng.random_range(2..5usize) {
            let name = format!("n{index}");
            instances.push(Instance {
                holder: holder(&name, 1),
                name,
                incarnation: 1,
                clock_offset: rng.random_range(-1e5..1e5),
                clock_rate: 1.0 + rng.random_range(-0.01..0.01),
                paused_until: 0.0,
                target: index % replicas.len(),
                last_response_at: 0.0,
            });
        }
        Simulation {
            rng,
            config,
            time: 0.0,
            replicas,
            instances,
            in_flight: Vec::new(),
            sent_messages: 0,
            history: Vec::new(),
            granted: BTreeMap::new(),
            leaders: BTreeMap::new(),
            actions: 0,
        }
    }

    fn send(&mut self, message: InFlightMessage) {
        let delay = match self.rng.random_range(0..200) {
            0 => return, // lost
            1..6 => self.rng.random_range(0.05..1.0),
            _ => self.rng.random_range(0.0005..0.01),
        };
        self.sent_messages += 1;
        self.in_flight.push((self.time + delay, self.sent_messages, message));
    }

    fn run(&mut self) -> Result<(), String> {
        while self.time < RUN_SECONDS {
            self.time += STEP_SECONDS;
            if self.time < FAULT_PHASE_SECONDS {
                self.inject_fault();
            }
            self.deliver();
            for index in 0..self.replicas.len() {
                self.run_replica(index)?;
            }
            for index in 0..self.instances.len() {
                self.run_instance(index);
            }
            self.check()?;
        }
        let Some(leader) = self
            .replicas
            .iter()
            .filter_map(|simulated| simulated.replica.as_ref())
            .find(|replica| replica.is_leader())
        else {
            let state = |simulated: &SimulatedReplica| {
                simulated.replica.as_ref().map(|replica| {
                    (
                        replica.term(),
                        replica.leader(),
                        replica.applied(),
                        simulated.sync_duration,
                        simulated.syncing_writes.len(),
                    )
                })
            };
            let states: Vec<_> = self.replicas.iter().map(state).collect();
            return Err(format!("no leader after the fault phase: {states:?}"));
        };
        if let Some(row) = leader.table().lease_rows().iter().find(|row| row.holder.is_none()) {
            return Err(format!(
                "{} has no holder after the fault phase: {:?}",
                row.task,
                leader.table().instance_rows()
            ));
        }
        let longest = self
            .replicas
            .iter()
            .filter_map(|simulated| simulated.replica.as_ref())
            .map(Replica::log_len)
            .max();
        if longest > Some(600) {
            return Err(format!("log of {longest:?} entries, expected at most 600"));
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(STEP_SECONDS * 1.5) {
            return;
        }
        let (time, duration) = (self.time, self.rng.random_range(0.3..5.0));
        let index = self.rng.random_range(0..self.replicas.len());
        let instance_index = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..9) {
            0 => self.crash(index, duration),
            1 => {
                // Crashes the leader.
                if let Some(leader) = self
                    .replicas
                    .iter()
                    .position(|simulated| simulated.replica.as_ref().is_some_and(Replica::is_leader))
                {
                    self.crash(leader, duration);
                }
            }
            2 => (0..self.replicas.len()).for_each(|index| self.crash(index, 0.5)),
            3 => self.replicas[index].paused_until = time + duration,
            4 => self.replicas[index].inbound_cut_until = time + duration,
            5 => self.replicas[index].outbound_cut_until = time + duration,
            6 => {
                // Only one slow disk at a time, since elections need a majority of fast ones.
                self.replicas.iter_mut().for_each(|simulated| simulated.sync_duration = 0.002);
                self.replicas[index].sync_duration = if self.rng.random_bool(0.5) { 2.0 } else { 0.002 };
            }
            7 => self.instances[instance_index].paused_until = time + duration,
            _ => {
                let instance = &mut self.instances[instance_index];
                instance.incarnation += 1;
                instance.holder = holder(&instance.name, instance.incarnation);
            }
        }
    }

    /// Crashes a replica, which loses all writes that are not durable.
    fn crash(&mut self, index: usize, duration: f64) {
        let simulated = &mut self.replicas[index];
        simulated.replica = None;
        simulated.queued_writes.clear();
        simulated.syncing_writes.clear();
        simulated.restart_at = self.time + duration;
    }

    fn deliver(&mut self) {
        let time = self.time;
        let mut due: Vec<_> = self.in_flight.extract_if(.., |(deliver_at, ..)| *deliver_at <= time).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, number, message) in due {
            match message {
                InFlightMessage::PeerMessage(from, to, bytes) => {
                    let simulated = &mut self.replicas[to];
                    if time < simulated.paused_until {
                        self.in_flight.push((
                            simulated.paused_until,
                            number,
                            InFlightMessage::PeerMessage(from, to, bytes),
                        ));
                    } else if time >= simulated.inbound_cut_until {
                        if let Some(replica) = &mut simulated.replica {
                            let _ = replica.receive(&bytes);
                        }
                    }
                }
                InFlightMessage::Request(from, to, request) => {
                    let simulated = &mut self.replicas[to];
                    if time < simulated.paused_until {
                        self.in_flight.push((
                            simulated.paused_until,
                            number,
                            InFlightMessage::Request(from, to, request),
                        ));
                        continue;
                    }
                    let result = simulated.replica.as_mut().map(|replica| replica.request_lease(request));
                    if let Some(Err(RequestError::NotLeader(Some(leader)))) = result {
                        self.instances[from].target = leader as usize - 1;
                    }
                }
                InFlightMessage::Response(response) => {
                    let Some(instance) =
                        self.instances.iter_mut().find(|instance| instance.name == response.holder.instance)
                    else {
                        continue;
                    };
                    if time < instance.paused_until {
                        self.in_flight.push((
                            instance.paused_until,
                            number,
                            InFlightMessage::Response(response),
                        ));
                        continue;
                    }
                    instance.last_response_at = time;
                    let now = instance.clock_offset + instance.clock_rate * time;
                    let actions = instance.holder.handle_response(now, &response);
                    for action in actions {
                        self.actions += 1;
                        if let HolderAction::Release(task, epoch) = action {
                            instance.holder.release(&task, epoch);
                        }
                    }
                }
            }
        }
    }

    fn run_replica(&mut self, index: usize) -> Result<(), String> {
        let time = self.time;
        let simulated = &mut self.replicas[index];
        if simulated.replica.is_none() && time >= simulated.restart_at {
            let replica = Replica::new(index as u64 + 1, self.config.clone(), &simulated.durable)
                .map_err(|error| error.to_string())?;
            simulated.replica = Some(replica);
        }
        if time < simulated.paused_until {
            return Ok(());
        }
        let now = simulated.clock_offset + simulated.clock_rate * time;
        if simulated.sync_ends <= time {
            for write in simulated.syncing_writes.drain(..) {
                simulated.durable.apply(&write);
                if let Some(replica) = &mut simulated.replica {
                    replica.persisted(write.sequence);
                }
            }
            std::mem::swap(&mut simulated.syncing_writes, &mut simulated.queued_writes);
            simulated.sync_ends = time + simulated.sync_duration;
        }
        let Some(replica) = &mut simulated.replica else { return Ok(()) };
        if time - simulated.last_tick >= TICK_SECONDS {
            simulated.last_tick = time;
            replica.tick(now);
        }
        let output = replica.process(now).map_err(|error| error.to_string())?;
        if replica.is_leader() {
            let term = replica.term();
            if *self.leaders.entry(term).or_insert(index) != index {
                return Err(format!("term {term} has two leaders"));
            }
        }
        let Output { messages, writes, responses, lease_changes, .. } = output;
        simulated.queued_writes.extend(writes);
        let cut = time < simulated.outbound_cut_until;
        for PeerMessage { to, bytes } in messages {
            if !cut {
                self.send(InFlightMessage::PeerMessage(index, to as usize - 1, bytes));
            }
        }
        for response in responses {
            if !cut {
                self.send(InFlightMessage::Response(response));
            }
        }
        self.record_changes(index, lease_changes)
    }

    /// Checks that the changes applied by a replica equal those of the others.
    fn record_changes(&mut self, index: usize, changes: Vec<Change>) -> Result<(), String> {
        for change in changes {
            let key = (change.epoch, change.kind);
            let position = self.history.iter().rposition(|old| (old.epoch, old.kind) == key);
            match position {
                Some(position) if self.history[position] != change => {
                    return Err(format!(
                        "replica {index} applied {change:?}, others {:?}",
                        self.history[position]
                    ));
                }
                Some(_) => {}
                None => {
                    if change.kind == ChangeKind::Granted {
                        let grant = (change.task.clone(), change.holder.clone());
                        if let Some(other) = self.granted.insert(change.epoch, grant) {
                            return Err(format!(
                                "epoch {} was granted twice, first as {other:?}",
                                change.epoch
                            ));
                        }
                    }
                    self.history.push(change);
                }
            }
        }
        Ok(())
    }

    fn run_instance(&mut self, index: usize) {
        let time = self.time;
        let replicas = self.replicas.len();
        let instance = &mut self.instances[index];
        if time < instance.paused_until {
            return;
        }
        let now = instance.clock_offset + instance.clock_rate * time;
        instance.holder.expire(now);
        if time - instance.last_response_at > 0.7 {
            // No response: tries the next replica.
            (instance.target, instance.last_response_at) = ((instance.target + 1) % replicas, time);
        }
        if let Some(request) = instance.holder.next_request(now) {
            let to = instance.target;
            self.send(InFlightMessage::Request(index, to, request));
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut holders: BTreeMap<&Task, (usize, Epoch)> = BTreeMap::new();
        for (index, instance) in self.instances.iter().enumerate() {
            let now = instance.clock_offset + instance.clock_rate * self.time;
            for (task, epoch) in instance.holder.leases() {
                if instance.holder.stage(now, task) == LeaseStage::Ended {
                    continue;
                }
                if let Some(other) = holders.insert(task, (index, epoch)) {
                    return Err(format!(
                        "{:.2}: {task} is held by both {other:?} and {:?}",
                        self.time,
                        (index, epoch)
                    ));
                }
                if self.granted.get(&epoch) != Some(&(task.clone(), instance.holder.id().clone())) {
                    return Err(format!(
                        "{:.2}: epoch {epoch} of {task} was not granted to {}",
                        self.time,
                        instance.holder.id()
                    ));
                }
            }
        }
        Ok(())
    }
}

#[test]
fn replicas_agree_and_leases_stay_exclusive_under_faults() {
    let (mut changes, mut leaders) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        if let Err(error) = simulation.run() {
            panic!("seed {seed}: {error}");
        }
        (changes, leaders) = (changes + simulation.history.len(), leaders + simulation.leaders.len());
    }
    println!("{SCHEDULES} schedules: {changes} lease changes, {leaders} leaders");
    assert!(leaders > 2 * SCHEDULES as usize, "{leaders}");
}

#[test]
fn same_seed_gives_same_history() {
    let histories: Vec<Vec<Change>> = (0..2)
        .map(|_| {
            let mut simulation = Simulation::new(7);
            simulation.run().unwrap();
            simulation.history
        })
        .collect();
    assert!(histories[0] == histories[1] && histories[0].len() > 10);
}
