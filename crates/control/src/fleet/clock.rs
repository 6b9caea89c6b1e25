//! The difference between the control service's clock and a server's, and with it how long a report was on its way.

/// Seconds of each of the two halves of the window over which the least difference is taken: long enough to hold a report that
/// came without delay, short enough to follow clocks that drift.
const HALF_WINDOW: f64 = 15.0;

/// Least difference between two clocks over the last half minute.
#[derive(Clone, Debug)]
pub(super) struct ClockOffset {
    /// Least difference in the current half of the window, and in the one before it.
    min_differences: [f64; 2],
    half_started_at: f64,
}

impl ClockOffset {
    /// An offset known from one report only, made at `created_at` by its sender's clock and received `now`.
    pub(super) fn new(now: f64, created_at: f64) -> ClockOffset {
        ClockOffset { min_differences: [now - created_at, f64::MAX], half_started_at: now }
    }

    /// Seconds that a report was on its way, made at `created_at` by its sender's clock and received `now`.
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
