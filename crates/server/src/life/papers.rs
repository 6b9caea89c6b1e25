//! The configuration: where it is read from, and the addresses of the others that it gives. A reload swaps
//! these in one place, which all links read.

use crate::lock::lock;
use puffinladder_charter::{read_warrant, Peers, Warrant};
use std::sync::Mutex;

/// Where the configuration is read from, at start and at each reload.
pub struct Papers {
    path: String,
    name: Option<String>,
    listen: Option<String>,
}

impl Papers {
    pub fn told() -> Result<Papers, String> {
        let told = |name: &str| std::env::var(name).ok();
        let path = told("BALANCER_CONFIG").ok_or("BALANCER_CONFIG should name the configuration file")?;
        Ok(Papers { path, name: told("BALANCER_NAME"), listen: told("BALANCER_LISTEN") })
    }

    pub fn read(&self) -> Result<Warrant, String> {
        let text = std::fs::read(&self.path).map_err(|e| format!("BALANCER_CONFIG: {}: {e}", self.path))?;
        read_warrant(&text, self.name.as_deref(), self.listen.as_deref())
    }
}

/// The addresses in force.
pub struct Directory(Mutex<Peers>);

impl Directory {
    pub fn new(peers: Peers) -> Directory {
        Directory(Mutex::new(peers))
    }

    pub fn peers(&self) -> Peers {
        *lock(&self.0)
    }

    /// Whether these are new.
    pub fn swap(&self, peers: Peers) -> bool {
        std::mem::replace(&mut *lock(&self.0), peers) != peers
    }
}
