//! Distribution of a tenant's quota over the fleet. One lease holder collects the demand at each server and allocates
//! rates that expire. A server whose allocation has expired falls back to the equal share, after a delay in which the
//! allocations of the other servers expire as well.
//!
//! The rates in force sum to no more than the quota, except for servers that have just started: they apply the equal
//! share until the holder has received their first report.

mod allocator;
mod messages;
mod share;
#[cfg(test)]
mod tests;

pub use allocator::{AllocatorSettings, QuotaAllocator, ServerAllocation};
pub use messages::{AllocationId, DemandReport, QuotaAllocation};
pub use share::{QuotaShare, ShareReport};
