//! Random schedules of faults in simulated time: pauses, restarts, drains, partitions, leader changes, clock drift,
//! late effects and restarts of the fence. In each schedule at most one instance relies on a lease, the epochs of
//! stored effects never decrease and each belongs to one incarnation, and every row is written once. The same schedules
//! must catch bugs planted in the host.

use puffinladder_leases::fence::{Fence, Verdict};
use puffinladder_leases::holder::{HolderAction, LeaseHolder, LeaseStage};
use puffinladder_leases::table::{
    Command, LeaseRequest, LeaseResponse, LeaseRules, LeaseTable, LogEntry, TaskDeclaration,
};
use puffinladder_leases::table_clock::TableClock;
use puffinladder_leases::{Epoch, HolderId, Task};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Number of schedules; their seeds are 0, 1, 2 and so on.
const SCHEDULES: u64 = 2000;
/// Simulated time between two steps, s.
const STEP: f64 = 0.02;
/// Length of a schedule, s.
const DURATION: f64 = 110.0;
/// Time of the last fault, s; afterwards the fleet must recover.
const LAST_FAULT: f64 = 60.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The term counts from when the response arrived.
    TermFromReceipt,
    /// The fence loses its records when it restarts.
    VolatileFence,
    /// The fence checks an effect and stores it a second later.
    CheckThenStore,
    /// Epochs are taken from the holder's clock.
    ClockEpoch,
    /// The holder continues after its lease has ended.
    KeepsRunning,
    /// A restarted instance keeps the leases of its former incarnation.
    SameIncarnation,
}

/// The incarnation of a host that sent an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sender {
    host: usize,
    incarnation: u64,
}

/// An effect sent to the fence.
#[derive(Clone, Debug)]
struct Effect {
    task: Task,
    epoch: Epoch,
    /// 0 for the announcement of a new holder.
    number: u64,
    row: u64,
    sender: Sender,
}

/// A host's state of a running task.
#[derive(Clone, Debug)]
struct RunningTask {
    /// The epoch of sent effects, the lease's own unless a bug is planted.
    sent_epoch: Epoch,
    lease_epoch: Epoch,
    /// Number of written rows, once the fence has replied.
    rows: Option<u64>,
    /// The number of its last effect.
    number: u64,
    /// Time since which it waits for the verdict on an effect.
    waiting_since: Option<f64>,
    releasing: bool,
}

impl RunningTask {
    fn new(sent_epoch: Epoch, lease_epoch: Epoch) -> RunningTask {
        RunningTask { sent_epoch, lease_epoch, rows: None, number: 0, waiting_since: None, releasing: false }
    }
}

struct Host {
    name: String,
    holder: LeaseHolder,
    /// The host's incarnation, which the holder shares unless a bug is planted.
    incarnation: u64,
    clock_offset: f64,
    clock_rate: f64,
    paused_until: f64,
    /// Time until which requests to the lease store are lost.
    requests_cut_until: f64,
    /// Time until which responses of the lease store are lost.
    responses_cut_until: f64,
    /// Time until which messages from and to the fence are lost.
    fence_cut_until: f64,
    running: BTreeMap<Task, RunningTask>,
}

impl Host {
    fn clock(&self, t: f64) -> f64 {
        self.clock_offset + self.clock_rate * t
    }
}

enum Message {
    Request(LeaseRequest),
    Response {
        host: usize,
        response: LeaseResponse,
    },
    Effect(Effect),
    /// The fence's reply to the sender, with the number of stored rows.
    EffectChecked {
        effect: Effect,
        verdict: Verdict,
        rows: u64,
    },
    /// Stores an effect that was checked before, under [`Bug::CheckThenStore`].
    Store(Effect),
}

struct InFlight {
    arrives_at: f64,
    number: u64,
    message: Message,
}

struct World {
    rng: ChaCha8Rng,
    bug: Bug,
    t: f64,
    hosts: Vec<Host>,
    table: LeaseTable,
    table_clock: TableClock,
    leader_clock_offset: f64,
    leader_clock_rate: f64,
    leader_paused_until: f64,
    /// Requests that the leader has not read.
    unread: VecDeque<LeaseRequest>,
    next_advance: f64,
    messages: Vec<InFlight>,
    sent_count: u64,
    fence: Fence,
    fence_down_until: f64,
    /// Rows in the order in which they were stored.
    rows: BTreeMap<Task, Vec<u64>>,
    /// The sender of each epoch's first effect at the fence.
    senders: BTreeMap<(Task, Epoch), Sender>,
    highest_epochs: BTreeMap<Task, Epoch>,
    stale_effects: u64,
    lease_changes: u64,
}

