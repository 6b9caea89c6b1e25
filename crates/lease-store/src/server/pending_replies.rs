//! Connections that wait for the result of a command or read, by its token.

use puffinladder_leases::protocol::ReplicaReply;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Connections waiting for a reply, by token.
#[derive(Default)]
pub(super) struct PendingReplies {
    waiting: BTreeMap<u64, mpsc::Sender<ReplicaReply>>,
    last_token: u64,
}

impl PendingReplies {
    /// Returns a new token, never 0. Removes closed connections.
    pub fn next_token(&mut self) -> u64 {
        self.waiting.retain(|_, reply_to| !reply_to.is_closed());
        self.last_token += 1;
        self.last_token
    }

    pub fn insert(&mut self, token: u64, reply_to: mpsc::Sender<ReplicaReply>) {
        self.waiting.insert(token, reply_to);
    }

    /// Removes and returns the connection that waits under this token.
    pub fn take(&mut self, token: u64) -> Option<mpsc::Sender<ReplicaReply>> {
        self.waiting.remove(&token)
    }

    /// Removes and returns all waiting connections.
    pub fn take_all(&mut self) -> impl Iterator<Item = mpsc::Sender<ReplicaReply>> {
        std::mem::take(&mut self.waiting).into_values()
    }
}
