//! What the policy has decided about the server as a whole, for those who answer gateways.

use crate::runtime::lock::lock;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Health and load signal.
pub(super) struct PublishedState {
    /// What the policy says of this server's health.
    healthy: AtomicBool,
    /// The load signal's field as it goes out, `v=0.5`.
    load_signal: Mutex<Vec<u8>>,
}

impl Default for PublishedState {
    /// Healthy, and no signal.
    fn default() -> PublishedState {
        PublishedState { healthy: AtomicBool::new(true), load_signal: Mutex::default() }
    }
}

impl PublishedState {
    /// Whether the policy calls this server healthy.
    pub(super) fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// Sets whether this server is healthy.
    pub(super) fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Appends the load signal's field, if there is one.
    pub(super) fn write_load_signal(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&lock(&self.load_signal));
    }

    /// Sets the load signal.
    pub(super) fn set_load_signal(&self, amount: f64) {
        let mut signal = lock(&self.load_signal);
        signal.clear();
        let _ = write!(signal, "v={amount:.4}");
    }
}
