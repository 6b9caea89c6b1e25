//! The rules for drain slots, and what a server and their holder exchange.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// How many servers may be unavailable at once, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainRules {
    /// Servers of the fleet that may be unavailable at once.
    #[serde(rename = "most")]
    pub max_unavailable: usize,
    /// Fraction of a zone's servers that may be unavailable at once; one of a zone always may.
    #[serde(rename = "zone_share")]
    pub max_zone_fraction: f64,
    /// How long a slot lasts, s: drain, restart and warming up.
    #[serde(rename = "span")]
    pub slot_duration: f64,
    /// Fraction by which the clocks of the holder and of a server may differ in rate.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
    /// Time without a report after which a server counts as unavailable, with a slot or without, s.
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

/// What a server reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainState {
    /// It serves.
    #[default]
    #[serde(rename = "Serves")]
    Serving,
    /// It was asked to shut down and waits for its slot.
    #[serde(rename = "Waits")]
    Waiting,
    /// It drains, with a slot or without.
    #[serde(rename = "Leaves")]
    Draining,
}

/// A server's report to the holder of the slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The server's name.
    pub server: String,
    /// The server's incarnation.
    pub incarnation: u64,
    /// Rises with each report of this incarnation.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// The server's zone.
    pub zone: String,
    /// What it does.
    pub state: DrainState,
}

/// Permission to drain now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainSlot {
    /// The epoch of the lease under which it was assigned.
    pub epoch: Epoch,
    /// The report that it answers.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Time after the report was sent within which the server must have started to drain, s; later the slot is void.
    #[serde(rename = "begin")]
    pub start_within: f64,
}
