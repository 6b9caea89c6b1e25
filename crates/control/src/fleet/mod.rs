//! The service's view of the fleet: the last report of each server and the confidence in it. Performs no I/O and reads
//! no clock: callers pass times in seconds of the control service's monotonic clock.
//!
//! A report carries the server's incarnation, an increasing sequence number, and its creation time by the server's
//! monotonic clock. The minimum of (received - created) over the last half minute estimates the offset of the two
//! clocks; the excess over it is the report's transit time. Delayed reports are therefore recognized without
//! synchronized clocks. A server whose last report is older than `FleetConfig::fresh_for` is called silent.

mod clock;
mod outage;

#[cfg(test)]
mod tests;

pub use outage::OutageState;

use crate::report::{InvalidReport, LoadReport};
use clock::ClockOffset;
use outage::ReportCoverage;
use std::collections::BTreeMap;

/// Result of processing a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is the server's latest.
    Accepted,
    /// The report was received before.
    Duplicate,
    /// A later report of the same process was received before.
    OutOfOrder,
    /// The report is from an earlier process than the current one.
    EarlierIncarnation,
    /// A field has an invalid value.
    Invalid(InvalidReport),
    /// The report is from a new server, and the limit on tracked servers is reached.
    FleetFull,
}

/// Timeouts of reports and limits on the tracked servers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Age in seconds up to which a report has full confidence.
    pub fresh_for: f64,
    /// Age in seconds from which a report has no confidence; it falls linearly from `fresh_for` on. Also the time after
    /// which a mass outage is confirmed, and the time over which confidence is then withdrawn.
    pub expired_after: f64,
    /// Age in seconds of the last report after which a server is evicted.
    pub evict_after: f64,
    /// Fraction of silent servers above which a mass outage is suspected.
    pub panic_threshold: f64,
    /// Maximum number of tracked servers.
    pub max_servers: usize,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            fresh_for: 1.0,
            expired_after: 4.0,
            evict_after: 60.0,
            panic_threshold: 0.5,
            max_servers: 20_000,
        }
    }
}

#[derive(Clone, Debug)]
struct ServerRecord {
    report: LoadReport,
    clock_offset: ClockOffset,
    /// When the last report was created, by the service's clock.
    created_at: f64,
    /// When the last report was received.
    received_at: f64,
    /// Start of the current sequence of fresh reports without a gap.
    steady_since: f64,
}

impl ServerRecord {
    /// Creates a record from a process's first report.
    fn new(now: f64, report: LoadReport) -> ServerRecord {
        let clock_offset = ClockOffset::new(now, report.created_at);
        ServerRecord { clock_offset, created_at: now, received_at: now, steady_since: now, report }
    }

    /// Stores the next report of the same process.
    fn update(&mut self, now: f64, report: LoadReport, fresh_for: f64) {
        let transit_time = self.clock_offset.transit_time(now, report.created_at);
        if now - self.created_at > fresh_for || transit_time > fresh_for {
            self.steady_since = now;
        }
        self.created_at = now - transit_time;
        self.received_at = now;
        self.report = report;
    }
}

/// A server's last report and the confidence in it.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// The last report.
    pub report: &'a LoadReport,
    /// Confidence in the report, from 0 (none) to 1 (full).
    pub confidence: f64,
    /// Seconds since the report was created.
    pub age: f64,
    /// The server is silent in a mass outage: its load moves in steps, since the remaining servers could not absorb it at once.
    pub withdrawn_gradually: bool,
}

/// Counts of rejected reports by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Reports that were received before.
    pub duplicate: u64,
    /// Reports that arrived after a later one.
    pub out_of_order: u64,
    /// Reports of earlier processes.
    pub earlier_incarnation: u64,
    /// Reports with an invalid field.
    pub invalid: u64,
    /// Reports of servers beyond the limit on tracked servers.
    pub fleet_full: u64,
}

impl RejectionCounts {
    fn count(&mut self, outcome: ReportOutcome) {
        let counter = match outcome {
            ReportOutcome::Accepted => return,
            ReportOutcome::Duplicate => &mut self.duplicate,
            ReportOutcome::OutOfOrder => &mut self.out_of_order,
            ReportOutcome::EarlierIncarnation => &mut self.earlier_incarnation,
            ReportOutcome::Invalid(_) => &mut self.invalid,
            ReportOutcome::FleetFull => &mut self.fleet_full,
        };
        *counter += 1;
    }

    /// Returns each reason's label in the metrics with its count.
    pub fn by_reason(&self) -> [(&'static str, u64); 5] {
        [
            ("doubled", self.duplicate),
            ("overtaken", self.out_of_order),
            ("earlier-life", self.earlier_incarnation),
            ("impossible", self.invalid),
            ("full", self.fleet_full),
        ]
    }
}

/// State of all tracked servers.
#[derive(Debug, Default)]
pub struct FleetView {
    config: FleetConfig,
    servers: BTreeMap<String, ServerRecord>,
    /// Result of the last assessment.
    outage: OutageState,
    /// Number of accepted reports.
    pub accepted: u64,
    /// Number of rejected reports.
    pub rejected: u64,
    /// Rejected reports by reason.
    pub rejections: RejectionCounts,
}

impl FleetView {
    /// Creates an empty fleet.
    pub fn new(config: FleetConfig) -> FleetView {
        FleetView { config, ..FleetView::default() }
    }

    /// Records a report received at `now`, unless it is invalid or not the server's latest.
    pub fn record(&mut self, now: f64, report: LoadReport) -> ReportOutcome {
        let outcome = self.try_record(now, report);
        match outcome {
            ReportOutcome::Accepted => self.accepted += 1,
            _ => self.rejected += 1,
        }
        self.rejections.count(outcome);
        outcome
    }

