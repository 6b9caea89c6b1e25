//! Assignment of drain slots by the lease holder.

use super::{DrainReport, DrainRules, DrainSlot, DrainState};
use crate::Epoch;
use std::collections::BTreeMap;

/// Maximum number of servers that one holder tracks.
const MAX_SERVERS: usize = 10_000;
/// Fraction of a slot's duration within which the server must start to drain.
const START_FRACTION: f64 = 0.2;
/// Time after which a silent server is removed, in report timeouts or slot durations.
const SILENT_REMOVAL_FACTOR: f64 = 20.0;

/// A slot and the server that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSlot {
    /// The server's name.
    pub server: String,
    /// The slot.
    pub slot: DrainSlot,
}

#[derive(Clone, Debug, Default)]
struct ServerState {
    incarnation: u64,
    report_number: u64,
    zone: String,
    state: DrainState,
    last_report: f64,
    /// Time since which it waits for a slot.
    waiting_since: Option<f64>,
    /// End of its slot, if it has one.
    slot_until: Option<f64>,
}

/// Assigns drain slots while a lease is held.
#[derive(Clone, Debug)]
pub struct DrainSlots {
    epoch: Epoch,
    rules: DrainRules,
    /// Time by which all slots assigned by the former holder have ended.
    assignments_start_at: f64,
    servers: BTreeMap<String, ServerState>,
}

impl DrainSlots {
    /// Creates the slots of a holder whose lease starts at `now` (s) under this epoch.
    pub fn new(epoch: Epoch, rules: DrainRules, now: f64) -> DrainSlots {
        let assignments_start_at = now + rules.slot_duration * (1.0 + rules.max_clock_drift);
        DrainSlots { epoch, rules, assignments_start_at, servers: BTreeMap::new() }
    }

    /// Records a report that arrived at `now` (s), unless it is older than the last.
    pub fn record_report(&mut self, now: f64, report: &DrainReport) {
        if !self.servers.contains_key(&report.server) && self.servers.len() >= MAX_SERVERS {
            return;
        }
        let server = self.servers.entry(report.server.clone()).or_default();
        if (report.incarnation, report.report_number) <= (server.incarnation, server.report_number) {
            return;
        }
        if report.incarnation > server.incarnation && report.state == DrainState::Serving {
            // The server has restarted and serves again.
            server.slot_until = None;
        }
        server.incarnation = report.incarnation;
        server.report_number = report.report_number;
        server.last_report = now;
        server.zone = report.zone.clone();
        server.state = report.state;
        let waits = report.state == DrainState::Waiting;
        server.waiting_since = waits.then(|| server.waiting_since.unwrap_or(now));
    }

    /// Returns whether a server counts as unavailable: it has a slot, drains without one, or is silent.
    fn is_unavailable(&self, now: f64, server: &ServerState) -> bool {
        server.slot_until.is_some_and(|until| now < until)
            || server.state == DrainState::Draining
            || now - server.last_report > self.rules.report_timeout
    }

    /// Returns how many servers are unavailable, in the fleet or in one zone.
    pub fn unavailable_count(&self, now: f64, zone: Option<&str>) -> usize {
        let in_zone = |server: &&ServerState| zone.is_none_or(|zone| server.zone == zone);
        self.servers.values().filter(in_zone).filter(|server| self.is_unavailable(now, server)).count()
    }

    /// Assigns slots within the limits, to the servers that have waited longest first.
    pub fn assign(&mut self, now: f64) -> Vec<ServerSlot> {
        self.remove_silent(now);
        if now < self.assignments_start_at {
            return Vec::new();
        }
        let mut slots = Vec::new();
        for server in self.waiting_servers(now) {
            slots.extend(self.assign_slot(now, server));
        }
        slots
    }

    fn remove_silent(&mut self, now: f64) {
        let remove_after = SILENT_REMOVAL_FACTOR * self.rules.report_timeout.max(self.rules.slot_duration);
        self.servers.retain(|_, server| now - server.last_report <= remove_after);
    }

    /// Returns the waiting servers, those that have waited longest first.
    fn waiting_servers(&self, now: f64) -> Vec<String> {
        let mut waiting: Vec<(f64, &String)> = Vec::new();
        for (name, server) in &self.servers {
            if let Some(since) = server.waiting_since.filter(|_| !self.is_unavailable(now, server)) {
                waiting.push((since, name));
            }
        }
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        waiting.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Assigns a slot to one server, if the limits of the fleet and of its zone allow it.
    fn assign_slot(&mut self, now: f64, name: String) -> Option<ServerSlot> {
        let zone = &self.servers.get(&name)?.zone;
        if self.unavailable_count(now, None) >= self.rules.max_unavailable
            || self.unavailable_count(now, Some(zone)) >= self.zone_limit(zone)
        {
            return None;
        }
        let slot_until = now + self.rules.slot_duration * (1.0 + self.rules.max_clock_drift);
        let start_within = START_FRACTION * self.rules.slot_duration;
        let server = self.servers.get_mut(&name)?;
        server.slot_until = Some(slot_until);
        let slot = DrainSlot { epoch: self.epoch, report_number: server.report_number, start_within };
        Some(ServerSlot { server: name, slot })
    }

    /// Returns how many servers of a zone may be unavailable at once.
    fn zone_limit(&self, zone: &str) -> usize {
        let size = self.servers.values().filter(|server| server.zone == zone).count();
        ((self.rules.max_zone_fraction * size as f64).floor() as usize).max(1)
    }
}
