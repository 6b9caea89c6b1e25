//! A server's share of a tenant's quota.

use super::{AllocationId, QuotaAllocation};
use crate::sent_times::SentTimes;

/// Time after the expiry of an allocation, in validities, for which the server applies at most the allocated rate. It
/// covers the validity, drift and age of allocations that other servers received as a result of it.
const FALLBACK_DELAY: f64 = 2.1;
/// Largest age of an allocation that is accepted, as a fraction of its validity.
const MAX_AGE: f64 = 0.9;
/// Maximum number of reports whose send times are kept.
const MAX_PENDING_REPORTS: usize = 32;

/// The number and content of a report that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareReport {
    /// The report's number.
    pub number: u64,
    /// The applied allocation, if any.
    pub current: Option<AllocationId>,
}

/// The rate at which a server may serve a tenant.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    equal_share: f64,
    current: Option<AcceptedAllocation>,
    reports: SentTimes,
}

#[derive(Clone, Debug)]
struct AcceptedAllocation {
    allocation: QuotaAllocation,
    expires_at: f64,
}

impl QuotaShare {
    /// Creates the share of a server that has just started, of a quota (requests per second) over `servers` servers.
    pub fn new(quota: f64, servers: f64) -> QuotaShare {
        QuotaShare {
            equal_share: quota / servers.max(1.0),
            current: None,
            reports: SentTimes::new(0, MAX_PENDING_REPORTS),
        }
    }

    /// Returns the report to send at `now` (s).
    pub fn next_report(&mut self, now: f64) -> ShareReport {
        let number = self.reports.record(now);
        let valid = self.current.as_ref().filter(|current| now < current.expires_at);
        ShareReport { number, current: valid.map(|current| current.allocation.id()) }
    }

    /// Applies an allocation, unless it is invalid, too old, superseded, or answers an unknown report. Returns whether
    /// it was applied.
    pub fn accept(&mut self, now: f64, allocation: &QuotaAllocation) -> bool {
        let Some(sent_at) = self.reports.sent_at(allocation.report_number) else { return false };
        let superseded =
            self.current.as_ref().is_some_and(|current| current.allocation.id() >= allocation.id());
        let valid_rate = allocation.rate >= 0.0 && allocation.rate.is_finite();
        let valid_validity = allocation.validity > 0.0 && allocation.validity.is_finite();
        if !valid_rate || !valid_validity || superseded || now - sent_at > MAX_AGE * allocation.validity {
            return false;
        }
        let expires_at = sent_at + allocation.validity;
        self.current = Some(AcceptedAllocation { allocation: allocation.clone(), expires_at });
        true
    }

    /// Returns when the applied allocation expires (s), if there is one.
    pub fn valid_until(&self, now: f64) -> Option<f64> {
        self.current.as_ref().map(|current| current.expires_at).filter(|expires_at| now < *expires_at)
    }

    /// Returns how many requests per second may be served for the tenant at `now` (s).
    pub fn rate(&self, now: f64) -> f64 {
        let Some(AcceptedAllocation { allocation, expires_at }) = &self.current else {
            return self.equal_share;
        };
        if now < *expires_at {
            allocation.rate
        } else if now < expires_at + FALLBACK_DELAY * allocation.validity {
            allocation.rate.min(self.equal_share)
        } else {
            self.equal_share
        }
    }
}
