//! Reports of servers and the replies of workers. A worker that holds a part of the quota task allocates tenants'
//! quotas, and the holder of the drain task assigns drain slots; a server uses a [`QuotaClient`] for both.
//!
//! A server sends its report to all workers, and those that hold the leases reply. So a server need not know the
//! holders, and a new holder can reply at once.

mod client;
mod coordinator;
mod messages;
#[cfg(test)]
mod tests;

pub use client::QuotaClient;
pub use coordinator::{CoordinatorSettings, QuotaCoordinator, ReportError};
pub use messages::{CoordinatorReply, ServerReport, TenantAllocation, TenantDemand};

/// Name of the task whose parts allocate tenants' quotas.
pub const QUOTA_TASK: &str = "quota";
/// Name of the task that assigns drain slots.
pub const DRAIN_TASK: &str = "turns";
/// Maximum number of tenants in one report.
pub const MAX_TENANTS: usize = 10_000;
