//! Current addresses of agent, registry and store, replaced on configuration reload.

use super::lock::lock;
use puffinladder_settings::Peers;
use std::sync::Mutex;

/// Peer addresses shared by all connections to peers.
pub struct PeerAddresses(Mutex<Peers>);

impl PeerAddresses {
    /// Creates the shared addresses with their initial value.
    pub fn new(peers: Peers) -> PeerAddresses {
        PeerAddresses(Mutex::new(peers))
    }

    pub fn get(&self) -> Peers {
        *lock(&self.0)
    }

    /// Replaces the addresses. Returns whether any of them changed.
    pub fn replace(&self, peers: Peers) -> bool {
        std::mem::replace(&mut *lock(&self.0), peers) != peers
    }
}
