//! Counts for the summary line of the log.

use super::House;
use crate::lock::lock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

#[derive(Default)]
pub struct Tally {
    settled: AtomicU64,
    declined: AtomicU64,
    voided: AtomicU64,
    /// When the last line was written, and the answers of which it told.
    told: Mutex<(f64, u64)>,
    /// When complaints were last counted from 0, and how many have come since.
    complaints: Mutex<(f64, u32)>,
}

impl Tally {
    /// Counts an answer by its word.
    pub fn count(&self, word: &str) {
        let counter = match word {
            "200" => &self.settled,
            "503" => &self.declined,
            _ => &self.voided,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Writes a line about what others did wrong. Who does wrong all the time must not flood the log by it.
    pub fn complain(&self, house: &House, what: std::fmt::Arguments) {
        let now = house.clock.now();
        let mut complaints = lock(&self.complaints);
        if now - complaints.0 > house.limits.summary {
            let left_out = complaints.1.saturating_sub(house.limits.complaints);
            if left_out > 0 {
                tracing::warn!("log: {left_out} lines about what others did wrong were left out");
            }
            *complaints = (now, 0);
        }
        complaints.1 += 1;
        if complaints.1 <= house.limits.complaints {
            tracing::warn!("{what}");
        }
    }

    /// Writes the line, if it is time and there is anything new to tell.
    pub fn report(&self, house: &House, now: f64) {
        let mut told = lock(&self.told);
        let [settled, declined, voided] =
            [&self.settled, &self.declined, &self.voided].map(|counter| counter.load(Ordering::Relaxed));
        let all = settled + declined + voided;
        if now - told.0 < house.limits.summary || all == told.1 {
            return;
        }
        *told = (now, all);
        let (living, gateways, calls) = (house.living.count(), house.gateways.count(), house.store.count());
        tracing::info!(
            "so far settled {settled}, declined {declined}, voided {voided}; \
             in hand {living}, connections {gateways} of gateways and {calls} to the store"
        );
    }
}
