//! Three or five replicas in simulated time: messages late, lost, in another order; replicas killed with what their disk had synced, paused,
//! cut off one way or both; disks of 2 s a sync; instances that ask all the while. Whoever has applied an entry has applied the same
//! as all others, no epoch is given twice, nobody believes in what another believes in, and with a majority well there is an owner.

use puffinladder_lease_store::durable::{DurableState, PendingWrite};
use puffinladder_lease_store::replica::{Output, PeerMessage, Replica, ReplicaConfig, RequestError};
use puffinladder_leases::holder::{HolderAction, LeaseHolder, LeaseStage};
use puffinladder_leases::table::{Change, ChangeKind, LeaseRequest, LeaseResponse, TaskDeclaration};
use puffinladder_leases::{Epoch, HolderId, Task};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const SCHEDULES: u64 = 150;
const STEP: f64 = 0.01;
const TICK: f64 = 0.03;
const SPAN: f64 = 70.0;
const CALM: f64 = 25.0;

struct SimulatedReplica {
    replica: Option<Replica>,
    durable: DurableState,
    /// Writes that wait, and those that one sync makes durable together, at that time.
    queued_writes: Vec<PendingWrite>,
    syncing_writes: Vec<PendingWrite>,
    sync_ends: f64,
    sync_duration: f64,
    restart_at: f64,
    paused_until: f64,
    inbound_cut_until: f64,
    outbound_cut_until: f64,
    offset: f64,
    rate: f64,
    last_tick: f64,
}

struct Instance {
    holder: LeaseHolder,
    name: String,
    incarnation: u64,
    offset: f64,
    rate: f64,
    paused_until: f64,
    /// The replica it speaks with.
    to: usize,
    answered: f64,
}

enum Mail {
    PeerMessage(usize, usize, Vec<u8>),
    Request(usize, usize, LeaseRequest),
    Response(LeaseResponse),
}

