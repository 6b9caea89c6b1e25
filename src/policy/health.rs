//! Health: whether this machine has slowed down, and the health checks and keepalive that follow.

use super::averages::{moving_average, NEW_SAMPLE_QUICK};
use super::timing::STEP;
use crate::{Decisions, PolicySettings};

/// Rise of run time from which the machine is slow: crowding alone stays under it.
const SLOW: f64 = 4.0;
/// Seconds for which it must look so: over one step, which may be chance.
const SLOW_FOR: f64 = 0.15;
/// Seconds off the endpoint list for a slow machine: the list is seconds late, less isn't seen.
const OFF_THE_LIST: f64 = 8.0;
/// Open connections for each request of the crowd survived: no more are ever at work.
const CONNECTIONS_PER_REQUEST: f64 = 1.0;
/// Share by which the keepalive moves a step: a tenfold change takes two seconds.
const KEEPALIVE_STEP: f64 = 0.1;

/// How old the open runs are together.
#[derive(Default)]
pub(super) struct RunAges {
    age: f64,
    /// What they usually take.
    usual: f64,
    /// Runs that are far older than usual.
    old: usize,
}

impl RunAges {
    /// Adds an open run and the seconds that it usually takes.
    pub fn add(&mut self, now: f64, began: f64, usual: f64) {
        self.age = self.age + now - began;
        self.usual += usual;
        self.old += usize::from(now - began > SLOW * usual);
    }
}

/// How many times its usual time a run takes now.
pub(super) struct Slowdown {
    by_finished_runs: f64,
    by_open_runs: f64,
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { by_finished_runs: 1.0, by_open_runs: 0.0 }
    }
}

impl Slowdown {
    /// By the runs that finished of late.
    pub fn by_finished_runs(&self) -> f64 {
        self.by_finished_runs
    }

    /// By the age of the runs that are open.
    pub fn by_open_runs(&self) -> f64 {
        self.by_open_runs
    }

    /// By whichever shows more.
    pub fn rise(&self) -> f64 {
        self.by_finished_runs.max(self.by_open_runs)
    }

    /// Takes in a finished run that took so many times its usual time.
    pub fn learn_run(&mut self, times_usual: f64) {
        self.by_finished_runs = moving_average(self.by_finished_runs, times_usual, NEW_SAMPLE_QUICK);
    }

    /// Open runs are on average as old as a run takes. Where most are far older the machine has slowed or
    /// hangs, which finished runs tell only later; a few long ones that pin their slots don't count.
    pub fn compare_ages(&mut self, ages: &RunAges, running: usize, cores: f64) {
        let hangs = 2 * ages.old > running && running as f64 >= cores;
        self.by_open_runs = if hangs { ages.age / ages.usual } else { 1.0 };
    }
}

/// What health checks hear.
#[derive(Default)]
pub(super) struct Health {
    /// Since when the server is off the endpoint list.
    off_since: Option<f64>,
    /// When the machine last looked sound.
    sound_at: f64,
}

impl Health {
    /// The machine was seen: `is_sound` says that no work suffers, whatever its runs take.
    pub fn observe(&mut self, now: f64, run_time_rise: f64, is_sound: bool) {
        if run_time_rise < SLOW || is_sound {
            self.sound_at = now;
        }
    }

    /// Guards against a slow machine where the endpoint list follows health: what is sent here is forwarded
    /// too late, so the server leaves the list for a while, then tries again. Judged by its runs against
    /// their base, never by load, or a crowded fleet would list itself out.
    pub fn step(&mut self, now: f64, run_time_rise: f64, out: &mut impl Decisions) {
        match self.off_since {
            None if now - self.sound_at > SLOW_FOR => {
                self.off_since = Some(now);
                out.set_health(false, true);
                out.log(&format!("unhealthy: runs take {run_time_rise:.1} times their base"));
            }
            Some(since) if now - since > OFF_THE_LIST => {
                self.off_since = None;
                out.set_health(true, true);
            }
            _ => {}
        }
    }
}

/// How long callers may keep an unused connection open.
pub(super) struct Keepalive {
    span: f64,
    most: f64,
    /// Connections over which it shrinks.
    connections: f64,
}

impl Keepalive {
    /// The keepalive that the settings name, until connections crowd.
    pub fn new(settings: &PolicySettings) -> Keepalive {
        let connections = CONNECTIONS_PER_REQUEST * settings.cores * settings.overload_multiple;
        Keepalive { span: settings.idle_timeout, most: settings.idle_timeout, connections }
    }

    /// The keepalive, in seconds.
    pub fn span(&self) -> f64 {
        self.span
    }

    /// Guards against a table full of idle connections: it taxes the cores and turns callers back unseen.
    pub fn step(&mut self, connections: f64) {
        let step = if connections > self.connections { -KEEPALIVE_STEP } else { KEEPALIVE_STEP };
        self.span = (self.span * (1.0 + step)).clamp(STEP.min(self.most), self.most);
    }
}
