//! Allocation of one tenant's quota by the lease holder.

use super::{AllocationId, DemandReport, QuotaAllocation};
use crate::Epoch;
use std::collections::BTreeMap;

/// Weight of a new report in a server's demand, an exponential moving average.
const DEMAND_WEIGHT: f64 = 0.3;
/// Factor by which the allocated rate exceeds the demand, which may grow until the next allocation.
const HEADROOM: f64 = 1.25;

/// Settings of the allocator of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocatorSettings {
    /// Requests per second over the whole fleet.
    pub quota: f64,
    /// Number of servers that the equal share is computed for.
    pub server_count: usize,
    /// Validity of an allocation, s.
    pub validity: f64,
    /// Largest difference between the clock rates of the holder and of a server, as a fraction.
    pub max_clock_drift: f64,
}

/// An allocation and the server that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerAllocation {
    /// The server's name.
    pub server: String,
    /// The allocation.
    pub allocation: QuotaAllocation,
}

/// The holder's state of one server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    incarnation: u64,
    report_number: u64,
    demand: f64,
    /// The number of its latest allocation.
    last_number: u64,
    /// Allocations that may be in force, oldest first.
    outstanding: Vec<Outstanding>,
    /// The number of the allocation that the server applies according to its last report.
    current: u64,
    /// Whether it has reported since its last allocation.
    reported: bool,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    number: u64,
    rate: f64,
    /// By the holder's clock, s.
    expires_at: f64,
}

/// Allocates one tenant's quota while a lease is held.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    epoch: Epoch,
    settings: AllocatorSettings,
    equal_share: f64,
    /// Time by which all allocations of the former holder have expired.
    allocations_start_at: f64,
    servers: BTreeMap<String, ServerState>,
}

impl QuotaAllocator {
    /// Creates the allocator of a holder whose lease starts at `now` (s) under this epoch.
    pub fn new(epoch: Epoch, settings: AllocatorSettings, now: f64) -> QuotaAllocator {
        let allocations_start_at = now + settings.validity * (1.0 + settings.max_clock_drift);
        let equal_share = settings.quota / settings.server_count.max(1) as f64;
        QuotaAllocator { epoch, settings, equal_share, allocations_start_at, servers: BTreeMap::new() }
    }

    /// Records a report, unless it is older than the last. Servers beyond the planned number stay at the equal share.
    pub fn record_report(&mut self, report: &DemandReport) {
        if !self.servers.contains_key(&report.server) && self.servers.len() >= self.settings.server_count {
            return;
        }
        let server = self.servers.entry(report.server.clone()).or_default();
        if (report.incarnation, report.report_number) <= (server.incarnation, server.report_number) {
            return;
        }
        if report.incarnation > server.incarnation {
            *server = ServerState {
                incarnation: report.incarnation,
                last_number: server.last_number,
                ..ServerState::default()
            };
        }
        server.report_number = report.report_number;
        server.record_demand(report.demand);
        server.reported = true;
        server.record_current(report.current, self.epoch);
    }

    /// Returns the highest sum of rates that may be in force over the fleet, requests per second.
    pub fn committed_rate(&self, now: f64) -> f64 {
        let known: f64 = self.servers.values().map(|server| self.max_rate(now, server)).sum();
        known + self.equal_share * (self.settings.server_count - self.servers.len()) as f64
    }

    /// Returns the highest rate that a server may apply until an allocation made now expires.
    fn max_rate(&self, now: f64, server: &ServerState) -> f64 {
        let valid = server.outstanding.iter().filter(|outstanding| outstanding.expires_at > now);
        let highest = valid.clone().map(|outstanding| outstanding.rate).fold(0.0, f64::max);
        let applies_allocation = valid.clone().any(|outstanding| outstanding.number == server.current);
        if applies_allocation {
            highest
        } else {
            highest.max(self.equal_share)
        }
    }

