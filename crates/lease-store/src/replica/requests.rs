//! Requests of instances, operators and peers, up to their proposal to raft.

use super::leadership::MAX_INFLIGHT_PROPOSALS;
use super::{MessageError, Replica, RequestError};
use crate::membership::{MembershipChange, MembershipError};
use protobuf::Message as _;
use puffinladder_leases::table::{Command, LeaseRequest, LogEntry, MAX_INSTANCES};
use raft::eraftpb::{ConfChange, ConfChangeType, Message};

/// Maximum number of instance requests in one log entry.
const MAX_BATCH_REQUESTS: usize = 512;
/// Maximum number of pending operator commands.
const MAX_PENDING_COMMANDS: usize = 64;

/// Command that is proposed and not applied yet.
pub(super) struct PendingCommand {
    /// Token assigned by the host.
    pub token: u64,
    /// Raft term in which the command was proposed.
    pub term: u64,
}

/// Read that can be served once the entry at `index` is applied.
pub(super) struct PendingRead {
    /// Commit index at which the read was confirmed.
    pub index: u64,
    /// Token assigned by the host.
    pub token: u64,
}

impl Replica {
    /// Token of changes that no operator requested.
    pub(super) const NO_TOKEN: u64 = 0;

    /// Handles an encoded message from a peer.
    ///
    /// # Errors
    /// Returns why the message is ignored. The replica stays usable.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let message = Message::parse_from_bytes(bytes)?;
        // A replica that joins has no members to check against yet.
        let is_known = self.voters().is_empty() || self.node.raft.prs().get(message.from).is_some();
        if message.to != self.id || !is_known {
            return Err(MessageError::Misdirected { from: message.from, to: message.to });
        }
        Ok(self.node.step(message)?)
    }

    /// Queues a request of an instance. It replaces an earlier one of the same incarnation, as it repeats its contents.
    ///
    /// # Errors
    /// Returns an error if this replica is not the leader or too many requests are pending.
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

    /// Proposes an operator command. Its result is reported under the token. `now` is the host's clock (s).
    ///
    /// # Errors
    /// Returns an error if this replica is not the leader or too many commands are pending.
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

    /// Proposes a membership change of an operator. Its result is reported under the token.
    ///
    /// # Errors
    /// Returns an error if this replica is not the leader, too many commands are pending, or the change is not allowed.
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

    /// Requests a linearizable read. Its token is returned once the table reflects all replies sent before the call.
    ///
    /// # Errors
    /// Returns an error if this replica is not the leader.
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

    /// Proposes the queued instance requests in batches, up to the limit of proposals in flight.
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

    /// Proposes a command, and returns whether raft accepted it. Raft rejects proposals if too much is uncommitted.
    pub(super) fn propose(&mut self, now: f64, command: Command, context: Vec<u8>) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        let entry = LogEntry { at: leadership.clock.stamp(now), command };
        let Ok(data) = postcard::to_allocvec(&entry) else { return false };
        let accepted = self.node.propose(context, data).is_ok();
        leadership.inflight_proposals += usize::from(accepted);
        accepted
    }

    /// Proposes a membership change, and returns whether raft accepted it.
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

    /// Adds the reads that can now be served to the output.
    pub(super) fn complete_reads(&mut self) {
        let applied = self.applied;
        let ready = self.pending_reads.extract_if(.., |read| read.index <= applied);
        self.output.reads.extend(ready.map(|read| read.token));
    }
}
