//! Two writers, one server, one trial, explored exhaustively: every order of puts, of what the owner says, of pieces that come late, doubled
//! or never, and of a restart from a disk that is behind.

use puffinladder_config_rollout::follower::{Follower, PROBATION};
use puffinladder_config_rollout::history::{
    Command, History, LogEntry, Origin, Outcome, PutRequest, Rejection, RetentionLimits,
};
use puffinladder_config_rollout::messages::{
    encode_change, encode_content, Chunk, DistributorMessage, TransferId,
};
use puffinladder_config_rollout::validation::BoundsValidator;
use puffinladder_config_rollout::{Change, Content, Key, Seal, VersionId};
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
    views: [VersionId; 2],
    /// Contents that writers were told are accepted, by number.
    accepted: Vec<(VersionId, Key, f64)>,
    follower: Follower,
    module: VersionId,
    /// In this life.
    highest: u64,
    acked: VersionId,
    disk: Option<Vec<u8>>,
    mail: Vec<DistributorMessage>,
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
    Acknowledgement,
    Restart,
}

struct Small(Bug);

fn start(life: u64, disk: Option<&[u8]>) -> Follower {
    Follower::start(HolderId::new("n", life), "", Seal::default(), disk, &BoundsValidator).0
}

fn apply(state: &mut State, command: Command) -> Result<Outcome, Rejection> {
    state.history.apply(&LogEntry { at: 0.0, command })
}

impl Model for Small {
    type State = State;
    type Action = Deed;

    fn init_states(&self) -> Vec<State> {
        let history = History::new(Seal::default(), RetentionLimits::default());
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
        deeds.extend([Deed::Round, Deed::Save, Deed::Acknowledgement]);
        if state.restarts == 0 {
            deeds.push(Deed::Restart);
        }
    }

    fn next_state(&self, last: &State, deed: Deed) -> Option<State> {
        let mut state = last.clone();
        let head = state.history.head();
        let trial = state.history.state().canary.as_ref().map(|trial| trial.number);
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
                let put = PutRequest {
                    base,
                    author: ["ann", "bob"][at].into(),
                    epoch: 1,
                    origin: Origin::Put,
                    change,
                };
                match apply(&mut state, Command::Put(put)) {
                    // He believes that nothing came between what he saw and his own.
                    Ok(Outcome::Accepted(new)) if new.number != saw.number + 1 => state.back = true,
                    Ok(Outcome::Accepted(new)) => state.accepted.push((new, key, value)),
                    Err(Rejection::MissedVersions { .. }) => state.missed = true,
                    _ => return None,
                }
            }
            Deed::Try => {
                let number = head.number;
                if trial.is_some() || number <= state.history.state().released {
                    return None;
                }
                let canaries = BTreeSet::from(["n".to_string()]);
                apply(&mut state, Command::StartCanary { epoch: 1, number, canaries }).ok()?;
            }
            Deed::Release => {
                apply(&mut state, Command::Release { epoch: 1, number: trial? }).ok()?;
            }
            Deed::TakeBack => {
                let (author, cause) = ("o".into(), "it fell".into());
                apply(&mut state, Command::Revert { epoch: 1, author, number: trial?, cause }).ok()?;
            }
            Deed::Send | Deed::SendWhole => {
                if state.mail.len() >= MAIL {
                    return None;
                }
                let to = state.history.version_id(state.history.state().target("n"))?;
                if to.number <= state.acked.number {
                    return None;
                }
                let (from, body) = match deed {
                    Deed::Send => {
                        let change = state.history.combined_change(state.acked.number, to.number)?;
                        (Some(state.acked), encode_change(&change))
                    }
                    _ => (None, encode_content(&state.history.content_at(to.number)?)),
                };
                let transfer = TransferId { base: from, target: to, total_bytes: body.len() as u32 };
                let message = DistributorMessage::Chunk(Chunk { transfer, offset: 0, bytes: body });
                if state.mail.contains(&message) {
                    return None;
                }
                state.mail.push(message);
            }
            Deed::Deliver(at) => {
                let message = state.mail[at].clone();
                state.follower.receive(&message, &BoundsValidator);
                if self.0 == Bug::Back {
                    if let DistributorMessage::Chunk(piece) = &message {
                        state.module = piece.transfer.target;
                        state.back |= state.module.number < state.highest;
                    }
                }
            }
            Deed::Lose(at) => drop(state.mail.remove(at)),
            Deed::Round => {
                let head = state.follower.staged()?.version;
                state.back |= head.number <= state.highest && state.highest > 0;
                (state.module, state.highest) = (head, head.number);
                state.follower.activated(0.0, head);
            }
            Deed::Save => {
                state.disk = Some(state.follower.save(PROBATION)?);
                state.follower.save_finished(PROBATION, Ok(()));
            }
            Deed::Acknowledgement => {
                let held = state.follower.staged().filter(|_| self.0 == Bug::EarlyAck);
                let now = held.map_or(state.follower.active().version, |held| held.version);
                if state.acked == now {
                    return None;
                }
                state.acked = now;
                state.back |= now != state.module;
            }
            Deed::Restart => {
                state.restarts += 1;
                state.follower = start(2, state.disk.as_deref());
                state.module = state.follower.active().version;
                (state.acked, state.highest) = (state.module, state.module.number);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("in order", |_, state: &State| !state.back),
            Property::always("in force is what the line has", |_, state: &State| {
                let content = &state.follower.active().content;
                let right: Option<Content> = state.history.content_at(state.module.number);
                state.history.contains(state.module) && right.as_ref() == Some(&**content)
            }),
            Property::always("accepted stays", |_, state: &State| {
                let kept = |head: &VersionId, key: &Key, value: f64| {
                    let content = state.history.content_at(head.number);
                    state.history.contains(*head)
                        && content.and_then(|content| content.get(key)) == Some(value)
                };
                state.accepted.iter().all(|(head, key, value)| kept(head, key, *value))
            }),
            Property::sometimes("one is told that he missed something", |_, state: &State| state.missed),
            Property::sometimes("the last version is in force", |_, state: &State| {
                state.module.number == VERSIONS
            }),
            Property::sometimes("a version is taken back", |_, state: &State| {
                !state.history.state().reverted.is_empty() && state.module.number > 1
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
