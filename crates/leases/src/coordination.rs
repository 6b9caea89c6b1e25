//! How servers' reports are answered: a worker that holds parts of the `quota` task allocates tenants' quotas, one that
//! holds the drain task assigns drain slots; a server has its [`QuotaClient`] for both. Neither side does I/O or reads a
//! clock.
//!
//! A server sends the same report to all workers, and the holders of what is asked for answer. So nobody has to know who
//! holds what, and a new holder is heard as soon as it speaks.

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
/// Tenants that one report may name.
pub const MAX_TENANTS: usize = 10_000;