    fn try_record(&mut self, now: f64, report: LoadReport) -> ReportOutcome {
        if let Err(invalid) = report.validate() {
            return ReportOutcome::Invalid(invalid);
        }
        let Some(record) = self.servers.get_mut(&report.instance) else {
            return self.add(now, report);
        };
        let last = &record.report;
        if report.incarnation != last.incarnation {
            // A machine whose clock was set back restarts with a lower incarnation: accepted once the last report has expired.
            let is_recent = now - record.received_at < self.config.expired_after;
            if report.incarnation < last.incarnation && is_recent {
                return ReportOutcome::EarlierIncarnation;
            }
            *record = ServerRecord::new(now, report);
            return ReportOutcome::Accepted;
        }
        if report.sequence == last.sequence {
            return ReportOutcome::Duplicate;
        }
        if report.sequence < last.sequence {
            return ReportOutcome::OutOfOrder;
        }
        if report.created_at < last.created_at {
            return ReportOutcome::Invalid(InvalidReport::ClockWentBack);
        }
        record.update(now, report, self.config.fresh_for);
        ReportOutcome::Accepted
    }

    fn add(&mut self, now: f64, report: LoadReport) -> ReportOutcome {
        if self.servers.len() >= self.config.max_servers {
            return ReportOutcome::FleetFull;
        }
        self.servers.insert(report.instance.clone(), ServerRecord::new(now, report));
        ReportOutcome::Accepted
    }

    /// Evicts servers that stopped reporting long ago or were terminated after a drain.
    pub fn evict_silent(&mut self, now: f64) {
        let FleetConfig { evict_after, expired_after, .. } = self.config;
        self.servers.retain(|_, record| {
            let age = now - record.created_at;
            let terminated = record.report.terminates_in.is_some_and(|seconds| age > seconds + expired_after);
            age <= evict_after && !terminated
        });
    }

    /// Updates the outage state. To be called before each plan.
    pub fn assess_outage(&mut self, now: f64) {
        self.outage = self.outage.transition(now, self.report_coverage(now), self.config.expired_after);
    }

    /// Returns the outage state of the last assessment.
    pub fn assessed_outage(&self) -> OutageState {
        self.outage
    }

    /// Summarizes the reports at `now`. Draining servers are left out: they are expected to stop reporting.
    fn report_coverage(&self, now: f64) -> ReportCoverage {
        let FleetConfig { fresh_for, expired_after, panic_threshold, .. } = self.config;
        let (mut expected, mut silent, mut any_steady) = (0usize, 0usize, false);
        for record in self.servers.values().filter(|record| !record.report.is_draining()) {
            expected += 1;
            if now - record.created_at > fresh_for {
                silent += 1;
            } else {
                any_steady |= now - record.steady_since >= expired_after;
            }
        }
        let too_many_silent = silent as f64 > panic_threshold * expected as f64;
        ReportCoverage { too_many_silent, any_fresh: silent < expected, any_steady }
    }

    /// Returns the outage state at `now`.
    pub fn outage_state(&self, now: f64) -> OutageState {
        match (self.report_coverage(now).too_many_silent, self.outage) {
            (false, _) => OutageState::Normal,
            // Not assessed yet, so there is no earlier confidence to fall back to: all servers are trusted.
            (true, OutageState::Normal) => OutageState::Suspected { since: f64::NEG_INFINITY },
            (true, assessed) => assessed,
        }
    }

    /// Returns whether plans are made in panic mode, because a mass outage is suspected.
    pub fn in_panic(&self, now: f64) -> bool {
        self.outage_state(now).is_suspected()
    }

    /// Returns all servers, ordered by name. In a suspected outage, silent servers keep the confidence they had before it.
    pub fn servers(&self, now: f64) -> Vec<ServerView<'_>> {
        let outage = self.outage_state(now);
        let view = |record| self.view(now, outage, record);
        self.servers.values().map(view).collect()
    }

    fn view<'a>(&self, now: f64, outage: OutageState, record: &'a ServerRecord) -> ServerView<'a> {
        let age = now - record.created_at;
        let own_confidence = self.confidence_at_age(age);
        let confidence = match outage {
            OutageState::Normal => own_confidence,
            OutageState::Suspected { since } => {
                own_confidence.max(self.confidence_before_outage(since, record))
            }
            OutageState::Confirmed { since, confirmed_at } => {
                let remaining = 1.0 - (now - confirmed_at) / self.config.expired_after;
                own_confidence.max(self.confidence_before_outage(since, record) * remaining)
            }
        };
        let withdrawn_gradually = outage != OutageState::Normal && age > self.config.fresh_for;
        ServerView { report: &record.report, confidence, age, withdrawn_gradually }
    }

    /// Returns the confidence in a report that is `age` seconds old.
    fn confidence_at_age(&self, age: f64) -> f64 {
        let FleetConfig { fresh_for, expired_after, .. } = self.config;
        ((expired_after - age) / (expired_after - fresh_for)).clamp(0.0, 1.0)
    }

    /// Returns the confidence in a server just before the outage began. A server lost before the outage does not regain
    /// confidence.
    fn confidence_before_outage(&self, outage_since: f64, record: &ServerRecord) -> f64 {
        self.confidence_at_age(outage_since - self.config.fresh_for - record.created_at)
    }

    /// Returns the number of tracked servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is tracked.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the number of servers whose last report is fresh.
    pub fn fresh_count(&self, now: f64) -> usize {
        self.servers.values().filter(|record| now - record.created_at <= self.config.fresh_for).count()
    }
}
