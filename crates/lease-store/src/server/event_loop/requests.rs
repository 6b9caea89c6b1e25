//! Handling of requests from instances, peers and operators.

use super::EventLoop;
use crate::membership::MembershipChange;
use crate::replica::{MessageError, RequestError};
use crate::server::connection::IncomingRequest;
use crate::server::counters;
use base64::prelude::{Engine as _, BASE64_STANDARD};
use puffinladder_leases::protocol::{ReplicaReply, ReplicaRequest, ReplicaStatus};
use puffinladder_leases::table::LeaseRequest;
use std::sync::atomic::Ordering;
use thiserror::Error;
use tokio::sync::mpsc;

type ReplySender = mpsc::Sender<ReplicaReply>;

/// Reason why a peer message is ignored.
#[derive(Debug, Error)]
enum PeerMessageError {
    #[error("invalid base64: {0}")]
    Base64(#[from] base64::DecodeError),
    #[error("{0}")]
    Message(#[from] MessageError),
}

impl EventLoop {
    /// Handles one request. `now` is the host's clock (s).
    pub(super) fn handle(&mut self, now: f64, incoming: IncomingRequest) {
        let IncomingRequest { request, reply_to, memory: _memory, place: _place } = incoming;
        match request {
            ReplicaRequest::Renew(request) => self.handle_lease_request(request, reply_to),
            ReplicaRequest::PeerMessage(text) => self.handle_peer_message(&text),
            ReplicaRequest::Status => self.reply_status(now, &reply_to),
            ReplicaRequest::Tasks => {
                let token = self.pending_replies.next_token();
                let accepted = self.replica.request_read(token);
                self.register_reply(token, accepted, reply_to);
            }
            ReplicaRequest::Command(command) => {
                let token = self.pending_replies.next_token();
                let accepted = self.replica.propose_command(now, token, command);
                self.register_reply(token, accepted, reply_to);
            }
            ReplicaRequest::AddReplica { number, address } => {
                self.change_membership(MembershipChange::Add { number, address }, reply_to);
            }
            ReplicaRequest::RemoveReplica { number } => {
                self.change_membership(MembershipChange::Remove(number), reply_to);
            }
        }
    }

    fn handle_lease_request(&mut self, request: LeaseRequest, reply_to: ReplySender) {
        self.counters.increment(counters::LEASE_REQUESTS);
        let holder = request.holder.clone();
        match self.replica.request_lease(request) {
            Ok(()) => drop(self.instances.insert(holder, reply_to)),
            Err(error) => self.reject(error, &reply_to),
        }
    }

    fn handle_peer_message(&mut self, text: &str) {
        self.counters.increment(counters::PEER_MESSAGES);
        if let Err(error) = self.receive(text) {
            self.counters.increment(counters::INVALID_PEER_MESSAGES);
            tracing::debug!("peer message ignored: {error}");
        }
    }

    fn receive(&mut self, text: &str) -> Result<(), PeerMessageError> {
        let bytes = BASE64_STANDARD.decode(text)?;
        Ok(self.replica.receive(&bytes)?)
    }

    fn reply_status(&mut self, now: f64, reply_to: &ReplySender) {
        let counts = self.counters.snapshot(self.syncs.load(Ordering::Relaxed));
        let status = ReplicaStatus { uptime: now, counts, ..self.replica.status(now) };
        let _ = reply_to.try_send(ReplicaReply::Status(Box::new(status)));
    }

    fn change_membership(&mut self, change: MembershipChange, reply_to: ReplySender) {
        let token = self.pending_replies.next_token();
        let accepted = self.replica.change_membership(token, change);
        self.register_reply(token, accepted, reply_to);
        self.update_peers();
    }

    /// Registers the connection for the result of an accepted request, or replies with the rejection.
    fn register_reply(&mut self, token: u64, accepted: Result<(), RequestError>, reply_to: ReplySender) {
        match accepted {
            Ok(()) => self.pending_replies.insert(token, reply_to),
            Err(error) => self.reject(error, &reply_to),
        }
    }

    fn reject(&mut self, error: RequestError, reply_to: &ReplySender) {
        self.counters.increment(counters::REJECTED);
        let reply = match error {
            RequestError::NotLeader(leader) => {
                let joined = &self.replica.members().joined;
                let address = leader.and_then(|number| joined.get(&number).cloned());
                ReplicaReply::NotLeader { leader, address }
            }
            other => ReplicaReply::CommandFailed(other.to_string()),
        };
        let _ = reply_to.try_send(reply);
    }
}
