//! Concurrency window of downstream calls, adapted to their latency and errors.

use super::averages::{moving_average, EWMA_WEIGHT};
use super::estimates::BASELINE_SAMPLES;
use crate::{Downstream, Outcome, PolicySettings};
use std::collections::VecDeque;

/// Largest window, as a fraction of this server's share of the shared dependency's capacity.
const SHARED_MAX_FRACTION: f64 = 0.8;
/// Initial window, as a fraction of the same share; a dependency slows down well before it collapses.
const SHARED_INITIAL_FRACTION: f64 = 0.25;
/// Largest window to a next tier, in calls per core. The next tier has its own admission control; this
/// bounds the calls to a hung one.
const NEXT_TIER_CALLS_PER_CORE: f64 = 8.0;
/// Smallest window to a next tier, as a fraction of the largest: hung calls must not block calls to healthy
/// servers.
const NEXT_TIER_MIN_FRACTION: f64 = 0.5;
/// Averaging time of the number of open calls, as a fraction of the dependency's averaging window; short, so
/// that the mean does not lag.
const MEAN_WINDOW_FRACTION: f64 = 0.3;
/// Shortest averaging time of the number of open calls, in seconds.
const MIN_MEAN_WINDOW_S: f64 = 0.1;
/// Factor by which a rejected or slow call reduces the window.
const WINDOW_DECREASE_FACTOR: f64 = 0.7;
/// Ratio of a call's recent time to its baseline above which calls count as slow; beyond chance variation.
const SLOW_CALL_TIME_RATIO: f64 = 2.5;

/// Time without a completed call, in seconds, after which the dependency counts as out of reach if a call is
/// open or awaited.
const OUT_OF_REACH_S: f64 = 1.0;

/// Limit on open downstream calls, with the call statistics that adapt it.
pub(super) struct CallWindow {
    window: f64,
    max_window: f64,
    min_window: f64,
    decreased_at: f64,
    /// Moving average of the time of a call, in seconds.
    recent_time: f64,
    /// Baseline of `recent_time`, in seconds.
    base_time: f64,
    /// When a call last completed, or when none was open or awaited and none had failed since.
    last_progress_at: f64,
    /// Whether a call has failed since one last completed.
    has_failed: bool,
    /// Moving average of the number of calls that occupy the dependency.
    mean_open: f64,
    /// Averaging time of `mean_open`, in seconds.
    mean_window: f64,
    /// Time for which an abandoned call occupies the dependency, in seconds.
    linger: f64,
    /// When each abandoned call stops occupying the dependency.
    lingering_until: VecDeque<f64>,
}

impl CallWindow {
    /// Creates the initial window for the downstream of `settings`.
    pub fn new(settings: &PolicySettings) -> CallWindow {
        let share = settings.call_concurrency_share;
        let (window, max_window, min_window) = if settings.downstream == Downstream::SharedDependency {
            let (start, max_window) = (SHARED_INITIAL_FRACTION * share, SHARED_MAX_FRACTION * share);
            (start, max_window, if max_window < 1.0 { start } else { 1.0 })
        } else {
            let max_window = NEXT_TIER_CALLS_PER_CORE * settings.cores;
            (max_window, max_window, NEXT_TIER_MIN_FRACTION * max_window)
        };
        CallWindow {
            window,
            max_window,
            min_window,
            decreased_at: 0.0,
            recent_time: 0.0,
            base_time: 0.0,
            last_progress_at: 0.0,
            has_failed: false,
            mean_open: 0.0,
            mean_window: (MEAN_WINDOW_FRACTION * settings.call_averaging_window).max(MIN_MEAN_WINDOW_S),
            linger: settings.abandoned_call_linger,
            lingering_until: VecDeque::new(),
        }
    }

    /// Returns the limit on open calls.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Returns the number of calls that occupy the dependency: open calls and lingering abandoned ones.
    fn occupied(&self, open: usize) -> f64 {
        (open + self.lingering_until.len()) as f64
    }

    /// Updates the mean number of occupying calls after `elapsed` seconds with `open` calls.
    pub fn update_mean(&mut self, elapsed: f64, open: usize) {
        let occupied = self.occupied(open);
        self.mean_open += (occupied - self.mean_open) * (elapsed / self.mean_window).min(1.0);
    }

    /// Records a call abandoned by this server; it occupies the dependency for the linger time.
    pub fn abandon(&mut self, now: f64) {
        self.lingering_until.push_back(now + self.linger);
    }

    /// Records a failed call. One that timed out occupies the dependency for the linger time; any other counts
    /// as occupying until the next call of `headroom`.
    pub fn add_failure(&mut self, now: f64, outcome: Outcome) {
        self.has_failed = true;
        let linger = if outcome == Outcome::TimedOut { self.linger } else { 0.0 };
        self.lingering_until.push_back(now + linger);
    }

    /// Records that no call is open or awaited.
    pub fn record_idle(&mut self, now: f64) {
        if !self.has_failed {
            self.last_progress_at = now;
        }
    }

    /// Returns whether no call has completed for so long that the dependency counts as out of reach.
    pub fn is_out_of_reach(&self, now: f64) -> bool {
        now - self.last_progress_at > OUT_OF_REACH_S.max(SLOW_CALL_TIME_RATIO * self.base_time)
    }

    /// Records a completed call and its duration, in seconds.
    pub fn record_time(&mut self, now: f64, duration: f64) {
        (self.last_progress_at, self.has_failed) = (now, false);
        let weight = if duration < self.base_time { EWMA_WEIGHT } else { 1.0 / BASELINE_SAMPLES };
        self.base_time = moving_average(self.base_time, duration, weight);
        self.recent_time = moving_average(self.recent_time, duration, EWMA_WEIGHT);
    }

    /// Adapts the window to the outcome of a call: grows by one call per round trip while calls are fast,
    /// and shrinks at most once per round trip when they are slow, rejected or time out.
    pub fn adapt(&mut self, now: f64, outcome: Outcome) {
        if outcome == Outcome::Completed && self.recent_time <= SLOW_CALL_TIME_RATIO * self.base_time {
            self.window += (1.0 / self.window).min(self.window);
        } else if !matches!(outcome, Outcome::Failed | Outcome::ConnectionLost)
            && now - self.decreased_at > self.recent_time
        {
            self.window *= WINDOW_DECREASE_FACTOR;
            self.decreased_at = now;
        }
    }

    /// Returns how many more calls may be opened.
    pub fn headroom(&mut self, now: f64, open: usize) -> f64 {
        while self.lingering_until.front().is_some_and(|&end| end <= now) {
            self.lingering_until.pop_front();
        }
        self.window = self.window.clamp(self.min_window, self.max_window);
        self.window.max(1.0) - self.occupied(open)
    }

    /// Returns whether the mean number of open calls is below the window. Enforces windows below one call,
    /// where a call from each server of the fleet would overload the dependency.
    pub fn mean_allows_more(&self) -> bool {
        self.mean_open < self.window
    }
}
