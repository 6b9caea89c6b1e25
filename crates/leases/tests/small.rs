//! Two owners, one part, one fence, explored exhaustively: every order of lines, answers, effects, looks at the clock and restarts within
//! a few seconds of whole ones. Messages may lie on their way for good.

use puffinladder_leases::fence::{Fence, Verdict};
use puffinladder_leases::holder::{HolderAction, LeaseHolder, LeaseStage};
use puffinladder_leases::table::{
    Command, LeaseRequest, LeaseResponse, LeaseRules, LeaseTable, LogEntry, TaskDeclaration,
};
use puffinladder_leases::{Epoch, HolderId, Task};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// s; the term is one of them.
const LONGEST: u8 = 3;
const LINES: u64 = 1;
const MAIL: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The term counts from when the answer came.
    Receipt,
    /// The fence forgets when it restarts.
    Memory,
}

#[derive(Clone, Debug, PartialEq)]
enum Mail {
    Line(LeaseRequest),
    Response(usize, LeaseResponse),
    Effect { who: usize, life: u64, epoch: Epoch, number: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Deed {
    /// A second passes; nobody looks by itself.
    Pass,
    /// The keepers move their time.
    Time,
    /// An owner looks at its clock and sends a line if it wants to.
    Look(usize),
    /// An owner begins a step and sends its effect.
    Step(usize),
    Deliver(usize),
    Restart(usize),
    RestartFence,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    t: u8,
    table: LeaseTable,
    owners: [(LeaseHolder, u64, u64); 2],
    mail: Vec<Mail>,
    fence: Fence,
    landed: Vec<(Epoch, u64, usize, u64)>,
    late: bool,
    restarts: u8,
    fences: u8,
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // Times are whole seconds, and what is written out tells states apart.
        format!("{self:?}").hash(hasher);
    }
}

struct Small(Bug);

fn duty() -> Task {
    Task::new("gather", 0)
}

fn holder(at: usize, life: u64) -> LeaseHolder {
    LeaseHolder::new(HolderId::new(["a", "b"][at], life), "", ["gather".to_string()], 1.0)
}

impl State {
    fn now(&self) -> f64 {
        f64::from(self.t)
    }

    fn post(&mut self, mail: Mail) {
        if self.mail.len() < MAIL && !self.mail.contains(&mail) {
            self.mail.push(mail);
            // Any of them may arrive next: their order is no difference.
            self.mail.sort_by_key(|mail| format!("{mail:?}"));
        }
    }

    fn apply(&mut self, command: Command) {
        let out = self.table.apply(&LogEntry { at: self.now(), command });
        for told in out.responses {
            let at = usize::from(told.holder.instance == "b");
            if told.holder.incarnation == self.owners[at].1 {
                self.post(Mail::Response(at, told));
            }
        }
    }

    fn believes(&self, at: usize) -> bool {
        self.owners[at].0.stage(self.now(), &duty()) != LeaseStage::Ended
    }
}

impl Model for Small {
    type State = State;
    type Action = Deed;

    fn init_states(&self) -> Vec<State> {
        let rules = LeaseRules {
            term: 1.0,
            drift: 0.0,
            stall_timeout: 100.0,
            max_flaps: 100,
            panic_window: 0.0,
            ..LeaseRules::default()
        };
        let duties = vec![TaskDeclaration { name: "gather".into(), parts: 1, zone: None }];
        let mut table = LeaseTable::default();
        table.apply(&LogEntry { at: 0.0, command: Command::Declare { rules, tasks: duties } });
        let mut state = State {
            t: 0,
            table,
            owners: [(holder(0, 1), 1, 0), (holder(1, 1), 1, 0)],
            mail: Vec::new(),
            fence: Fence::default(),
            landed: Vec::new(),
            late: false,
            restarts: 0,
            fences: 0,
        };
        // Both are known, and the first of them owns.
        for at in 0..2 {
            let said = state.owners[at].0.next_request(0.0).expect("a first line");
            state.apply(Command::Renew(vec![said]));
            for mail in std::mem::take(&mut state.mail) {
                if let Mail::Response(at, told) = mail {
                    state.owners[at].0.handle_response(0.0, &told);
                }
            }
        }
        assert!(state.believes(0) && !state.believes(1));
        vec![state]
    }

