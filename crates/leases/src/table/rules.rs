//! The rules by which leases are granted.

use super::RulesError;
use serde::{Deserialize, Serialize};

/// Longest time that a rule may name, s: a day.
const MAX_TIME: f64 = 86_400.0;
/// Shortest term, s: a request and its response must fit into a fraction of it.
const MIN_TERM: f64 = 0.2;
/// Largest difference of clock rates that a rule may allow for.
const MAX_DRIFT: f64 = 0.5;
/// A part must not count as stalled before so many terms have passed.
const MIN_STALL_TERMS: f64 = 2.0;

/// What leases are granted by. Times are in seconds; the replicas agree on these as on the table. Stored by position: the
/// order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRules {
    /// How long a lease is valid, by its holder's clock from when it sent the request.
    pub term: f64,
    /// Fraction by which the clocks of a holder and of a replica may differ in rate; replicas wait that much longer.
    pub drift: f64,
    /// A part with work whose progress stands still for so long is revoked.
    #[serde(rename = "stall")]
    pub stall_timeout: f64,
    /// For how long a part is kept from the instance that stalled on it.
    #[serde(rename = "barred")]
    pub exclusion_period: f64,
    /// An instance whose sessions expired so often within `flap_window` is assigned nothing for `flap_penalty`.
    #[serde(rename = "flaps")]
    pub max_flaps: usize,
    /// Window in which expired sessions are counted.
    #[serde(rename = "flap_span")]
    pub flap_window: f64,
    /// For how long an instance that flaps is assigned nothing.
    #[serde(rename = "flap_rest")]
    pub flap_penalty: f64,
    /// While more instances fell silent within this window than have sessions, nothing is assigned.
    #[serde(rename = "panic")]
    pub panic_window: f64,
    /// No part is moved to balance loads until no instance has joined or left for so long.
    #[serde(rename = "calm")]
    pub settle_time: f64,
    /// Parts that may be moving at once, over all tasks.
    #[serde(rename = "moves")]
    pub max_moves: usize,
}

impl Default for LeaseRules {
    fn default() -> LeaseRules {
        LeaseRules {
            term: 2.0,
            drift: 0.02,
            stall_timeout: 10.0,
            exclusion_period: 60.0,
            max_flaps: 3,
            flap_window: 60.0,
            flap_penalty: 30.0,
            panic_window: 5.0,
            settle_time: 2.0,
            max_moves: 64,
        }
    }
}

impl LeaseRules {
    /// Checks that the rules can be kept.
    ///
    /// # Errors
    /// [`RulesError`] names the first value that is out of range.
    pub fn check(&self) -> Result<(), RulesError> {
        self.check_times()?;
        if self.term < MIN_TERM {
            return Err(RulesError::TermTooShort(self.term));
        }
        if !(0.0..=MAX_DRIFT).contains(&self.drift) {
            return Err(RulesError::DriftOutOfRange(self.drift));
        }
        if self.stall_timeout < MIN_STALL_TERMS * self.term {
            return Err(RulesError::StallTooShort(self.stall_timeout));
        }
        if self.max_flaps == 0 || self.max_moves == 0 {
            return Err(RulesError::CountIsZero);
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), RulesError> {
        let times = [
            ("term", self.term),
            ("stall", self.stall_timeout),
            ("barred", self.exclusion_period),
            ("flap-span", self.flap_window),
            ("flap-rest", self.flap_penalty),
            ("panic", self.panic_window),
            ("calm", self.settle_time),
        ];
        for (name, value) in times {
            if !(0.0..=MAX_TIME).contains(&value) {
                return Err(RulesError::TimeOutOfRange { name, value });
            }
        }
        Ok(())
    }

    /// How long after a request was applied its holder may still rely on it, with all that clocks may differ, s.
    pub(super) fn session_duration(&self) -> f64 {
        self.term * (1.0 + self.drift)
    }
}
