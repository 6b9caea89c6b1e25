//! What each server can carry, and which servers must get nothing.
//!
//! A server's capacity is its concurrency limit over its service time, less what its own pressure asks for, times its warm-up
//! progress and the confidence in its report, and never far over what its peers show for each core.

use super::per_incarnation::PerIncarnation;
use super::ShareLimit;
use crate::fleet::ServerView;
use crate::smoothing::{median, sample_weight};
use std::collections::HashSet;

/// Fraction of its capacity that a server under full pressure loses: the servers' own admission policy takes as much.
const PRESSURE_REDUCTION: f64 = 0.6;
/// Times the median capacity of a core that any server is believed to have: machines differ by less, false reports by more.
pub(super) const MAX_OVER_MEDIAN: f64 = 2.0;
/// Time constant of a server's capacity, seconds: its pressure answers to its share a second late, and without smoothing shares
/// swing.
const CAPACITY_TIME_CONSTANT: f64 = 3.0;
/// Progress that a server has at the start of its warm-up at the least: without load it would never warm up.
const MIN_WARM_UP_PROGRESS: f64 = 0.05;

/// A server on its way into the plan.
pub(super) struct Candidate<'a> {
    pub(super) view: ServerView<'a>,
    /// Requests a second that it can carry by its own figures.
    pub(super) reported_capacity: f64,
    /// Requests a second that the plan gives it at the most.
    pub(super) effective_capacity: f64,
    /// Why it must get nothing, if it must.
    pub(super) exclusion: Option<ShareLimit>,
}

impl Candidate<'_> {
    pub(super) fn is_excluded(&self) -> bool {
        self.exclusion.is_some()
    }
}

/// Capacity of all servers that may get load.
pub(super) fn total_capacity(servers: &[&Candidate]) -> f64 {
    servers.iter().filter(|server| !server.is_excluded()).map(|server| server.effective_capacity).sum()
}

/// Estimates capacities from one plan to the next.
#[derive(Debug, Default)]
pub(super) struct CapacityEstimator {
    /// Requests a second, smoothed.
    smoothed: PerIncarnation<f64>,
}

/// What the fleet's median server does, against which each is held.
struct FleetMedians {
    /// Seconds that a request takes where a server has run none yet.
    service_time: f64,
    /// Requests a second for each core.
    capacity_per_core: f64,
}

impl FleetMedians {
    fn from_views(views: &[ServerView]) -> FleetMedians {
        let trusted = |view: &&ServerView| view.confidence > 0.0 && view.report.healthy;
        let service_times = views.iter().filter(trusted).map(|view| view.report.service_time);
        let median_service_time = median(service_times.filter(|seconds| *seconds > 0.0).collect());
        // Where no server has run anything yet, all requests are taken to be alike.
        let service_time = if median_service_time > 0.0 { median_service_time } else { 1.0 };
        let per_core = |view: &ServerView| reported_capacity(view, service_time) / view.report.cores;
        let capacity_per_core = median(views.iter().filter(trusted).map(per_core).collect());
        FleetMedians { service_time, capacity_per_core }
    }
}

/// Requests a second that a server can carry by its own figures.
fn reported_capacity(view: &ServerView, usual_service_time: f64) -> f64 {
    let own = view.report.service_time;
    let service_time = if own > 0.0 { own } else { usual_service_time };
    view.report.concurrency_limit / service_time
}

fn exclusion(view: &ServerView) -> Option<ShareLimit> {
    if view.report.is_draining() {
        Some(ShareLimit::Draining)
    } else if !view.report.healthy {
        Some(ShareLimit::Unhealthy)
    } else if view.confidence <= 0.0 && !view.withdrawn_gradually {
        Some(ShareLimit::ReportExpired)
    } else {
        None
    }
}

impl CapacityEstimator {
    /// Estimates all servers anew, `elapsed` seconds after the last time.
    pub(super) fn candidates<'a>(
        &mut self,
        views: &[ServerView<'a>],
        elapsed: Option<f64>,
    ) -> Vec<Candidate<'a>> {
        let medians = FleetMedians::from_views(views);
        let sample_weight = sample_weight(elapsed.unwrap_or(0.0), CAPACITY_TIME_CONSTANT);
        views.iter().map(|view| self.candidate(view, &medians, sample_weight)).collect()
    }

    fn candidate<'a>(
        &mut self,
        view: &ServerView<'a>,
        medians: &FleetMedians,
        sample_weight: f64,
    ) -> Candidate<'a> {
        let report = view.report;
        let reported_capacity = reported_capacity(view, medians.service_time);
        let credible = reported_capacity.min(MAX_OVER_MEDIAN * medians.capacity_per_core * report.cores);
        let current = credible * (1.0 - PRESSURE_REDUCTION * report.pressure);
        let smoothed = match self.smoothed.get(report) {
            Some(last) => last + sample_weight * (current - last),
            None => current,
        };
        self.smoothed.insert(report, smoothed);
        let warm_up_progress = report.warm_up_progress.max(MIN_WARM_UP_PROGRESS);
        Candidate {
            view: *view,
            reported_capacity,
            effective_capacity: smoothed * warm_up_progress * view.confidence,
            exclusion: exclusion(view),
        }
    }

    /// Forgets all servers but those named.
    pub(super) fn retain(&mut self, instances: &HashSet<&str>) {
        self.smoothed.retain(instances);
    }
}
