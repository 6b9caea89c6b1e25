//! How long it takes from a control service's decision until callers hold it.

use hdrhistogram::Histogram;
use puffinladder_proxy::Acknowledgement;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Decisions whose times are remembered.
const MAX_DECISIONS: usize = 256;
/// Microseconds: longer latencies count as this long.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of the histograms.
const LATENCY_DIGITS: u8 = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A plan of one control service. Versions order as they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanVersion {
    /// The service's incarnation.
    pub epoch: u64,
    /// The plan's number in it.
    pub number: u64,
}

impl PlanVersion {
    /// Parses a version as services write it, as in `1764600000.17`.
    pub fn parse(text: &str) -> Option<PlanVersion> {
        let (epoch, number) = text.split_once('.')?;
        Some(PlanVersion { epoch: epoch.parse().ok()?, number: number.parse().ok()? })
    }
}

impl std::fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// Latencies in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySummary {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// When plans were decided, as far as leases tell, and how long it took from there until callers acknowledged them.
pub struct DecisionLatencies {
    /// The lease that services give a fresh decision.
    lease: Duration,
    decided: BTreeMap<(SocketAddr, PlanVersion), Instant>,
    highest: Option<PlanVersion>,
    /// Microseconds, since the last [`DecisionLatencies::take_recent`] and in all.
    recent: Histogram<u64>,
    total: Histogram<u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the bounds are constants that a histogram takes")
}

fn summarize(histogram: &Histogram<u64>) -> Option<LatencySummary> {
    let quantile = |share| histogram.value_at_quantile(share) as f64 / MICROSECONDS_PER_SECOND;
    (!histogram.is_empty()).then(|| LatencySummary { p50: quantile(0.5), p99: quantile(0.99) })
}

impl DecisionLatencies {
    /// None so far; `lease` is what services give a fresh decision: what a lease lacks of it is the decision's age.
    pub fn new(lease: Duration) -> DecisionLatencies {
        DecisionLatencies {
            lease,
            decided: BTreeMap::new(),
            highest: None,
            recent: new_histogram(),
            total: new_histogram(),
        }
    }

    /// Enters that a caller acknowledged a response. The decision was made no later than the earliest time that any response of it
    /// tells. One that was made before the caller's stream was opened tells how late the caller came, so it doesn't count.
    pub fn acknowledged(&mut self, acked: &Acknowledgement, now: Instant) {
        let Some(version) = PlanVersion::parse(acked.plan) else { return };
        self.highest = self.highest.max(Some(version));
        let Some(ttl) = acked.ttl else { return };
        let Some(made) = acked.received_at.checked_sub(self.lease.saturating_sub(ttl)) else { return };
        let decided = self.earliest_decision((acked.service, version), made);
        if acked.has_resources && decided >= acked.stream_opened_at {
            let latency = now.saturating_duration_since(decided).as_micros() as u64;
            self.recent.saturating_record(latency.max(1));
            self.total.saturating_record(latency.max(1));
        }
    }

    fn earliest_decision(&mut self, key: (SocketAddr, PlanVersion), made: Instant) -> Instant {
        let decided = self.decided.entry(key).or_insert(made);
        *decided = made.min(*decided);
        let decided = *decided;
        if self.decided.len() > MAX_DECISIONS {
            let oldest = self.decided.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.and_then(|key| self.decided.remove(&key));
        }
        decided
    }

    /// Latencies since the last call; none where nothing was acknowledged.
    pub fn take_recent(&mut self) -> Option<LatencySummary> {
        let summary = summarize(&self.recent);
        self.recent.reset();
        summary
    }

    /// Latencies since the start; none where nothing was acknowledged.
    pub fn total(&self) -> Option<LatencySummary> {
        summarize(&self.total)
    }

    /// The highest version that was acknowledged.
    pub fn highest(&self) -> Option<PlanVersion> {
        self.highest
    }

    /// Number of decisions that are remembered.
    pub fn len(&self) -> usize {
        self.decided.len()
    }

    /// Whether no decision is remembered.
    pub fn is_empty(&self) -> bool {
        self.decided.is_empty()
    }
}
