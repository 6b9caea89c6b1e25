//! Periodic log line with counts of answers.

use super::lock::lock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Counts of answers by status.
#[derive(Default)]
pub struct AnswerSummary {
    completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    last_summary: Mutex<LastSummary>,
}

#[derive(Default)]
struct LastSummary {
    written_at: f64,
    /// Answers counted when it was written.
    answers: u64,
}

/// Open requests and connections at the time of a summary.
pub struct Activity {
    /// Requests in flight.
    pub in_flight: usize,
    pub gateways: usize,
    /// Connections to the store.
    pub store_connections: usize,
}

impl AnswerSummary {
    /// Counts an answer by its status.
    pub fn count(&self, status: &str) {
        let counter = match status {
            "200" => &self.completed,
            "503" => &self.rejected,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the summary line if `interval` seconds have passed since the last one and answers were sent since then.
    pub fn report(&self, now: f64, interval: f64, activity: impl FnOnce() -> Activity) {
        let mut last = lock(&self.last_summary);
        let [completed, rejected, failed] =
            [&self.completed, &self.rejected, &self.failed].map(|counter| counter.load(Ordering::Relaxed));
        let answers = completed + rejected + failed;
        if now - last.written_at < interval || answers == last.answers {
            return;
        }
        *last = LastSummary { written_at: now, answers };
        let Activity { in_flight, gateways, store_connections } = activity();
        tracing::info!(
            "so far completed {completed}, rejected {rejected}, failed {failed}; \
             in flight {in_flight}, connections {gateways} of gateways and {store_connections} to the store"
        );
    }
}
