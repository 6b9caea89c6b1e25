//! Two writers, one server, one trial, explored exhaustively: every order of puts, of what the owner says, of pieces that come late, doubled
//! or never, and of a restart from a disk that is behind.

use puffinladder_config_rollout::check::Shape;
use puffinladder_config_rollout::follower::{Follower, GOOD};
use puffinladder_config_rollout::history::{Command, Done, Entry, History, Limits, Origin, Put, Refusal};
use puffinladder_config_rollout::words::{body_of_change, body_of_content, Piece, Tell, Way};
use puffinladder_config_rollout::{Change, Content, Head, Key, Seal};
use puffinladder_leases::HolderId;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const VERSIONS: u64 = 3;
const MAIL: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// A writer's change is taken on whatever head there is.
    NoCompare,
    /// The server puts in force what it holds the first time, and again when it comes again.
    Back,
    /// What is ready counts as in force.
    EarlyAck,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    history: History,
    /// The head that each writer saw last.
    views: [Head; 2],
    /// Contents that writers were told are accepted, by number.
    accepted: Vec<(Head, Key, f64)>,
    follower: Follower,
    module: Head,
    /// In this life.
    highest: u64,
    acked: Head,
    disk: Option<Vec<u8>>,
    mail: Vec<Tell>,
    restarts: u8,
    missed: bool,
    back: bool,
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Deed {
    Look(usize),
    Put(usize),
    Try,
    Release,
    TakeBack,
    /// The distributor sends what leads from there to the target.
    Send,
    SendWhole,
    /// It arrives, and may arrive again.
    Deliver(usize),
    Lose(usize),
    /// A round of the module.
    Round,
    Save,
    Ack,
    Restart,
}

struct Small(Bug);

fn start(life: u64, disk: Option<&[u8]>) -> Follower {
    Follower::start(HolderId::new("n", life), "", Seal::default(), disk, &Shape).0
}

fn apply(state: &mut State, command: Command) -> Result<Done, Refusal> {
    state.history.apply(&Entry { at: 0.0, command })
}

impl Model for Small {
    type State = State;
    type Action = Deed;

    fn init_states(&self) -> Vec<State> {
        let history = History::new(Seal::default(), Limits::default());
        let (follower, head) = (start(1, None), history.head());
        vec![State {
            history,
            views: [head; 2],
            accepted: Vec::new(),
            follower,
            module: head,
            highest: 0,
            acked: head,
            disk: None,
            mail: Vec::new(),
            restarts: 0,
            missed: false,
            back: false,
        }]
    }

    fn actions(&self, state: &State, deeds: &mut Vec<Deed>) {
        for at in 0..2 {
            if state.views[at] != state.history.head() {
                deeds.push(Deed::Look(at));
            }
            if state.history.head().number < VERSIONS {
                deeds.push(Deed::Put(at));
            }
        }
        deeds.extend([Deed::Try, Deed::Release, Deed::TakeBack, Deed::Send, Deed::SendWhole]);
        deeds.extend((0..state.mail.len()).flat_map(|at| [Deed::Deliver(at), Deed::Lose(at)]));
        deeds.extend([Deed::Round, Deed::Save, Deed::Ack]);
        if state.restarts == 0 {
            deeds.push(Deed::Restart);
        }
    }

