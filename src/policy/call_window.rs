//! The window of downstream calls: how many may be open, by how quick and how sound those before were.

use super::averages::{moving_average, EWMA_WEIGHT};
use super::estimates::BASELINE_SAMPLES;
use crate::{Downstream, Outcome, PolicySettings};
use std::collections::VecDeque;

/// Share of this server's part of what the dependency survives that the window may reach.
const SHARED_MAX_FRACTION: f64 = 0.8;
/// The same at the start: the dependency slows down long before it falls.
const SHARED_INITIAL_FRACTION: f64 = 0.25;
/// Calls a core to a next tier: it decides for itself, this bounds a stuck one.
const NEXT_TIER_CALLS_PER_CORE: f64 = 8.0;
/// Share of those always open: hung calls must not close the way to sound servers.
const NEXT_TIER_MIN_FRACTION: f64 = 0.5;
/// Share of the dependency's averaging window over which the mean of open calls is taken: it must not lag.
const MEAN_WINDOW_FRACTION: f64 = 0.3;
/// Seconds over which that mean is taken at least.
const MIN_MEAN_WINDOW_S: f64 = 0.1;
/// Share to which a failed or slow call cuts the window: a usual step.
const WINDOW_DECREASE_FACTOR: f64 = 0.7;
/// Rise of a call's time over its base that counts as slow: past mere chance.
const SLOW_CALL_TIME_RATIO: f64 = 2.5;

/// How many calls may be open, and what is known of those that were.
pub(super) struct CallWindow {
    window: f64,
    max_window: f64,
    min_window: f64,
    decreased_at: f64,
    /// Seconds that a call takes of late, and at its best.
    recent_time: f64,
    /// Baseline of `recent_time`, in seconds.
    base_time: f64,
    /// Moving average of the number of calls that occupy the dependency.
    mean_open: f64,
    /// Averaging time of `mean_open`, in seconds.
    mean_window: f64,
    /// Time for which an abandoned call occupies the dependency, in seconds.
    linger: f64,
    /// When calls that were given up leave the dependency.
    lingering_until: VecDeque<f64>,
}

impl CallWindow {
    /// The window at the start, for what the settings say of the downstream.
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
            mean_open: 0.0,
            mean_window: (MEAN_WINDOW_FRACTION * settings.call_averaging_window).max(MIN_MEAN_WINDOW_S),
            linger: settings.abandoned_call_linger,
            lingering_until: VecDeque::new(),
        }
    }

    /// Calls that may be open.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Calls that occupy the dependency: those open, and those given up that linger.
    fn occupied(&self, open: usize) -> f64 {
        (open + self.lingering_until.len()) as f64
    }

    /// Takes in how many calls were open for the time that has passed.
    pub fn update_mean(&mut self, elapsed: f64, open: usize) {
        let occupied = self.occupied(open);
        self.mean_open += (occupied - self.mean_open) * (elapsed / self.mean_window).min(1.0);
    }

    /// A call was given up at this end: it goes on below for a while.
    pub fn abandon(&mut self, now: f64) {
        self.lingering_until.push_back(now + self.linger);
    }

    /// A call failed: one that timed out goes on below, any other counts until the next look.
    pub fn add_failure(&mut self, now: f64, outcome: Outcome) {
        let linger = if outcome == Outcome::TimedOut { self.linger } else { 0.0 };
        self.lingering_until.push_back(now + linger);
    }

    /// Takes in how long a completed call took, in seconds.
    pub fn record_time(&mut self, duration: f64) {
        let weight = if duration < self.base_time { EWMA_WEIGHT } else { 1.0 / BASELINE_SAMPLES };
        self.base_time = moving_average(self.base_time, duration, weight);
        self.recent_time = moving_average(self.recent_time, duration, EWMA_WEIGHT);
    }

    /// Grows by one in a turn of calls while they are quick, is cut once in a turn when they are slow or
    /// rejected.
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

    /// How many more calls the dependency bears now.
    pub fn headroom(&mut self, now: f64, open: usize) -> f64 {
        while self.lingering_until.front().is_some_and(|&end| end <= now) {
            self.lingering_until.pop_front();
        }
        self.window = self.window.clamp(self.min_window, self.max_window);
        self.window.max(1.0) - self.occupied(open)
    }

    /// A share under one call is kept as a mean, or a whole fleet's single calls would fell what is below.
    pub fn mean_allows_more(&self) -> bool {
        self.mean_open < self.window
    }
}
