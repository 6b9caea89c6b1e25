//! Rate-limited warnings about peers, so that a misbehaving peer cannot flood the log.

use super::clock;
use super::lock::lock;
use crate::limits::Limits;
use std::fmt;
use std::sync::{Arc, Mutex};

/// Logger of peer faults that writes at most `Limits::max_fault_lines` warnings per `Limits::summary_interval`.
pub struct FaultLog {
    limits: Arc<Limits>,
    window: Mutex<Window>,
}

/// Current rate-limit window.
#[derive(Default)]
struct Window {
    start: f64,
    lines: u32,
}

impl FaultLog {
    pub fn new(limits: Arc<Limits>) -> FaultLog {
        FaultLog { limits, window: Mutex::default() }
    }

    /// Logs a warning, or only counts it when the window's limit is reached.
    pub fn warn(&self, message: fmt::Arguments) {
        let now = clock::now();
        let mut window = lock(&self.window);
        if now - window.start > self.limits.summary_interval {
            let suppressed = window.lines.saturating_sub(self.limits.max_fault_lines);
            if suppressed > 0 {
                tracing::warn!("log: suppressed {suppressed} warnings about peers");
            }
            *window = Window { start: now, lines: 0 };
        }
        window.lines += 1;
        if window.lines <= self.limits.max_fault_lines {
            tracing::warn!("{message}");
        }
    }
}
