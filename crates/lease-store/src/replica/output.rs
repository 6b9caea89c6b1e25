//! Output of a replica, to be performed by its host.

use super::CommandFailure;
use crate::durable::PendingWrite;
use crate::membership::MembershipChange;
use puffinladder_leases::table::{Change, LeaseResponse};

/// Actions for the host, to be performed in the order of the fields.
#[derive(Debug, Default)]
pub struct Output {
    /// Peer messages that can be sent at once.
    pub messages: Vec<PeerMessage>,
    /// Writes to make durable in this order, and then to report with [`super::Replica::persisted`].
    pub writes: Vec<PendingWrite>,
    /// Responses to instances. Only the leader sends them.
    pub responses: Vec<LeaseResponse>,
    /// Results of operator commands.
    pub outcomes: Vec<CommandOutcome>,
    /// Tokens of the reads that can now be served from the table.
    pub reads: Vec<u64>,
    /// Applied changes of the lease table, for logs and counters; the same at all replicas.
    pub lease_changes: Vec<Change>,
    /// Applied membership changes.
    pub membership_changes: Vec<MembershipChange>,
}

/// Message to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Replica number of the recipient.
    pub to: u64,
    /// Encoded raft message.
    pub bytes: Vec<u8>,
}

/// Result of an operator command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutcome {
    /// Token that the host assigned to the command.
    pub token: u64,
    /// `Ok` if the command was applied.
    pub result: Result<(), CommandFailure>,
}
