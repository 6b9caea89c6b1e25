//! Rules for granting and ending leases.

use super::RulesError;
use serde::{Deserialize, Serialize};

/// Longest time in a rule, s.
const MAX_TIME: f64 = 86_400.0;
/// Shortest term, s; a request and its response must fit into a fraction of it.
const MIN_TERM: f64 = 0.2;
/// Largest allowed clock drift, as a fraction.
const MAX_DRIFT: f64 = 0.5;
/// Shortest stall timeout, in terms.
const MIN_STALL_TERMS: f64 = 2.0;

/// Rules for granting and ending leases, replicated with the table. Times are in seconds. The log and snapshots encode
/// fields by position: their order is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRules {
    /// Validity of a lease, by its holder's clock from when it sent the request.
    pub term: f64,
    /// Largest difference between the clock rates of a holder and of a replica, as a fraction; replicas wait that much
    /// longer.
    pub drift: f64,
    /// Time without progress after which a part with work is revoked.
    #[serde(rename = "stall")]
    pub stall_timeout: f64,
    /// Time for which an instance that stalled on a part is not assigned it.
    #[serde(rename = "barred")]
    pub exclusion_period: f64,
    /// Number of expired sessions within `flap_window` after which an instance is assigned nothing for `flap_penalty`.
    #[serde(rename = "flaps")]
    pub max_flaps: usize,
    /// Time window in which expired sessions are counted.
    #[serde(rename = "flap_span")]
    pub flap_window: f64,
    /// Time for which a flapping instance is assigned nothing.
    #[serde(rename = "flap_rest")]
    pub flap_penalty: f64,
    /// While more instances lost their session within this window than have one, nothing is assigned.
    #[serde(rename = "panic")]
    pub panic_window: f64,
    /// Time since an instance last joined or left after which parts may be moved to balance loads.
    #[serde(rename = "calm")]
    pub settle_time: f64,
    /// Maximum number of parts of all tasks that may be moving at once.
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
    /// Checks that all values are in range.
    ///
    /// # Errors
    /// Returns a [`RulesError`] for the first value that is out of range.
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

    /// Returns the time for which a holder may rely on its session after a request was applied, including drift, s.
    pub(super) fn session_duration(&self) -> f64 {
        self.term * (1.0 + self.drift)
    }
}