    fn actions(&self, state: &State, deeds: &mut Vec<Deed>) {
        if state.t < LONGEST {
            deeds.push(Deed::Pass);
        }
        if state.table.now() < state.now() {
            deeds.push(Deed::Time);
        }
        deeds.extend((0..2).flat_map(|at| [Deed::Look(at), Deed::Step(at)]));
        deeds.extend((0..state.mail.len()).map(Deed::Deliver));
        if state.restarts == 0 {
            deeds.push(Deed::Restart(0));
        }
        if state.fences == 0 && !state.landed.is_empty() {
            deeds.push(Deed::RestartFence);
        }
    }

    fn next_state(&self, last: &State, deed: Deed) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match deed {
            Deed::Pass => state.t += 1,
            Deed::Time => state.apply(Command::AdvanceTime),
            Deed::Look(at) => {
                if state.mail.len() >= MAIL {
                    return None;
                }
                let (holder, _, lines) = &mut state.owners[at];
                holder.expire(now);
                let said = if *lines < LINES { holder.next_request(now) } else { None };
                *lines += u64::from(said.is_some());
                if let Some(said) = said {
                    state.post(Mail::Line(said));
                }
            }
            Deed::Step(at) => {
                if state.mail.len() >= MAIL || state.landed.len() >= 3 {
                    return None;
                }
                let (holder, life, _) = &mut state.owners[at];
                let epoch = holder.begin_step(now, &duty())?.epoch;
                // One effect under each epoch is enough to be late with.
                let (who, life, number) = (at, *life, 1);
                let sent = state.landed.iter().any(|(of, ..)| *of == epoch);
                if sent {
                    return None;
                }
                state.post(Mail::Effect { who, life, epoch, number });
            }
            Deed::Deliver(place) => match state.mail.remove(place) {
                Mail::Line(said) => state.apply(Command::Renew(vec![said])),
                Mail::Response(at, mut told) => {
                    if self.0 == Bug::Receipt {
                        told.term += 1.0;
                    }
                    let acts = state.owners[at].0.handle_response(now, &told);
                    for act in acts {
                        if let HolderAction::Release(duty, epoch) = act {
                            state.owners[at].0.release(&duty, epoch);
                        }
                    }
                }
                Mail::Effect { who, life, epoch, number } => {
                    match state.fence.check_and_record(&duty(), epoch, number) {
                        Verdict::New => state.landed.push((epoch, number, who, life)),
                        Verdict::Stale { .. } => state.late = true,
                        _ => {}
                    }
                    if life == state.owners[who].1 {
                        state.owners[who].0.finish_step(now, &duty(), epoch, true, false);
                    }
                }
            },
            Deed::Restart(at) => {
                state.restarts += 1;
                let life = state.owners[at].1 + 1;
                state.owners[at] = (holder(at, life), life, 0);
            }
            Deed::RestartFence => {
                state.fences += 1;
                let kept: Vec<_> = state.fence.records().map(|(duty, seen)| (duty.clone(), *seen)).collect();
                state.fence =
                    if self.0 == Bug::Memory { Fence::default() } else { Fence::from_records(kept) };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one believes", |_, state: &State| !(state.believes(0) && state.believes(1))),
            Property::always("epochs do not fall", |_, state: &State| {
                state.landed.windows(2).all(|two| two[0].0 <= two[1].0)
            }),
            Property::always("no effect lands twice, no epoch has two lives", |_, state: &State| {
                let epochs = |at: usize| state.landed.iter().filter(move |one| one.0 == state.landed[at].0);
                (0..state.landed.len()).all(|at| epochs(at).count() == 1)
            }),
            Property::sometimes("both own in turn", |_, state: &State| {
                state.landed.len() >= 2 && state.landed[0].2 != state.landed[1].2
            }),
            Property::sometimes("a late effect is refused", |_, state: &State| state.late),
        ]
    }
}

#[test]
fn in_every_order_one_believes_and_no_late_effect_lands() {
    let checker = Small(Bug::None).checker().spawn_bfs().join();
    println!("{} states, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn planted_bugs_have_a_shortest_way_to_harm() {
    for (bug, harm) in [(Bug::Receipt, "one believes"), (Bug::Memory, "epochs do not fall")] {
        let harmed = HasDiscoveries::AnyFailures;
        let checker = Small(bug).checker().finish_when(harmed).spawn_bfs().join();
        let path = checker.discovery(harm).unwrap_or_else(|| panic!("{bug:?} does no harm"));
        println!("{bug:?}: {harm} no more after {} deeds", path.into_actions().len());
    }
}