    /// Returns allocations for the servers that have reported since their last allocation.
    pub fn allocate(&mut self, now: f64) -> Vec<ServerAllocation> {
        for server in self.servers.values_mut() {
            server.outstanding.retain(|outstanding| outstanding.expires_at > now);
        }
        if now < self.allocations_start_at {
            return Vec::new();
        }
        let wanted = self.wanted_rates(now);
        let mut allocations = Vec::new();
        for server in self.reporting_servers(now, &wanted) {
            allocations.extend(self.allocate_rate(now, server, &wanted));
        }
        allocations
    }

    /// Returns the servers that have reported, those whose rate decreases most first. Freed rate is allocated to others
    /// only once the server has confirmed the decrease.
    fn reporting_servers(&self, now: f64, wanted: &BTreeMap<String, f64>) -> Vec<String> {
        let reporting = self.servers.iter().filter(|(_, server)| server.reported);
        let mut names: Vec<String> = reporting.map(|(name, _)| name.clone()).collect();
        let increase = |name: &String| wanted[name] - self.max_rate(now, &self.servers[name]);
        names.sort_by(|a, b| increase(a).total_cmp(&increase(b)).then(a.cmp(b)));
        names
    }

    /// Allocates a rate to one server, at most the quota less the rates that all others may apply.
    fn allocate_rate(
        &mut self,
        now: f64,
        name: String,
        wanted: &BTreeMap<String, f64>,
    ) -> Option<ServerAllocation> {
        let others = self.committed_rate(now) - self.max_rate(now, &self.servers[&name]);
        let rate = wanted[&name].min((self.settings.quota - others).max(0.0));
        let validity = self.settings.validity;
        let expires_at = now + validity * (1.0 + self.settings.max_clock_drift);
        let server = self.servers.get_mut(&name)?;
        server.last_number += 1;
        server.reported = false;
        let number = server.last_number;
        server.outstanding.push(Outstanding { number, rate, expires_at });
        let report_number = server.report_number;
        let allocation = QuotaAllocation { epoch: self.epoch, number, report_number, rate, validity };
        Some(ServerAllocation { server: name, allocation })
    }

    /// Returns the rate that each server should get: its demand with headroom, scaled down if the sum exceeds the
    /// quota, plus an equal part of the remaining quota. The equal share is reserved for servers without recent
    /// reports.
    fn wanted_rates(&self, now: f64) -> BTreeMap<String, f64> {
        let active = |server: &&ServerState| {
            server.reported || server.outstanding.iter().any(|outstanding| outstanding.expires_at > now)
        };
        let count = self.servers.values().filter(active).count();
        let reserved = self.equal_share * (self.settings.server_count - count) as f64;
        let quota = (self.settings.quota - reserved).max(0.0);
        let sum: f64 = self.servers.values().filter(active).map(|server| HEADROOM * server.demand).sum();
        let scale = if sum > quota { quota / sum } else { 1.0 };
        let spare_rate = (quota - sum * scale).max(0.0) / count.max(1) as f64;
        let wanted = |server: &ServerState| {
            if active(&server) {
                HEADROOM * server.demand * scale + spare_rate
            } else {
                self.equal_share
            }
        };
        self.servers.iter().map(|(name, server)| (name.clone(), wanted(server))).collect()
    }
}

impl ServerState {
    fn record_demand(&mut self, demand: f64) {
        let demand = if demand.is_finite() { demand.max(0.0) } else { 0.0 };
        if self.reported || self.demand > 0.0 {
            self.demand += DEMAND_WEIGHT * (demand - self.demand);
        } else {
            self.demand = demand;
        }
    }

    /// Drops the allocations before the one that the server applies. One of another epoch is ignored.
    fn record_current(&mut self, current: Option<AllocationId>, epoch: Epoch) {
        let current = current.filter(|id| id.epoch == epoch).map_or(0, |id| id.number);
        self.current = current;
        self.outstanding.retain(|outstanding| outstanding.number >= current);
    }
}
