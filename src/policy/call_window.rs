//! The window of downstream calls: how many may be open, by how quick and how sound those before were.

use super::averages::{moving_average, NEW_SAMPLE};
use super::estimates::BASE_RUNS;
use crate::{Downstream, Outcome, PolicySettings};
use std::collections::VecDeque;

/// Share of this server's part of what the dependency survives that the window may reach.
const SHARED_TOP: f64 = 0.8;
/// The same at the start: the dependency slows down long before it falls.
const SHARED_START: f64 = 0.25;
/// Calls a core to a next tier: it decides for itself, this bounds a stuck one.
const NEXT_TIER_PER_CORE: f64 = 8.0;
/// Share of those always open: hung calls must not close the way to sound servers.
const NEXT_TIER_LEAST: f64 = 0.5;
/// Share of the dependency's averaging window over which the mean of open calls is taken: it must not lag.
const MEAN_SHARE: f64 = 0.3;
/// Seconds over which that mean is taken at least.
const SHORTEST_MEAN: f64 = 0.1;
/// Share to which a failed or slow call cuts the window: a usual step.
const WINDOW_CUT: f64 = 0.7;
/// Rise of a call's time over its base that counts as slow: past mere chance.
const SLOW_CALL_RISE: f64 = 2.5;
/// How many calls may be open, and what is known of those that were.
pub(super) struct CallWindow {
    window: f64,
    most: f64,
    least: f64,
    cut_at: f64,
    /// Seconds that a call takes of late, and at its best.
    time: f64,
    base_time: f64,
    mean_open: f64,
    averaging: f64,
    linger: f64,
    /// When calls that were given up leave the dependency.
    lingering: VecDeque<f64>,
}

impl CallWindow {
    /// The window at the start, for what the settings say of the downstream.
    pub fn new(settings: &PolicySettings) -> CallWindow {
        let share = settings.call_concurrency_share;
        let (window, most, least) = if settings.downstream == Downstream::SharedDependency {
            let (start, most) = (SHARED_START * share, SHARED_TOP * share);
            (start, most, if most < 1.0 { start } else { 1.0 })
        } else {
            let most = NEXT_TIER_PER_CORE * settings.cores;
            (most, most, NEXT_TIER_LEAST * most)
        };
        CallWindow {
            window,
            most,
            least,
            cut_at: 0.0,
            time: 0.0,
            base_time: 0.0,
            mean_open: 0.0,
            averaging: (MEAN_SHARE * settings.call_averaging_window).max(SHORTEST_MEAN),
            linger: settings.abandoned_call_linger,
            lingering: VecDeque::new(),
        }
    }

    /// Calls that may be open.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Calls that occupy the dependency: those open, and those given up that linger.
    fn occupied(&self, open: usize) -> f64 {
        (open + self.lingering.len()) as f64
    }

    /// Takes in how many calls were open for the time that has passed.
    pub fn update_mean(&mut self, elapsed: f64, open: usize) {
        let occupied = self.occupied(open);
        self.mean_open += (occupied - self.mean_open) * (elapsed / self.averaging).min(1.0);
    }

    /// A call was given up at this end: it goes on below for a while.
    pub fn abandon(&mut self, now: f64) {
        self.lingering.push_back(now + self.linger);
    }

    /// A call failed: one that timed out goes on below, any other counts until the next look.
    pub fn add_failure(&mut self, now: f64, outcome: Outcome) {
        let linger = if outcome == Outcome::TimedOut { self.linger } else { 0.0 };
        self.lingering.push_back(now + linger);
    }

    /// Takes in how long a completed call took, in seconds.
    pub fn learn_time(&mut self, duration: f64) {
        let weight = if duration < self.base_time { NEW_SAMPLE } else { 1.0 / BASE_RUNS };
        self.base_time = moving_average(self.base_time, duration, weight);
        self.time = moving_average(self.time, duration, NEW_SAMPLE);
    }

    /// Grows by one in a turn of calls while they are quick, is cut once in a turn when they are slow or
    /// rejected.
    pub fn adapt(&mut self, now: f64, outcome: Outcome) {
        if outcome == Outcome::Completed && self.time <= SLOW_CALL_RISE * self.base_time {
            self.window += (1.0 / self.window).min(self.window);
        } else if !matches!(outcome, Outcome::Failed | Outcome::ConnectionLost)
            && now - self.cut_at > self.time
        {
            self.window *= WINDOW_CUT;
            self.cut_at = now;
        }
    }

    /// How many more calls the dependency bears now.
    pub fn room(&mut self, now: f64, open: usize) -> f64 {
        while self.lingering.front().is_some_and(|&end| end <= now) {
            self.lingering.pop_front();
        }
        self.window = self.window.clamp(self.least, self.most);
        self.window.max(1.0) - self.occupied(open)
    }

    /// A share under one call is kept as a mean, or a whole fleet's single calls would fell what is below.
    pub fn mean_allows_more(&self) -> bool {
        self.mean_open < self.window
    }
}
