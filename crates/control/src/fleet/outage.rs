//! Detection of mass outages: whether most servers stopped reporting at once, and whether the servers or the reports
//! are at fault.
//!
//! Most reports go missing at once either because the servers are unreachable (a network partition, a large failure) or
//! because this service fails to receive reports (its own network or delays). A service with a faulty report path
//! receives no steady stream of reports from any server, so a mass outage is first only suspected, and the plan is
//! kept. It is confirmed after it has lasted for the confirmation time while at least one server reported without gaps.
//! Without such a server it is never confirmed.

use std::mem;

/// Verdict on the servers whose reports are missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum OutageState {
    /// No mass outage: each silent server is judged by its own last report.
    #[default]
    Normal,
    /// Most reports are missing and the report path is suspected: silent servers keep the confidence they had before.
    Suspected {
        /// When the outage was detected, seconds by the service's clock.
        since: f64,
    },
    /// Most reports are missing while others arrive steadily: the silent servers are unreachable and lose their load gradually.
    Confirmed {
        /// When the outage was detected, seconds by the service's clock.
        since: f64,
        /// When it was confirmed, seconds by the service's clock.
        confirmed_at: f64,
    },
}

/// Reports received from the fleet, at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportCoverage {
    /// The fraction of silent servers exceeds the panic threshold.
    pub(super) too_many_silent: bool,
    /// Some server's last report is fresh.
    pub(super) any_fresh: bool,
    /// Some server has reported without a gap for the confirmation time.
    pub(super) any_steady: bool,
}

impl OutageState {
    /// Returns the state that follows at `now`. An outage is confirmed after `confirm_after` seconds.
    pub(super) fn transition(self, now: f64, coverage: ReportCoverage, confirm_after: f64) -> OutageState {
        match self {
            _ if !coverage.too_many_silent => OutageState::Normal,
            OutageState::Normal => OutageState::Suspected { since: now },
            OutageState::Suspected { since } if coverage.any_steady && now - since >= confirm_after => {
                OutageState::Confirmed { since, confirmed_at: now }
            }
            // The reachable servers stopped reporting too. Servers unreachable before `now` stay without confidence.
            OutageState::Confirmed { .. } if !coverage.any_fresh => OutageState::Suspected { since: now },
            unchanged => unchanged,
        }
    }

    /// Returns whether both are the same state, regardless of their times.
    pub fn is_same_state(self, other: OutageState) -> bool {
        mem::discriminant(&self) == mem::discriminant(&other)
    }

    /// Returns whether an outage is suspected and not confirmed.
    pub fn is_suspected(self) -> bool {
        matches!(self, OutageState::Suspected { .. })
    }
}
