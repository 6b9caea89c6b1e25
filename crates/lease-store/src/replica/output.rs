//! What a replica hands to its host.

use super::CommandFailure;
use crate::durable::PendingWrite;
use crate::membership::MembershipChange;
use puffinladder_leases::table::{Change, LeaseResponse};

/// What the host is to do, in the order of the fields.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to peers that depend on no write.
    pub messages: Vec<PeerMessage>,
    /// Writes to be made durable in this order, each of which is then reported with [`super::Replica::persisted`].
    pub writes: Vec<PendingWrite>,
    /// Responses to instances, only from the leader.
    pub responses: Vec<LeaseResponse>,
    /// Commands of operators that are decided.
    pub outcomes: Vec<CommandOutcome>,
    /// Tokens of the reads that may be answered from the table now.
    pub reads: Vec<u64>,
    /// Changes of the lease table that were applied, for log and metrics; the same at all replicas.
    pub lease_changes: Vec<Change>,
    /// Changes of the members that were applied.
    pub membership_changes: Vec<MembershipChange>,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Number of the replica it is for.
    pub to: u64,
    /// The encoded raft message.
    pub bytes: Vec<u8>,
}

/// What became of an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutcome {
    /// The token that the host gave the command.
    pub token: u64,
    /// Whether it was applied.
    pub result: Result<(), CommandFailure>,
}
