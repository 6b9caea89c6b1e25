//! How the leader of the lease store advances the table's time. Every log entry carries a time of the table, in
//! seconds; between two entries the table's time must never advance further than true time did (within the clock
//! drift that terms allow for), whichever replica leads. Otherwise a lease would expire in the table while its holder
//! still relies on it.

#[cfg(test)]
mod tests;

/// A check that comes so long after the last one, in s, shows that the process was paused.
pub const PAUSE_THRESHOLD: f64 = 0.5;

/// The table's time at a leader. A replica makes a new one whenever it becomes the leader.
#[derive(Clone, Debug)]
pub struct TableClock {
    /// The highest time in the log when this leader started.
    start_timestamp: f64,
    /// When that was by the leader's own clock.
    started_at: f64,
    last_timestamp: f64,
    last_check_at: f64,
}

impl TableClock {
    /// Starts at `highest`, the highest time of any entry that may be in the log, applied or not, while the leader's
    /// monotonic clock shows `now`. Those entries were stamped before now, so that counting on from the highest runs
    /// behind true time and never ahead.
    pub fn start(highest: f64, now: f64) -> TableClock {
        TableClock { start_timestamp: highest, started_at: now, last_timestamp: highest, last_check_at: now }
    }

    /// The table's time for an entry that is made now. It never decreases.
    pub fn stamp(&mut self, now: f64) -> f64 {
        let elapsed = (now - self.started_at).max(0.0);
        self.last_timestamp = self.last_timestamp.max(self.start_timestamp + elapsed);
        self.last_timestamp
    }

    /// Whether time may be advanced now, by which leases expire. Not right after a pause of this process while
    /// requests are `unread`: renewals that came meanwhile are among them, and their senders did nothing wrong.
    pub fn may_advance(&mut self, now: f64, unread: bool) -> bool {
        let paused = now - self.last_check_at > PAUSE_THRESHOLD;
        if !(paused && unread) {
            self.last_check_at = now;
        }
        !paused
    }
}
