//! A worker's records of servers' reports and its replies under the leases that it holds.

use super::{
    CoordinatorReply, ServerReport, TenantAllocation, TenantDemand, DRAIN_TASK, MAX_TENANTS, QUOTA_TASK,
};
use crate::assignment::part_for_key;
use crate::drain::{DrainReport, DrainRules, DrainSlots};
use crate::quota::{AllocatorSettings, DemandReport, QuotaAllocator};
use crate::table::MAX_NAME_BYTES;
use crate::{Epoch, Task};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of servers that one coordinator tracks.
const MAX_SERVERS: usize = 10_000;

/// Settings of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Each tenant's quota over the whole fleet, requests per second.
    pub tenant_quotas: BTreeMap<String, f64>,
    /// Number of servers that the equal share is computed for.
    pub server_count: usize,
    /// Parts of the quota task, as declared to the lease store.
    pub quota_parts: u32,
    /// Validity of an allocation, s.
    pub quota_validity: f64,
    /// Largest difference between clock rates, as a fraction.
    pub max_clock_drift: f64,
    /// Rules for drain slots.
    pub drain_rules: DrainRules,
}

/// Why a server's report is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The server's name is empty, or a name is too long.
    #[error("the server's name is missing, or a name is longer than {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The report names more than [`MAX_TENANTS`] tenants.
    #[error("the report names more than {MAX_TENANTS} tenants")]
    TooManyTenants,
    /// The coordinator already tracks the maximum number of servers.
    #[error("more than {MAX_SERVERS} servers have reported")]
    TooManyServers,
    /// A later incarnation of the server has reported.
    #[error("a later incarnation of the server has reported")]
    StaleIncarnation,
}

/// A worker's state of the quota and drain tasks that it holds leases of.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    settings: CoordinatorSettings,
    /// Held leases of the quota task, by part.
    quota_leases: BTreeMap<u32, QuotaLease>,
    drain_lease: Option<DrainLease>,
    /// The latest incarnation of each server.
    incarnations: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct QuotaLease {
    epoch: Epoch,
    /// Quota allocators, by the tenant's name.
    allocators: BTreeMap<String, QuotaAllocator>,
}

#[derive(Clone, Debug)]
struct DrainLease {
    epoch: Epoch,
    slots: DrainSlots,
}

impl QuotaCoordinator {
    /// Creates a coordinator without leases.
    pub fn new(settings: CoordinatorSettings) -> QuotaCoordinator {
        QuotaCoordinator {
            settings,
            quota_leases: BTreeMap::new(),
            drain_lease: None,
            incarnations: BTreeMap::new(),
        }
    }

    /// Returns the part of the quota task that a tenant belongs to.
    pub fn part_for_tenant(&self, tenant: &str) -> u32 {
        part_for_key(QUOTA_TASK, tenant, self.settings.quota_parts)
    }

    /// Starts a lease at `now` (s), without any state of earlier leases.
    pub fn start_lease(&mut self, now: f64, task: &Task, epoch: Epoch) {
        if task.name == DRAIN_TASK {
            let slots = DrainSlots::new(epoch, self.settings.drain_rules.clone(), now);
            self.drain_lease = Some(DrainLease { epoch, slots });
        } else if task.name == QUOTA_TASK {
            let allocators = self.allocators(now, task.part, epoch);
            self.quota_leases.insert(task.part, QuotaLease { epoch, allocators });
        }
    }

    /// Creates the allocators for the tenants of one part.
    fn allocators(&self, now: f64, part: u32, epoch: Epoch) -> BTreeMap<String, QuotaAllocator> {
        let settings = &self.settings;
        let tenants = settings.tenant_quotas.iter().filter(|(name, _)| self.part_for_tenant(name) == part);
        let allocator = |(name, quota): (&String, &f64)| {
            let settings = AllocatorSettings {
                quota: *quota,
                server_count: settings.server_count,
                validity: settings.quota_validity,
                max_clock_drift: settings.max_clock_drift,
            };
            (name.clone(), QuotaAllocator::new(epoch, settings, now))
        };
        tenants.map(allocator).collect()
    }

    /// Ends a lease. One of another epoch is unaffected.
    pub fn end_lease(&mut self, task: &Task, epoch: Epoch) {
        if task.name == DRAIN_TASK && self.drain_lease.as_ref().is_some_and(|lease| lease.epoch == epoch) {
            self.drain_lease = None;
        }
        let held = self.quota_leases.get(&task.part).is_some_and(|lease| lease.epoch == epoch);
        if task.name == QUOTA_TASK && held {
            self.quota_leases.remove(&task.part);
        }
    }

