//! Exhaustive model checking of two instances, one part and one fence: every order of requests, responses, effects,
//! clock checks and restarts within a few seconds. Messages may be lost.

use puffinladder_leases::fence::{Fence, Verdict};
use puffinladder_leases::holder::{HolderAction, LeaseHolder, LeaseStage};
use puffinladder_leases::table::{
    Command, LeaseRequest, LeaseResponse, LeaseRules, LeaseTable, LogEntry, TaskDeclaration,
};
use puffinladder_leases::{Epoch, HolderId, Task};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// Explored time, s; the term is 1 s.
const LAST_SECOND: u8 = 3;
/// Most requests of one incarnation.
const MAX_REQUESTS: u64 = 1;
/// Most messages in flight.
const MAX_MESSAGES: usize = 3;
/// Most stored effects.
const MAX_STORED: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The term counts from when the response arrived.
    TermFromReceipt,
    /// The fence loses its records when it restarts.
    VolatileFence,
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Request(LeaseRequest),
    Response(usize, LeaseResponse),
    Effect { sender: usize, incarnation: u64, epoch: Epoch, number: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A second passes.
    PassSecond,
    /// The lease store advances its time.
    AdvanceTime,
    /// An instance checks its clock and sends a request if one is due.
    Check(usize),
    /// An instance begins a step and sends its effect.
    SendEffect(usize),
    Deliver(usize),
    Restart(usize),
    RestartFence,
}

#[derive(Clone, Debug, PartialEq)]
struct Instance {
    holder: LeaseHolder,
    incarnation: u64,
    /// Number of requests sent by this incarnation.
    requests: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct StoredEffect {
    epoch: Epoch,
    number: u64,
    sender: usize,
    incarnation: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    t: u8,
    table: LeaseTable,
    instances: [Instance; 2],
    messages: Vec<Message>,
    fence: Fence,
    stored: Vec<StoredEffect>,
    stale_rejected: bool,
    restarts: u8,
    fence_restarts: u8,
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // Times are whole seconds, so that the debug output distinguishes states.
        format!("{self:?}").hash(hasher);
    }
}

struct SmallModel(Bug);

fn task() -> Task {
    Task::new("gather", 0)
}

fn instance(index: usize, incarnation: u64) -> Instance {
    let id = HolderId::new(["a", "b"][index], incarnation);
    let holder = LeaseHolder::new(id, "", ["gather".to_string()], 1.0);
    Instance { holder, incarnation, requests: 0 }
}

impl State {
    fn now(&self) -> f64 {
        f64::from(self.t)
    }

    fn post(&mut self, message: Message) {
        if self.messages.len() < MAX_MESSAGES && !self.messages.contains(&message) {
            self.messages.push(message);
            // Messages arrive in any order, so that their order does not distinguish states.
            self.messages.sort_by_key(|message| format!("{message:?}"));
        }
    }

    fn apply(&mut self, command: Command) {
        let outcome = self.table.apply(&LogEntry { at: self.now(), command });
        for response in outcome.responses {
            let index = usize::from(response.holder.instance == "b");
            if response.holder.incarnation == self.instances[index].incarnation {
                self.post(Message::Response(index, response));
            }
        }
    }

    fn relies_on_lease(&self, index: usize) -> bool {
        self.instances[index].holder.stage(self.now(), &task()) != LeaseStage::Ended
    }
}

