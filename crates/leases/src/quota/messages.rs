//! Messages between a server and the lease holder that allocates a tenant's quota.

use crate::Epoch;
use serde::{Deserialize, Serialize};

/// Identifier of an allocation of one server. Serialized as the pair `[epoch, number]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Epoch, u64)", into = "(Epoch, u64)")]
pub struct AllocationId {
    /// The epoch of the lease under which it was made.
    pub epoch: Epoch,
    /// The number of the allocation, which rises with each one for the server.
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

/// A rate allocated to a server out of a tenant's quota, in response to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    /// The epoch of the lease under which it was made.
    pub epoch: Epoch,
    /// The number of the allocation, which rises with each one for this server.
    pub number: u64,
    /// The number of the report that it answers. The validity counts from when that report was sent.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Requests per second.
    pub rate: f64,
    /// Validity, s.
    #[serde(rename = "span")]
    pub validity: f64,
}

impl QuotaAllocation {
    /// Returns the allocation's identifier.
    pub fn id(&self) -> AllocationId {
        AllocationId { epoch: self.epoch, number: self.number }
    }
}

/// A server's report on the demand of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The server's name.
    pub server: String,
    /// The server's incarnation.
    pub incarnation: u64,
    /// The number of the report, which rises within an incarnation.
    #[serde(rename = "report")]
    pub report_number: u64,
    /// Requests per second received from the tenant.
    pub demand: f64,
    /// The allocation that the server applies, if any.
    #[serde(rename = "holds")]
    pub current: Option<AllocationId>,
}
