//! A server's report and the replies to it.

use crate::drain::{DrainSlot, DrainState};
use crate::quota::{AllocationId, QuotaAllocation};
use serde::{Deserialize, Serialize};

/// What a server reports, the same to all workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name.
    pub server: String,
    /// Rises with every start.
    pub incarnation: u64,
    /// The server's zone.
    #[serde(default)]
    pub zone: String,
    /// Counts the reports of this incarnation.
    pub number: u64,
    /// Whether it serves, waits for a drain slot or drains.
    #[serde(rename = "state")]
    pub drain_state: DrainState,
    /// What each tenant asked of it.
    #[serde(default, rename = "asked")]
    pub demands: Vec<TenantDemand>,
}

/// What one tenant asked of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The tenant's name.
    #[serde(rename = "customer")]
    pub tenant: String,
    /// Requests per second.
    pub demand: f64,
    /// The allocation that the server applies, if any.
    #[serde(default, rename = "holds")]
    pub current: Option<AllocationId>,
}

/// What a worker replies to one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorReply {
    /// The server's name.
    pub server: String,
    /// The incarnation that reported: another ignores the reply.
    pub incarnation: u64,
    /// Allocations of tenants' quotas.
    #[serde(default, rename = "parts")]
    pub allocations: Vec<TenantAllocation>,
    /// The server's drain slot, if one was assigned.
    #[serde(default, rename = "turn")]
    pub drain_slot: Option<DrainSlot>,
}

/// An allocation of one tenant's quota. Written as the pair `[tenant, allocation]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, QuotaAllocation)", into = "(String, QuotaAllocation)")]
pub struct TenantAllocation {
    /// The tenant's name.
    pub tenant: String,
    /// The server's portion of the tenant's quota.
    pub allocation: QuotaAllocation,
}

impl From<(String, QuotaAllocation)> for TenantAllocation {
    fn from((tenant, allocation): (String, QuotaAllocation)) -> TenantAllocation {
        TenantAllocation { tenant, allocation }
    }
}

impl From<TenantAllocation> for (String, QuotaAllocation) {
    fn from(allocation: TenantAllocation) -> (String, QuotaAllocation) {
        (allocation.tenant, allocation.allocation)
    }
}
