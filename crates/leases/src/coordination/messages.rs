//! Reports of servers and the replies of workers.

use crate::drain::{DrainSlot, DrainState};
use crate::quota::{AllocationId, QuotaAllocation};
use serde::{Deserialize, Serialize};

/// A server's report, sent to all workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's name.
    pub server: String,
    /// The server's incarnation.
    pub incarnation: u64,
    /// The server's zone.
    #[serde(default)]
    pub zone: String,
    /// The number of the report, from 1 in each incarnation.
    pub number: u64,
    /// The server's drain state.
    #[serde(rename = "state")]
    pub drain_state: DrainState,
    /// The demand of each tenant.
    #[serde(default, rename = "asked")]
    pub demands: Vec<TenantDemand>,
}

/// The demand of one tenant at a server.
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

/// A worker's reply to a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorReply {
    /// The server's name.
    pub server: String,
    /// The incarnation that reported; other incarnations ignore the reply.
    pub incarnation: u64,
    /// Allocations of tenants' quotas.
    #[serde(default, rename = "parts")]
    pub allocations: Vec<TenantAllocation>,
    /// The server's drain slot, if one was assigned.
    #[serde(default, rename = "turn")]
    pub drain_slot: Option<DrainSlot>,
}

/// An allocation of one tenant's quota. Serialized as the pair `[tenant, allocation]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, QuotaAllocation)", into = "(String, QuotaAllocation)")]
pub struct TenantAllocation {
    /// The tenant's name.
    pub tenant: String,
    /// The rate allocated to the server.
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
