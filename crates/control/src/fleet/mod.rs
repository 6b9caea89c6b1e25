//! The service's view of the fleet: the last report of each server, and how far it is still trusted. No I/O, no clock: times come
//! in, seconds of the control service's own monotonic clock.
//!
//! A report carries the server's incarnation, a growing sequence number, and when it was made by the server's own monotonic
//! clock. The least of (received - made) over the last half minute is taken as the difference of the two clocks; what a report
//! exceeds it by is how long it was on its way. So a late report is known as late whatever the clocks say.

mod clock;
mod outage;

#[cfg(test)]
mod tests;

pub use outage::OutageState;

use crate::report::{InvalidReport, LoadReport};
use clock::ClockOffset;
use outage::ReportCoverage;
use std::collections::BTreeMap;

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is the server's latest.
    Accepted,
    /// It was received before.
    Duplicate,
    /// One that was made later came before it.
    OutOfOrder,
    /// It comes from a process that has been followed by another.
    EarlierIncarnation,
    /// A field can't be right.
    Invalid(InvalidReport),
    /// The fleet has as many servers as the service remembers.
    FleetFull,
}

/// How long servers are trusted without a new report, and how many are remembered.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Seconds for which a report counts in full.
    pub fresh_for: f64,
    /// Seconds from which a report counts for nothing; between `fresh_for` and this, ever less. A silence that most servers share
    /// is confirmed after as long, and takes as long to count in full.
    pub expired_after: f64,
    /// Seconds for which a silent server is remembered, to tell how many are silent.
    pub evict_after: f64,
    /// Fraction of the servers that may be silent at once; with more, the reports are suspected first, not the servers.
    pub panic_threshold: f64,
    /// Servers that are remembered at the most.
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
    /// When the last report was made, by the service's clock.
    created_at: f64,
    /// When it was received.
    received_at: f64,
    /// Since when it has been heard without a gap.
    steady_since: f64,
}

impl ServerRecord {
    /// A server of which no earlier report counts.
    fn new(now: f64, report: LoadReport) -> ServerRecord {
        let clock_offset = ClockOffset::new(now, report.created_at);
        ServerRecord { clock_offset, created_at: now, received_at: now, steady_since: now, report }
    }

    /// Takes the next report of the same process, and counts it from when it was made.
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

/// A server's last report and how far it is trusted.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// The last report.
    pub report: &'a LoadReport,
    /// Trust in it, from 0 (none) to 1 (full).
    pub confidence: f64,
    /// Seconds since it was made.
    pub age: f64,
    /// It is silent together with most servers: what it has is withdrawn step by step, since the others could not take it at once.
    pub withdrawn_gradually: bool,
}

/// Rejected reports by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Received before.
    pub duplicate: u64,
    /// Overtaken by a later one.
    pub out_of_order: u64,
    /// Of a process that has been followed by another.
    pub earlier_incarnation: u64,
    /// With a field that can't be right.
    pub invalid: u64,
    /// Of a server beyond the most that are remembered.
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

    /// The label of each reason in the metrics, with its count.
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

/// All servers that have reported and are not forgotten.
#[derive(Debug, Default)]
pub struct FleetView {
    config: FleetConfig,
    servers: BTreeMap<String, ServerRecord>,
    /// As last assessed.
    outage: OutageState,
    /// Reports that were accepted.
    pub accepted: u64,
    /// Reports that were rejected, for any reason.
    pub rejected: u64,
    /// The rejected ones by reason.
    pub rejections: RejectionCounts,
}

impl FleetView {
    /// An empty fleet.
    pub fn new(config: FleetConfig) -> FleetView {
        FleetView { config, ..FleetView::default() }
    }

    /// Records a report that was received `now`, unless it is invalid or not the server's latest.
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
            // A machine whose clock was set back starts with a lower incarnation: trusted once the other is silent.
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

    /// Forgets servers that have been silent for long, or that were terminated after a drain.
    pub fn evict_silent(&mut self, now: f64) {
        let FleetConfig { evict_after, expired_after, .. } = self.config;
        self.servers.retain(|_, record| {
            let age = now - record.created_at;
            let terminated = record.report.terminates_in.is_some_and(|seconds| age > seconds + expired_after);
            age <= evict_after && !terminated
        });
    }

    /// Judges anew whether most servers are silent, and whether that is confirmed. To be called before each plan.
    pub fn assess_outage(&mut self, now: f64) {
        self.outage = self.outage.transition(now, self.report_coverage(now), self.config.expired_after);
    }

    /// What the silence of servers was taken for when it was last assessed.
    pub fn assessed_outage(&self) -> OutageState {
        self.outage
    }

    /// What is heard now. Draining servers don't count: they are about to go silent by themselves.
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

    /// What the silence of servers is taken for now.
    pub fn outage_state(&self, now: f64) -> OutageState {
        match (self.report_coverage(now).too_many_silent, self.outage) {
            (false, _) => OutageState::Normal,
            // Not assessed yet: nothing is known of how it was before, and all are trusted.
            (true, OutageState::Normal) => OutageState::Suspected { since: f64::NEG_INFINITY },
            (true, assessed) => assessed,
        }
    }

    /// Whether so many servers went silent at once that the reports are suspected, not the servers.
    pub fn in_panic(&self, now: f64) -> bool {
        self.outage_state(now).is_suspected()
    }

    /// All servers, ordered by name. While the reports are suspected the silent servers are trusted as they were before.
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

    /// Trust in a report of an age.
    fn confidence_at_age(&self, age: f64) -> f64 {
        let FleetConfig { fresh_for, expired_after, .. } = self.config;
        ((expired_after - age) / (expired_after - fresh_for)).clamp(0.0, 1.0)
    }

    /// Trust in a server just before most were seen to be silent: one that was lost by itself earlier is not trusted again.
    fn confidence_before_outage(&self, outage_since: f64, record: &ServerRecord) -> f64 {
        self.confidence_at_age(outage_since - self.config.fresh_for - record.created_at)
    }

    /// Number of servers that are remembered.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is remembered.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of servers whose last report still counts in full.
    pub fn fresh_count(&self, now: f64) -> usize {
        self.servers.values().filter(|record| now - record.created_at <= self.config.fresh_for).count()
    }
}
