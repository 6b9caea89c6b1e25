//! The addresses of the peers that are in force. A reload swaps them here, in one place that all links read.

use super::lock::lock;
use puffinladder_settings::Peers;
use std::sync::Mutex;

/// The addresses in force.
pub struct PeerAddresses(Mutex<Peers>);

impl PeerAddresses {
    /// Starts with the addresses that were read at start.
    pub fn new(peers: Peers) -> PeerAddresses {
        PeerAddresses(Mutex::new(peers))
    }

    /// The addresses at this moment.
    pub fn get(&self) -> Peers {
        *lock(&self.0)
    }

    /// Puts new addresses in force and says whether they differ from the old ones.
    pub fn replace(&self, peers: Peers) -> bool {
        std::mem::replace(&mut *lock(&self.0), peers) != peers
    }
}
