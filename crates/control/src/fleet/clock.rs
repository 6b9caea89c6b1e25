//! Estimation of the offset between the control service's clock and a server's, from which a report's transit time is derived.

/// Seconds of each half of the sampling window: long enough to include an undelayed report, short enough to follow clock drift.
const HALF_WINDOW: f64 = 15.0;

/// Smallest difference between receipt and creation time over a sliding window of two halves.
#[derive(Clone, Debug)]
pub(super) struct ClockOffset {
    /// Smallest difference in the current half of the window and in the previous half, seconds.
    min_differences: [f64; 2],
    half_started_at: f64,
}

impl ClockOffset {
    /// Creates an estimate from one report, created at `created_at` by its sender's clock and received at `now`.
    pub(super) fn new(now: f64, created_at: f64) -> ClockOffset {
        ClockOffset { min_differences: [now - created_at, f64::MAX], half_started_at: now }
    }

    /// Adds a report created at `created_at` by its sender's clock and received at `now`; returns its transit time in seconds.
    pub(super) fn transit_time(&mut self, now: f64, created_at: f64) -> f64 {
        let difference = now - created_at;
        if now - self.half_started_at > HALF_WINDOW {
            self.min_differences = [difference, self.min_differences[0]];
            self.half_started_at = now;
        }
        self.min_differences[0] = self.min_differences[0].min(difference);
        difference - self.min_differences[0].min(self.min_differences[1])
    }
}
