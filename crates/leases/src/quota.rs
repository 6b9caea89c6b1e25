//! Shares of a tenant's quota: one lease holder learns what each server is asked for and allocates the fleet's quota in
//! portions that expire. A server without a valid allocation falls back to the equal share, and not at once: what the
//! holder allocated to others must have expired first. Both sides are here; neither reads a clock.
//!
//! The rates in force sum to no more than the quota, but for servers that have just started: they know of no allocation
//! and begin with the equal share, which the holder learns from their first report.

mod allocator;
mod messages;
mod share;
#[cfg(test)]
mod tests;

pub use allocator::{AllocatorSettings, QuotaAllocator, ServerAllocation};
pub use messages::{AllocationId, DemandReport, QuotaAllocation};
pub use share::{QuotaShare, ShareReport};
