//! Exhaustive model check of two writers and one server: all interleavings of puts, lease holder commands, delayed, duplicated and lost
//! chunks, and a restart from an outdated disk, up to a bounded depth.

use puffinladder_config_rollout::follower::{Follower, PROBATION};
use puffinladder_config_rollout::history::{
    Command, History, LogEntry, Origin, Outcome, PutRequest, Rejection, RetentionLimits,
};
use puffinladder_config_rollout::messages::{
    encode_change, encode_content, Chunk, DistributorMessage, TransferId,
};
use puffinladder_config_rollout::validation::BoundsValidator;
use puffinladder_config_rollout::{Change, Content, Digester, Key, VersionId};
use puffinladder_leases::HolderId;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const VERSIONS: u64 = 3;
const MAX_IN_TRANSIT: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// Puts are accepted on any head.
    NoCompare,
    /// The server activates every received version, including older and duplicate ones.
    Downgrade,
    /// The staged version is acknowledged as active.
    EarlyAck,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    history: History,
    /// The head that each writer last read.
    seen_heads: [VersionId; 2],
    /// Versions acknowledged to their writers, each with the key and value that it set.
    accepted: Vec<(VersionId, Key, f64)>,
    follower: Follower,
    active: VersionId,
    /// The highest version that was active in this incarnation.
    highest: u64,
    acknowledged: VersionId,
    disk: Option<Vec<u8>>,
    in_transit: Vec<DistributorMessage>,
    restarts: u8,
    missed: bool,
    out_of_order: bool,
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    ReadHead(usize),
    Put(usize),
    StartCanary,
    Release,
    Revert,
    /// The distributor sends the change from the acknowledged version to the target.
    SendChange,
    SendWholeContent,
    /// Delivers a message, which may be delivered again.
    Deliver(usize),
    Lose(usize),
    /// Activates the staged version.
    Activate,
    Save,
    Acknowledge,
    Restart,
}

struct RolloutModel(Bug);

fn start(incarnation: u64, disk: Option<&[u8]>) -> Follower {
    Follower::start(HolderId::new("n", incarnation), "", Digester::default(), disk, &BoundsValidator).0
}

fn apply(state: &mut State, command: Command) -> Result<Outcome, Rejection> {
    state.history.apply(&LogEntry { at: 0.0, command })
}

