//! One keeper without I/O and clock. Its host hands in ticks, messages of peers, lines of instances and operators' commands, then calls
//! [`Core::pump`] and carries out what comes: save, send, tell. What waits for a save goes out with [`Core::saved`], so that a slow
//! disk delays answers and never makes them untrue.

use crate::log::{Disk, Kept, Log, Save, Shot, Torn, Vote};
use crate::members::{Change as Turnover, Members, Seat, Unfit};
use protobuf::Message as _;
use puffinladder_leases::protocol::ReplicaStatus;
use puffinladder_leases::table::{
    Change, Command, LeaseRequest, LeaseResponse, LeaseRules, LeaseTable, LogEntry, TaskDeclaration,
};
use puffinladder_leases::table_clock::TableClock;
use puffinladder_leases::HolderId;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfChangeV2, EntryType, Message};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// What the keepers agree to keep to; the same at all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub rules: LeaseRules,
    pub duties: Vec<TaskDeclaration>,
    /// Ticks until a keeper that hears no leader stands for election, at the least; each one's own place is added, three
    /// ticks apart, so that two seldom stand at once.
    pub patience: usize,
    /// s between entries of time alone.
    pub beat: f64,
    /// Entries after which a snapshot takes their place.
    pub compact: usize,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { rules: LeaseRules::default(), duties: Vec::new(), patience: 10, beat: 0.1, compact: 4096 }
    }
}

/// Own entries on their way, above which lines wait and are gathered.
const UNDER_WAY: usize = 8;
/// Lines of instances in one entry.
const BATCH: usize = 512;
/// Bytes of a message between keepers at the most, beside one entry.
const MESSAGE: u64 = 1 << 20;
/// Share of the term that a sync may take.
const SLOW: f64 = 0.2;
/// Operators' commands that wait at once.
const COMMANDS: usize = 64;
/// Ticks after which a snapshot that was sent and not answered counts as lost.
const LOST: usize = 66;
/// Places by which election time-outs differ, for keepers that joined.
const PLACES: u64 = 9;

#[derive(Debug, Error)]
pub enum Fault {
    #[error("disk: {0}")]
    Torn(#[from] Torn),
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    #[error("a snapshot's table can't be read: {0}")]
    Table(postcard::Error),
}

/// Why a line or a command is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("this keeper does not lead; keeper {0:?} may")]
    NotLeading(Option<u64>),
    #[error("too much waits")]
    Full,
    #[error("whether it was carried out is not known")]
    Unknown,
    #[error("{0}")]
    Unfit(Unfit),
}

/// What the host is to do, in this order.
#[derive(Debug, Default)]
pub struct Out {
    /// To peers, at once.
    pub send: Vec<(u64, Vec<u8>)>,
    /// To be on disk, in this order; then [`Core::saved`].
    pub saves: Vec<Save>,
    /// To instances, only from the keeper that leads.
    pub told: Vec<LeaseResponse>,
    /// To operators: what came of a command.
    pub done: Vec<(u64, Result<(), String>)>,
    /// Reads that may be answered from the table now.
    pub read: Vec<u64>,
    /// For log and metrics; every keeper sees all of them.
    pub changes: Vec<Change>,
    pub turnovers: Vec<Turnover>,
}

/// A save that is under way, and what waits for it.
struct Unsaved {
    number: u64,
    since: f64,
    /// The snapshot's place, where one came with it.
    shot: Option<u64>,
    messages: Vec<Message>,
}

struct Waiting {
    token: u64,
    term: u64,
}

pub struct Core {
    id: u64,
    terms: Terms,
    node: RawNode<Log>,
    table: LeaseTable,
    applied: u64,
    /// While it leads and has applied all that was agreed before.
    lead: Option<Lead>,
    lines: BTreeMap<HolderId, LeaseRequest>,
    unsaved: VecDeque<Unsaved>,
    commands: Vec<Waiting>,
    reads: Vec<(u64, u64)>,
    members: Members,
    /// Who is a member changed: the snapshot in the log must name them, or whoever joins could not take it.
    reshoot: bool,
    /// Peers with a snapshot under way, and ticks since.
    shots: BTreeMap<u64, usize>,
    out: Out,
}

/// What a snapshot holds.
#[derive(Default, Serialize, Deserialize)]
struct State {
    table: LeaseTable,
    members: Members,
}

