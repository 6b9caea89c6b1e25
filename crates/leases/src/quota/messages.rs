//! What a server and the holder of a tenant's quota exchange.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// Names one allocation of one server. Written as the pair `[epoch, number]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Epoch, u64)", into = "(Epoch, u64)")]
pub struct AllocationId {
    /// The epoch of the lease under which it was made.
    pub epoch: Epoch,
    /// Rises with each allocation of the server.
    pub number: u64,
}

impl From<(Epoch, u64)> for AllocationId {
    fn from((epoch, number): (Epoch, u64)) -> AllocationId {
        AllocationId { epoch, number }
    }
}

impl From<AllocationId> for (Epoch, u64) {
    fn from(id: AllocationId) -> (Epoch, u64) {
        (id.epoch, id.number)
    }
}

/// A server's portion of a tenant's quota, in response to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    /// The epoch of the lease under which it was made.
    pub epoch: Epoch,
    /// Rises with each allocation of this server.
    pub number: u64,
    /// The report that it answers: its validity counts from when that one was sent.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Requests per second.
    pub rate: f64,
    /// How long it is valid, s.
    #[serde(rename = "span")]
    pub validity: f64,
}

impl QuotaAllocation {
    /// The allocation's name.
    pub fn id(&self) -> AllocationId {
        AllocationId { epoch: self.epoch, number: self.number }
    }
}

/// What a server reports for one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The server's name.
    pub server: String,
    /// The server's incarnation.
    pub incarnation: u64,
    /// Rises with each report of this incarnation.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Requests per second that it was asked for.
    pub demand: f64,
    /// The allocation that it applies, if any.
    #[serde(rename = "holds")]
    pub current: Option<AllocationId>,
}