/// The result of a check, with a description of the violation.
type CheckResult = Result<(), String>;

impl World {
    fn new(seed: u64, bug: Bug) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..6);
        let mut world = World {
            bug,
            t: 0.0,
            hosts: Vec::new(),
            table: declared_table(),
            table_clock: TableClock::start(0.0, 0.0),
            leader_clock_offset: 0.0,
            leader_clock_rate: 1.0,
            leader_paused_until: 0.0,
            unread: VecDeque::new(),
            next_advance: 0.0,
            messages: Vec::new(),
            sent_count: 0,
            fence: Fence::default(),
            fence_down_until: 0.0,
            rows: BTreeMap::new(),
            senders: BTreeMap::new(),
            highest_epochs: BTreeMap::new(),
            stale_effects: 0,
            lease_changes: 0,
            rng,
        };
        for index in 0..count {
            let host = world.new_host(index);
            world.hosts.push(host);
        }
        world
    }

    fn new_host(&mut self, index: usize) -> Host {
        let name = format!("n{index}");
        let clock_offset = self.rng.random_range(-1e5..1e5);
        let clock_rate = 1.0 + self.rng.random_range(-0.01..0.01);
        Host {
            holder: new_holder(&name, 1),
            name,
            incarnation: 1,
            clock_offset,
            clock_rate,
            paused_until: 0.0,
            requests_cut_until: 0.0,
            responses_cut_until: 0.0,
            fence_cut_until: 0.0,
            running: BTreeMap::new(),
        }
    }

    fn post(&mut self, delay: f64, message: Message) {
        self.sent_count += 1;
        self.messages.push(InFlight { arrives_at: self.t + delay, number: self.sent_count, message });
    }

    fn delay(&mut self) -> f64 {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(0.1..3.0),
            1..10 => self.rng.random_range(0.02..0.3),
            _ => self.rng.random_range(0.001..0.02),
        }
    }

    fn run(&mut self) -> CheckResult {
        while self.t < DURATION {
            self.t += STEP;
            if self.t < LAST_FAULT {
                self.inject_fault();
            }
            self.deliver()?;
            self.run_leader();
            for index in 0..self.hosts.len() {
                self.run_host(index)?;
            }
            self.check_holders()?;
        }
        self.check_end()
    }

    fn check_end(&self) -> CheckResult {
        for (task, rows) in &self.rows {
            let expected: Vec<u64> = (1..=rows.len() as u64).collect();
            if *rows != expected {
                return Err(format!("{task}: rows {rows:?}"));
            }
        }
        for row in self.table.lease_rows() {
            let stored = self.rows.get(&row.task).map_or(0, Vec::len);
            if row.holder.is_none() || stored == 0 {
                let (holder, instances) = (row.holder, self.table.instance_rows());
                return Err(format!(
                    "{} has {holder:?} and {stored} rows after recovery: {instances:?}",
                    row.task
                ));
            }
        }
        Ok(())
    }

    /// Injects a fault about once a second.
    fn inject_fault(&mut self) {
        if !self.rng.random_bool(STEP) {
            return;
        }
        let index = self.rng.random_range(0..self.hosts.len());
        let t = self.t;
        let span = self.rng.random_range(0.5..8.0);
        let kind = self.rng.random_range(0..9);
        let host = &mut self.hosts[index];
        match kind {
            0 => host.paused_until = t + span,
            1 => self.restart(index),
            2 => host.requests_cut_until = t + span,
            3 => host.responses_cut_until = t + span,
            4 => {
                host.requests_cut_until = t + span;
                host.responses_cut_until = t + span;
            }
            5 => host.fence_cut_until = t + span,
            6 => self.change_leader(),
            7 => self.leader_paused_until = t + span,
            _ => self.restart_fence(t + span / 4.0),
        }
    }

    /// Elects another leader, with a clock of its own. Requests that the former leader has not read are lost.
    fn change_leader(&mut self) {
        let rate = 1.0 + self.rng.random_range(-0.01..0.01);
        self.leader_clock_offset = self.rng.random_range(0.0..1e4);
        self.leader_clock_rate = rate;
        self.leader_paused_until = self.t + self.rng.random_range(0.0..1.5);
        self.unread.clear();
        self.table_clock = TableClock::start(self.table.now(), self.leader_clock());
    }

    fn restart_fence(&mut self, down_until: f64) {
        self.fence_down_until = down_until;
        let stored: Vec<_> = self.fence.records().map(|(task, record)| (task.clone(), *record)).collect();
        self.fence =
            if self.bug == Bug::VolatileFence { Fence::default() } else { Fence::from_records(stored) };
    }

    fn restart(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.running.clear();
        if self.bug != Bug::SameIncarnation || host.holder.is_draining() {
            host.holder = new_holder(&host.name, host.incarnation);
        } else {
            // The leases survive the restart, but not the state of their tasks.
            for (task, epoch) in host.holder.leases() {
                host.running.insert(task.clone(), RunningTask::new(epoch, epoch));
            }
        }
        host.paused_until = self.t + 0.3;
    }

    fn leader_clock(&self) -> f64 {
        self.leader_clock_offset + self.leader_clock_rate * self.t
    }

    /// Lets the leader read requests and advance the table's time.
    fn run_leader(&mut self) {
        if self.t < self.leader_paused_until {
            return;
        }
        let now = self.leader_clock();
        let unread = !self.unread.is_empty();
        let advance = self.table_clock.may_advance(now, unread) && self.t >= self.next_advance;
        let requests: Vec<LeaseRequest> = self.unread.drain(..).collect();
        if !requests.is_empty() {
            self.apply(now, Command::Renew(requests));
        }
        if advance {
            self.next_advance = self.t + 0.1;
            self.apply(now, Command::AdvanceTime);
        }
    }

    fn apply(&mut self, now: f64, command: Command) {
        let entry = LogEntry { at: self.table_clock.stamp(now), command };
        let outcome = self.table.apply(&entry);
        self.lease_changes += outcome.changes.len() as u64;
        for response in outcome.responses {
            let instance = &response.holder.instance;
            let Some(host) = self.hosts.iter().position(|host| host.name == *instance) else { continue };
            let delay = self.delay();
            if self.t >= self.hosts[host].responses_cut_until {
                self.post(delay, Message::Response { host, response });
            }
        }
    }

    fn deliver(&mut self) -> CheckResult {
        let t = self.t;
        let mut due: Vec<InFlight> =
            self.messages.extract_if(.., |in_flight| in_flight.arrives_at <= t).collect();
        due.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at).then(a.number.cmp(&b.number)));
        for InFlight { arrives_at, number, message } in due {
            match message {
                Message::Request(request) => self.unread.push_back(request),
                Message::Response { host, .. } if t < self.hosts[host].paused_until => {
                    self.messages.push(InFlight {
                        arrives_at: self.hosts[host].paused_until,
                        number,
                        message,
                    });
                }
                Message::Response { host, response } => self.respond(host, arrives_at, response),
                Message::Effect(effect) => self.check_effect(effect)?,
                Message::Store(effect) => self.store(effect)?,
                Message::EffectChecked { ref effect, .. }
                    if t < self.hosts[effect.sender.host].paused_until =>
                {
                    let arrives_at = self.hosts[effect.sender.host].paused_until;
                    self.messages.push(InFlight { arrives_at, number, message });
                }
                Message::EffectChecked { effect, verdict, rows } => {
                    if effect.sender.incarnation == self.hosts[effect.sender.host].incarnation {
                        self.handle_verdict(&effect, verdict, rows);
                    }
                }
            }
        }
        Ok(())
    }

    fn respond(&mut self, index: usize, arrived_at: f64, mut response: LeaseResponse) {
        let t = self.t;
        let host = &mut self.hosts[index];
        let now = host.clock(t);
        if self.bug == Bug::TermFromReceipt {
            response.term += (arrived_at - t).abs() + 1.5;
        }
        let actions = host.holder.handle_response(now, &response);
        self.perform(index, actions);
    }

    fn check_effect(&mut self, effect: Effect) -> CheckResult {
        if self.t < self.fence_down_until {
            return Ok(());
        }
        let verdict = if effect.number == 0 {
            self.fence.announce(&effect.task, effect.epoch)
        } else if self.bug == Bug::CheckThenStore {
            let verdict = self.fence.check(&effect.task, effect.epoch, effect.number);
            if verdict == Verdict::New {
                self.post(1.0, Message::Store(effect));
                return Ok(());
            }
            verdict
        } else {
            self.fence.check_and_record(&effect.task, effect.epoch, effect.number)
        };
        if let Verdict::Stale { .. } = verdict {
            self.stale_effects += 1;
        }
        if verdict == Verdict::New && effect.number > 0 {
            return self.store(effect);
        }
        self.reply(effect, verdict);
        Ok(())
    }

    fn store(&mut self, effect: Effect) -> CheckResult {
        if self.bug == Bug::CheckThenStore {
            self.fence.check_and_record(&effect.task, effect.epoch, effect.number);
        }
        let Effect { task, epoch, sender, .. } = &effect;
        let first = *self.senders.entry((task.clone(), *epoch)).or_insert(*sender);
        if first != *sender {
            return Err(format!("{task}: epoch {epoch} belongs to {first:?} and {sender:?}"));
        }
        let highest = self.highest_epochs.entry(task.clone()).or_insert(0);
        if epoch < highest {
            return Err(format!("{task}: epoch {epoch} was stored after {highest}"));
        }
        *highest = *epoch;
        self.rows.entry(task.clone()).or_default().push(effect.row);
        self.reply(effect, Verdict::New);
        Ok(())
    }

    fn reply(&mut self, effect: Effect, verdict: Verdict) {
        let rows = self.rows.get(&effect.task).map_or(0, |rows| rows.len() as u64);
        let delay = self.delay();
        if self.t >= self.hosts[effect.sender.host].fence_cut_until {
            self.post(delay, Message::EffectChecked { effect, verdict, rows });
        }
    }

    fn handle_verdict(&mut self, effect: &Effect, verdict: Verdict, rows: u64) {
        let index = effect.sender.host;
        let host = &mut self.hosts[index];
        let now = host.clock(self.t);
        let running = host.running.get_mut(&effect.task);
        let Some(running) = running.filter(|running| running.sent_epoch == effect.epoch) else {
            // The lease has ended here: end the step too.
            let _ = host.holder.finish_step(now, &effect.task, effect.epoch, false, true);
            return;
        };
        let expected = running.number + u64::from(running.rows.is_some());
        if running.waiting_since.is_none() || effect.number != expected {
            return;
        }
        running.waiting_since = None;
        let lease_epoch = running.lease_epoch;
        match verdict {
            Verdict::New | Verdict::Duplicate if effect.number == 0 => running.rows = Some(rows),
            Verdict::New | Verdict::Duplicate => {
                running.number = effect.number;
                running.rows = Some(effect.row);
            }
            Verdict::Stale { .. } | Verdict::Gap { .. } => {
                host.running.remove(&effect.task);
                let mut actions = host.holder.finish_step(now, &effect.task, lease_epoch, false, true);
                actions.extend(host.holder.handle_fenced(&effect.task, lease_epoch));
                return self.perform(index, actions);
            }
        }
        let actions = host.holder.finish_step(now, &effect.task, lease_epoch, true, true);
        self.perform(index, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<HolderAction>) {
        for action in actions {
            let host = &mut self.hosts[index];
            match action {
                HolderAction::Start(task, epoch) => {
                    let sent_epoch = if self.bug == Bug::ClockEpoch {
                        (1e7 + host.clock_offset * 1e3 + self.t * 1e3) as u64
                    } else {
                        epoch
                    };
                    host.running.insert(task, RunningTask::new(sent_epoch, epoch));
                }
                HolderAction::Release(task, _) => {
                    if let Some(running) = host.running.get_mut(&task) {
                        running.releasing = true;
                    }
                }
                HolderAction::Stop(task, epoch, _) => {
                    let current = host.running.get(&task).is_some_and(|running| running.lease_epoch == epoch);
                    if current && self.bug != Bug::KeepsRunning {
                        host.running.remove(&task);
                    }
                }
            }
        }
    }

    /// Lets a host check its clock, send requests, begin steps and release leases.
    fn run_host(&mut self, index: usize) -> CheckResult {
        let t = self.t;
        if t < self.hosts[index].paused_until {
            return Ok(());
        }
        let now = self.hosts[index].clock(t);
        let actions = self.hosts[index].holder.expire(now);
        self.perform(index, actions);
        // A drain ends in a new incarnation.
        if t < LAST_FAULT && self.rng.random_bool(STEP / 40.0) {
            self.hosts[index].holder.start_draining();
        }
        let empty = self.hosts[index].holder.leases().next().is_none();
        if self.hosts[index].holder.is_draining() && (empty && self.rng.random_bool(0.05) || t > LAST_FAULT) {
            self.restart(index);
            return Ok(());
        }
        if let Some(request) = self.hosts[index].holder.next_request(now) {
            let delay = self.delay();
            if t >= self.hosts[index].requests_cut_until {
                self.post(delay, Message::Request(request));
            }
        }
        let tasks: Vec<Task> = self.hosts[index].running.keys().cloned().collect();
        for task in tasks {
            self.run_task(index, now, task)?;
        }
        Ok(())
    }

    /// Releases the lease if it is to be released, else begins a step and sends its effect.
    fn run_task(&mut self, index: usize, now: f64, task: Task) -> CheckResult {
        let t = self.t;
        let host = &mut self.hosts[index];
        let stage = host.holder.stage(now, &task);
        let incarnation = host.incarnation;
        let running = host.running.get_mut(&task).expect("a task just listed");
        if running.releasing && running.waiting_since.is_none() {
            let epoch = running.lease_epoch;
            let actions = host.holder.release(&task, epoch);
            self.perform(index, actions.into_iter().collect());
            return Ok(());
        }
        let retry = running.waiting_since.is_some_and(|since| t - since > 0.5);
        if retry && stage == LeaseStage::Ended && self.bug != Bug::KeepsRunning {
            return Ok(());
        }
        let keeps_running = self.bug == Bug::KeepsRunning && stage == LeaseStage::Ended;
        let waits = running.waiting_since.is_some();
        if !retry && (waits || !(keeps_running || host.holder.begin_step(now, &task).is_some())) {
            return Ok(());
        }
        if !retry && stage == LeaseStage::Ended {
            return Err(format!("{t:.2}: {incarnation} of {index} begins a step of {task} without a lease"));
        }
        running.waiting_since = Some(t);
        let (number, row) = running.rows.map_or((0, 0), |rows| (running.number + 1, rows + 1));
        let sender = Sender { host: index, incarnation };
        let effect = Effect { task, epoch: running.sent_epoch, number, row, sender };
        // One in a hundred effects arrives after its holder may have lost the lease.
        let delay = if self.rng.random_bool(0.01) { self.rng.random_range(1.0..60.0) } else { self.delay() };
        if t >= self.hosts[index].fence_cut_until {
            self.post(delay, Message::Effect(effect));
        }
        Ok(())
    }

    /// Checks that at most one instance relies on each lease, and that it is the holder in the table.
    fn check_holders(&self) -> CheckResult {
        let mut seen: BTreeMap<&Task, usize> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let now = host.clock(self.t);
            let id = host.holder.id();
            for (task, epoch) in host.holder.leases() {
                if host.holder.stage(now, task) == LeaseStage::Ended {
                    continue;
                }
                if let Some(other) = seen.insert(task, index) {
                    return Err(format!("{:.2}: {task} is relied on by {other} and {index}", self.t));
                }
                let table_holder = self.table.holder(task).map(|(holder, epoch)| (holder.clone(), epoch));
                if table_holder != Some((id.clone(), epoch)) {
                    return Err(format!(
                        "{:.2}: {task} is held by {table_holder:?}, relied on by {id}",
                        self.t
                    ));
                }
            }
        }
        Ok(())
    }
}