struct Lead {
    term: u64,
    pace: TableClock,
    beat_at: f64,
    under_way: usize,
}

impl Core {
    /// A keeper from what its disk holds. `id` must never have voted with another disk.
    pub fn new(id: u64, terms: Terms, disk: &Disk) -> Result<Core, Fault> {
        let log = Log::new(disk)?;
        let State { table, members } = state_of(&disk.shot)?;
        let mut places = disk.shot.voters.clone();
        places.sort_unstable();
        let founder = places.iter().position(|voter| *voter == id);
        let place = founder.unwrap_or((id % PLACES) as usize);
        let patience = terms.patience.max(4);
        let config = Config {
            id,
            election_tick: patience,
            heartbeat_tick: (patience / 5).max(1),
            // One value each, so that the same schedule gives the same elections.
            min_election_tick: patience + 3 * place,
            max_election_tick: patience + 3 * place + 1,
            applied: disk.shot.index,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 * MESSAGE,
            max_committed_size_per_ready: 4 * MESSAGE,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        Ok(Core {
            id,
            node: RawNode::new(&config, log, &quiet)?,
            table,
            applied: disk.shot.index,
            terms,
            lead: None,
            lines: BTreeMap::new(),
            unsaved: VecDeque::new(),
            commands: Vec::new(),
            reads: Vec::new(),
            members,
            reshoot: false,
            shots: BTreeMap::new(),
            out: Out::default(),
        })
    }

    pub fn id(&self) -> u64 {
        self.id
    }
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }
    pub fn applied(&self) -> u64 {
        self.applied
    }
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }
    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }
    /// Whether it leads and knows all that was agreed before.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }
    pub fn members(&self) -> &Members {
        &self.members
    }
    pub fn voters(&self) -> Vec<u64> {
        self.node.store().conf().voters.clone()
    }
    pub fn learners(&self) -> Vec<u64> {
        self.node.store().conf().learners.clone()
    }
    /// Numbers of all peers that it sends to.
    pub fn peers(&self) -> Vec<u64> {
        let conf = self.node.store().conf();
        conf.voters.iter().chain(&conf.learners).copied().filter(|peer| *peer != self.id).collect()
    }

    /// How it is, without what only its host knows.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        ReplicaStatus {
            number: self.id,
            leader: self.leader(),
            is_leader: self.leads(),
            term: self.term(),
            applied: self.applied,
            log_entries: self.log_len(),
            voters: self.voters(),
            learners: self.learners(),
            retired: self.members.retired.iter().copied().collect(),
            last_epoch: self.table.last_epoch(),
            instances: self.table.session_count(),
            slow_disk: self.slow(now),
            ..ReplicaStatus::default()
        }
    }

    /// All keepers as the one that leads sees them.
    fn seats(&self) -> Vec<Seat> {
        let voters = self.voters();
        let seat = |(number, progress): (&u64, &raft::Progress)| Seat {
            number: *number,
            votes: voters.contains(number),
            active: *number == self.id || progress.recent_active,
            matched: progress.matched,
        };
        let mut seats: Vec<Seat> = self.node.raft.prs().iter().map(seat).collect();
        seats.sort_by_key(|seat| seat.number);
        seats
    }

    /// Entries behind the last snapshot.
    pub fn log_len(&self) -> usize {
        self.node.store().len()
    }

    /// Whether its disk takes so long that answers of a leader here would come too late for the term.
    pub fn slow(&self, now: f64) -> bool {
        let late = SLOW * self.terms.rules.term;
        self.unsaved.front().is_some_and(|save| now - save.since > late)
    }

    /// A tick of the host's, of even length; how long is the host's to say. With a slow disk it neither stands for
    /// election nor goes on to lead: what it applies comes as late as its syncs.
    pub fn tick(&mut self, now: f64) {
        let slow = self.slow(now);
        if slow && self.node.raft.state == StateRole::Leader {
            let id = self.id;
            let next = self.node.raft.prs().iter().filter(|(peer, _)| **peer != id);
            // Whoever has most of the log.
            let next = next.max_by_key(|(peer, progress)| (progress.recent_active, progress.matched, **peer));
            if let Some(next) =
                next.map(|(peer, _)| *peer).filter(|_| self.node.raft.lead_transferee.is_none())
            {
                self.node.transfer_leader(next);
            }
        }
        if !slow || self.node.raft.state == StateRole::Leader {
            self.node.tick();
        }
        self.settle();
        self.tend();
        let waits = !self.lines.is_empty();
        let Some(lead) = &mut self.lead else { return };
        // Looked at before time moves: after a pause of this process the lines that waited come first.
        let may = lead.pace.may_advance(now, waits);
        if may && now >= lead.beat_at && lead.under_way < UNDER_WAY {
            lead.beat_at = now + self.terms.beat;
            self.propose(now, Command::AdvanceTime, Vec::new());
        }
    }

    /// What a leader sees to beside the table: snapshots that were lost on their way are sent again, learners get their vote.
    fn tend(&mut self) {
        if self.lead.is_none() {
            return self.shots.clear();
        }
        let under_way = |(peer, progress): (&u64, &raft::Progress)| {
            (progress.state == ProgressState::Snapshot).then_some(*peer)
        };
        let waits: Vec<u64> = self.node.raft.prs().iter().filter_map(under_way).collect();
        self.shots.retain(|peer, _| waits.contains(peer));
        for peer in waits {
            let ticks = self.shots.entry(peer).or_default();
            *ticks += 1;
            if *ticks >= LOST {
                self.shots.remove(&peer);
                self.node.report_snapshot(peer, SnapshotStatus::Failure);
            }
        }
        if !self.node.raft.has_pending_conf() {
            if let Some(change) = self.members.next(&self.seats(), self.node.raft.raft_log.last_index()) {
                self.turn_over(0, change);
            }
        }
    }

    /// An operator's change of who the keepers are; what came of it is told under its token.
    pub fn change(&mut self, token: u64, change: Turnover) -> Result<(), Refusal> {
        self.leading()?;
        if self.node.raft.has_pending_conf() {
            return Err(Refusal::Unfit(Unfit::UnderWay));
        }
        if self.commands.len() >= COMMANDS {
            return Err(Refusal::Full);
        }
        self.members.may(&change, &self.seats(), self.id).map_err(Refusal::Unfit)?;
        if !self.turn_over(token, change) {
            return Err(Refusal::Full);
        }
        let term = self.term();
        self.commands.push(Waiting { token, term });
        Ok(())
    }

    fn turn_over(&mut self, token: u64, change: Turnover) -> bool {
        let (kind, number) = match &change {
            Turnover::Add { number, .. } => (ConfChangeType::AddLearnerNode, *number),
            Turnover::Promote(number) => (ConfChangeType::AddNode, *number),
            Turnover::Remove(number) => (ConfChangeType::RemoveNode, *number),
        };
        let Ok(context) = postcard::to_allocvec(&(token, change)) else { return false };
        let mut conf =
            ConfChange { node_id: number, context: context.clone().into(), ..ConfChange::default() };
        conf.set_change_type(kind);
        self.node.propose_conf_change(context, conf).is_ok()
    }

    /// A message of a peer, as it came: what can't be read or is not for this keeper is passed over, and says so.
    pub fn hear(&mut self, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|e| format!("not a message: {e}"))?;
        // Whoever joins knows nobody yet.
        let known = self.voters().is_empty() || self.node.raft.prs().get(message.from).is_some();
        if message.to != self.id || !known {
            return Err(format!("a message of {} to {} is not for this keeper", message.from, message.to));
        }
        self.node.step(message).map_err(|e| e.to_string())
    }

    /// Only a keeper that leads takes lines, commands and reads.
    fn leading(&mut self) -> Result<(), Refusal> {
        self.settle();
        match self.lead {
            Some(_) => Ok(()),
            None => Err(Refusal::NotLeading(self.leader().filter(|id| *id != self.id))),
        }
    }

    /// An instance's line. A later one of the same life takes its place: it tells all that the earlier told.
    pub fn say(&mut self, said: LeaseRequest) -> Result<(), Refusal> {
        self.leading()?;
        if self.lines.len() >= puffinladder_leases::table::MAX_INSTANCES {
            return Err(Refusal::Full);
        }
        let newer = |old: &LeaseRequest| old.serial >= said.serial;
        if !self.lines.get(&said.holder).is_some_and(newer) {
            self.lines.insert(said.holder.clone(), said);
        }
        Ok(())
    }

    /// An operator's command; what came of it is told under its token.
    pub fn command(&mut self, now: f64, token: u64, command: Command) -> Result<(), Refusal> {
        self.leading()?;
        if self.commands.len() >= COMMANDS {
            return Err(Refusal::Full);
        }
        let term = self.term();
        if !self.propose(now, command, token.to_le_bytes().to_vec()) {
            return Err(Refusal::Full);
        }
        self.commands.push(Waiting { token, term });
        Ok(())
    }

    /// Asks that a read be answered from a table that holds all that was answered before now.
    pub fn read(&mut self, token: u64) -> Result<(), Refusal> {
        self.leading()?;
        self.node.read_index(token.to_le_bytes().to_vec());
        Ok(())
    }

    /// Proposes what waits and hands out what is to be done.
    pub fn pump(&mut self, now: f64) -> Result<Out, Fault> {
        self.settle();
        self.flush(now);
        while self.node.has_ready() {
            self.ready(now)?;
        }
        self.shrink();
        let applied = self.applied;
        let due = self.reads.extract_if(.., |(index, _)| *index <= applied);
        self.out.read.extend(due.map(|(_, token)| token));
        Ok(std::mem::take(&mut self.out))
    }

    /// A save is on disk, and all before it.
    pub fn saved(&mut self, number: u64) {
        while self.unsaved.front().is_some_and(|save| save.number <= number) {
            let Some(save) = self.unsaved.pop_front() else { return };
            self.node.on_persist_ready(save.number);
            if let Some(index) = save.shot {
                self.node.advance_apply_to(index);
            }
            self.send(save.messages);
        }
    }

    /// Whoever leads no more answers for nothing more.
    fn settle(&mut self) {
        let leads = self.node.raft.state == StateRole::Leader;
        let term = self.term();
        if self.lead.as_ref().is_some_and(|lead| !leads || lead.term != term) {
            self.lead = None;
            self.lines.clear();
        }
        let lost = self.commands.extract_if(.., |one| !leads || one.term != term);
        self.out.done.extend(lost.map(|one| (one.token, Err(Refusal::Unknown.to_string()))));
    }

    fn flush(&mut self, now: f64) {
        while !self.lines.is_empty() && self.lead.as_ref().is_some_and(|lead| lead.under_way < UNDER_WAY) {
            let batch =
                std::iter::from_fn(|| self.lines.pop_first()).take(BATCH).map(|(_, said)| said).collect();
            self.propose(now, Command::Renew(batch), Vec::new());
        }
    }

    /// Whether it was taken: not where too much is unagreed. Lines come again, and time too.
    fn propose(&mut self, now: f64, command: Command, context: Vec<u8>) -> bool {
        let Some(lead) = &mut self.lead else { return false };
        let entry = LogEntry { at: lead.pace.stamp(now), command };
        let Ok(data) = postcard::to_allocvec(&entry) else { return false };
        let taken = self.node.propose(context, data).is_ok();
        lead.under_way += usize::from(taken);
        taken
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.out.send.push((message.to, bytes));
            }
        }
    }

    fn ready(&mut self, now: f64) -> Result<(), Fault> {
        let mut ready = self.node.ready();
        let mut save = Save { number: ready.number(), ..Save::default() };
        let at_once = ready.take_messages();
        if ready.snapshot().get_metadata().index > 0 {
            let shot = Shot::of(ready.snapshot());
            let state = state_of(&shot)?;
            (self.table, self.members) = (state.table, state.members);
            self.applied = shot.index;
            self.node.mut_store().restore(shot.clone());
            save.shot = Some(shot);
        }
        let entries = ready.take_entries();
        self.node.mut_store().append(&entries);
        save.entries = entries.iter().map(Kept::of).collect();
        if let Some(state) = ready.hs() {
            save.vote = Some(Vote::of(state));
            self.node.mut_store().set_state(state);
        }
        let committed = ready.take_committed_entries();
        let once_saved = ready.take_persisted_messages();
        for state in ready.take_read_states() {
            if let Ok(token) = state.request_ctx[..].try_into() {
                self.reads.push((state.index, u64::from_le_bytes(token)));
            }
        }
        self.node.advance_append_async(ready);
        self.send(at_once);
        if save.is_empty() && self.unsaved.is_empty() {
            self.node.on_persist_ready(save.number);
            self.send(once_saved);
        } else {
            self.unsaved.push_back(Unsaved {
                number: save.number,
                since: now,
                shot: save.shot.as_ref().map(|shot| shot.index),
                messages: once_saved,
            });
            self.out.saves.push(save);
        }
        for entry in &committed {
            self.apply(now, entry)?;
        }
        if !committed.is_empty() {
            self.node.advance_apply_to(self.applied);
        }
        Ok(())
    }

    fn apply(&mut self, now: f64, entry: &raft::eraftpb::Entry) -> Result<(), Fault> {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {
                // The first entry of a leader's term: all that was agreed before it has been applied.
                if entry.term == self.term() && self.node.raft.state == StateRole::Leader {
                    let pace = TableClock::start(self.table.now(), now);
                    self.lead = Some(Lead { term: entry.term, pace, beat_at: now, under_way: 0 });
                    self.declare(now);
                }
            }
            EntryType::EntryNormal => {
                let ours = self.lead.as_mut().filter(|lead| lead.term == entry.term);
                let leads = ours.is_some();
                if let Some(lead) = ours {
                    lead.under_way = lead.under_way.saturating_sub(1);
                }
                // An entry that can't be read changes nothing, at all keepers alike.
                let Ok(read) = postcard::from_bytes::<LogEntry>(&entry.data) else { return Ok(()) };
                let outcome = self.table.apply(&read);
                self.out.changes.extend(outcome.changes);
                if leads {
                    self.out.told.extend(outcome.responses);
                    if let Ok(token) = entry.context[..].try_into() {
                        let token = u64::from_le_bytes(token);
                        self.commands.retain(|one| one.token != token);
                        self.out
                            .done
                            .push((token, outcome.error.map_or(Ok(()), |error| Err(error.to_string()))));
                    }
                }
            }
            EntryType::EntryConfChange => {
                let change = ConfChange::parse_from_bytes(&entry.data).unwrap_or_default();
                let conf = self.node.apply_conf_change(&change)?;
                self.node.mut_store().set_conf(conf);
                self.reshoot = true;
                if let Ok((token, change)) = postcard::from_bytes::<(u64, Turnover)>(&change.context) {
                    self.members.apply(&change);
                    self.out.turnovers.push(change);
                    if self.commands.iter().any(|one| one.token == token) {
                        self.commands.retain(|one| one.token != token);
                        self.out.done.push((token, Ok(())));
                    }
                }
            }
            EntryType::EntryConfChangeV2 => {
                let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                let conf = self.node.apply_conf_change(&change)?;
                self.node.mut_store().set_conf(conf);
                self.reshoot = true;
            }
        }
        Ok(())
    }

    /// The leader's settings hold: where the table keeps to others it is told.
    fn declare(&mut self, now: f64) {
        let Terms { rules, duties, .. } = &self.terms;
        let mut sorted = duties.clone();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        if *self.table.rules() != *rules || self.table.declarations() != sorted {
            let command = Command::Declare { rules: rules.clone(), tasks: duties.clone() };
            self.propose(now, command, Vec::new());
        }
    }

    /// Puts a snapshot in place of a long log.
    fn shrink(&mut self) {
        let store = self.node.store();
        let due = store.len() >= self.terms.compact || self.reshoot;
        if !due || self.applied <= store.shot().index || !self.unsaved.is_empty() {
            return;
        }
        let state = State { table: std::mem::take(&mut self.table), members: self.members.clone() };
        let written = postcard::to_allocvec(&state);
        self.table = state.table;
        let Ok(table) = written else { return };
        let applied = self.applied;
        self.reshoot = false;
        if let Some(shot) = self.node.mut_store().compact(applied, table) {
            // Nothing waits for it: it only makes room. (Number 0 is before all others.)
            self.out.saves.push(Save { shot: Some(shot), ..Save::default() });
        }
    }
}

/// What is in a snapshot; the first one of all has nothing yet.
fn state_of(shot: &Shot) -> Result<State, Fault> {
    if shot.table.is_empty() {
        return Ok(State::default());
    }
    postcard::from_bytes(&shot.table).map_err(Fault::Table)
}