impl Model for SmallModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let rules = LeaseRules {
            term: 1.0,
            drift: 0.0,
            stall_timeout: 100.0,
            max_flaps: 100,
            panic_window: 0.0,
            ..LeaseRules::default()
        };
        let tasks = vec![TaskDeclaration { name: "gather".into(), parts: 1, zone: None }];
        let mut table = LeaseTable::default();
        table.apply(&LogEntry { at: 0.0, command: Command::Declare { rules, tasks } });
        let mut state = State {
            t: 0,
            table,
            instances: [instance(0, 1), instance(1, 1)],
            messages: Vec::new(),
            fence: Fence::default(),
            stored: Vec::new(),
            stale_rejected: false,
            restarts: 0,
            fence_restarts: 0,
        };
        // Both instances have sessions, and the first holds the lease.
        for index in 0..2 {
            let request = state.instances[index].holder.next_request(0.0).expect("a first request");
            state.apply(Command::Renew(vec![request]));
            for message in std::mem::take(&mut state.messages) {
                if let Message::Response(index, response) = message {
                    state.instances[index].holder.handle_response(0.0, &response);
                }
            }
        }
        assert!(state.relies_on_lease(0) && !state.relies_on_lease(1));
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.t < LAST_SECOND {
            steps.push(Step::PassSecond);
        }
        if state.table.now() < state.now() {
            steps.push(Step::AdvanceTime);
        }
        steps.extend((0..2).flat_map(|index| [Step::Check(index), Step::SendEffect(index)]));
        steps.extend((0..state.messages.len()).map(Step::Deliver));
        if state.restarts == 0 {
            steps.push(Step::Restart(0));
        }
        if state.fence_restarts == 0 && !state.stored.is_empty() {
            steps.push(Step::RestartFence);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match step {
            Step::PassSecond => state.t += 1,
            Step::AdvanceTime => state.apply(Command::AdvanceTime),
            Step::Check(index) => {
                if state.messages.len() >= MAX_MESSAGES {
                    return None;
                }
                let Instance { holder, requests, .. } = &mut state.instances[index];
                holder.expire(now);
                let request = if *requests < MAX_REQUESTS { holder.next_request(now) } else { None };
                *requests += u64::from(request.is_some());
                if let Some(request) = request {
                    state.post(Message::Request(request));
                }
            }
            Step::SendEffect(index) => {
                if state.messages.len() >= MAX_MESSAGES || state.stored.len() >= MAX_STORED {
                    return None;
                }
                let Instance { holder, incarnation, .. } = &mut state.instances[index];
                let epoch = holder.begin_step(now, &task())?.epoch;
                // One effect under each epoch suffices.
                let (sender, incarnation, number) = (index, *incarnation, 1);
                let sent = state.stored.iter().any(|effect| effect.epoch == epoch);
                if sent {
                    return None;
                }
                state.post(Message::Effect { sender, incarnation, epoch, number });
            }
            Step::Deliver(index) => match state.messages.remove(index) {
                Message::Request(request) => state.apply(Command::Renew(vec![request])),
                Message::Response(index, mut response) => {
                    if self.0 == Bug::TermFromReceipt {
                        response.term += 1.0;
                    }
                    let actions = state.instances[index].holder.handle_response(now, &response);
                    for action in actions {
                        if let HolderAction::Release(task, epoch) = action {
                            state.instances[index].holder.release(&task, epoch);
                        }
                    }
                }
                Message::Effect { sender, incarnation, epoch, number } => {
                    match state.fence.check_and_record(&task(), epoch, number) {
                        Verdict::New => {
                            state.stored.push(StoredEffect { epoch, number, sender, incarnation })
                        }
                        Verdict::Stale { .. } => state.stale_rejected = true,
                        _ => {}
                    }
                    if incarnation == state.instances[sender].incarnation {
                        state.instances[sender].holder.finish_step(now, &task(), epoch, true, false);
                    }
                }
            },
            Step::Restart(index) => {
                state.restarts += 1;
                let incarnation = state.instances[index].incarnation + 1;
                state.instances[index] = instance(index, incarnation);
            }
            Step::RestartFence => {
                state.fence_restarts += 1;
                let records: Vec<_> =
                    state.fence.records().map(|(task, record)| (task.clone(), *record)).collect();
                state.fence = if self.0 == Bug::VolatileFence {
                    Fence::default()
                } else {
                    Fence::from_records(records)
                };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one instance relies on the lease", |_, state: &State| {
                !(state.relies_on_lease(0) && state.relies_on_lease(1))
            }),
            Property::always("epochs never decrease", |_, state: &State| {
                state.stored.windows(2).all(|pair| pair[0].epoch <= pair[1].epoch)
            }),
            Property::always("each epoch stores one effect", |_, state: &State| {
                let same_epoch = |index: usize| {
                    state.stored.iter().filter(move |effect| effect.epoch == state.stored[index].epoch)
                };
                (0..state.stored.len()).all(|index| same_epoch(index).count() == 1)
            }),
            Property::sometimes("both instances hold the lease in turn", |_, state: &State| {
                state.stored.len() >= 2 && state.stored[0].sender != state.stored[1].sender
            }),
            Property::sometimes("a stale effect is rejected", |_, state: &State| state.stale_rejected),
        ]
    }
}

#[test]
fn leases_are_exclusive_in_every_order() {
    let checker = SmallModel(Bug::None).checker().spawn_bfs().join();
    println!("{} states, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn planted_bugs_violate_properties() {
    for (bug, property) in [
        (Bug::TermFromReceipt, "at most one instance relies on the lease"),
        (Bug::VolatileFence, "epochs never decrease"),
    ] {
        let until = HasDiscoveries::AnyFailures;
        let checker = SmallModel(bug).checker().finish_when(until).spawn_bfs().join();
        let path = checker.discovery(property).unwrap_or_else(|| panic!("{bug:?} violates no property"));
        println!("{bug:?}: \"{property}\" is violated after {} steps", path.into_actions().len());
    }
}
