//! Operators that wait for the outcome of a command or for a read, by the token that the replica knows it under.

use puffinladder_leases::protocol::ReplicaReply;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Connections that wait for a reply, by token.
#[derive(Default)]
pub(super) struct PendingReplies {
    waiting: BTreeMap<u64, mpsc::Sender<ReplicaReply>>,
    last_token: u64,
}

impl PendingReplies {
    /// A new token, never 0. Connections that were closed are forgotten.
    pub fn next_token(&mut self) -> u64 {
        self.waiting.retain(|_, reply_to| !reply_to.is_closed());
        self.last_token += 1;
        self.last_token
    }

    pub fn insert(&mut self, token: u64, reply_to: mpsc::Sender<ReplicaReply>) {
        self.waiting.insert(token, reply_to);
    }

    /// The connection that waits under this token, which is used up.
    pub fn take(&mut self, token: u64) -> Option<mpsc::Sender<ReplicaReply>> {
        self.waiting.remove(&token)
    }

    /// All connections that wait.
    pub fn take_all(&mut self) -> impl Iterator<Item = mpsc::Sender<ReplicaReply>> {
        std::mem::take(&mut self.waiting).into_values()
    }
}
