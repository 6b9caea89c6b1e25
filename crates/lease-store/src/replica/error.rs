//! Why a replica must stop, and why it rejects messages, requests and commands.

use crate::durable::CorruptState;
use crate::membership::MembershipError;
use puffinladder_leases::table::CommandError;
use thiserror::Error;

/// Why a replica can't start or can't go on.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// Its durable state is not whole.
    #[error("disk: {0}")]
    Corrupt(#[from] CorruptState),
    /// Raft rejects a step.
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    /// A snapshot can't be decoded.
    #[error("a snapshot's table can't be read: {0}")]
    Snapshot(postcard::Error),
}

/// Why a peer's message is ignored.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It can't be decoded.
    #[error("not a message: {0}")]
    Decode(#[from] protobuf::ProtobufError),
    /// It is addressed to another replica, or comes from one that is not a member.
    #[error("a message of {from} to {to} is not for this replica")]
    Misdirected {
        /// Number of the sender.
        from: u64,
        /// Number of the addressee.
        to: u64,
    },
    /// Raft rejects it.
    #[error("{0}")]
    Raft(#[from] raft::Error),
}

/// Why a request or a command is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// This replica is not the leader; the one named may be.
    #[error("this replica does not lead; replica {0:?} may")]
    NotLeader(Option<u64>),
    /// Too many requests or commands wait.
    #[error("too many requests wait")]
    Overloaded,
    /// A change of the members is not allowed now.
    #[error("{0}")]
    Membership(#[from] MembershipError),
}

/// Why an accepted command did not succeed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandFailure {
    /// The replica lost its leadership before the command was committed: it may be applied later, or never.
    #[error("whether it was carried out is not known")]
    OutcomeUnknown,
    /// The lease table rejected it.
    #[error("{0}")]
    Rejected(#[from] CommandError),
}