fn declared_table() -> LeaseTable {
    let tasks = [("gather", 4), ("quota", 1), ("turns", 1)];
    let rules = LeaseRules { stall_timeout: 20.0, ..LeaseRules::default() };
    let declaration = |(name, parts): (&str, u32)| TaskDeclaration { name: name.into(), parts, zone: None };
    let command = Command::Declare { rules, tasks: tasks.map(declaration).into() };
    let mut table = LeaseTable::default();
    assert_eq!(table.apply(&LogEntry { at: 0.0, command }).error, None);
    table
}

fn new_holder(name: &str, incarnation: u64) -> LeaseHolder {
    let tasks = ["gather", "quota", "turns"].map(String::from);
    LeaseHolder::new(HolderId::new(name, incarnation), "east", tasks, 2.0)
}

#[test]
fn leases_are_exclusive_under_faults() {
    let (mut stale_effects, mut lease_changes, mut rows) = (0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed, Bug::None);
        if let Err(problem) = world.run() {
            panic!("seed {seed}: {problem}");
        }
        stale_effects += world.stale_effects;
        lease_changes += world.lease_changes;
        rows += world.rows.values().map(Vec::len).sum::<usize>();
    }
    println!(
        "{SCHEDULES} schedules: {rows} rows, {lease_changes} changes of leases, {stale_effects} stale effects rejected"
    );
    // The schedules must have sent stale effects.
    assert!(stale_effects > SCHEDULES, "{stale_effects}");
}

#[test]
fn schedules_catch_planted_bugs() {
    for bug in [
        Bug::TermFromReceipt,
        Bug::VolatileFence,
        Bug::CheckThenStore,
        Bug::ClockEpoch,
        Bug::KeepsRunning,
        Bug::SameIncarnation,
    ] {
        let caught = (0..400).find_map(|seed| Some((seed, World::new(seed, bug).run().err()?)));
        let (seed, problem) = caught.unwrap_or_else(|| panic!("{bug:?} is not caught"));
        println!("{bug:?}: seed {seed}: {problem}");
    }
}
