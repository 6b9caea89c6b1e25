//! What instances, operators and peers ask of a replica, up to the proposal in the log.

use super::leadership::MAX_INFLIGHT_PROPOSALS;
use super::{MessageError, Replica, RequestError};
use crate::membership::{MembershipChange, MembershipError};
use protobuf::Message as _;
use puffinladder_leases::table::{Command, LeaseRequest, LogEntry, MAX_INSTANCES};
use raft::eraftpb::{ConfChange, ConfChangeType, Message};

/// Requests of instances in one log entry.
const MAX_BATCH_REQUESTS: usize = 512;
/// Commands of operators that may wait at once.
const MAX_PENDING_COMMANDS: usize = 64;

/// A command that was proposed and is not applied yet.
pub(super) struct PendingCommand {
    /// The host's token.
    pub token: u64,
    /// The raft term that it was proposed in.
    pub term: u64,
}

/// A read that may be answered once the entry at `index` is applied.
pub(super) struct PendingRead {
    /// The commit index when the read was confirmed.
    pub index: u64,
    /// The host's token.
    pub token: u64,
}

impl Replica {
    /// The token of changes that no operator waits for.
    pub(super) const NO_TOKEN: u64 = 0;

    /// Takes a peer's encoded message.
    ///
    /// # Errors
    /// Why it is ignored; the replica goes on.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let message = Message::parse_from_bytes(bytes)?;
        // A replica that joins knows nobody yet.
        let is_known = self.voters().is_empty() || self.node.raft.prs().get(message.from).is_some();
        if message.to != self.id || !is_known {
            return Err(MessageError::Misdirected { from: message.from, to: message.to });
        }
        Ok(self.node.step(message)?)
    }

    /// Takes an instance's request. A later one of the same incarnation replaces it: it contains all that the earlier one said.
    ///
    /// # Errors
    /// This replica does not lead, or too many requests wait.
    pub fn request_lease(&mut self, request: LeaseRequest) -> Result<(), RequestError> {
        self.require_leadership()?;
        if self.lease_requests.len() >= MAX_INSTANCES {
            return Err(RequestError::Overloaded);
        }
        let supersedes = |waiting: &LeaseRequest| waiting.serial >= request.serial;
        if !self.lease_requests.get(&request.holder).is_some_and(supersedes) {
            self.lease_requests.insert(request.holder.clone(), request);
        }
        Ok(())
    }

    /// Proposes an operator's command; its outcome comes under its token.
    ///
    /// # Errors
    /// This replica does not lead, or too much waits.
    pub fn propose_command(&mut self, now: f64, token: u64, command: Command) -> Result<(), RequestError> {
        self.require_leadership()?;
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            return Err(RequestError::Overloaded);
        }
        let term = self.term();
        if !self.propose(now, command, token.to_le_bytes().to_vec()) {
            return Err(RequestError::Overloaded);
        }
        self.pending_commands.push(PendingCommand { token, term });
        Ok(())
    }

    /// Proposes an operator's change of the members; its outcome comes under its token.
    ///
    /// # Errors
    /// This replica does not lead, too much waits, or the change is not allowed now.
    pub fn change_membership(&mut self, token: u64, change: MembershipChange) -> Result<(), RequestError> {
        self.require_leadership()?;
        if self.node.raft.has_pending_conf() {
            return Err(MembershipError::InProgress.into());
        }
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            return Err(RequestError::Overloaded);
        }
        self.members.check(&change, &self.member_progress(), self.id)?;
        if !self.propose_membership(token, change) {
            return Err(RequestError::Overloaded);
        }
        let term = self.term();
        self.pending_commands.push(PendingCommand { token, term });
        Ok(())
    }

    /// Asks for a linearizable read: its token comes once the table holds all that was answered before now.
    ///
    /// # Errors
    /// This replica does not lead.
    pub fn request_read(&mut self, token: u64) -> Result<(), RequestError> {
        self.require_leadership()?;
        self.node.read_index(token.to_le_bytes().to_vec());
        Ok(())
    }

    fn require_leadership(&mut self) -> Result<(), RequestError> {
        self.check_leadership();
        match self.leadership {
            Some(_) => Ok(()),
            None => Err(RequestError::NotLeader(self.leader().filter(|id| *id != self.id))),
        }
    }

    /// Proposes the waiting requests of instances in batches, as many as may be in flight.
    pub(super) fn propose_lease_requests(&mut self, now: f64) {
        while !self.lease_requests.is_empty() && self.may_propose_requests() {
            let waiting = std::iter::from_fn(|| self.lease_requests.pop_first());
            let batch = waiting.take(MAX_BATCH_REQUESTS).map(|(_, request)| request).collect();
            self.propose(now, Command::Renew(batch), Vec::new());
        }
    }

    fn may_propose_requests(&self) -> bool {
        let has_room = |inflight: usize| inflight < MAX_INFLIGHT_PROPOSALS;
        self.leadership.as_ref().is_some_and(|leadership| has_room(leadership.inflight_proposals))
    }

    /// Whether raft accepted the proposal; it does not where too much is uncommitted. Requests and time come again.
    pub(super) fn propose(&mut self, now: f64, command: Command, context: Vec<u8>) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        let entry = LogEntry { at: leadership.clock.stamp(now), command };
        let Ok(data) = postcard::to_allocvec(&entry) else { return false };
        let accepted = self.node.propose(context, data).is_ok();
        leadership.inflight_proposals += usize::from(accepted);
        accepted
    }

    /// Whether raft accepted the proposal of a change of the members.
    pub(super) fn propose_membership(&mut self, token: u64, change: MembershipChange) -> bool {
        let (change_type, number) = match &change {
            MembershipChange::Add { number, .. } => (ConfChangeType::AddLearnerNode, *number),
            MembershipChange::Promote(number) => (ConfChangeType::AddNode, *number),
            MembershipChange::Remove(number) => (ConfChangeType::RemoveNode, *number),
        };
        let Ok(context) = postcard::to_allocvec(&(token, change)) else { return false };
        let mut conf_change =
            ConfChange { node_id: number, context: context.clone().into(), ..ConfChange::default() };
        conf_change.set_change_type(change_type);
        self.node.propose_conf_change(context, conf_change).is_ok()
    }

    /// Hands out the reads whose entry is applied.
    pub(super) fn complete_reads(&mut self) {
        let applied = self.applied;
        let ready = self.pending_reads.extract_if(.., |read| read.index <= applied);
        self.output.reads.extend(ready.map(|read| read.token));
    }
}
