//! Server-wide decisions of the policy that are reported to gateways.

use crate::runtime::lock::lock;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Health and load signal, as last decided by the policy.
pub(super) struct PublishedState {
    healthy: AtomicBool,
    /// Encoded load signal field, such as `v=0.5000`; empty before the first one.
    load_signal: Mutex<Vec<u8>>,
}

impl Default for PublishedState {
    /// Returns a healthy state without a load signal.
    fn default() -> PublishedState {
        PublishedState { healthy: AtomicBool::new(true), load_signal: Mutex::default() }
    }
}

impl PublishedState {
    /// Returns whether the policy considers this server healthy.
    pub(super) fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// Sets the health of this server.
    pub(super) fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Appends the load signal field to `out`, if one was set.
    pub(super) fn write_load_signal(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&lock(&self.load_signal));
    }

    /// Sets the load signal to `amount`.
    pub(super) fn set_load_signal(&self, amount: f64) {
        let mut signal = lock(&self.load_signal);
        signal.clear();
        let _ = write!(signal, "v={amount:.4}");
    }
}
