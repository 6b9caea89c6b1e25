//! Whether most servers are silent at once, and whether that is the servers' doing or that of the way of their reports.
//!
//! A service that no longer hears most servers has either lost them (a cut between regions, a large failure) or does not hear
//! well (its own network, its own delays). The servers that are left tell the two apart: a service that does not hear well hears
//! nobody without gaps, while one that goes on hearing some of them has an intact way for reports. So silence that most servers
//! share is first suspected, and everything stays as it was; it is confirmed once it has lasted, with some server heard all the
//! while. A service that hears nobody never confirms it.

use std::mem;

/// What the service makes of the servers that are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum OutageState {
    /// Few are silent: each is judged by itself.
    #[default]
    Normal,
    /// Most are silent, and their reports are suspected rather than they: they are trusted as they were before.
    Suspected {
        /// When most were first seen to be silent, seconds by the service's clock.
        since: f64,
    },
    /// Most are silent while others were heard without a gap: the silent ones are out of reach, and lose their load step by step.
    Confirmed {
        /// When most were first seen to be silent, seconds by the service's clock.
        since: f64,
        /// When that was confirmed.
        confirmed_at: f64,
    },
}

/// What is heard of the fleet at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportCoverage {
    /// More servers are silent than may be at once.
    pub(super) too_many_silent: bool,
    /// Some server is heard.
    pub(super) any_fresh: bool,
    /// Some server has been heard without a gap for as long as it takes to confirm a silence.
    pub(super) any_steady: bool,
}

impl OutageState {
    /// What the silence is taken for `now`, if the servers are heard like this; it takes `confirm_after` seconds to confirm one.
    pub(super) fn transition(self, now: f64, coverage: ReportCoverage, confirm_after: f64) -> OutageState {
        match self {
            _ if !coverage.too_many_silent => OutageState::Normal,
            OutageState::Normal => OutageState::Suspected { since: now },
            OutageState::Suspected { since } if coverage.any_steady && now - since >= confirm_after => {
                OutageState::Confirmed { since, confirmed_at: now }
            }
            // It heard some until now: who was out of reach before stays so, and the others' reports are suspected.
            OutageState::Confirmed { .. } if !coverage.any_fresh => OutageState::Suspected { since: now },
            unchanged => unchanged,
        }
    }

    /// Whether it is taken for the same thing, whenever that began.
    pub fn is_same_state(self, other: OutageState) -> bool {
        mem::discriminant(&self) == mem::discriminant(&other)
    }

    /// Whether the reports are suspected.
    pub fn is_suspected(self) -> bool {
        matches!(self, OutageState::Suspected { .. })
    }
}