impl Model for RolloutModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let history = History::new(Digester::default(), RetentionLimits::default());
        let (follower, head) = (start(1, None), history.head());
        vec![State {
            history,
            seen_heads: [head; 2],
            accepted: Vec::new(),
            follower,
            active: head,
            highest: 0,
            acknowledged: head,
            disk: None,
            in_transit: Vec::new(),
            restarts: 0,
            missed: false,
            out_of_order: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for index in 0..2 {
            if state.seen_heads[index] != state.history.head() {
                actions.push(Action::ReadHead(index));
            }
            if state.history.head().number < VERSIONS {
                actions.push(Action::Put(index));
            }
        }
        actions.extend([
            Action::StartCanary,
            Action::Release,
            Action::Revert,
            Action::SendChange,
            Action::SendWholeContent,
        ]);
        actions.extend(
            (0..state.in_transit.len()).flat_map(|index| [Action::Deliver(index), Action::Lose(index)]),
        );
        actions.extend([Action::Activate, Action::Save, Action::Acknowledge]);
        if state.restarts == 0 {
            actions.push(Action::Restart);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let head = state.history.head();
        let canary = state.history.state().canary_number();
        match action {
            Action::ReadHead(index) => state.seen_heads[index] = head,
            Action::Put(index) => {
                let (key, value) = (Key::tenant(["a", "b"][index]), (head.number + 1) as f64);
                let change = Change::default().set(key.clone(), value);
                let mut base = state.seen_heads[index];
                if self.0 == Bug::NoCompare {
                    base = head;
                }
                let seen_head = state.seen_heads[index];
                let put = PutRequest {
                    base,
                    author: ["ann", "bob"][index].into(),
                    epoch: 1,
                    origin: Origin::Put,
                    change,
                };
                match apply(&mut state, Command::Put(put)) {
                    // The writer assumes that its version directly follows the head it read.
                    Ok(Outcome::Accepted(new)) if new.number != seen_head.number + 1 => {
                        state.out_of_order = true
                    }
                    Ok(Outcome::Accepted(new)) => state.accepted.push((new, key, value)),
                    Err(Rejection::MissedVersions { .. }) => state.missed = true,
                    _ => return None,
                }
            }
            Action::StartCanary => {
                let number = head.number;
                if canary.is_some() || number <= state.history.state().released {
                    return None;
                }
                let canaries = BTreeSet::from(["n".to_string()]);
                apply(&mut state, Command::StartCanary { epoch: 1, number, canaries }).ok()?;
            }
            Action::Release => {
                apply(&mut state, Command::Release { epoch: 1, number: canary? }).ok()?;
            }
            Action::Revert => {
                let (author, cause) = ("o".into(), "canary unhealthy".into());
                apply(&mut state, Command::Revert { epoch: 1, author, number: canary?, cause }).ok()?;
            }
            Action::SendChange | Action::SendWholeContent => {
                if state.in_transit.len() >= MAX_IN_TRANSIT {
                    return None;
                }
                let to = state.history.version_id(state.history.state().target("n"))?;
                if to.number <= state.acknowledged.number {
                    return None;
                }
                let (from, body) = match action {
                    Action::SendChange => {
                        let change = state.history.combined_change(state.acknowledged.number, to.number)?;
                        (Some(state.acknowledged), encode_change(&change))
                    }
                    _ => (None, encode_content(&state.history.content_at(to.number)?)),
                };
                let transfer = TransferId { base: from, target: to, total_bytes: body.len() as u32 };
                let message = DistributorMessage::Chunk(Chunk { transfer, offset: 0, bytes: body });
                if state.in_transit.contains(&message) {
                    return None;
                }
                state.in_transit.push(message);
            }
            Action::Deliver(index) => {
                let message = state.in_transit[index].clone();
                state.follower.receive(&message, &BoundsValidator);
                if self.0 == Bug::Downgrade {
                    if let DistributorMessage::Chunk(chunk) = &message {
                        state.active = chunk.transfer.target;
                        state.out_of_order |= state.active.number < state.highest;
                    }
                }
            }
            Action::Lose(index) => drop(state.in_transit.remove(index)),
            Action::Activate => {
                let head = state.follower.staged()?.version;
                state.out_of_order |= head.number <= state.highest && state.highest > 0;
                (state.active, state.highest) = (head, head.number);
                state.follower.activated(0.0, head);
            }
            Action::Save => {
                state.disk = Some(state.follower.save(PROBATION)?);
                state.follower.save_finished(PROBATION, Ok(()));
            }
            Action::Acknowledge => {
                let staged = state.follower.staged().filter(|_| self.0 == Bug::EarlyAck);
                let version = staged.map_or(state.follower.active().version, |staged| staged.version);
                if state.acknowledged == version {
                    return None;
                }
                state.acknowledged = version;
                state.out_of_order |= version != state.active;
            }
            Action::Restart => {
                state.restarts += 1;
                state.follower = start(2, state.disk.as_deref());
                state.active = state.follower.active().version;
                (state.acknowledged, state.highest) = (state.active, state.active.number);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("versions are in order", |_, state: &State| !state.out_of_order),
            Property::always("the active content matches the history", |_, state: &State| {
                let content = &state.follower.active().content;
                let expected: Option<Content> = state.history.content_at(state.active.number);
                state.history.contains(state.active) && expected.as_ref() == Some(&**content)
            }),
            Property::always("accepted versions are durable", |_, state: &State| {
                let is_stored = |head: &VersionId, key: &Key, value: f64| {
                    let content = state.history.content_at(head.number);
                    state.history.contains(*head)
                        && content.and_then(|content| content.get(key)) == Some(value)
                };
                state.accepted.iter().all(|(head, key, value)| is_stored(head, key, *value))
            }),
            Property::sometimes("a put is rejected because of a missed version", |_, state: &State| {
                state.missed
            }),
            Property::sometimes("the latest version is active", |_, state: &State| {
                state.active.number == VERSIONS
            }),
            Property::sometimes("a version is reverted", |_, state: &State| {
                !state.history.state().reverted.is_empty() && state.active.number > 1
            }),
        ]
    }
}

#[test]
fn versions_stay_ordered_and_durable_in_every_interleaving() {
    let checker = RolloutModel(Bug::None).checker().target_max_depth(11).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn model_checker_detects_each_planted_bug() {
    for bug in [Bug::NoCompare, Bug::Downgrade, Bug::EarlyAck] {
        let until_failure = HasDiscoveries::AnyFailures;
        let checker =
            RolloutModel(bug).checker().target_max_depth(11).finish_when(until_failure).spawn_bfs().join();
        let properties = [
            "versions are in order",
            "the active content matches the history",
            "accepted versions are durable",
        ];
        let path = properties.iter().find_map(|property| checker.discovery(property));
        let path = path.unwrap_or_else(|| panic!("{bug:?} is not detected"));
        println!("{bug:?}: detected after {} actions", path.into_actions().len());
    }
}
