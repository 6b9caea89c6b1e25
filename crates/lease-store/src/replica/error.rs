//! Errors of a replica, and of the messages, requests and commands that it rejects.

use crate::durable::CorruptState;
use crate::membership::MembershipError;
use puffinladder_leases::table::CommandError;
use thiserror::Error;

/// Fatal error of a replica.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The durable state is inconsistent.
    #[error("durable state: {0}")]
    Corrupt(#[from] CorruptState),
    /// Raft failed.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// A snapshot can't be decoded.
    #[error("can't decode the lease table of the snapshot: {0}")]
    Snapshot(postcard::Error),
}

/// Reason why a peer message is ignored.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message can't be decoded.
    #[error("can't decode the raft message: {0}")]
    Decode(#[from] protobuf::ProtobufError),
    /// The message is addressed to another replica, or its sender is not a member.
    #[error("message from replica {from} to replica {to}: expected a member as sender and this replica as recipient")]
    Misdirected {
        /// Replica number of the sender.
        from: u64,
        /// Replica number of the recipient.
        to: u64,
    },
    /// Raft rejected the message.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

/// Reason why a request or command is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// This replica is not the leader. Names the leader, if it is known.
    #[error("this replica is not the leader; last known leader: {0:?}")]
    NotLeader(Option<u64>),
    /// Too many requests or commands are pending.
    #[error("too many pending requests")]
    Overloaded,
    /// The membership change is not allowed.
    #[error("{0}")]
    Membership(#[from] MembershipError),
}

/// Reason why an accepted command did not succeed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandFailure {
    /// The replica lost its leadership before the command was committed. The command may still be applied later.
    #[error("outcome unknown: the replica lost its leadership before the command was committed")]
    OutcomeUnknown,
    /// The lease table rejected the command.
    #[error("{0}")]
    Rejected(#[from] CommandError),
}
