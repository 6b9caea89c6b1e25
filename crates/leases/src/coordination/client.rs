//! A server's shares of tenants' quotas and its drain slot.

use super::{CoordinatorReply, ServerReport, TenantDemand};
use crate::drain::{DrainDecision, DrainState, DrainTiming, DrainingServer};
use crate::quota::QuotaShare;
use std::collections::BTreeMap;

/// Creates a server's reports to workers and applies their replies.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    server: String,
    incarnation: u64,
    zone: String,
    /// Share of each tenant's quota, by the tenant's name.
    shares: BTreeMap<String, QuotaShare>,
    report_number: u64,
    draining: Option<DrainingServer>,
}

impl QuotaClient {
    /// Creates the client of a server that has just started, with each tenant's quota (requests per second) divided over
    /// `server_count` servers.
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

    /// Returns the report to send at `now` (s); `demand` returns a tenant's recent requests per second.
    pub fn next_report(&mut self, now: f64, demand: impl Fn(&str) -> f64) -> ServerReport {
        let mut demands = Vec::new();
        for (tenant, share) in &mut self.shares {
            let current = share.next_report(now).current;
            demands.push(TenantDemand { tenant: tenant.clone(), demand: demand(tenant), current });
        }
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

    /// Applies a reply, except what is outdated, for another incarnation or for an unknown tenant. Returns whether
    /// anything was applied.
    pub fn handle_reply(&mut self, now: f64, reply: &CoordinatorReply) -> bool {
        if reply.server != self.server || reply.incarnation != self.incarnation {
            return false;
        }
        let mut applied = false;
        for assigned in &reply.allocations {
            let share = self.shares.get_mut(&assigned.tenant);
            applied |= share.is_some_and(|share| share.accept(now, &assigned.allocation));
        }
        if let (Some(slot), Some(draining)) = (&reply.drain_slot, &mut self.draining) {
            draining.accept(now, slot);
            applied = true;
        }
        applied
    }

    /// Returns how many requests per second may be served for a tenant at `now` (s); `None` without a quota.
    pub fn rate(&self, now: f64, tenant: &str) -> Option<f64> {
        Some(self.shares.get(tenant)?.rate(now))
    }

    /// Returns when the applied allocation of a tenant expires (s), if there is one.
    pub fn valid_until(&self, now: f64, tenant: &str) -> Option<f64> {
        self.shares.get(tenant)?.valid_until(now)
    }

    /// Requests a drain slot from now on, after a request to shut down at `now` (s). A second call has no effect.
    pub fn start_draining(&mut self, now: f64, timing: DrainTiming) {
        if self.draining.is_none() {
            self.draining = Some(DrainingServer::new(now, timing, self.report_number));
        }
    }

    /// Returns whether the server may drain; `None` unless it was asked to shut down.
    pub fn drain_decision(&mut self, now: f64) -> Option<DrainDecision> {
        self.draining.as_mut().map(|draining| draining.decide(now))
    }
}
