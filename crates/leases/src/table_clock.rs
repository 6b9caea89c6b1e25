//! The table's time at the leader of the lease store. Every log entry carries it, in seconds. Whichever replica leads,
//! it must not run ahead of real time by more than the clock drift that terms allow for: otherwise a lease would expire
//! in the table while its holder still relies on it.

#[cfg(test)]
mod tests;

/// Longest time between two checks, s; a longer one means that the process was paused.
pub const PAUSE_THRESHOLD: f64 = 0.5;

/// The table's time at a leader. A replica creates a new clock whenever it becomes the leader.
#[derive(Clone, Debug)]
pub struct TableClock {
    /// The highest timestamp in the log when this leader was elected.
    start_timestamp: f64,
    /// The leader's monotonic clock at that moment.
    started_at: f64,
    last_timestamp: f64,
    last_check_at: f64,
}

impl TableClock {
    /// Starts the clock at `highest_timestamp`, the highest of any log entry, applied or not, while the leader's
    /// monotonic clock shows `now` (s). Those entries are older than `now`, so that the clock runs behind real time.
    pub fn start(highest_timestamp: f64, now: f64) -> TableClock {
        TableClock {
            start_timestamp: highest_timestamp,
            started_at: now,
            last_timestamp: highest_timestamp,
            last_check_at: now,
        }
    }

    /// Returns the timestamp of an entry created at `now` (s). Timestamps never decrease.
    pub fn stamp(&mut self, now: f64) -> f64 {
        let elapsed = (now - self.started_at).max(0.0);
        self.last_timestamp = self.last_timestamp.max(self.start_timestamp + elapsed);
        self.last_timestamp
    }

    /// Returns whether the table's time may advance, which expires leases. After a pause of this process, unread
    /// requests must be applied first, since renewals may be among them.
    pub fn may_advance(&mut self, now: f64, unread: bool) -> bool {
        let paused = now - self.last_check_at > PAUSE_THRESHOLD;
        if !(paused && unread) {
            self.last_check_at = now;
        }
        !paused
    }
}
