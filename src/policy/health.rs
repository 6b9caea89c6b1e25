//! Health: whether this machine has slowed down, and the health checks and keepalive that follow.

use super::averages::{moving_average, FAST_EWMA_WEIGHT};
use super::timing::CONTROL_INTERVAL_S;
use crate::{Decisions, PolicySettings};

/// Rise of run time from which the machine is slow: crowding alone stays under it.
const SLOW_RUN_TIME_RATIO: f64 = 4.0;
/// Seconds for which it must look so: over one step, which may be chance.
const SLOW_CONFIRMATION_S: f64 = 0.15;
/// Seconds off the endpoint list for a slow machine: the list is seconds late, less isn't seen.
const UNHEALTHY_DURATION_S: f64 = 8.0;
/// Open connections for each request of the crowd survived: no more are ever at work.
const CONNECTIONS_PER_REQUEST: f64 = 1.0;
/// Share by which the keepalive moves a step: a tenfold change takes two seconds.
const KEEPALIVE_STEP_FRACTION: f64 = 0.1;

/// How old the open runs are together.
#[derive(Default)]
pub(super) struct RunAges {
    total_age: f64,
    /// What they usually take.
    total_expected: f64,
    /// Runs that are far older than usual.
    overdue: usize,
}

impl RunAges {
    /// Adds an open run and the seconds that it usually takes.
    pub fn add(&mut self, now: f64, started_at: f64, expected: f64) {
        self.total_age = self.total_age + now - started_at;
        self.total_expected += expected;
        self.overdue += usize::from(now - started_at > SLOW_RUN_TIME_RATIO * expected);
    }
}

/// How many times its usual time a run takes now.
pub(super) struct Slowdown {
    finished_run_ratio: f64,
    open_run_ratio: f64,
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { finished_run_ratio: 1.0, open_run_ratio: 0.0 }
    }
}

impl Slowdown {
    /// By the runs that finished of late.
    pub fn finished_run_ratio(&self) -> f64 {
        self.finished_run_ratio
    }

    /// By the age of the runs that are open.
    pub fn open_run_ratio(&self) -> f64 {
        self.open_run_ratio
    }

    /// By whichever shows more.
    pub fn run_time_ratio(&self) -> f64 {
        self.finished_run_ratio.max(self.open_run_ratio)
    }

    /// Takes in a finished run that took so many times its usual time.
    pub fn record_run(&mut self, run_time_ratio: f64) {
        self.finished_run_ratio = moving_average(self.finished_run_ratio, run_time_ratio, FAST_EWMA_WEIGHT);
    }

    /// Open runs are on average as old as a run takes. Where most are far older the machine has slowed or
    /// hangs, which finished runs tell only later; a few long ones that pin their slots don't count.
    pub fn update_open_runs(&mut self, run_ages: &RunAges, running: usize, cores: f64) {
        let is_slow = 2 * run_ages.overdue > running && running as f64 >= cores;
        self.open_run_ratio = if is_slow { run_ages.total_age / run_ages.total_expected } else { 1.0 };
    }
}

/// What health checks hear.
#[derive(Default)]
pub(super) struct Health {
    /// Since when the server is off the endpoint list.
    unhealthy_since: Option<f64>,
    /// When the machine last looked sound.
    last_healthy_at: f64,
}

impl Health {
    /// The machine was seen: `is_sound` says that no work suffers, whatever its runs take.
    pub fn observe(&mut self, now: f64, run_time_ratio: f64, waits_are_short: bool) {
        if run_time_ratio < SLOW_RUN_TIME_RATIO || waits_are_short {
            self.last_healthy_at = now;
        }
    }

    /// Guards against a slow machine where the endpoint list follows health: what is sent here is forwarded
    /// too late, so the server leaves the list for a while, then tries again. Judged by its runs against
    /// their base, never by load, or a crowded fleet would list itself out.
    pub fn step(&mut self, now: f64, run_time_ratio: f64, decisions: &mut impl Decisions) {
        match self.unhealthy_since {
            None if now - self.last_healthy_at > SLOW_CONFIRMATION_S => {
                self.unhealthy_since = Some(now);
                decisions.set_health(false, true);
                decisions.log(&format!("unhealthy: runs take {run_time_ratio:.1} times their base"));
            }
            Some(since) if now - since > UNHEALTHY_DURATION_S => {
                self.unhealthy_since = None;
                decisions.set_health(true, true);
            }
            _ => {}
        }
    }
}

/// How long callers may keep an unused connection open.
pub(super) struct Keepalive {
    timeout: f64,
    max_timeout: f64,
    /// Connections over which it shrinks.
    connection_threshold: f64,
}

impl Keepalive {
    /// The keepalive that the settings name, until connections crowd.
    pub fn new(settings: &PolicySettings) -> Keepalive {
        let connection_threshold = CONNECTIONS_PER_REQUEST * settings.cores * settings.overload_multiple;
        Keepalive { timeout: settings.idle_timeout, max_timeout: settings.idle_timeout, connection_threshold }
    }

    /// The keepalive, in seconds.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    /// Guards against a table full of idle connections: it taxes the cores and turns callers back unseen.
    pub fn step(&mut self, connections: f64) {
        let step = if connections > self.connection_threshold {
            -KEEPALIVE_STEP_FRACTION
        } else {
            KEEPALIVE_STEP_FRACTION
        };
        self.timeout =
            (self.timeout * (1.0 + step)).clamp(CONTROL_INTERVAL_S.min(self.max_timeout), self.max_timeout);
    }
}