    fn next_state(&self, last: &State, deed: Deed) -> Option<State> {
        let mut state = last.clone();
        let head = state.history.head();
        let trial = state.history.stage().trial.as_ref().map(|trial| trial.number);
        match deed {
            Deed::Look(at) => state.views[at] = head,
            Deed::Put(at) => {
                let (key, value) = (Key::tenant(["a", "b"][at]), (head.number + 1) as f64);
                let change = Change::default().set(key.clone(), value);
                let mut base = state.views[at];
                if self.0 == Bug::NoCompare {
                    base = head;
                }
                let saw = state.views[at];
                let put =
                    Put { base, author: ["ann", "bob"][at].into(), epoch: 1, origin: Origin::Put, change };
                match apply(&mut state, Command::Put(put)) {
                    // He believes that nothing came between what he saw and his own.
                    Ok(Done::Accepted(new)) if new.number != saw.number + 1 => state.back = true,
                    Ok(Done::Accepted(new)) => state.accepted.push((new, key, value)),
                    Err(Refusal::Missed { .. }) => state.missed = true,
                    _ => return None,
                }
            }
            Deed::Try => {
                let number = head.number;
                if trial.is_some() || number <= state.history.stage().released {
                    return None;
                }
                let canaries = BTreeSet::from(["n".to_string()]);
                apply(&mut state, Command::Trial { epoch: 1, number, canaries }).ok()?;
            }
            Deed::Release => {
                apply(&mut state, Command::Release { epoch: 1, number: trial? }).ok()?;
            }
            Deed::TakeBack => {
                let (author, cause) = ("o".into(), "it fell".into());
                apply(&mut state, Command::TakeBack { epoch: 1, author, number: trial?, cause }).ok()?;
            }
            Deed::Send | Deed::SendWhole => {
                if state.mail.len() >= MAIL {
                    return None;
                }
                let to = state.history.known(state.history.stage().target("n"))?;
                if to.number <= state.acked.number {
                    return None;
                }
                let (from, body) = match deed {
                    Deed::Send => {
                        let change = state.history.between(state.acked.number, to.number)?;
                        (Some(state.acked), body_of_change(&change))
                    }
                    _ => (None, body_of_content(&state.history.content_at(to.number)?)),
                };
                let way = Way { from, to, total: body.len() as u32 };
                let tell = Tell::Piece(Piece { way, at: 0, bytes: body });
                if state.mail.contains(&tell) {
                    return None;
                }
                state.mail.push(tell);
            }
            Deed::Deliver(at) => {
                let tell = state.mail[at].clone();
                state.follower.hear(&tell, &Shape);
                if self.0 == Bug::Back {
                    if let Tell::Piece(piece) = &tell {
                        state.module = piece.way.to;
                        state.back |= state.module.number < state.highest;
                    }
                }
            }
            Deed::Lose(at) => drop(state.mail.remove(at)),
            Deed::Round => {
                let head = state.follower.next()?.head;
                state.back |= head.number <= state.highest && state.highest > 0;
                (state.module, state.highest) = (head, head.number);
                state.follower.in_force(0.0, head);
            }
            Deed::Save => {
                state.disk = Some(state.follower.save(GOOD)?);
                state.follower.saved(GOOD, Ok(()));
            }
            Deed::Ack => {
                let held = state.follower.next().filter(|_| self.0 == Bug::EarlyAck);
                let now = held.map_or(state.follower.works_by().head, |held| held.head);
                if state.acked == now {
                    return None;
                }
                state.acked = now;
                state.back |= now != state.module;
            }
            Deed::Restart => {
                state.restarts += 1;
                state.follower = start(2, state.disk.as_deref());
                state.module = state.follower.works_by().head;
                (state.acked, state.highest) = (state.module, state.module.number);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("in order", |_, state: &State| !state.back),
            Property::always("in force is what the line has", |_, state: &State| {
                let content = &state.follower.works_by().content;
                let right: Option<Content> = state.history.content_at(state.module.number);
                state.history.knows(state.module) && right.as_ref() == Some(&**content)
            }),
            Property::always("accepted stays", |_, state: &State| {
                let kept = |head: &Head, key: &Key, value: f64| {
                    let content = state.history.content_at(head.number);
                    state.history.knows(*head) && content.and_then(|content| content.get(key)) == Some(value)
                };
                state.accepted.iter().all(|(head, key, value)| kept(head, key, *value))
            }),
            Property::sometimes("one is told that he missed something", |_, state: &State| state.missed),
            Property::sometimes("the last version is in force", |_, state: &State| {
                state.module.number == VERSIONS
            }),
            Property::sometimes("a version is taken back", |_, state: &State| {
                !state.history.stage().taken_back.is_empty() && state.module.number > 1
            }),
        ]
    }
}

#[test]
fn in_every_order_versions_go_forward_and_nothing_accepted_is_lost() {
    let checker = Small(Bug::None).checker().target_max_depth(11).spawn_bfs().join();
    println!("{} states, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn planted_bugs_have_a_shortest_way_to_harm() {
    for bug in [Bug::NoCompare, Bug::Back, Bug::EarlyAck] {
        let harmed = HasDiscoveries::AnyFailures;
        let checker = Small(bug).checker().target_max_depth(11).finish_when(harmed).spawn_bfs().join();
        let harm = ["in order", "in force is what the line has", "accepted stays"];
        let path = harm.iter().find_map(|harm| checker.discovery(harm));
        let path = path.unwrap_or_else(|| panic!("{bug:?} does no harm"));
        println!("{bug:?}: harm after {} deeds", path.into_actions().len());
    }
}
