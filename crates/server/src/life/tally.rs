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
        log::info!(
            "so far settled {settled}, declined {declined}, voided {voided}; \
             in hand {living}, connections {gateways} of gateways and {calls} to the store"
        );
    }
}