    /// Records a server's report that arrived at `now` (s).
    ///
    /// # Errors
    /// Returns a [`ReportError`] if the report is ignored.
    pub fn handle_report(&mut self, now: f64, report: &ServerReport) -> Result<(), ReportError> {
        check_size(report)?;
        self.check_incarnation(report)?;
        if let Some(lease) = &mut self.drain_lease {
            lease.slots.record_report(now, &drain_report(report));
        }
        for demand in &report.demands {
            let part = self.part_for_tenant(&demand.tenant);
            let lease = self.quota_leases.get_mut(&part);
            if let Some(allocator) = lease.and_then(|lease| lease.allocators.get_mut(&demand.tenant)) {
                allocator.record_report(&demand_report(report, demand));
            }
        }
        Ok(())
    }

    fn check_incarnation(&mut self, report: &ServerReport) -> Result<(), ReportError> {
        if !self.incarnations.contains_key(&report.server) && self.incarnations.len() >= MAX_SERVERS {
            return Err(ReportError::TooManyServers);
        }
        let latest = self.incarnations.entry(report.server.clone()).or_default();
        if report.incarnation < *latest {
            return Err(ReportError::StaleIncarnation);
        }
        *latest = report.incarnation;
        Ok(())
    }

    /// Runs one step of a task and returns the replies due at `now` (s), which must be sent at once.
    pub fn plan_replies(&mut self, now: f64, task: &Task) -> Vec<CoordinatorReply> {
        let mut replies = ReplyBatch { incarnations: &self.incarnations, replies: BTreeMap::new() };
        if task.name == DRAIN_TASK {
            for assigned in self.drain_lease.iter_mut().flat_map(|lease| lease.slots.assign(now)) {
                replies.update(assigned.server, |reply| reply.drain_slot = Some(assigned.slot));
            }
        } else if let Some(lease) = self.quota_leases.get_mut(&task.part).filter(|_| task.name == QUOTA_TASK)
        {
            for (tenant, allocator) in &mut lease.allocators {
                for assigned in allocator.allocate(now) {
                    let allocation =
                        TenantAllocation { tenant: tenant.clone(), allocation: assigned.allocation };
                    replies.update(assigned.server, |reply| reply.allocations.push(allocation));
                }
            }
        }
        replies.replies.into_values().collect()
    }

    /// Returns the highest sum of a tenant's rates that may be in force, requests per second, if the lease is held
    /// here.
    pub fn committed_rate(&self, now: f64, tenant: &str) -> Option<f64> {
        let lease = self.quota_leases.get(&self.part_for_tenant(tenant))?;
        Some(lease.allocators.get(tenant)?.committed_rate(now))
    }
}

/// The replies of one step, by server.
struct ReplyBatch<'a> {
    incarnations: &'a BTreeMap<String, u64>,
    replies: BTreeMap<String, CoordinatorReply>,
}

impl ReplyBatch<'_> {
    /// Changes a server's reply. A server that has not reported here gets none, since its incarnation is unknown.
    fn update(&mut self, server: String, change: impl FnOnce(&mut CoordinatorReply)) {
        if let Some(incarnation) = self.incarnations.get(&server).copied() {
            let empty =
                CoordinatorReply { server: server.clone(), incarnation, ..CoordinatorReply::default() };
            change(self.replies.entry(server).or_insert(empty));
        }
    }
}

fn check_size(report: &ServerReport) -> Result<(), ReportError> {
    let valid_server = !report.server.is_empty() && report.server.len() <= MAX_NAME_BYTES;
    if !valid_server || report.zone.len() > MAX_NAME_BYTES {
        return Err(ReportError::InvalidName);
    }
    if report.demands.len() > MAX_TENANTS {
        return Err(ReportError::TooManyTenants);
    }
    Ok(())
}

fn drain_report(report: &ServerReport) -> DrainReport {
    DrainReport {
        server: report.server.clone(),
        incarnation: report.incarnation,
        report_number: report.number,
        zone: report.zone.clone(),
        state: report.drain_state,
    }
}

fn demand_report(report: &ServerReport, demand: &TenantDemand) -> DemandReport {
    DemandReport {
        server: report.server.clone(),
        incarnation: report.incarnation,
        report_number: report.number,
        demand: demand.demand,
        current: demand.current,
    }
}
