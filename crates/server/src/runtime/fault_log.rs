//! Warnings about the faults of peers, rate limited: a peer that is wrong all the time must not flood the log.

use super::clock::Clock;
use super::lock::lock;
use crate::limits::Limits;
use std::fmt;
use std::sync::{Arc, Mutex};

/// Writes warnings about peers, at most `Limits::max_fault_lines` in each `Limits::summary_interval`.
pub struct FaultLog {
    clock: Arc<Clock>,
    limits: Arc<Limits>,
    window: Mutex<Window>,
}

/// The present counting window.
#[derive(Default)]
struct Window {
    start: f64,
    lines: u32,
}

impl FaultLog {
    /// A log that has written nothing yet.
    pub fn new(clock: Arc<Clock>, limits: Arc<Limits>) -> FaultLog {
        FaultLog { clock, limits, window: Mutex::default() }
    }

    /// Writes a warning, or only counts it where there have been too many of late.
    pub fn warn(&self, message: fmt::Arguments) {
        let now = self.clock.now();
        let mut window = lock(&self.window);
        if now - window.start > self.limits.summary_interval {
            let suppressed = window.lines.saturating_sub(self.limits.max_fault_lines);
            if suppressed > 0 {
                tracing::warn!("log: {suppressed} lines about faults of peers were suppressed");
            }
            *window = Window { start: now, lines: 0 };
        }
        window.lines += 1;
        if window.lines <= self.limits.max_fault_lines {
            tracing::warn!("{message}");
        }
    }
}