struct World {
    rng: ChaCha8Rng,
    config: ReplicaConfig,
    t: f64,
    replicas: Vec<SimulatedReplica>,
    instances: Vec<Instance>,
    mail: Vec<(f64, u64, Mail)>,
    posted: u64,
    /// Each change as the first replica to apply it saw it.
    history: Vec<Change>,
    given: BTreeMap<Epoch, (Task, HolderId)>,
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

impl World {
    fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = if rng.random_bool(0.7) { 3 } else { 5 };
        let voters: Vec<u64> = (1..=count).collect();
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
                offset: rng.random_range(-1e5..1e5),
                rate: 1.0 + rng.random_range(-0.01..0.01),
                last_tick: 0.0,
            });
        }
        let mut instances = Vec::new();
        for at in 0..rng.random_range(2..5usize) {
            let name = format!("n{at}");
            instances.push(Instance {
                holder: holder(&name, 1),
                name,
                incarnation: 1,
                offset: rng.random_range(-1e5..1e5),
                rate: 1.0 + rng.random_range(-0.01..0.01),
                paused_until: 0.0,
                to: at % replicas.len(),
                answered: 0.0,
            });
        }
        World {
            rng,
            config,
            t: 0.0,
            replicas,
            instances,
            mail: Vec::new(),
            posted: 0,
            history: Vec::new(),
            given: BTreeMap::new(),
            leaders: BTreeMap::new(),
            actions: 0,
        }
    }

    fn post(&mut self, mail: Mail) {
        let delay = match self.rng.random_range(0..200) {
            0 => return, // lost: a connection broke
            1..6 => self.rng.random_range(0.05..1.0),
            _ => self.rng.random_range(0.0005..0.01),
        };
        self.posted += 1;
        self.mail.push((self.t + delay, self.posted, mail));
    }

    fn run(&mut self) -> Result<(), String> {
        while self.t < SPAN {
            self.t += STEP;
            if self.t < CALM {
                self.fail();
            }
            self.deliver();
            for at in 0..self.replicas.len() {
                self.run_replica(at)?;
            }
            for at in 0..self.instances.len() {
                self.run_instance(at);
            }
            self.check()?;
        }
        let Some(leader) =
            self.replicas.iter().filter_map(|k| k.replica.as_ref()).find(|replica| replica.is_leader())
        else {
            let state = |k: &SimulatedReplica| {
                k.replica
                    .as_ref()
                    .map(|c| (c.term(), c.leader(), c.applied(), k.sync_duration, k.syncing_writes.len()))
            };
            let states: Vec<_> = self.replicas.iter().map(state).collect();
            return Err(format!("nobody leads after calm: {states:?}"));
        };
        if let Some(row) = leader.table().lease_rows().iter().find(|row| row.holder.is_none()) {
            return Err(format!(
                "{} has no owner after calm: {:?}",
                row.task,
                leader.table().instance_rows()
            ));
        }
        let longest = self.replicas.iter().filter_map(|k| k.replica.as_ref()).map(Replica::log_len).max();
        if longest > Some(600) {
            return Err(format!("a log of {longest:?} entries"));
        }
        Ok(())
    }

    fn fail(&mut self) {
        if !self.rng.random_bool(STEP * 1.5) {
            return;
        }
        let (t, span) = (self.t, self.rng.random_range(0.3..5.0));
        let at = self.rng.random_range(0..self.replicas.len());
        let one = self.rng.random_range(0..self.instances.len());
        match self.rng.random_range(0..9) {
            0 => self.kill(at, span),
            1 => {
                // The leader is the one that is hit.
                if let Some(at) =
                    self.replicas.iter().position(|k| k.replica.as_ref().is_some_and(Replica::is_leader))
                {
                    self.kill(at, span);
                }
            }
            2 => (0..self.replicas.len()).for_each(|at| self.kill(at, 0.5)),
            3 => self.replicas[at].paused_until = t + span,
            4 => self.replicas[at].inbound_cut_until = t + span,
            5 => self.replicas[at].outbound_cut_until = t + span,
            6 => {
                // One disk at a time: if most take two seconds a sync no election ends.
                self.replicas.iter_mut().for_each(|simulated| simulated.sync_duration = 0.002);
                self.replicas[at].sync_duration = if self.rng.random_bool(0.5) { 2.0 } else { 0.002 };
            }
            7 => self.instances[one].paused_until = t + span,
            _ => {
                let instance = &mut self.instances[one];
                instance.incarnation += 1;
                instance.holder = holder(&instance.name, instance.incarnation);
            }
        }
    }

    /// Killed: what was not yet on disk is gone.
    fn kill(&mut self, at: usize, span: f64) {
        let simulated = &mut self.replicas[at];
        simulated.replica = None;
        simulated.queued_writes.clear();
        simulated.syncing_writes.clear();
        simulated.restart_at = self.t + span;
    }

    fn deliver(&mut self) {
        let t = self.t;
        let mut due: Vec<_> = self.mail.extract_if(.., |(when, ..)| *when <= t).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, number, mail) in due {
            match mail {
                Mail::PeerMessage(from, to, bytes) => {
                    let simulated = &mut self.replicas[to];
                    if t < simulated.paused_until {
                        self.mail.push((simulated.paused_until, number, Mail::PeerMessage(from, to, bytes)));
                    } else if t >= simulated.inbound_cut_until {
                        if let Some(replica) = &mut simulated.replica {
                            let _ = replica.receive(&bytes);
                        }
                    }
                }
                Mail::Request(from, to, request) => {
                    let simulated = &mut self.replicas[to];
                    if t < simulated.paused_until {
                        self.mail.push((simulated.paused_until, number, Mail::Request(from, to, request)));
                        continue;
                    }
                    let refused = simulated.replica.as_mut().map(|replica| replica.request_lease(request));
                    if let Some(Err(RequestError::NotLeader(Some(leader)))) = refused {
                        self.instances[from].to = leader as usize - 1;
                    }
                }
                Mail::Response(response) => {
                    let Some(instance) =
                        self.instances.iter_mut().find(|one| one.name == response.holder.instance)
                    else {
                        continue;
                    };
                    if t < instance.paused_until {
                        self.mail.push((instance.paused_until, number, Mail::Response(response)));
                        continue;
                    }
                    instance.answered = t;
                    let now = instance.offset + instance.rate * t;
                    let actions = instance.holder.handle_response(now, &response);
                    for action in actions {
                        self.actions += 1;
                        if let HolderAction::Release(duty, epoch) = action {
                            instance.holder.release(&duty, epoch);
                        }
                    }
                }
            }
        }
    }

    fn run_replica(&mut self, at: usize) -> Result<(), String> {
        let t = self.t;
        let simulated = &mut self.replicas[at];
        if simulated.replica.is_none() && t >= simulated.restart_at {
            let replica = Replica::new(at as u64 + 1, self.config.clone(), &simulated.durable)
                .map_err(|e| e.to_string())?;
            simulated.replica = Some(replica);
        }
        if t < simulated.paused_until {
            return Ok(());
        }
        let now = simulated.offset + simulated.rate * t;
        if simulated.sync_ends <= t {
            for write in simulated.syncing_writes.drain(..) {
                simulated.durable.apply(&write);
                if let Some(replica) = &mut simulated.replica {
                    replica.persisted(write.number);
                }
            }
            std::mem::swap(&mut simulated.syncing_writes, &mut simulated.queued_writes);
            simulated.sync_ends = t + simulated.sync_duration;
        }
        let Some(replica) = &mut simulated.replica else { return Ok(()) };
        if t - simulated.last_tick >= TICK {
            simulated.last_tick = t;
            replica.tick(now);
        }
        let output = replica.process(now).map_err(|e| e.to_string())?;
        if replica.is_leader() {
            let term = replica.term();
            if *self.leaders.entry(term).or_insert(at) != at {
                return Err(format!("term {term} has two leaders"));
            }
        }
        let Output { messages, writes, responses, lease_changes, .. } = output;
        simulated.queued_writes.extend(writes);
        let cut = t < simulated.outbound_cut_until;
        for PeerMessage { to, bytes } in messages {
            if !cut {
                self.post(Mail::PeerMessage(at, to as usize - 1, bytes));
            }
        }
        for response in responses {
            if !cut {
                self.post(Mail::Response(response));
            }
        }
        self.record_changes(at, lease_changes)
    }

    /// What a replica applied must be what the others applied.
    fn record_changes(&mut self, at: usize, changes: Vec<Change>) -> Result<(), String> {
        for change in changes {
            let what = (change.epoch, change.kind);
            let place = self.history.iter().rposition(|old| (old.epoch, old.kind) == what);
            match place {
                Some(place) if self.history[place] != change => {
                    return Err(format!("replica {at} saw {change:?}, others {:?}", self.history[place]));
                }
                Some(_) => {}
                None => {
                    if change.kind == ChangeKind::Granted {
                        let owner = (change.task.clone(), change.holder.clone());
                        if let Some(other) = self.given.insert(change.epoch, owner) {
                            return Err(format!(
                                "epoch {} was given twice, first as {other:?}",
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

    fn run_instance(&mut self, at: usize) {
        let t = self.t;
        let replicas = self.replicas.len();
        let instance = &mut self.instances[at];
        if t < instance.paused_until {
            return;
        }
        let now = instance.offset + instance.rate * t;
        instance.holder.expire(now);
        if t - instance.answered > 0.7 {
            // Nobody answers there: the next one may know better.
            (instance.to, instance.answered) = ((instance.to + 1) % replicas, t);
        }
        if let Some(request) = instance.holder.next_request(now) {
            let to = instance.to;
            self.post(Mail::Request(at, to, request));
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut seen: BTreeMap<&Task, (usize, Epoch)> = BTreeMap::new();
        for (at, instance) in self.instances.iter().enumerate() {
            let now = instance.offset + instance.rate * self.t;
            for (duty, epoch) in instance.holder.leases() {
                if instance.holder.stage(now, duty) == LeaseStage::Ended {
                    continue;
                }
                if let Some(other) = seen.insert(duty, (at, epoch)) {
                    return Err(format!(
                        "{:.2}: {duty} is believed in by {other:?} and {:?}",
                        self.t,
                        (at, epoch)
                    ));
                }
                if self.given.get(&epoch) != Some(&(duty.clone(), instance.holder.id().clone())) {
                    return Err(format!("{:.2}: epoch {epoch} of {duty} was not given so", self.t));
                }
            }
        }
        Ok(())
    }
}

#[test]
fn whatever_fails_among_the_replicas_they_agree_and_grants_stay_one_each() {
    let (mut changes, mut leaders) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        if let Err(what) = world.run() {
            panic!("seed {seed}: {what}");
        }
        (changes, leaders) = (changes + world.history.len(), leaders + world.leaders.len());
    }
    println!("{SCHEDULES} schedules: {changes} changes of owners, {leaders} leaders");
    assert!(leaders > 2 * SCHEDULES as usize, "{leaders}");
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let histories: Vec<Vec<Change>> = (0..2)
        .map(|_| {
            let mut world = World::new(7);
            world.run().unwrap();
            world.history
        })
        .collect();
    assert!(histories[0] == histories[1] && histories[0].len() > 10);
}
