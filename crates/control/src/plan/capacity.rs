//! Estimation of server capacities, and exclusion of servers that must not receive load.
//!
//! A server's capacity is its concurrency limit divided by its service time, reduced by its pressure and scaled by its warm-up
//! progress and the confidence in its report. Capacity per core is capped relative to the fleet's median.

use super::per_incarnation::PerIncarnation;
use super::ShareLimit;
use crate::fleet::ServerView;
use crate::smoothing::{median, sample_weight};
use std::collections::HashSet;

/// Fraction by which full pressure reduces a server's capacity: the servers' own admission policy reduces it by as much.
const PRESSURE_REDUCTION: f64 = 0.6;
/// Cap of a server's capacity per core, as a multiple of the fleet's median: machines differ by less, false reports by more.
pub(super) const MAX_OVER_MEDIAN: f64 = 2.0;
/// Time constant of a server's smoothed capacity, seconds: pressure follows the share with a delay, and unsmoothed
/// shares oscillate.
const CAPACITY_TIME_CONSTANT: f64 = 3.0;
/// Lower bound of the warm-up progress: a server without load would never warm up.
const MIN_WARM_UP_PROGRESS: f64 = 0.05;

/// A server considered for the plan.
pub(super) struct Candidate<'a> {
    pub(super) view: ServerView<'a>,
    /// Capacity by the server's own report, requests per second.
    pub(super) reported_capacity: f64,
    /// Capacity that the plan assumes, requests per second.
    pub(super) effective_capacity: f64,
    /// Reason to exclude the server, if there is one.
    pub(super) exclusion: Option<ShareLimit>,
}

impl Candidate<'_> {
    pub(super) fn is_excluded(&self) -> bool {
        self.exclusion.is_some()
    }
}

/// Returns the summed capacity of the servers that are not excluded, requests per second.
pub(super) fn total_capacity(servers: &[&Candidate]) -> f64 {
    servers.iter().filter(|server| !server.is_excluded()).map(|server| server.effective_capacity).sum()
}

/// Estimates capacities from one plan to the next.
#[derive(Debug, Default)]
pub(super) struct CapacityEstimator {
    /// Smoothed capacity in requests per second.
    smoothed: PerIncarnation<f64>,
}

/// Medians over the fleet, used as defaults and caps.
struct FleetMedians {
    /// Service time in seconds, assumed for servers that have run no request yet.
    service_time: f64,
    /// Capacity per core, requests per second.
    capacity_per_core: f64,
}

impl FleetMedians {
    fn from_views(views: &[ServerView]) -> FleetMedians {
        let trusted = |view: &&ServerView| view.confidence > 0.0 && view.report.healthy;
        let service_times = views.iter().filter(trusted).map(|view| view.report.service_time);
        let median_service_time = median(service_times.filter(|seconds| *seconds > 0.0).collect());
        // Before any server has run a request, any equal service time gives equal shares.
        let service_time = if median_service_time > 0.0 { median_service_time } else { 1.0 };
        let per_core = |view: &ServerView| reported_capacity(view, service_time) / view.report.cores;
        let capacity_per_core = median(views.iter().filter(trusted).map(per_core).collect());
        FleetMedians { service_time, capacity_per_core }
    }
}

/// Returns a server's capacity by its own report, requests per second.
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
    /// Estimates the capacities of all servers, `elapsed` seconds after the last estimate.
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

    /// Removes the state of all other servers.
    pub(super) fn retain(&mut self, instances: &HashSet<&str>) {
        self.smoothed.retain(instances);
    }
}
