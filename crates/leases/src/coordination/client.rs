//! A server's side: its shares of tenants' quotas and its drain slot.

use super::{CoordinatorReply, ServerReport, TenantDemand};
use crate::drain::{DrainDecision, DrainState, DrainTiming, DrainingServer};
use crate::quota::QuotaShare;
use std::collections::BTreeMap;

/// What a server reports to workers and takes from their replies.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    server: String,
    incarnation: u64,
    zone: String,
    /// By tenant.
    shares: BTreeMap<String, QuotaShare>,
    report_number: u64,
    draining: Option<DrainingServer>,
}

impl QuotaClient {
    /// A server that has just started, with each tenant's quota (requests per second) over `server_count` servers.
    pub fn new(
        server: &str,
        incarnation: u64,
        zone: &str,
        tenant_quotas: &BTreeMap<String, f64>,
        server_count: usize,
    ) -> QuotaClient {
        let share =
            |(tenant, quota): (&String, &f64)| (tenant.clone(), QuotaShare::new(*quota, server_count as f64));
        QuotaClient {
            server: server.into(),
            incarnation,
            zone: zone.into(),
            shares: tenant_quotas.iter().map(share).collect(),
            report_number: 0,
            draining: None,
        }
    }

    /// The report to be sent at `now` (s); `demand` gives the requests per second that a tenant asked for of late.
    pub fn next_report(&mut self, now: f64, demand: impl Fn(&str) -> f64) -> ServerReport {
        let mut demands = Vec::new();
        for (tenant, share) in &mut self.shares {
            let current = share.next_report(now).current;
            demands.push(TenantDemand { tenant: tenant.clone(), demand: demand(tenant), current });
        }
        // All report numbers of one incarnation rise together.
        self.report_number += 1;
        let drain_state =
            self.draining.as_mut().map_or(DrainState::Serving, |draining| draining.next_report(now).state);
        ServerReport {
            server: self.server.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            number: self.report_number,
            drain_state,
            demands,
        }
    }

    /// Takes a reply; what is for another incarnation, old or unknown changes nothing. Returns whether anything was
    /// taken.
    pub fn handle_reply(&mut self, now: f64, reply: &CoordinatorReply) -> bool {
        if reply.server != self.server || reply.incarnation != self.incarnation {
            return false;
        }
        let mut taken = false;
        for assigned in &reply.allocations {
            let share = self.shares.get_mut(&assigned.tenant);
            taken |= share.is_some_and(|share| share.accept(now, &assigned.allocation));
        }
        if let (Some(slot), Some(draining)) = (&reply.drain_slot, &mut self.draining) {
            draining.accept(now, slot);
            taken = true;
        }
        taken
    }

    /// How many requests per second may be served for a tenant now; `None` for a tenant without a quota.
    pub fn rate(&self, now: f64, tenant: &str) -> Option<f64> {
        Some(self.shares.get(tenant)?.rate(now))
    }

    /// When the allocation of a tenant's quota that is applied expires (s), if one is.
    pub fn valid_until(&self, now: f64, tenant: &str) -> Option<f64> {
        self.shares.get(tenant)?.valid_until(now)
    }

    /// The server was asked to shut down at `now` (s): it asks for its drain slot. A second call changes nothing.
    pub fn start_draining(&mut self, now: f64, timing: DrainTiming) {
        if self.draining.is_none() {
            self.draining = Some(DrainingServer::new(now, timing, self.report_number));
        }
    }

    /// Whether it may drain; `None` unless it was asked to shut down.
    pub fn drain_decision(&mut self, now: f64) -> Option<DrainDecision> {
        self.draining.as_mut().map(|draining| draining.decide(now))
    }
}
