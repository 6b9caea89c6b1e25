//! Rules for drain slots and the messages between servers and the lease holder.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// Limits on how many servers may be unavailable at once, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainRules {
    /// Maximum number of servers of the fleet that may be unavailable at once.
    #[serde(rename = "most")]
    pub max_unavailable: usize,
    /// Largest fraction of a zone's servers that may be unavailable at once; one server of a zone always may.
    #[serde(rename = "zone_share")]
    pub max_zone_fraction: f64,
    /// Duration of a slot, s, for drain, restart and warm-up.
    #[serde(rename = "span")]
    pub slot_duration: f64,
    /// Largest difference between the clock rates of the holder and of a server, as a fraction.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
    /// Time without a report after which a server counts as unavailable, s.
    #[serde(rename = "silent")]
    pub report_timeout: f64,
}

impl Default for DrainRules {
    fn default() -> DrainRules {
        DrainRules {
            max_unavailable: 10,
            max_zone_fraction: 0.1,
            slot_duration: 30.0,
            max_clock_drift: 0.02,
            report_timeout: 5.0,
        }
    }
}

/// The drain state that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainState {
    /// The server accepts requests.
    #[default]
    #[serde(rename = "Serves")]
    Serving,
    /// The server was asked to shut down and waits for its slot.
    #[serde(rename = "Waits")]
    Waiting,
    /// The server drains, with a slot or without.
    #[serde(rename = "Leaves")]
    Draining,
}

/// A server's report to the lease holder that assigns slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The server's name.
    pub server: String,
    /// The server's incarnation.
    pub incarnation: u64,
    /// The number of the report, which rises within an incarnation.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// The server's zone.
    pub zone: String,
    /// The server's drain state.
    pub state: DrainState,
}

/// Permission to drain now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainSlot {
    /// The epoch of the lease under which it was assigned.
    pub epoch: Epoch,
    /// The number of the report that it answers.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Time after the report was sent within which the server must start to drain, s; afterwards the slot is void.
    #[serde(rename = "begin")]
    pub start_within: f64,
}
